//! Where the answer to a read of results comes from.

/// Source of the results, or of their absence, that a read returns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadSource {
    /// Memory of this process, which owns or owned the job.
    OwnMemory,
    /// Memory of the owner, a peer.
    OwnerPeer,
    /// A read of the store, or a watch that followed it.
    Store,
}

impl ReadSource {
    /// Name in log lines and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::OwnMemory => "own_memory",
            Self::OwnerPeer => "owner_peer",
            Self::Store => "store",
        }
    }
}
