//! Faults of the plain service's stand-in.

use serde::{Deserialize, Serialize};

/// What goes wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlainFault {
    /// Delay between running a request and answering it, in milliseconds.
    pub answer_after_ms: u64,
    /// So many of the next requests are refused before they run.
    #[serde(rename = "refuse")]
    pub refuse_requests: u32,
    /// So many of the next answers carry another request's id.
    #[serde(rename = "cross")]
    pub wrong_request_ids: u32,
}
