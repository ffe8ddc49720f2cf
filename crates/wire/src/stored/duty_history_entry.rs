//! History of the duty's holders.

use pimentoslip_kernel::{DutyAcquisition, DutyHistory, SharedName};
use serde::{Deserialize, Serialize};

/// Acquisition of the duty by a daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct AcquisitionEntry {
    daemon: SharedName,
    /// Time of the acquisition by the daemon's wall clock, in milliseconds since the Unix epoch.
    #[serde(rename = "taken_unix_ms")]
    acquired_unix_ms: u64,
}

/// Latest acquisitions of the duty, newest last. Not attached to a lease, so that it outlives the holders' leases.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyHistoryEntry {
    #[serde(rename = "takers")]
    acquisitions: Vec<AcquisitionEntry>,
}

impl From<&DutyHistory> for DutyHistoryEntry {
    fn from(history: &DutyHistory) -> Self {
        let entry = |acquisition: &DutyAcquisition| AcquisitionEntry {
            daemon: acquisition.daemon.clone(),
            acquired_unix_ms: acquisition.acquired_unix_ms,
        };
        Self { acquisitions: history.acquisitions.iter().map(entry).collect() }
    }
}

impl From<DutyHistoryEntry> for DutyHistory {
    fn from(stored: DutyHistoryEntry) -> Self {
        let acquisition = |entry: AcquisitionEntry| DutyAcquisition {
            daemon: entry.daemon,
            acquired_unix_ms: entry.acquired_unix_ms,
        };
        Self { acquisitions: stored.acquisitions.into_iter().map(acquisition).collect() }
    }
}
