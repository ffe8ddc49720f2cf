//! Exchange between two daemons: a heartbeat that also transfers the configuration records, crash marks and members that
//! the other daemon lacks.

use super::CrashMarkBody;
use pimentoslip_kernel::{MemberEntry, MemberState, RecordEntry, TimePoint};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Daemon as described to its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberBody {
    /// Name of the daemon.
    pub name: Arc<str>,
    /// Incarnation of the daemon's process; increases with each start.
    pub incarnation: u64,
    /// Failure domain of the daemon's VM.
    pub failure_domain: Arc<str>,
    /// Address of the daemon's control listener, for calls from peers.
    #[serde(rename = "control")]
    pub control_address: Arc<str>,
    /// Liveness as the sender sees it.
    pub state: MemberState,
}

impl From<&MemberEntry> for MemberBody {
    fn from(entry: &MemberEntry) -> Self {
        Self {
            name: entry.name.clone(),
            incarnation: entry.incarnation,
            failure_domain: entry.failure_domain.clone(),
            control_address: entry.control_address.clone(),
            state: entry.state,
        }
    }
}

impl From<MemberBody> for MemberEntry {
    fn from(body: MemberBody) -> Self {
        Self {
            name: body.name,
            incarnation: body.incarnation,
            failure_domain: body.failure_domain,
            control_address: body.control_address,
            state: body.state,
            heard_at: TimePoint::default(),
        }
    }
}

/// State of the requesting daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExchangeRequest {
    /// The requesting daemon.
    #[serde(rename = "from")]
    pub sender: MemberBody,
    /// Revision up to which the requesting daemon has all configuration records.
    #[serde(rename = "complete")]
    pub complete_revision: u64,
    /// Records that the peer probably lacks.
    pub records: Vec<RecordEntry>,
    /// Marks that the peer probably lacks, of requests that were in flight when an upstream crashed.
    #[serde(default)]
    pub crashes: Vec<CrashMarkBody>,
    /// Digest of all such marks that the requesting daemon knows, with those in the request. The response omits marks if
    /// the peer knows the same ones.
    #[serde(default)]
    pub crashes_digest: u64,
    /// Digest of the processes that the requesting daemon has seen, including itself. The response omits members if the
    /// peer has seen the same ones.
    pub members_digest: u64,
}

/// State of the responding daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExchangeResponse {
    /// The responding daemon.
    #[serde(rename = "from")]
    pub sender: MemberBody,
    /// Revision up to which the responding daemon has all configuration records.
    #[serde(rename = "complete")]
    pub complete_revision: u64,
    /// Records newer than the revision in the request.
    pub records: Vec<RecordEntry>,
    /// Time in milliseconds since the responding daemon was last certain to have every accepted change; `None` if it
    /// never was.
    pub age_ms: Option<u64>,
    /// Marks of requests that were in flight when an upstream crashed; empty if the digests are equal.
    #[serde(default)]
    pub crashes: Vec<CrashMarkBody>,
    /// Members that the responding daemon has seen; empty if the digests are equal.
    pub members: Vec<MemberBody>,
}
