//! Results of finished items.

use serde::{Deserialize, Serialize};

/// Outcome of a finished item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemState {
    /// The text is complete, and scored if a score was requested.
    Completed,
    /// The item was terminated without a complete text.
    Terminated,
}

/// Result of a finished item, as stored and as listed to the submitter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemResult {
    /// Index of the item in its batch job.
    #[serde(rename = "index")]
    pub item_index: usize,
    /// Outcome of the item.
    pub state: ItemState,
    /// Data of all events in order, separated by line feeds; empty if terminated.
    pub text: String,
    /// Versions of the weights that generated the text, ascending.
    pub versions: Vec<u64>,
    /// Signature of the scorer, if the item was scored.
    pub score: Option<String>,
}

impl ItemResult {
    /// Approximate size in bytes of the stored result.
    #[must_use]
    pub fn stored_bytes(&self) -> usize {
        // Estimate for everything but the text.
        const METADATA_BYTES: usize = 200;
        self.text.len() + METADATA_BYTES
    }
}
