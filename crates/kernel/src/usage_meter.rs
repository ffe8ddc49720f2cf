//! Cumulative usage counters of one daemon incarnation, from which usage windows are billed.

use crate::SharedName;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Organisation and service that usage is billed to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct UsageKey {
    /// Organisation that sent the requests.
    pub organisation: SharedName,
    /// Service that ran the requests.
    pub service: SharedName,
}

/// Amount of usage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageCount {
    /// Number of answered requests.
    pub requests: u64,
    /// Number of generated tokens.
    pub tokens: u64,
}

impl UsageCount {
    /// Increase from the `earlier` count to this one; zero where this one is lower.
    #[must_use]
    pub fn increase_since(self, earlier: Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(earlier.requests),
            tokens: self.tokens.saturating_sub(earlier.tokens),
        }
    }

    /// Adds `other` to this count.
    pub fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.tokens += other.tokens;
    }
}

/// Usage counters by organisation and service. They start at zero with the process and never decrease.
#[derive(Clone, Debug, Default)]
pub struct UsageMeter {
    counts: BTreeMap<UsageKey, UsageCount>,
}

impl UsageMeter {
    /// Adds `count` to the counter of `key`.
    pub fn record(&mut self, key: UsageKey, count: UsageCount) {
        self.counts.entry(key).or_default().add(count);
    }

    /// All counters with their cumulative values.
    #[must_use]
    pub fn totals(&self) -> Vec<(UsageKey, UsageCount)> {
        self.counts.iter().map(|(key, count)| (key.clone(), *count)).collect()
    }
}
