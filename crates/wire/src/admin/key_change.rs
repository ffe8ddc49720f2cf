//! Messages of `POST /admin/v1/keys/create`, `POST /admin/v1/keys/withdraw` and `GET /admin/v1/keys`.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Request to create or to withdraw a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRequest {
    /// Id chosen by the operator's tool. A request with the id of an earlier change repeats that change.
    #[serde(rename = "change")]
    pub change_id: Arc<str>,
    /// Organisation that the key belongs to.
    pub organisation: Arc<str>,
    /// Id of the key; the part of the key that is not secret.
    #[serde(rename = "key")]
    pub key_id: Arc<str>,
    /// Hash of the key to be created; `None` to withdraw a key.
    #[serde(default)]
    #[serde(rename = "hash")]
    pub key_hash: Option<String>,
}

/// New key, printed once by the operator's tool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyCreateResponse {
    /// Organisation that the key belongs to.
    pub organisation: Arc<str>,
    /// Complete key, including its secret.
    pub key: String,
    /// Revision of the configuration that first contains the key.
    pub revision: u64,
}

/// Listed key without its secret.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyBody {
    /// Organisation that the key belongs to.
    pub organisation: Arc<str>,
    /// Id of the key; the part of the key that is not secret.
    #[serde(rename = "key")]
    pub key_id: Arc<str>,
    /// Whether the key was withdrawn.
    pub withdrawn: bool,
}

/// List of all keys of the site.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyListResponse {
    /// Keys, sorted by organisation and id.
    pub keys: Vec<KeyBody>,
}
