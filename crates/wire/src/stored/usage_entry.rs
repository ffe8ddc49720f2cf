//! Requests by organisation in one window.

use pimentoslip_kernel::SharedName;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The sealed counts of all daemons.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SealedUsageEntry {
    /// Requests begun, by organisation.
    pub counts: BTreeMap<SharedName, u64>,
}

/// One batch of counts of one process. The same one may stand in several entries, and counts once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageBatchEntry {
    /// Daemon.
    pub daemon: SharedName,
    /// Start of its process in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Number of the batch in that process.
    pub number: u64,
    /// Requests begun, by organisation.
    pub counts: BTreeMap<SharedName, u64>,
}

/// Counts of several processes, as put on record together.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageBatchesEntry {
    /// Parts.
    #[serde(rename = "parts")]
    pub batches: Vec<UsageBatchEntry>,
}
