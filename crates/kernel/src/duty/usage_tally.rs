//! Requests begun in each usage window.

use crate::SharedName;
use std::collections::BTreeMap;

/// Windows kept for a store that is away; older ones are dropped.
const WINDOWS_MAX: usize = 64;

/// Counts of one process in one window, as they go on record. What is counted later in the same window goes on record
/// by itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageBatch {
    /// Number of the batch in its process.
    pub number: u64,
    /// Window.
    pub window: u64,
    /// Requests begun, by organisation.
    pub counts: BTreeMap<SharedName, u64>,
}

/// Counts of one process by window and organisation.
#[derive(Clone, Debug)]
pub struct UsageTally {
    window_ms: u64,
    counts: BTreeMap<u64, BTreeMap<SharedName, u64>>,
    closed: BTreeMap<u64, UsageBatch>,
    next_number: u64,
}

impl UsageTally {
    /// Creates a tally with windows of `window_ms`.
    #[must_use]
    pub fn new(window_ms: u64) -> Self {
        Self { window_ms: window_ms.max(1), counts: BTreeMap::new(), closed: BTreeMap::new(), next_number: 0 }
    }

    /// The window at `unix_ms`.
    #[must_use]
    pub fn window_at(&self, unix_ms: u64) -> u64 {
        unix_ms / self.window_ms
    }

    /// When `window` ends, in milliseconds since the Unix epoch.
    #[must_use]
    pub fn window_end_unix_ms(&self, window: u64) -> u64 {
        (window + 1) * self.window_ms
    }

    /// A request of `organisation` began at `unix_ms`.
    pub fn count_request(&mut self, organisation: &SharedName, unix_ms: u64) {
        let window = self.window_at(unix_ms);
        *self.counts.entry(window).or_default().entry(organisation.clone()).or_default() += 1;
        while self.counts.len() > WINDOWS_MAX {
            self.counts.pop_first();
        }
    }

    /// Closes the windows that ended before `unix_ms`, and returns what is not on record. A batch never changes, so that
    /// a repeated write counts it once.
    pub fn close_ended_windows(&mut self, unix_ms: u64) -> Vec<UsageBatch> {
        let open = self.counts.split_off(&self.window_at(unix_ms));
        for (window, counts) in std::mem::replace(&mut self.counts, open) {
            let number = self.next_number;
            self.next_number += 1;
            self.closed.insert(number, UsageBatch { number, window, counts });
        }
        while self.closed.len() > WINDOWS_MAX {
            self.closed.pop_first();
        }
        self.closed.values().cloned().collect()
    }

    /// The batch `number` is on record.
    pub fn batch_stored(&mut self, number: u64) {
        self.closed.remove(&number);
    }

    /// Adds the counts of several daemons.
    #[must_use]
    pub fn sum_counts(parts: impl IntoIterator<Item = BTreeMap<SharedName, u64>>) -> BTreeMap<SharedName, u64> {
        let mut total: BTreeMap<SharedName, u64> = BTreeMap::new();
        for (organisation, count) in parts.into_iter().flatten() {
            *total.entry(organisation).or_default() += count;
        }
        total
    }
}
