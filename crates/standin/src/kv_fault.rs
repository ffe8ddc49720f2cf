//! Faults that the key-value stand-in can simulate.

use serde::{Deserialize, Serialize};

/// Faults to simulate, set by `PUT /standin/fault`. The default simulates none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct KvFault {
    /// Fails every call without effect, with status 503.
    pub down: bool,
    /// Delay before each call is processed, in milliseconds.
    pub slow_ms: u64,
    /// Number of upcoming writes and lease renewals that take effect but are answered with status 504.
    pub lose_answers: u32,
}
