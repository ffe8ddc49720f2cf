//! Requests for the origins of streams, and their responses.

use pimentoslip_kernel::{SharedName, StreamOrigin};
use serde::{Deserialize, Serialize};

/// Request for the origins of streams, sent to daemons that may have started them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamsRequest {
    /// Keys of the streams.
    pub keys: Vec<u64>,
}

/// Origin of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamBody {
    /// Key of the stream.
    pub key: u64,
    /// Service of the upstream that started it.
    pub service: SharedName,
    /// Version of that upstream's software.
    pub software: SharedName,
}

impl From<(u64, StreamOrigin)> for StreamBody {
    fn from((key, stream): (u64, StreamOrigin)) -> Self {
        Self { key, service: stream.service, software: stream.software }
    }
}

impl From<StreamBody> for (u64, StreamOrigin) {
    fn from(body: StreamBody) -> Self {
        (body.key, StreamOrigin { service: body.service, software: body.software })
    }
}

/// Response to a [`StreamsRequest`]: the streams that the daemon knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamsResponse {
    /// The known ones of the requested streams.
    pub streams: Vec<StreamBody>,
}
