//! Idempotency claims, asked of the owner of their shard.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// An answer kept for repeats.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: Arc<str>,
    /// Body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// Asks for a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// Organisation, service and idempotency key.
    pub key: Arc<str>,
    /// Number drawn by the asker for this attempt; the same number again is the same attempt.
    #[serde(rename = "grant")]
    pub grant_id: u64,
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Time within which the request will have ended, in milliseconds.
    pub within_ms: u64,
}

/// The owner's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimResponse {
    /// The claim is on record; the asker may run the request once.
    Granted,
    /// Another attempt may still be running.
    InProgress,
    /// The request ran; this is its answer.
    Replay(StoredResponse),
    /// The request may have run.
    Unknown,
    /// The key was used with a different request.
    Reused,
    /// The claim could not be put on record.
    Unavailable,
    /// The daemon asked does not own the shard.
    NotOwner,
}

/// How the request of a grant ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SettleState {
    /// It ran to this answer.
    Ran(StoredResponse),
    /// It may have run.
    Lost,
    /// It certainly did not run.
    NotRun,
}

/// Settles a grant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettleRequest {
    /// Organisation, service and idempotency key.
    pub key: Arc<str>,
    /// Grant.
    #[serde(rename = "grant")]
    pub grant_id: u64,
    /// Outcome.
    pub state: SettleState,
}
