//! `POST /v1/weights`: a trainer publishes a weight version.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The publication.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PublishRequest {
    /// Service whose engines load the weights.
    pub service: Arc<str>,
    /// Version; each is higher than the one before.
    pub version: u64,
}

/// The version is on record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishResponse {
    /// Newest published version.
    pub version: u64,
}
