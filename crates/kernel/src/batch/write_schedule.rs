//! Decides when the progress of a batch job is written to the store.
//!
//! Answers the load of a job whose results finish one after the other, of which one write should store several, and of
//! an outage of the store, after which the results of seconds wait and readers want them at once.

use crate::TimePoint;

/// Shortest time between two writes, so that one write stores several results.
const WRITE_PERIOD_MS: u64 = 400;
/// Time after a write until a checkpoint is stored without any result; bounds the work that is lost when another daemon
/// takes over the job.
const CHECKPOINT_PERIOD_MS: u64 = 800;
/// Shortest time from a write to the next one if items have failed since. Bounds the failures that are forgotten with their
/// owner: an item is tried again soon after a failure.
const FAILURES_PERIOD_MS: u64 = 100;

/// When the results and checkpoints of one job are written next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WriteSchedule {
    results_at: TimePoint,
    /// When a checkpoint is written if no results are written before.
    checkpoint_at: TimePoint,
    /// When failures are written.
    failures_at: TimePoint,
}

impl WriteSchedule {
    /// Creates a schedule that writes the first results as soon as there are any.
    #[must_use]
    pub fn new(now: TimePoint) -> Self {
        Self { results_at: now, checkpoint_at: now.plus_ms(CHECKPOINT_PERIOD_MS), failures_at: now }
    }

    /// Whether results are due.
    #[must_use]
    pub fn are_results_due(&self, now: TimePoint) -> bool {
        now >= self.results_at
    }

    /// Whether a checkpoint is due without results.
    #[must_use]
    pub fn is_checkpoint_due(&self, now: TimePoint) -> bool {
        now >= self.checkpoint_at
    }

    /// Whether failures are due, with the results of items that were given up.
    #[must_use]
    pub fn are_failures_due(&self, now: TimePoint) -> bool {
        now >= self.failures_at
    }

    /// Records a write that ended at `now`. `has_backlog` says whether it succeeded and results that were finished
    /// before it began are still not stored; they are written at once.
    pub fn written(&mut self, has_backlog: bool, now: TimePoint) {
        self.results_at = if has_backlog { now } else { now.plus_ms(WRITE_PERIOD_MS) };
        self.checkpoint_at = now.plus_ms(CHECKPOINT_PERIOD_MS);
        self.failures_at = now.plus_ms(FAILURES_PERIOD_MS);
    }
}
