//! Requests for what began streams, and their responses.

use pimentoslip_kernel::{BegunStream, SharedName};
use serde::{Deserialize, Serialize};

/// Request for what began streams, sent to daemons that may have begun them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamsRequest {
    /// Keys of the streams.
    pub keys: Vec<u64>,
}

/// What began a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamBody {
    /// Key of the stream.
    pub key: u64,
    /// Service of the upstream that began it.
    pub service: SharedName,
    /// Version of that upstream's software.
    pub software: SharedName,
}

impl From<(u64, BegunStream)> for StreamBody {
    fn from((key, stream): (u64, BegunStream)) -> Self {
        Self { key, service: stream.service, software: stream.software }
    }
}

impl From<StreamBody> for (u64, BegunStream) {
    fn from(body: StreamBody) -> Self {
        (body.key, BegunStream { service: body.service, software: body.software })
    }
}

/// Response to a [`StreamsRequest`]: the streams that the daemon knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamsResponse {
    /// The known ones of the requested streams.
    pub streams: Vec<StreamBody>,
}
