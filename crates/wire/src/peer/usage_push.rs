//! Usage counts for the daemon that stores them for all daemons of a region.

use crate::stored::UsageBatchEntry;
use serde::{Deserialize, Serialize};

/// Batch of usage counts. The response is sent once the batch is stored.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct UsagePush {
    /// Number of the usage window since the Unix epoch.
    pub window: u64,
    /// Counts of the sender.
    #[serde(rename = "part")]
    pub batch: UsageBatchEntry,
}
