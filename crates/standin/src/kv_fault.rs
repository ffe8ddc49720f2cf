//! Faults of the key-value stand-in.

use serde::{Deserialize, Serialize};

/// What goes wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct KvFault {
    /// Every call fails without effect.
    pub down: bool,
    /// Delay of each answer in milliseconds.
    pub slow_ms: u64,
    /// So many of the next writes take effect while their answers are lost.
    pub lose_answers: u32,
}
