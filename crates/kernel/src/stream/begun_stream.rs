//! What began a stream.

use crate::SharedName;

/// Upstreams that can continue a stream.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BegunStream {
    /// Service of the upstream that began it.
    pub service: SharedName,
    /// Version of that upstream's software.
    pub software: SharedName,
}
