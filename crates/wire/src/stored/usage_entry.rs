//! Stored numbers of requests by organisation in a usage window.

use pimentoslip_kernel::SharedName;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Sums over all daemons in a sealed usage window.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SealedUsageEntry {
    /// Number of requests started, by organisation.
    pub counts: BTreeMap<SharedName, u64>,
}

/// Batch of counts of one process. A batch may be stored in several entries but is counted once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageBatchEntry {
    /// Name of the daemon.
    pub daemon: SharedName,
    /// Start of the daemon's process in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Sequence number of the batch within its process.
    pub number: u64,
    /// Number of requests started, by organisation.
    pub counts: BTreeMap<SharedName, u64>,
}

/// Batches of counts of several processes that were stored in one write.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageBatchesEntry {
    /// Batches of counts.
    #[serde(rename = "parts")]
    pub batches: Vec<UsageBatchEntry>,
}
