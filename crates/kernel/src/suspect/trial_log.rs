//! Trials of requests that are kept from running because of crashes.

use crate::TimePoint;
use std::collections::{BTreeMap, HashMap};

/// Maximum number of trials of a request until its marks expire; less than the three runs that a request which crashes its
/// upstreams may have after its third crash is known.
const TRIALS_MAX: u32 = 2;
/// Time from a trial to the next one. By then it is known whether an upstream crashed in the first.
const TRIAL_PERIOD_MS: u64 = 30_000;

/// A trial.
#[derive(Clone, Copy, Debug)]
struct TrialEntry {
    known_at: TimePoint,
    /// Crashes that counted against the request then.
    crash_count: usize,
}

/// Known trials, by request and number.
#[derive(Clone, Debug, Default)]
pub struct TrialLog {
    requests: HashMap<u64, BTreeMap<u32, TrialEntry>>,
}

impl TrialLog {
    /// Records a trial of a request against which `crash_count` crashes count.
    pub fn add(&mut self, fingerprint: u64, number: u32, crash_count: usize, now: TimePoint) {
        let trials = self.requests.entry(fingerprint).or_default();
        trials.entry(number).or_insert(TrialEntry { known_at: now, crash_count });
    }

    /// Forgets a trial in which the request did not run.
    pub fn remove(&mut self, fingerprint: u64, number: u32) {
        if let Some(trials) = self.requests.get_mut(&fingerprint) {
            trials.remove(&number);
        }
    }

    /// Number of the next trial of a request against which `crash_count` crashes count; `None` if there may be none now. A trial
    /// in which an upstream crashed is the last one.
    #[must_use]
    pub fn next_number(&self, fingerprint: u64, crash_count: usize, now: TimePoint) -> Option<u32> {
        let Some((number, last)) = self.requests.get(&fingerprint).and_then(BTreeMap::last_key_value) else {
            return Some(0);
        };
        let is_due = now.since_ms(last.known_at) >= TRIAL_PERIOD_MS && crash_count <= last.crash_count;
        Some(number + 1).filter(|next| *next < TRIALS_MAX && is_due)
    }

    /// Keeps the trials of the requests that `is_kept` names.
    pub fn retain(&mut self, is_kept: impl Fn(u64) -> bool) {
        self.requests.retain(|fingerprint, _| is_kept(*fingerprint));
    }
}
