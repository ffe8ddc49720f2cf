//! Counts of started requests by usage window and organisation.

use crate::SharedName;
use std::collections::BTreeMap;

/// Number of windows and of batches that are kept while the store is unreachable: an hour of windows of five seconds.
/// Older ones are dropped.
const WINDOWS_MAX: usize = 720;

/// Counts of one process in one window, as they are stored. A batch doesn't change once it is created: requests that
/// are counted later for the same window form another batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageBatch {
    /// Sequence number of the batch within its process.
    pub number: u64,
    /// Usage window, numbered from the Unix epoch.
    pub window: u64,
    /// Number of requests started, by organisation.
    pub counts: BTreeMap<SharedName, u64>,
}

/// Counts of one process by window and organisation, until they are stored.
#[derive(Clone, Debug)]
pub struct UsageTally {
    /// Length of a window.
    window_ms: u64,
    /// Counts by window that are in no batch yet.
    counts: BTreeMap<u64, BTreeMap<SharedName, u64>>,
    /// Batches that are not confirmed as stored, by sequence number.
    unstored: BTreeMap<u64, UsageBatch>,
    /// Sequence number of the next batch.
    next_number: u64,
    /// Requests whose counts were dropped since [`UsageTally::take_dropped`] was called last.
    dropped_requests: u64,
}

impl UsageTally {
    /// Creates an empty tally with windows of `window_ms` milliseconds.
    #[must_use]
    pub fn new(window_ms: u64) -> Self {
        Self {
            window_ms: window_ms.max(1),
            counts: BTreeMap::new(),
            unstored: BTreeMap::new(),
            next_number: 0,
            dropped_requests: 0,
        }
    }

    /// Number of the window that contains `unix_ms`, in milliseconds since the Unix epoch.
    #[must_use]
    pub fn window_at(&self, unix_ms: u64) -> u64 {
        unix_ms / self.window_ms
    }

    /// Time at which `window` ends, in milliseconds since the Unix epoch.
    #[must_use]
    pub fn window_end_unix_ms(&self, window: u64) -> u64 {
        (window + 1) * self.window_ms
    }

    /// Counts a request of `organisation` that started at `unix_ms`.
    pub fn count_request(&mut self, organisation: &SharedName, unix_ms: u64) {
        let window = self.window_at(unix_ms);
        *self.counts.entry(window).or_default().entry(organisation.clone()).or_default() += 1;
        while self.counts.len() > WINDOWS_MAX {
            let Some((_, counts)) = self.counts.pop_first() else { break };
            self.dropped_requests += counts.values().sum::<u64>();
        }
    }

    /// Turns the counts of all windows before the one that contains `unix_ms` into batches, and returns the batches
    /// that are not confirmed as stored. Batches never change, so a repeated write doesn't count requests twice.
    pub fn close_ended_windows(&mut self, unix_ms: u64) -> Vec<UsageBatch> {
        let current_counts = self.counts.split_off(&self.window_at(unix_ms));
        for (window, counts) in std::mem::replace(&mut self.counts, current_counts) {
            let number = self.next_number;
            self.next_number += 1;
            self.unstored.insert(number, UsageBatch { number, window, counts });
        }
        while self.unstored.len() > WINDOWS_MAX {
            let Some((_, batch)) = self.unstored.pop_first() else { break };
            self.dropped_requests += batch.counts.values().sum::<u64>();
        }
        self.unstored.values().cloned().collect()
    }

    /// Number of requests whose counts were dropped since the last call, because they could not be stored for too long.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped_requests)
    }

    /// Handles the confirmation that the batch `number` is stored.
    pub fn batch_stored(&mut self, number: u64) {
        self.unstored.remove(&number);
    }

    /// Sum of the counts of several daemons, by organisation.
    #[must_use]
    pub fn sum_counts(counts: impl IntoIterator<Item = BTreeMap<SharedName, u64>>) -> BTreeMap<SharedName, u64> {
        let mut total: BTreeMap<SharedName, u64> = BTreeMap::new();
        for (organisation, count) in counts.into_iter().flatten() {
            let total_count = total.entry(organisation).or_default();
            *total_count = total_count.saturating_add(count);
        }
        total
    }
}
