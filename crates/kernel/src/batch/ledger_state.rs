//! State that a ledger exports: results to be stored, and unfinished work for the next owner.

use super::{ItemResult, SampleText};
use serde::{Deserialize, Serialize};

/// Results that are stored together at consecutive positions of the job's result list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResultChunk {
    /// Position of the first result in the list.
    pub first_position: usize,
    /// Results in the order of their positions.
    pub results: Vec<ItemResult>,
}

/// State of a job that is not in the store, handed over to the next owner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerState {
    /// Results in list order whose write to the store is not confirmed.
    pub unlisted: Vec<ItemResult>,
    /// Unfinished items with their partial texts.
    pub items: Vec<UnfinishedItem>,
    /// Number of checkpoints that are stored, including one whose write is not confirmed.
    #[serde(default)]
    pub checkpoints: usize,
}

/// Progress of an unfinished item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnfinishedItem {
    /// Index of the item in its batch job.
    #[serde(rename = "index")]
    pub item_index: usize,
    /// Events received so far.
    pub text: SampleText,
    /// Whether the text is complete and only the score is missing.
    #[serde(rename = "whole")]
    pub is_complete: bool,
    /// Number of failed runs.
    pub run_failures: u32,
    /// Number of failures of the scorer.
    pub score_failures: u32,
}
