//! `POST /v3/watch`: one JSON line for each batch of changes.

use super::{KeyValue, ResponseHeader};
use serde::{Deserialize, Serialize};

/// What to watch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchCreate {
    /// First key.
    #[serde(with = "super::base64_bytes")]
    pub key: Vec<u8>,
    /// Key after the last one.
    #[serde(with = "super::base64_bytes", default)]
    pub range_end: Vec<u8>,
    /// First revision of interest.
    #[serde(with = "super::int_string", default)]
    pub start_revision: u64,
}

/// Question.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchRequest {
    /// What to watch.
    pub create_request: WatchCreate,
}

/// One change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchEvent {
    /// The entry as written.
    pub kv: KeyValue,
}

/// One batch of changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchResult {
    /// Revision of the batch.
    pub header: ResponseHeader,
    /// Changes.
    #[serde(default)]
    pub events: Vec<WatchEvent>,
}

/// One line of the answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchResponse {
    /// Batch.
    pub result: WatchResult,
}
