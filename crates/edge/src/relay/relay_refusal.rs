//! Reasons why a daemon does not relay a request of a peer.

use super::AttemptFailure;

/// Why a request of a peer was not sent to its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayRefusal {
    /// The sender is not a present daemon, or the call was received before.
    Forbidden,
    /// This daemon is about to stop.
    Stopping,
    /// All direct paths of this daemon are lost.
    AllPathsLost,
    /// The direct path of this daemon to the upstream is lost.
    PathLost,
    /// The upstream is not listed as the named process, or is leaving.
    Unlisted,
    /// The failure domain of the upstream is evacuated.
    Evacuated,
    /// The memory for bodies is used up.
    MemoryUsedUp,
}

impl RelayRefusal {
    const ALL: [Self; 7] = [
        Self::Forbidden,
        Self::Stopping,
        Self::AllPathsLost,
        Self::PathLost,
        Self::Unlisted,
        Self::Evacuated,
        Self::MemoryUsedUp,
    ];

    /// Name of the reason in metrics and logs, and between daemons.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Forbidden => "forbidden",
            Self::Stopping => "stopping",
            Self::AllPathsLost => "all_paths_lost",
            Self::PathLost => "path_lost",
            Self::Unlisted => "unlisted",
            // Also the failure of an attempt that daemons of earlier releases know: another upstream gets the request then.
            Self::Evacuated => AttemptFailure::Departed.as_str(),
            Self::MemoryUsedUp => "memory_used_up",
        }
    }

    /// The reason with the name `name`.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|refusal| refusal.as_str() == name)
    }

    /// Whether the peer may relay requests to other upstreams.
    #[must_use]
    pub fn concerns_upstream(self) -> bool {
        matches!(self, Self::PathLost | Self::Unlisted)
    }
}
