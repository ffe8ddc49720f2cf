//! A batch job on its way from the daemon that accepted it to the one that runs it.

use crate::stored::JobEntry;
use pimentoslip_kernel::{LedgerState, SharedName};
use serde::{Deserialize, Serialize};

/// Saves the owner a read of the store; the store has all of it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JobPush {
    /// Job.
    pub job: SharedName,
    /// Its record.
    pub entry: JobEntry,
    /// Incarnation of the owner that is meant.
    #[serde(rename = "incarnation")]
    pub owner_incarnation: u64,
    /// Revision of the ownership record.
    #[serde(rename = "revision")]
    pub ownership_revision: u64,
    /// What a former owner knows beyond the record, if the job has run before.
    #[serde(rename = "state")]
    pub ledger_state: Option<LedgerState>,
    /// The submission's body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}
