//! Requests to read a batch job from its owner, which save reads of the store.

use crate::stored::ResultEntry;
use pimentoslip_kernel::{ReadAnswer, SharedName};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Request for listed results.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ResultsRequest {
    /// Id of the job.
    pub job: SharedName,
    /// Position of the first requested result.
    pub position: usize,
    /// Maximum size of all texts in the response together, in bytes; exceeded only if the first result alone is larger.
    pub bytes_max: usize,
    /// Longest time in milliseconds to wait for the first result.
    pub wait_ms: u64,
    /// Whether the caller knows [`ResultsResponse::Absent`]; false from daemons of earlier releases.
    #[serde(default)]
    pub knows_absent: bool,
}

/// Results of a job that its owner holds in memory.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ResultsResponse {
    /// Results from the requested position. Daemons of earlier releases send an empty list without a proof that none are stored.
    Listed(Vec<Arc<ResultEntry>>),
    /// The daemon does not own the job, has not cached these results or cannot be sure; they must be read from the store.
    #[serde(rename = "Unsure")]
    Unavailable,
    /// The daemon owns the job, and no result is stored at the requested position.
    Absent,
}

impl ResultsResponse {
    /// The response with the owner's `answer`, which it could not give if that is `None`. Callers that do not know `Absent` get an
    /// empty list in its place.
    #[must_use]
    pub fn new(answer: Option<ReadAnswer<Arc<ResultEntry>>>, knows_absent: bool) -> Self {
        match answer {
            Some(answer) if answer.absence().is_some() && knows_absent => Self::Absent,
            Some(answer) => Self::Listed(answer.into_results()),
            None => Self::Unavailable,
        }
    }
}

/// Request for the body of an item.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ItemRequest {
    /// Id of the job.
    pub job: SharedName,
    /// Id of the item.
    pub item: SharedName,
}

/// Body of an item that the owner holds in memory.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ItemResponse {
    /// Body of the item.
    Body(#[serde(with = "serde_bytes")] Vec<u8>),
    /// The job has no such item.
    Unknown,
    /// The daemon does not hold the items of the job; they must be read from the store.
    #[serde(rename = "Unsure")]
    Unavailable,
}
