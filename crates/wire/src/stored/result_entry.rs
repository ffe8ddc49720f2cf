//! Results that take positions together.

use pimentoslip_kernel::{ItemResult, ItemState, ResultChunk, SharedName};
use serde::{Deserialize, Serialize};

/// One stored result.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultEntry {
    /// Item.
    #[serde(rename = "id")]
    pub item_id: SharedName,
    /// Index of the item in its batch job.
    #[serde(rename = "index")]
    pub item_index: usize,
    /// Whether its text is whole.
    pub completed: bool,
    /// Text.
    pub text: String,
    /// Versions that generated it.
    pub versions: Vec<u64>,
    /// The scorer's signature.
    pub score: Option<String>,
}

/// Stored results in order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultsEntry {
    /// Position of the first one.
    #[serde(rename = "first")]
    pub first_position: usize,
    /// Results.
    pub results: Vec<ResultEntry>,
}

impl ResultsEntry {
    /// The stored form of `chunk`; `id` names an item by its index.
    #[must_use]
    pub fn from_chunk(chunk: &ResultChunk, id: impl Fn(usize) -> SharedName) -> Self {
        let entry = |result: &ItemResult| ResultEntry {
            item_id: id(result.index),
            item_index: result.index,
            completed: result.state == ItemState::Completed,
            text: result.text.clone(),
            versions: result.versions.clone(),
            score: result.score.clone(),
        };
        Self { first_position: chunk.first_position, results: chunk.results.iter().map(entry).collect() }
    }

    /// Position after the last result.
    #[must_use]
    pub fn next_position(&self) -> usize {
        self.first_position + self.results.len()
    }
}
