//! Requests that upstreams have completed lately.

use crate::TimePoint;
use std::collections::HashMap;

/// Minimum time for which a completion is remembered, unless there are more than [`GENERATION_MAX`]. A loss may turn into a
/// mark for 15 s, and the write of the mark may wait for the store.
const KEPT_MS: u64 = 30_000;
/// Maximum number of completions in one generation; they take some 50 KB.
const GENERATION_MAX: usize = 2_048;

/// The latest completions by request. Two generations bound what is remembered: when the newer one is full or old, it
/// replaces the older one.
#[derive(Clone, Debug, Default)]
pub struct CompletionLog {
    /// When the latest run of each request ended, in milliseconds since the Unix epoch.
    newer: HashMap<u64, u64>,
    older: HashMap<u64, u64>,
    /// When the newer generation becomes the older one.
    rotates_at: TimePoint,
}

impl CompletionLog {
    /// Records that a run of the request ended with a complete response, at `ended_unix_ms`.
    pub fn add(&mut self, fingerprint: u64, ended_unix_ms: u64, now: TimePoint) {
        let is_full = self.newer.len() >= GENERATION_MAX && !self.newer.contains_key(&fingerprint);
        if is_full || now >= self.rotates_at {
            self.older = std::mem::take(&mut self.newer);
            self.rotates_at = now.plus_ms(KEPT_MS);
        }
        let latest = self.newer.entry(fingerprint).or_default();
        *latest = ended_unix_ms.max(*latest);
    }

    /// Whether a run of the request is remembered that ended at `unix_ms` or later.
    #[must_use]
    pub fn has_since(&self, fingerprint: u64, unix_ms: u64) -> bool {
        [&self.newer, &self.older].iter().any(|log| log.get(&fingerprint).is_some_and(|ended| *ended >= unix_ms))
    }
}
