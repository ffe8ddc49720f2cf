//! Messages of `POST /v3/watch`, whose response has one JSON line for each batch of changes.

use super::{KeyValue, ResponseHeader};
use serde::{Deserialize, Serialize};

/// Range of keys and revisions to watch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchCreate {
    /// First key of the range.
    #[serde(with = "super::base64_bytes")]
    pub key: Vec<u8>,
    /// End of the range, exclusive.
    #[serde(with = "super::base64_bytes", default)]
    pub range_end: Vec<u8>,
    /// First revision whose changes are sent.
    #[serde(with = "super::int_string", default)]
    pub start_revision: u64,
}

/// Request to watch a range of keys.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchRequest {
    /// Range to watch.
    pub create_request: WatchCreate,
}

/// Change of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchEvent {
    /// Entry after the change.
    pub kv: KeyValue,
}

/// Batch of changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchResult {
    /// Header with the revision of the batch.
    pub header: ResponseHeader,
    /// Changes in the order of their revisions.
    #[serde(default)]
    pub events: Vec<WatchEvent>,
}

/// Line of the response.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchResponse {
    /// Batch of changes.
    pub result: WatchResult,
}
