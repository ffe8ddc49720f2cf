//! Heartbeat and news in one: a daemon asks a peer for all that it lacks.

use pimentoslip_kernel::{MemberEntry, MemberState, RecordEntry, SuspectMark, TimePoint};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A daemon as told to its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberBody {
    /// Daemon name.
    pub name: Arc<str>,
    /// Grows with each start of the process.
    pub incarnation: u64,
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// Address of the control listener.
    #[serde(rename = "control")]
    pub control_address: Arc<str>,
    /// Standing, as the sender sees it.
    pub state: MemberState,
}

impl From<&MemberEntry> for MemberBody {
    fn from(entry: &MemberEntry) -> Self {
        Self {
            name: entry.name.clone(),
            incarnation: entry.incarnation,
            failure_domain: entry.failure_domain.clone(),
            control_address: entry.control.clone(),
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
            control: body.control_address,
            state: body.state,
            heard_at: TimePoint::default(),
        }
    }
}

/// The asking daemon's side.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExchangeRequest {
    /// Who asks.
    #[serde(rename = "from")]
    pub sender: MemberBody,
    /// Revision up to which the asker holds everything.
    #[serde(rename = "complete")]
    pub complete_revision: u64,
    /// Records that the asker thinks the peer lacks.
    pub records: Vec<RecordEntry>,
    /// Requests under suspicion.
    pub suspects: Vec<SuspectMark>,
    /// Fingerprint of the processes that the asker knows, itself included. The answer omits members when the
    /// peer knows the same ones.
    pub members_digest: u64,
}

/// The peer's side.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExchangeResponse {
    /// Who answers.
    #[serde(rename = "from")]
    pub sender: MemberBody,
    /// Revision up to which the peer holds everything.
    #[serde(rename = "complete")]
    pub complete_revision: u64,
    /// Records newer than the asker's revision.
    pub records: Vec<RecordEntry>,
    /// Age of the peer's knowledge in milliseconds.
    pub age_ms: Option<u64>,
    /// Requests under suspicion.
    pub suspects: Vec<SuspectMark>,
    /// Members that the peer knows, when the digests differ.
    pub members: Vec<MemberBody>,
}
