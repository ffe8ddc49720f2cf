//! Numbers of requests that each daemon runs at the upstreams.

use crate::{SharedName, TimePoint};
use std::collections::BTreeMap;

/// Time for which a report is valid. Daemons with running requests report several times a second.
const REPORT_TTL_MS: u64 = 1_000;

/// Latest report of each daemon.
#[derive(Debug, Default)]
pub struct RunReports {
    /// Expiry of each report and the number of runs by upstream.
    reports: BTreeMap<SharedName, (TimePoint, BTreeMap<SharedName, u64>)>,
}

impl RunReports {
    /// Handles a report of `daemon`, which replaces its previous one. `runs` holds its number of runs by upstream.
    pub fn runs_reported(&mut self, daemon: SharedName, runs: BTreeMap<SharedName, u64>, now: TimePoint) {
        self.reports.insert(daemon, (now.plus_ms(REPORT_TTL_MS), runs));
    }

    /// Total number of runs by upstream over all valid reports.
    pub fn runs_by_upstream(&mut self, now: TimePoint) -> BTreeMap<SharedName, u64> {
        self.reports.retain(|_, (expires_at, _)| *expires_at > now);
        let mut total: BTreeMap<SharedName, u64> = BTreeMap::new();
        for (upstream, runs) in self.reports.values().flat_map(|(_, runs)| runs) {
            let total_runs = total.entry(upstream.clone()).or_default();
            *total_runs = total_runs.saturating_add(*runs);
        }
        total
    }
}
