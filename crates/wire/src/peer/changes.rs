//! Changes of entries in the platform's store, which a daemon that watches the store sends to daemons that do not.

use pimentoslip_kernel::{LapseWindow, TimePoint};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Request for the changes below a prefix after a revision.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ChangesRequest {
    /// Prefix of the keys.
    pub prefix: String,
    /// Revision up to which the requester has received all changes.
    pub revision: u64,
    /// Longest time in milliseconds to wait for the first change.
    pub wait_ms: u64,
}

/// Content of a written entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryBody {
    /// Value of the entry.
    #[serde(with = "serde_bytes")]
    pub value: Vec<u8>,
    /// Store revision at which the entry was created.
    pub created_revision: u64,
    /// Lease with which the entry expires; 0 for none.
    pub lease: u64,
}

/// Change of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeBody {
    /// Key of the entry.
    pub key: String,
    /// Store revision of the change.
    pub revision: u64,
    /// Content that was written; `None` if the entry was removed.
    pub written: Option<EntryBody>,
}

/// What a daemon knows of outages of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutageBody {
    /// The last outage; `None` if there was none.
    pub window: Option<LapseBody>,
    /// Whether the daemon cannot read the store now, nor through another daemon.
    #[serde(default)]
    pub is_unread: bool,
}

/// Revisions in which entries may have lapsed in an outage of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LapseBody {
    /// Last revision that was read before the outage.
    pub after: u64,
    /// First revision that was read after it.
    pub through: u64,
    /// When the store served again, in milliseconds after the request arrived; negative if before.
    pub returned_after_ms: i64,
}

impl LapseBody {
    /// The message for `window`, to a request that arrived at `arrived_at`.
    #[must_use]
    pub fn from_window(window: &LapseWindow, arrived_at: TimePoint) -> Self {
        let LapseWindow { after, through, returned_at, .. } = *window;
        Self { after, through, returned_after_ms: returned_at.signed_since_ms(arrived_at) }
    }

    /// The window, for the daemon that sent the request at `sent_at`, read at `now`.
    #[must_use]
    pub fn into_window(self, sent_at: TimePoint, now: TimePoint) -> LapseWindow {
        let returned_at = sent_at.plus_signed_ms(self.returned_after_ms).min(now);
        LapseWindow::new(self.after, self.through, returned_at)
    }
}

/// Changes that the watching daemon has received.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangesResponse {
    /// The changes after the requested revision; empty if there was none in time.
    Changes {
        /// Changes in the order of their revisions.
        changes: Vec<Arc<ChangeBody>>,
        /// Revision from which the next request continues.
        revision: u64,
        /// The response contains all changes that were written up to this many milliseconds after the request arrived;
        /// negative if the daemon knows only those of an earlier time.
        current_after_ms: i64,
        /// What the daemon knows of outages; `None` from an earlier release, which does not tell.
        #[serde(default)]
        outages: Option<OutageBody>,
    },
    /// The watching daemon does not know all changes since the requested revision.
    Incomplete,
}
