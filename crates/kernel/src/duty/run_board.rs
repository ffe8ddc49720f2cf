//! What other daemons run at the upstreams.

use crate::{SharedName, TimePoint};
use std::collections::BTreeMap;

/// A daemon's report counts this long, in milliseconds; it reports several times a second while it runs anything.
const REPORT_LIFE_MS: u64 = 1_000;

/// What one daemon has to do.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DaemonWork {
    /// Runs at each upstream.
    pub runs: BTreeMap<SharedName, u64>,
    /// Unfinished items by service.
    pub unfinished: BTreeMap<SharedName, u64>,
}

/// Work by daemon.
#[derive(Debug, Default)]
pub struct RunBoard {
    reports: BTreeMap<SharedName, (TimePoint, DaemonWork)>,
}

impl RunBoard {
    /// `daemon` has told what it has to do.
    pub fn reported(&mut self, daemon: SharedName, work: DaemonWork, now: TimePoint) {
        self.reports.insert(daemon, (now.plus_ms(REPORT_LIFE_MS), work));
    }

    /// Work of all daemons together.
    pub fn total(&mut self, now: TimePoint) -> DaemonWork {
        self.reports.retain(|_, (until, _)| *until > now);
        let mut total = DaemonWork::default();
        for (_, work) in self.reports.values() {
            add(&mut total.runs, &work.runs);
            add(&mut total.unfinished, &work.unfinished);
        }
        total
    }
}

fn add(total: &mut BTreeMap<SharedName, u64>, part: &BTreeMap<SharedName, u64>) {
    for (name, count) in part {
        *total.entry(name.clone()).or_default() += count;
    }
}
