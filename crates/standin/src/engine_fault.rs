//! Faults of the engine stand-in.

use serde::{Deserialize, Serialize};

/// What goes wrong.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFault {
    /// Chunks carry no weight version.
    pub omit_version: bool,
    /// Orders to load weights fail.
    pub fail_swap: bool,
    /// The version rises by one after so many chunks of each answer.
    pub swap_after_chunks: Option<u64>,
    /// So many of the next answers carry another request's id.
    #[serde(rename = "cross")]
    pub wrong_request_ids: u32,
    /// So many of the next streams end before their terminal marker.
    pub cut_streams: u32,
    /// The load report says that the engine leaves, and new work is refused.
    pub leaving: bool,
    /// The process exits when a prompt contains this text.
    pub crash_on: Option<String>,
}
