//! Requests begun in each usage window.

use crate::SharedName;
use std::collections::BTreeMap;

/// Windows kept for a store that is away; older ones are dropped.
const WINDOWS_MAX: usize = 64;

/// Counts of one process by window and organisation.
#[derive(Clone, Debug)]
pub struct UsageTally {
    window_ms: u64,
    counts: BTreeMap<u64, BTreeMap<SharedName, u64>>,
}

impl UsageTally {
    /// Creates a tally with windows of `window_ms`.
    #[must_use]
    pub fn new(window_ms: u64) -> Self {
        Self { window_ms: window_ms.max(1), counts: BTreeMap::new() }
    }

    /// The window at `unix_ms`.
    #[must_use]
    pub fn window(&self, unix_ms: u64) -> u64 {
        unix_ms / self.window_ms
    }

    /// When `window` ends, in milliseconds since the Unix epoch.
    #[must_use]
    pub fn end_unix_ms(&self, window: u64) -> u64 {
        (window + 1) * self.window_ms
    }

    /// A request of `organisation` began at `unix_ms`.
    pub fn count(&mut self, organisation: &SharedName, unix_ms: u64) {
        let window = self.window(unix_ms);
        *self.counts.entry(window).or_default().entry(organisation.clone()).or_default() += 1;
        while self.counts.len() > WINDOWS_MAX {
            self.counts.pop_first();
        }
    }

    /// Windows that ended before `unix_ms`, with their counts.
    #[must_use]
    pub fn ended(&self, unix_ms: u64) -> Vec<(u64, BTreeMap<SharedName, u64>)> {
        let current = self.window(unix_ms);
        self.counts.range(..current).map(|(window, counts)| (*window, counts.clone())).collect()
    }

    /// The counts of `window` are on record.
    pub fn recorded(&mut self, window: u64) {
        self.counts.remove(&window);
    }

    /// Adds the counts of several daemons.
    #[must_use]
    pub fn sum(parts: impl IntoIterator<Item = BTreeMap<SharedName, u64>>) -> BTreeMap<SharedName, u64> {
        let mut total: BTreeMap<SharedName, u64> = BTreeMap::new();
        for (organisation, count) in parts.into_iter().flatten() {
            *total.entry(organisation).or_default() += count;
        }
        total
    }
}
