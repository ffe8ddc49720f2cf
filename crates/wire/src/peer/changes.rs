//! Changes in the platform's store, passed from the daemon that watches it to those that follow.

use serde::{Deserialize, Serialize};

/// Asks for changes below a prefix after a revision.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ChangesRequest {
    /// Prefix of the keys.
    pub prefix: String,
    /// Revision up to which the asker knows everything.
    pub revision: u64,
    /// Time in milliseconds for which the call may be kept waiting.
    pub wait_ms: u64,
}

/// The value of a written entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryBody {
    /// Value.
    #[serde(with = "serde_bytes")]
    pub value: Vec<u8>,
    /// Revision of its creation.
    pub created_revision: u64,
    /// Lease that it hangs on; 0 for none.
    pub lease: u64,
}

/// One change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeBody {
    /// Key.
    pub key: String,
    /// Revision of the change.
    pub revision: u64,
    /// What was written; none if the entry was removed.
    pub written: Option<EntryBody>,
}

/// What a watching daemon knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangesResponse {
    /// Changes in order.
    Changes {
        /// Changes.
        changes: Vec<ChangeBody>,
        /// Revision from which to go on.
        revision: u64,
    },
    /// The store has dropped that part of its history.
    #[serde(rename = "HistoryGone")]
    HistoryCompacted,
    /// The watching daemon does not reach the store.
    #[serde(rename = "StoreAway")]
    StoreUnreachable,
}
