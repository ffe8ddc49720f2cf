//! Paths of calls: direct, or relayed through another daemon.

use crate::SharedName;

/// A path to a service outside this daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServicePath {
    /// A call to the service itself.
    Direct,
    /// A call relayed through the peer of this name.
    Relay(SharedName),
}

impl std::fmt::Display for ServicePath {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Direct => formatter.write_str("direct"),
            Self::Relay(peer) => write!(formatter, "through:{peer}"),
        }
    }
}
