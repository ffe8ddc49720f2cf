//! Cumulative usage counters of one daemon incarnation.

use crate::SharedName;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Whom and what a count is billed to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct UsageKey {
    /// Organisation that sent the requests.
    pub organisation: SharedName,
    /// Service that ran them.
    pub service: SharedName,
}

/// What was used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageCount {
    /// Requests answered.
    pub requests: u64,
    /// Tokens generated.
    pub tokens: u64,
}

impl UsageCount {
    /// The growth from `earlier` to this count.
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

/// Counters that only grow while the process lives.
#[derive(Clone, Debug, Default)]
pub struct UsageMeter {
    counts: BTreeMap<UsageKey, UsageCount>,
}

impl UsageMeter {
    /// Counts work done for `key`.
    pub fn record(&mut self, key: UsageKey, count: UsageCount) {
        self.counts.entry(key).or_default().add(count);
    }

    /// Every counter with its cumulative value.
    #[must_use]
    pub fn totals(&self) -> Vec<(UsageKey, UsageCount)> {
        self.counts.iter().map(|(key, count)| (key.clone(), *count)).collect()
    }
}
