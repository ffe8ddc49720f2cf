//! A trainer's step at its home: which samples run, which are whole, which were handed over.

use crate::{FetchCursor, SharedName, TimePoint, TokenSegment};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Attempts running for one sample, counting its hedge.
const ATTEMPTS_MAX: u32 = 2;

/// Position of a sample within its step: `group * group_size + index`.
pub type SampleId = usize;

/// What a trainer asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StepSpec {
    /// Service that samples.
    pub service: SharedName,
    /// One prompt a group.
    pub prompts: Vec<SharedName>,
    /// Samples wanted of each prompt.
    pub group_size: usize,
    /// Most tokens of a sample.
    pub max_tokens: u32,
}

impl StepSpec {
    /// Number of samples in the step.
    #[must_use]
    pub fn sample_count(&self) -> usize {
        self.prompts.len().saturating_mul(self.group_size)
    }
}

/// A whole sample.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SampleResult {
    /// Position in the step.
    pub sample: SampleId,
    /// Generated text.
    pub text: String,
    /// Which version produced which tokens.
    pub segments: Vec<TokenSegment>,
}

/// A sample to send to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DispatchOrder {
    /// Position in the step.
    pub sample: SampleId,
    /// Number of the attempt, unique in the step.
    pub attempt: u64,
    /// Whether another attempt is still running.
    pub hedge: bool,
}

/// What the end of an attempt means.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FinishOutcome {
    /// Whether the sample is now whole through this attempt.
    pub accepted: bool,
    /// Other attempts of the sample, which need not run any further.
    pub superseded_attempts: Vec<u64>,
}

#[derive(Clone, Debug, Default)]
struct SampleEntry {
    running: Vec<(u64, TimePoint)>,
    whole: Option<SampleResult>,
}

/// All samples of one step.
#[derive(Debug)]
pub struct StepLedger {
    spec: StepSpec,
    bound: u64,
    published: u64,
    received: FetchCursor,
    samples: Vec<SampleEntry>,
    attempts: u64,
    /// Tokens of samples that were whole but too old, or second of a pair.
    wasted_tokens: u64,
    durations: BTreeMap<u64, u32>,
}

impl StepLedger {
    /// Opens a step under a staleness `bound` in versions; `published` is the newest known version.
    #[must_use]
    pub fn new(spec: StepSpec, bound: u64, published: u64) -> Self {
        let samples = vec![SampleEntry::default(); spec.sample_count()];
        Self {
            spec,
            bound,
            published,
            received: FetchCursor::default(),
            samples,
            attempts: 0,
            wasted_tokens: 0,
            durations: BTreeMap::new(),
        }
    }

    /// What the trainer asked for.
    #[must_use]
    pub fn spec(&self) -> &StepSpec {
        &self.spec
    }

    /// A newer weight version was published: samples that became too old are run again.
    pub fn version_published(&mut self, version: u64) {
        if version <= self.published {
            return;
        }
        self.published = version;
        let floor = self.oldest_allowed();
        for entry in &mut self.samples {
            let stale = entry.whole.as_ref().is_some_and(|whole| too_old(whole, floor));
            if stale && let Some(whole) = entry.whole.take() {
                self.wasted_tokens += tokens(&whole);
            }
        }
    }

    /// The next sample to run, unstarted ones first. With none left, the longest-running one whose
    /// time exceeds `hedge_after_ms` is hedged.
    pub fn dispatch(&mut self, now: TimePoint, hedge_after_ms: Option<u64>) -> Option<DispatchOrder> {
        let unstarted =
            (0..self.samples.len()).find(|&sample| self.open(sample) && self.samples[sample].running.is_empty());
        if let Some(sample) = unstarted {
            return Some(self.start(sample, false, now));
        }
        let hedge_after_ms = hedge_after_ms?;
        let straggler = (0..self.samples.len())
            .filter(|&sample| self.open(sample) && (self.samples[sample].running.len() as u32) < ATTEMPTS_MAX)
            .filter(|&sample| self.samples[sample].running.iter().all(|(_, at)| now.since_ms(*at) >= hedge_after_ms))
            .min_by_key(|&sample| self.samples[sample].running.iter().map(|(_, at)| *at).min())?;
        Some(self.start(straggler, true, now))
    }

    /// An attempt ended without a whole sample.
    pub fn attempt_failed(&mut self, order: DispatchOrder) {
        if let Some(entry) = self.samples.get_mut(order.sample) {
            entry.running.retain(|(attempt, _)| *attempt != order.attempt);
        }
    }

    /// An attempt produced a whole sample; only the first one of a sample counts.
    pub fn attempt_finished(&mut self, order: DispatchOrder, result: SampleResult, now: TimePoint) -> FinishOutcome {
        let floor = self.oldest_allowed();
        let open = order.sample < self.samples.len() && self.open(order.sample);
        let Some(entry) = self.samples.get_mut(order.sample) else { return FinishOutcome::default() };
        if let Some((_, started)) = entry.running.iter().find(|(attempt, _)| *attempt == order.attempt) {
            *self.durations.entry(now.since_ms(*started)).or_default() += 1;
        }
        entry.running.retain(|(attempt, _)| *attempt != order.attempt);
        let usable = open && !result.segments.is_empty() && !too_old(&result, floor);
        if !usable {
            self.wasted_tokens += tokens(&result);
            return FinishOutcome::default();
        }
        entry.whole = Some(result);
        let losers = entry.running.drain(..).map(|(attempt, _)| attempt).collect();
        FinishOutcome { accepted: true, superseded_attempts: losers }
    }

    /// Hands over up to `max` whole samples that `cursor` lacks. The same cursor gets the same samples
    /// until the trainer confirms them or they grow too old. `published` is the version the trainer itself knows.
    pub fn fetch(&mut self, cursor: &FetchCursor, published: u64, max: usize) -> Vec<SampleResult> {
        self.version_published(published);
        self.received.merge(cursor);
        for (sample, entry) in self.samples.iter_mut().enumerate() {
            if self.received.contains(sample) {
                entry.whole = None;
            }
        }
        self.samples.iter().filter_map(|entry| entry.whole.clone()).take(max).collect()
    }

    /// Samples that the trainer confirmed.
    #[must_use]
    pub fn confirmed_count(&self) -> usize {
        self.received.len()
    }

    /// Whether the trainer holds every sample.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.confirmed_count() >= self.spec.sample_count()
    }

    /// Whole samples waiting for a fetch.
    #[must_use]
    pub fn ready_count(&self) -> usize {
        self.samples.iter().filter(|entry| entry.whole.is_some()).count()
    }

    /// Attempts running.
    #[must_use]
    pub fn running_attempts(&self) -> usize {
        self.samples.iter().map(|entry| entry.running.len()).sum()
    }

    /// Tokens generated in vain.
    #[must_use]
    pub fn wasted_tokens(&self) -> u64 {
        self.wasted_tokens
    }

    /// Three times the median duration of finished attempts, once enough have finished.
    #[must_use]
    pub fn hedge_after_ms(&self) -> Option<u64> {
        const SAMPLES_MIN: u32 = 8;
        const HEDGE_FACTOR: u64 = 3;
        let count: u32 = self.durations.values().sum();
        if count < SAMPLES_MIN {
            return None;
        }
        let mut seen = 0;
        for (duration_ms, times) in &self.durations {
            seen += times;
            if seen * 2 >= count {
                return Some(duration_ms.saturating_mul(HEDGE_FACTOR).max(1));
            }
        }
        None
    }

    fn oldest_allowed(&self) -> u64 {
        self.published.saturating_sub(self.bound)
    }

    fn open(&self, sample: SampleId) -> bool {
        self.samples[sample].whole.is_none() && !self.received.contains(sample)
    }

    fn start(&mut self, sample: SampleId, hedge: bool, now: TimePoint) -> DispatchOrder {
        self.attempts += 1;
        self.samples[sample].running.push((self.attempts, now));
        DispatchOrder { sample, attempt: self.attempts, hedge }
    }
}

fn too_old(result: &SampleResult, floor: u64) -> bool {
    TokenSegment::oldest_version(&result.segments).is_none_or(|oldest| oldest < floor)
}

fn tokens(result: &SampleResult) -> u64 {
    result.segments.last().map_or(0, |segment| u64::from(segment.end))
}
