//! `POST /admin/v1/keys/create`, `/withdraw` and `GET /admin/v1/keys`.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Creates or withdraws a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRequest {
    /// Chosen by the operator's tool; the same id again is the same change.
    #[serde(rename = "change")]
    pub change_id: Arc<str>,
    /// Organisation.
    pub organisation: Arc<str>,
    /// Id of the key.
    #[serde(rename = "key")]
    pub key_id: Arc<str>,
    /// Hash of a new key, absent when withdrawing.
    #[serde(default)]
    #[serde(rename = "hash")]
    pub key_hash: Option<String>,
}

/// A new key, shown once by the operator's tool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyCreateResponse {
    /// Organisation.
    pub organisation: Arc<str>,
    /// The whole key.
    pub key: String,
    /// Revision that holds it.
    pub revision: u64,
}

/// One key without its secret.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyBody {
    /// Organisation.
    pub organisation: Arc<str>,
    /// Id.
    #[serde(rename = "key")]
    pub key_id: Arc<str>,
    /// Whether it was withdrawn.
    pub withdrawn: bool,
}

/// All keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyListResponse {
    /// Keys sorted by organisation and id.
    pub keys: Vec<KeyBody>,
}
