//! Transfer of a batch job from the daemon that accepted it, or that ran it before, to the daemon that runs it.

use crate::stored::JobEntry;
use pimentoslip_kernel::{LedgerState, SharedName};
use serde::{Deserialize, Serialize};

/// Batch job for its owner. Saves the owner reads of the store, which contains the job too.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JobPush {
    /// Id of the job.
    pub job: SharedName,
    /// Stored entry of the job.
    pub entry: JobEntry,
    /// Incarnation of the owner for which the push is intended.
    #[serde(rename = "incarnation")]
    pub owner_incarnation: u64,
    /// Store revision of the ownership entry.
    #[serde(rename = "revision")]
    pub ownership_revision: u64,
    /// State that the previous owner has beyond the stored entries; `None` if the job has not run before.
    #[serde(rename = "state")]
    pub ledger_state: Option<LedgerState>,
    /// Body of the submission.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}
