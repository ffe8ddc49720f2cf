//! Who held the duty.

use pimentoslip_kernel::{DutyAcquisition, DutyHistory, SharedName};
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct AcquisitionEntry {
    /// Daemon.
    daemon: SharedName,
    /// When it took the duty, in milliseconds since the Unix epoch.
    taken_unix_ms: u64,
}

/// Former holders, newest last; outlives their leases.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyHistoryEntry {
    takers: Vec<AcquisitionEntry>,
}

impl From<&DutyHistory> for DutyHistoryEntry {
    fn from(history: &DutyHistory) -> Self {
        let entry = |taker: &DutyAcquisition| AcquisitionEntry {
            daemon: taker.daemon.clone(),
            taken_unix_ms: taker.acquired_unix_ms,
        };
        Self { takers: history.acquisitions.iter().map(entry).collect() }
    }
}

impl From<DutyHistoryEntry> for DutyHistory {
    fn from(stored: DutyHistoryEntry) -> Self {
        let taker =
            |entry: AcquisitionEntry| DutyAcquisition { daemon: entry.daemon, acquired_unix_ms: entry.taken_unix_ms };
        Self { acquisitions: stored.takers.into_iter().map(taker).collect() }
    }
}
