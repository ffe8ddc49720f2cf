//! Origin of a stream.

use crate::SharedName;

/// Service and software version that started a stream; only upstreams with both can resume it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StreamOrigin {
    /// Service of the upstream that started it.
    pub service: SharedName,
    /// Version of that upstream's software.
    pub software: SharedName,
}
