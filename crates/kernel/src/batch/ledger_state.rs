//! What leaves a ledger: results for the record, and everything else for the next owner.

use super::{ItemResult, SampleText};
use serde::{Deserialize, Serialize};

/// Results that take positions together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResultChunk {
    /// Position of the first result.
    pub first_position: usize,
    /// Results in order.
    pub results: Vec<ItemResult>,
}

/// What an owner knows beyond the record, for the next owner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerState {
    /// Finished items that may not be listed yet, in order.
    pub unlisted: Vec<ItemResult>,
    /// Texts of unfinished items.
    pub items: Vec<UnfinishedItem>,
    /// Checkpoints that are on record or may be.
    #[serde(default)]
    pub checkpoints: usize,
}

/// An unfinished item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnfinishedItem {
    /// Index of the item.
    pub index: usize,
    /// Events so far.
    pub text: SampleText,
    /// Whether the text is whole and only the score is missing.
    #[serde(rename = "whole")]
    pub is_complete: bool,
    /// Failed runs.
    pub run_failures: u32,
    /// Failures of the scorer.
    pub score_failures: u32,
}
