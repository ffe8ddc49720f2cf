//! Schedules the samples of a training step on the daemon that owns the step, and tracks which samples are running,
//! complete or confirmed by the trainer.

use crate::{FetchCursor, SharedName, TimePoint, TokenSegment};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum number of concurrent attempts at one sample, its hedge included.
const CONCURRENT_ATTEMPTS_MAX: u32 = 2;

/// Backoff of a sample after a failed attempt. A sound engine answers an attempt later than this.
const RETRY_BACKOFF_MS: u64 = 100;

/// Position of a sample within its step: `group * group_size + index`.
pub type SampleId = usize;

/// Specification of a step, as requested by the trainer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StepSpec {
    /// Service whose engines generate the samples.
    pub service: SharedName,
    /// Prompts, one for each group of samples.
    pub prompts: Vec<SharedName>,
    /// Number of samples to generate for each prompt.
    pub group_size: usize,
    /// Maximum number of tokens in a sample.
    pub max_tokens: u32,
}

impl StepSpec {
    /// Number of samples in the step.
    #[must_use]
    pub fn sample_count(&self) -> usize {
        self.prompts.len().saturating_mul(self.group_size)
    }
}

/// A complete sample.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SampleResult {
    /// Position of the sample in its step.
    #[serde(rename = "sample")]
    pub position: SampleId,
    /// Generated text.
    pub text: String,
    /// Weight versions that generated the tokens, in token order.
    pub segments: Vec<TokenSegment>,
}

/// An order to start one attempt at a sample on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DispatchOrder {
    /// Position of the sample in its step.
    pub position: SampleId,
    /// Number of the attempt, unique in the step.
    pub attempt: u64,
    /// Whether this attempt is a hedge: another attempt at the same sample is still running.
    pub hedge: bool,
}

/// Outcome of an attempt that generated a complete sample.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FinishOutcome {
    /// Whether the attempt's result was accepted as the sample's result.
    pub accepted: bool,
    /// Other running attempts at the sample, which can be aborted.
    pub superseded_attempts: Vec<u64>,
}

#[derive(Clone, Debug, Default)]
struct SampleEntry {
    /// Running attempts, by number and start time.
    attempts: Vec<(u64, TimePoint)>,
    /// End of the backoff after a failed attempt.
    backoff_until: TimePoint,
    /// Accepted result that the trainer has not confirmed yet.
    result: Option<SampleResult>,
}

/// State of all samples of one step.
#[derive(Debug)]
pub struct StepLedger {
    spec: StepSpec,
    /// Number of versions by which a sample may lag behind the published version.
    staleness_bound: u64,
    /// Newest published weight version that was observed.
    published_version: u64,
    /// Samples that the trainer confirmed.
    confirmed: FetchCursor,
    samples: Vec<SampleEntry>,
    /// Number of attempts started so far, which is also the number of the last one.
    attempt_count: u64,
    /// Tokens of complete samples that were too old, or that another attempt had already produced.
    wasted_tokens: u64,
    /// Number of finished attempts by their duration in milliseconds.
    duration_counts: BTreeMap<u64, u32>,
}

impl StepLedger {
    /// Creates the ledger of a step that has not started. `staleness_bound` is the number of versions by which a sample
    /// may lag behind the newest one; `published_version` is the newest version observed so far.
    #[must_use]
    pub fn new(spec: StepSpec, staleness_bound: u64, published_version: u64) -> Self {
        let samples = vec![SampleEntry::default(); spec.sample_count()];
        Self {
            spec,
            staleness_bound,
            published_version,
            confirmed: FetchCursor::default(),
            samples,
            attempt_count: 0,
            wasted_tokens: 0,
            duration_counts: BTreeMap::new(),
        }
    }

    /// Specification of the step.
    #[must_use]
    pub fn spec(&self) -> &StepSpec {
        &self.spec
    }

    /// Records that a weight version was published, and drops unconfirmed results that are now too old, so that their
    /// samples run again. Ignored unless `version` is newer than the recorded one.
    pub fn version_published(&mut self, version: u64) {
        if version <= self.published_version {
            return;
        }
        self.published_version = version;
        let oldest_allowed = self.oldest_allowed_version();
        for entry in &mut self.samples {
            let stale = entry.result.as_ref().is_some_and(|result| is_stale(result, oldest_allowed));
            if stale && let Some(result) = entry.result.take() {
                self.wasted_tokens += token_count(&result);
            }
        }
    }

    /// Starts the next attempt: at the first unfinished sample without a running attempt, otherwise a hedge of the
    /// unfinished sample that has been running longest, among those whose attempts all started at least
    /// `hedge_after_ms` ago. Returns `None` if there is nothing to start.
    pub fn dispatch(&mut self, now: TimePoint, hedge_after_ms: Option<u64>) -> Option<DispatchOrder> {
        let is_due = |entry: &SampleEntry| entry.attempts.is_empty() && entry.backoff_until <= now;
        let unstarted =
            (0..self.samples.len()).find(|&position| self.is_unfinished(position) && is_due(&self.samples[position]));
        if let Some(position) = unstarted {
            return Some(self.start_attempt(position, false, now));
        }
        let hedge_after_ms = hedge_after_ms?;
        let straggler = (0..self.samples.len())
            .filter(|&position| {
                self.is_unfinished(position) && (self.samples[position].attempts.len() as u32) < CONCURRENT_ATTEMPTS_MAX
            })
            .filter(|&position| {
                self.samples[position].attempts.iter().all(|(_, started)| now.since_ms(*started) >= hedge_after_ms)
            })
            .min_by_key(|&position| self.samples[position].attempts.iter().map(|(_, started)| *started).min())?;
        Some(self.start_attempt(straggler, true, now))
    }

    /// Records that an attempt ended without a complete sample. Another one may start after a short backoff.
    pub fn attempt_failed(&mut self, order: DispatchOrder, now: TimePoint) {
        if let Some(entry) = self.samples.get_mut(order.position) {
            entry.backoff_until = now.plus_ms(RETRY_BACKOFF_MS);
            entry.attempts.retain(|(attempt, _)| *attempt != order.attempt);
        }
    }

    /// Records that an attempt generated a complete sample. Only the first result of a sample is accepted, and only if
    /// it names its weight versions and they are recent enough; other results count as wasted tokens.
    pub fn attempt_finished(&mut self, order: DispatchOrder, result: SampleResult, now: TimePoint) -> FinishOutcome {
        let oldest_allowed = self.oldest_allowed_version();
        let unfinished = order.position < self.samples.len() && self.is_unfinished(order.position);
        let Some(entry) = self.samples.get_mut(order.position) else { return FinishOutcome::default() };
        if let Some((_, started)) = entry.attempts.iter().find(|(attempt, _)| *attempt == order.attempt) {
            *self.duration_counts.entry(now.since_ms(*started)).or_default() += 1;
        }
        entry.attempts.retain(|(attempt, _)| *attempt != order.attempt);
        let usable = unfinished && !result.segments.is_empty() && !is_stale(&result, oldest_allowed);
        if !usable {
            self.wasted_tokens += token_count(&result);
            return FinishOutcome::default();
        }
        entry.result = Some(result);
        let superseded_attempts = entry.attempts.drain(..).map(|(attempt, _)| attempt).collect();
        FinishOutcome { accepted: true, superseded_attempts }
    }

    /// Returns up to `max` complete samples that are missing from `cursor`, and records the samples in it as confirmed.
    /// Fetches with the same cursor return the same samples until the trainer confirms them or they become too old.
    /// `published_version` is the newest version that the trainer published.
    pub fn fetch(&mut self, cursor: &FetchCursor, published_version: u64, max: usize) -> Vec<SampleResult> {
        self.version_published(published_version);
        self.confirmed.merge(cursor);
        for (sample, entry) in self.samples.iter_mut().enumerate() {
            if self.confirmed.contains(sample) {
                entry.result = None;
            }
        }
        self.samples.iter().filter_map(|entry| entry.result.clone()).take(max).collect()
    }

    /// Number of samples that the trainer confirmed.
    #[must_use]
    pub fn confirmed_count(&self) -> usize {
        self.confirmed.len()
    }

    /// Whether the trainer confirmed every sample.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.confirmed_count() >= self.spec.sample_count()
    }

    /// Number of complete samples that the trainer has not confirmed yet.
    #[must_use]
    pub fn ready_count(&self) -> usize {
        self.samples.iter().filter(|entry| entry.result.is_some()).count()
    }

    /// Number of running attempts.
    #[must_use]
    pub fn running_attempts(&self) -> usize {
        self.samples.iter().map(|entry| entry.attempts.len()).sum()
    }

    /// Number of tokens in complete samples that were not accepted or became too old.
    #[must_use]
    pub fn wasted_tokens(&self) -> u64 {
        self.wasted_tokens
    }

    /// Time after which a running attempt is hedged: three times the median duration of finished attempts, in
    /// milliseconds. `None` until enough attempts have finished.
    #[must_use]
    pub fn hedge_after_ms(&self) -> Option<u64> {
        const FINISHED_ATTEMPTS_MIN: u32 = 8;
        const MEDIAN_FACTOR: u64 = 3;
        let finished: u32 = self.duration_counts.values().sum();
        if finished < FINISHED_ATTEMPTS_MIN {
            return None;
        }
        let mut cumulative = 0;
        for (duration_ms, count) in &self.duration_counts {
            cumulative += count;
            if cumulative * 2 >= finished {
                return Some(duration_ms.saturating_mul(MEDIAN_FACTOR).max(1));
            }
        }
        None
    }

    /// Oldest weight version that a returned sample may have.
    fn oldest_allowed_version(&self) -> u64 {
        self.published_version.saturating_sub(self.staleness_bound)
    }

    /// Whether the sample has neither an accepted result nor a confirmation by the trainer.
    fn is_unfinished(&self, position: SampleId) -> bool {
        self.samples[position].result.is_none() && !self.confirmed.contains(position)
    }

    fn start_attempt(&mut self, position: SampleId, hedge: bool, now: TimePoint) -> DispatchOrder {
        self.attempt_count += 1;
        self.samples[position].attempts.push((self.attempt_count, now));
        DispatchOrder { position, attempt: self.attempt_count, hedge }
    }
}

/// Whether any token was generated by a version older than `oldest_allowed`, or no version is named at all.
fn is_stale(result: &SampleResult, oldest_allowed: u64) -> bool {
    TokenSegment::oldest_version(&result.segments).is_none_or(|oldest| oldest < oldest_allowed)
}

fn token_count(result: &SampleResult) -> u64 {
    result.segments.last().map_or(0, |segment| u64::from(segment.end))
}
