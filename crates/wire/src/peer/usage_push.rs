//! Usage counts on their way to the daemon that puts them on record for a region.

use crate::stored::UsageBatchEntry;
use serde::{Deserialize, Serialize};

/// Answered once the counts are on record.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct UsagePush {
    /// Window.
    pub window: u64,
    /// Counts of the sender.
    #[serde(rename = "part")]
    pub batch: UsageBatchEntry,
}
