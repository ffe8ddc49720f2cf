//! Who held the duty.

use pimentoslip_kernel::{DutyAcquisition, DutyHistory, SharedName};
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct TakerEntry {
    /// Daemon.
    daemon: SharedName,
    /// When it took the duty, in milliseconds since the Unix epoch.
    taken_unix_ms: u64,
}

/// Former holders, newest last; outlives their leases.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyEntry {
    takers: Vec<TakerEntry>,
}

impl From<&DutyHistory> for DutyEntry {
    fn from(history: &DutyHistory) -> Self {
        let entry = |taker: &DutyAcquisition| TakerEntry {
            daemon: taker.daemon.clone(),
            taken_unix_ms: taker.acquired_unix_ms,
        };
        Self { takers: history.acquisitions.iter().map(entry).collect() }
    }
}

impl From<DutyEntry> for DutyHistory {
    fn from(stored: DutyEntry) -> Self {
        let taker = |entry: TakerEntry| DutyAcquisition { daemon: entry.daemon, acquired_unix_ms: entry.taken_unix_ms };
        Self { acquisitions: stored.takers.into_iter().map(taker).collect() }
    }
}
