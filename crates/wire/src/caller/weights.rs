//! Messages of `POST /v1/weights`, by which a trainer publishes a weight version.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Request to publish a weight version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PublishRequest {
    /// Service whose engines load the weights.
    pub service: Arc<str>,
    /// Weight version, higher than all published before.
    pub version: u64,
}

/// Response to a published version, sent once it is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishResponse {
    /// Newest published version.
    pub version: u64,
}
