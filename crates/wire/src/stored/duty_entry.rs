//! Who held the duty.

use pimentoslip_kernel::{DutyHistory, DutyTaker, SharedName};
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
        let entry = |taker: &DutyTaker| TakerEntry { daemon: taker.daemon.clone(), taken_unix_ms: taker.taken_unix_ms };
        Self { takers: history.takers.iter().map(entry).collect() }
    }
}

impl From<DutyEntry> for DutyHistory {
    fn from(stored: DutyEntry) -> Self {
        let taker = |entry: TakerEntry| DutyTaker { daemon: entry.daemon, taken_unix_ms: entry.taken_unix_ms };
        Self { takers: stored.takers.into_iter().map(taker).collect() }
    }
}
