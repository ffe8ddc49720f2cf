//! Claims of idempotency keys, which are requested from the daemon that owns the key's shard.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Response that is stored for repeated requests with the same idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: Arc<str>,
    /// Body of the response.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// Request to claim an idempotency key for one run of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// Organisation, service and idempotency key.
    pub key: Arc<str>,
    /// Random number that identifies this attempt. A claim request with the same number belongs to the same attempt.
    #[serde(rename = "grant")]
    pub grant_id: u64,
    /// Fingerprint of the caller's request.
    pub fingerprint: u64,
    /// Time in milliseconds within which the caller's request will have ended.
    pub within_ms: u64,
}

/// Response of the shard's owner to a claim request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimResponse {
    /// The claim is stored; the requester may run the request once.
    Granted,
    /// Another attempt may still be running.
    InProgress,
    /// The request ran earlier; this is its response.
    Replay(StoredResponse),
    /// The request may have run.
    Unknown,
    /// The key was used earlier with a different request.
    Reused,
    /// The claim could not be stored.
    Unavailable,
    /// This daemon does not own the shard.
    NotOwner,
}

/// Outcome of a request that ran under a granted claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SettleState {
    /// The request ran and had this response.
    Ran(StoredResponse),
    /// The request may have run.
    Lost,
    /// The request did not run.
    NotRun,
}

/// Report of the outcome of a granted claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettleRequest {
    /// Organisation, service and idempotency key.
    pub key: Arc<str>,
    /// Number from the claim request.
    #[serde(rename = "grant")]
    pub grant_id: u64,
    /// Outcome of the request.
    pub state: SettleState,
}
