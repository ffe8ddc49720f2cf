//! Computes the usage that is billed in a window. The result is sealed, that is fixed before its first report, so that
//! repeated reports are equal.

use crate::{SharedName, UsageCount, UsageKey};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Usage of one organisation at one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageLine {
    /// Organisation and service that the usage is billed to.
    pub key: UsageKey,
    /// In the lines of a window: usage billed in it, including late usage of earlier windows. In lists of totals: the
    /// cumulative counter.
    pub count: UsageCount,
}

/// Sealed usage window: the usage billed in it, and the counter values up to which usage is billed so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageWindow {
    /// Number of the window, counted in window lengths since the Unix epoch.
    pub index: u64,
    /// Usage billed in this window.
    pub lines: Vec<UsageLine>,
    /// Cumulative counters billed so far, by daemon incarnation.
    pub billed: BTreeMap<SharedName, Vec<UsageLine>>,
}

impl UsageWindow {
    /// Computes window `index` from the previous sealed window and the latest counters (`totals`) of each daemon
    /// incarnation. Usage of earlier windows that is not billed yet is billed in this one.
    #[must_use]
    pub fn seal(index: u64, previous: &Self, totals: &BTreeMap<SharedName, Vec<UsageLine>>) -> Self {
        let mut sums: BTreeMap<UsageKey, UsageCount> = BTreeMap::new();
        let mut billed = previous.billed.clone();
        for (incarnation, lines) in totals {
            let baseline = billed.entry(incarnation.clone()).or_default();
            for line in lines {
                let increase = raise_baseline(baseline, line);
                sums.entry(line.key.clone()).or_default().add(increase);
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

/// Raises the billed counter of `line` to its new value and returns the increase.
fn raise_baseline(baseline: &mut Vec<UsageLine>, line: &UsageLine) -> UsageCount {
    let Some(billed) = baseline.iter_mut().find(|billed| billed.key == line.key) else {
        baseline.push(line.clone());
        return line.count;
    };
    let increase = line.count.increase_since(billed.count);
    billed.count.add(increase);
    increase
}
