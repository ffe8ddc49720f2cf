//! Faults that the engine stand-in can simulate.

use serde::{Deserialize, Serialize};

/// Faults to simulate, set by `PUT /standin/fault`. The default simulates none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFault {
    /// Omits the weight version from streamed chunks.
    pub omit_version: bool,
    /// Fails orders to load weights with status 500.
    pub fail_swap: bool,
    /// Increments the weight version during each answer, just before the chunk with this number (from 1) is sent; that
    /// chunk already has the new version.
    pub swap_after_chunks: Option<u64>,
    /// Number of upcoming answers that are sent with the id of another request.
    #[serde(rename = "cross")]
    pub wrong_request_ids: u32,
    /// Number of upcoming streams that end after their first chunk, without the other chunks and the terminal marker.
    pub cut_streams: u32,
    /// Reports that the engine is leaving, and refuses new requests.
    pub leaving: bool,
    /// Exits the process when a prompt contains this text.
    pub crash_on: Option<String>,
}
