//! Requests to connect to an upstream, and their responses.

use pimentoslip_kernel::{ConnectOutcome, SharedName};
use serde::{Deserialize, Serialize};

/// Request to try a connection to an upstream, sent by a daemon that cannot tell whether the upstream or its own path to it
/// has failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReachRequest {
    /// Id of the upstream.
    pub upstream: SharedName,
    /// Start of the upstream's process, in milliseconds since the Unix epoch.
    pub started: u64,
    /// Address of the upstream, which is tried if no process is listed under the id or at the address any more.
    pub address: SharedName,
}

/// Response to a [`ReachRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReachResponse {
    /// The connection was opened.
    Accepted,
    /// The connection was refused.
    Refused,
    /// Nothing was received in time.
    Silent,
    /// The daemon lists another process under the id or at the address, or reaches no other upstream either.
    Unknown,
}

impl From<ConnectOutcome> for ReachResponse {
    fn from(outcome: ConnectOutcome) -> Self {
        match outcome {
            ConnectOutcome::Accepted => Self::Accepted,
            ConnectOutcome::Refused => Self::Refused,
            ConnectOutcome::Silent => Self::Silent,
        }
    }
}

impl ReachResponse {
    /// The result of the attempt; `None` if none was made.
    #[must_use]
    pub fn outcome(self) -> Option<ConnectOutcome> {
        match self {
            Self::Accepted => Some(ConnectOutcome::Accepted),
            Self::Refused => Some(ConnectOutcome::Refused),
            Self::Silent => Some(ConnectOutcome::Silent),
            Self::Unknown => None,
        }
    }
}
