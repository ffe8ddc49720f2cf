//! Faults that the plain service stand-in can simulate.

use serde::{Deserialize, Serialize};

/// Faults to simulate, set by `PUT /standin/fault`. The default simulates none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlainFault {
    /// Delay between running a request and sending its answer, in milliseconds.
    pub answer_after_ms: u64,
    /// Number of upcoming requests that are refused without being run.
    #[serde(rename = "refuse")]
    pub refuse_requests: u32,
    /// Number of upcoming answers that are sent with the id of another request.
    #[serde(rename = "cross")]
    pub wrong_request_ids: u32,
}
