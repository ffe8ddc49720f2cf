//! Figures of one billing window, sealed before they are first sent.

use crate::{SharedName, UsageCount, UsageKey};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One billed line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageLine {
    /// Whom and what the line bills.
    pub key: UsageKey,
    /// What was used in the window, with what came late for earlier ones.
    pub count: UsageCount,
}

/// A sealed window: what is billed, and how far each daemon's counters are billed by it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageWindow {
    /// Number of the window since the Unix epoch.
    pub index: u64,
    /// Billed lines.
    pub lines: Vec<UsageLine>,
    /// Billed cumulative counters by daemon incarnation.
    pub billed: BTreeMap<SharedName, Vec<UsageLine>>,
}

impl UsageWindow {
    /// Computes window `index` from the previous sealed window and the latest totals of each daemon
    /// incarnation. What was not yet billed for an earlier window is billed in this one.
    #[must_use]
    pub fn seal(index: u64, previous: &Self, totals: &BTreeMap<SharedName, Vec<UsageLine>>) -> Self {
        let mut sums: BTreeMap<UsageKey, UsageCount> = BTreeMap::new();
        let mut billed = previous.billed.clone();
        for (incarnation, lines) in totals {
            let baseline = billed.entry(incarnation.clone()).or_default();
            for line in lines {
                let growth = raise_baseline(baseline, line);
                sums.entry(line.key.clone()).or_default().add(growth);
            }
        }
        let lines = sums
            .into_iter()
            .filter(|(_, count)| *count != UsageCount::default())
            .map(|(key, count)| UsageLine { key, count })
            .collect();
        Self { index, lines, billed }
    }
}

/// Lifts the billed counter of `line` to its new total and returns the growth.
fn raise_baseline(baseline: &mut Vec<UsageLine>, line: &UsageLine) -> UsageCount {
    let Some(old) = baseline.iter_mut().find(|old| old.key == line.key) else {
        baseline.push(line.clone());
        return line.count;
    };
    let growth = line.count.increase_since(old.count);
    old.count.add(growth);
    growth
}
