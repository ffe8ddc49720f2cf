//! Stored results of batch jobs. Results at consecutive positions share an entry.

use pimentoslip_kernel::{ItemResult, ItemState, ResultChunk, SharedName};
use serde::{Deserialize, Serialize};

/// Stored result of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultEntry {
    /// Id of the item.
    #[serde(rename = "id")]
    pub item_id: SharedName,
    /// Index of the item in its batch job.
    #[serde(rename = "index")]
    pub item_index: usize,
    /// Whether the text is complete; otherwise the item was terminated.
    pub completed: bool,
    /// Generated text.
    pub text: String,
    /// Versions of the weights that generated the text.
    pub versions: Vec<u64>,
    /// Signature of the scorer; `None` if the text was not scored.
    pub score: Option<String>,
}

/// Stored results at consecutive positions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultsEntry {
    /// Position of the first result.
    #[serde(rename = "first")]
    pub first_position: usize,
    /// Results in list order.
    pub results: Vec<ResultEntry>,
}

impl ResultsEntry {
    /// Creates the entry for `chunk`; `item_id` returns the id of the item with the given index.
    #[must_use]
    pub fn from_chunk(chunk: &ResultChunk, item_id: impl Fn(usize) -> SharedName) -> Self {
        let entry = |result: &ItemResult| ResultEntry {
            item_id: item_id(result.item_index),
            item_index: result.item_index,
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
