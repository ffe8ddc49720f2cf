//! What became of an item.

use serde::{Deserialize, Serialize};

/// Whether an item's text is whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemState {
    /// The text is whole and scored.
    Completed,
    /// The item was given up.
    Terminated,
}

/// A finished item, as listed and stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemResult {
    /// Index of the item in its batch job.
    pub index: usize,
    /// Whether its text is whole.
    pub state: ItemState,
    /// Data of all events in order, separated by line feeds; empty if terminated.
    pub text: String,
    /// Versions of the weights that generated the text, ascending.
    pub versions: Vec<u64>,
    /// The scorer's signature.
    pub score: Option<String>,
}

impl ItemResult {
    /// Bytes that the result takes in storage, roughly.
    #[must_use]
    pub fn stored_bytes(&self) -> usize {
        const FIELDS_BYTES: usize = 200;
        self.text.len() + FIELDS_BYTES
    }
}
