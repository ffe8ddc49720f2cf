//! Options of batch jobs and outcomes of their runs and scorings.

use crate::{SharedName, TimePoint};

/// Properties of an item that determine how it is scheduled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemSpec {
    /// Group of the item; items of one group share their prompt.
    pub group: SharedName,
    /// Expected length, in tokens; longer items run first.
    pub expected_tokens: u64,
    /// Whether the text is sent to a scorer before the item is finished.
    pub needs_score: bool,
}

/// Limits and requirements that apply to all items of a batch job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchOptions {
    /// Number of failed runs after which an item is terminated.
    pub attempts_max: u32,
    /// Oldest version of the weights whose events are accepted.
    pub oldest_version: u64,
    /// Whether all events of a text must come from the same version of the weights.
    pub single_version: bool,
    /// Time from which on unfinished items are terminated.
    pub retention_ends_at: TimePoint,
    /// Number of groups whose items must all be finished before the submitter proceeds.
    pub groups_awaited: u64,
}

/// An item to be run at an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunAssignment {
    /// Index of the item in its batch job.
    pub item_index: usize,
    /// Number of the last event received in earlier runs; the upstream continues the text after it.
    pub resume_after: Option<u64>,
    /// Version of the software that an upstream must have to continue the text; `None` if it starts with the first event.
    pub software: Option<SharedName>,
}

/// Result of adding an event to the text of its item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventOutcome {
    /// The event was appended; the run continues.
    Accepted,
    /// The text was discarded because the version of the weights is not acceptable. The run must be cancelled; the
    /// next one starts with the first event.
    Restart,
    /// The event was ignored because it doesn't follow the last one, or because the item is not running. The run must
    /// be cancelled.
    Mismatch,
}

/// Outcome of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The response ended normally, so the text is complete.
    Completed,
    /// The run ended before the text was complete, or the upstream did not respond.
    Interrupted,
    /// The upstream did not start the run, for example because it refused the request.
    NotRun,
    /// The upstream reported a failure of the run.
    Failed,
    /// The upstream reported that the item cannot be run at all; it is terminated without a retry.
    Unrunnable,
}

/// Outcome of a request to the scorer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ScoreOutcome {
    /// The score was computed; holds the scorer's signature.
    Signed(String),
    /// The scorer reported a failure.
    Failed,
    /// The scorer refused the request or did not respond; not counted as a failure.
    Interrupted,
}
