//! Daemons that relay calls of others.

use crate::SharedName;

/// A daemon that may relay a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayPeer {
    /// Name of the daemon.
    pub name: SharedName,
    /// Failure domain of its VM.
    pub failure_domain: SharedName,
}

/// Why a peer did not relay a call, which did not run then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayFailure {
    /// The peer did not reach the upstream, or does not know its process.
    Upstream,
    /// The peer did not respond, is about to stop, or has lost all its direct paths.
    Peer,
}
