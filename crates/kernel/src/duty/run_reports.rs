//! What other daemons run at the upstreams.

use crate::{SharedName, TimePoint};
use std::collections::BTreeMap;

/// A daemon's report counts this long, in milliseconds; it reports several times a second while it runs anything.
const REPORT_LIFE_MS: u64 = 1_000;

/// Runs by daemon and upstream.
#[derive(Debug, Default)]
pub struct RunReports {
    reports: BTreeMap<SharedName, (TimePoint, BTreeMap<SharedName, u64>)>,
}

impl RunReports {
    /// `daemon` runs this much at each upstream.
    pub fn runs_reported(&mut self, daemon: SharedName, runs: BTreeMap<SharedName, u64>, now: TimePoint) {
        self.reports.insert(daemon, (now.plus_ms(REPORT_LIFE_MS), runs));
    }

    /// Runs of all daemons at each upstream.
    pub fn runs_by_upstream(&mut self, now: TimePoint) -> BTreeMap<SharedName, u64> {
        self.reports.retain(|_, (until, _)| *until > now);
        let mut total: BTreeMap<SharedName, u64> = BTreeMap::new();
        for (upstream, runs) in self.reports.values().flat_map(|(_, runs)| runs) {
            *total.entry(upstream.clone()).or_default() += runs;
        }
        total
    }
}
