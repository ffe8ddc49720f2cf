//! Reads of a batch job at its owner, which saves calls to the store.

use crate::stored::ResultEntry;
use pimentoslip_kernel::SharedName;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Asks for listed results.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ResultsRequest {
    /// Job.
    pub job: SharedName,
    /// Position of the first result asked for.
    pub position: usize,
    /// Largest texts together, in bytes, unless the first alone is larger.
    pub bytes_max: usize,
    /// Time in milliseconds for which the call may be kept waiting until there is a result.
    pub wait_ms: u64,
}

/// What the owner has.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ResultsResponse {
    /// Results from the position on. Empty only if there are none on record.
    Listed(Vec<Arc<ResultEntry>>),
    /// The asked daemon is not sure: the store tells.
    #[serde(rename = "Unsure")]
    Unavailable,
}

/// Asks for the body of an item.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ItemRequest {
    /// Job.
    pub job: SharedName,
    /// Item.
    pub item: SharedName,
}

/// What the owner has.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ItemResponse {
    /// The body.
    Body(#[serde(with = "serde_bytes")] Vec<u8>),
    /// The job has no such item.
    Unknown,
    /// The asked daemon does not have the job's items.
    #[serde(rename = "Unsure")]
    Unavailable,
}
