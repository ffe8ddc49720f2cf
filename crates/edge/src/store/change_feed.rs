//! Receives store changes from the daemon that watches the store for this one, or else from the store itself.

use super::StoreAccess;
use crate::{
    edge_state::EdgeState,
    peer_client::{PeerClient, PeerError},
};
use bytes::Bytes;
use pimentoslip_kernel::{SharedName, TimePoint};
use pimentoslip_platform::{Result, StoreChange, StoreEntry, StoreError, WatchBatch};
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::peer::{ChangeBody, ChangesRequest, ChangesResponse, EntryBody};
use std::{cell::RefCell, collections::HashMap, rc::Rc, sync::Arc};

/// Path of the control listener at which peers request store changes.
pub const CHANGES_PATH: &str = "/peer/news";

/// Longest wait of a watch at the store. A watch on an unresponsive connection is abandoned after it. A VM whose
/// connections were cut counts as disturbed for three seconds, within which a change need not take effect.
const STORE_WAIT_MS: u64 = 2_300;
/// Longest wait of a request for changes at a peer. A peer whose process is frozen is detected after this time plus the
/// slack, which leaves time to apply a change within two seconds.
const PEER_WAIT_MS: u64 = 1_000;
/// Longest wait of a request from the watcher of a failure domain to the watcher of its region. It is shorter than
/// `PEER_WAIT_MS`, for which other daemons wait for the response of the failure domain's watcher.
const REGION_WAIT_MS: u64 = 700;
/// Time allowed for a response beyond the wait that was requested from the peer.
const RESPONSE_SLACK_MS: u64 = 400;
/// Wait at the next source after one was unresponsive: only changes that it has already received are returned.
const RETRY_WAIT_MS: u64 = 0;
/// Back-off after a peer was unresponsive; no changes are requested from it meanwhile.
const SOURCE_BACKOFF_MS: u64 = 3_000;

/// Source of store changes for one thread.
#[derive(Clone, Debug)]
pub struct ChangeFeed {
    state: Arc<EdgeState>,
    store: StoreAccess,
    peer_client: PeerClient,
    /// Unresponsive peers, and until when no changes are requested from them.
    backoff_until: Rc<RefCell<HashMap<SharedName, TimePoint>>>,
}

/// A peer that watches the store and from which changes are requested.
struct WatchSource {
    /// Name of the peer.
    daemon: SharedName,
    /// Address of the peer's control listener.
    control_address: SharedName,
    /// Whether the peer watches for its region, not only for its failure domain.
    watches_region: bool,
}

impl ChangeFeed {
    /// Creates a feed that watches `store` directly where no peer watches it for this daemon.
    #[must_use]
    pub fn new(state: Arc<EdgeState>, store: StoreAccess, peer_client: PeerClient) -> Self {
        Self { state, store, peer_client, backoff_until: Rc::default() }
    }

    /// The same feed, whose calls to the store are counted under `purpose`.
    #[must_use]
    pub fn with_purpose(&self, purpose: &'static str) -> Self {
        Self { store: self.store.with_purpose(purpose), ..self.clone() }
    }

    /// Access to the store for calls other than watches.
    #[must_use]
    pub fn store(&self) -> &StoreAccess {
        &self.store
    }

    /// Changes of keys with `prefix` after `revision`. Waits a limited time for the first one, so the batch may be
    /// empty. Fails with `HistoryCompacted` if the store no longer has the changes since `revision`.
    pub async fn next_changes(&self, prefix: &str, revision: u64) -> Result<WatchBatch> {
        let mut is_retry = false;
        for source in self.watch_sources() {
            let wait_ms = match (is_retry, source.watches_region) {
                (true, _) => RETRY_WAIT_MS,
                (false, true) => REGION_WAIT_MS,
                (false, false) => PEER_WAIT_MS,
            };
            let request = ChangesRequest { prefix: prefix.to_owned(), revision, wait_ms };
            match self
                .peer_client
                .call(&source.control_address, CHANGES_PATH, &request, wait_ms + RESPONSE_SLACK_MS)
                .await
            {
                Ok(ChangesResponse::Changes { changes, revision }) => {
                    return Ok(WatchBatch { changes: changes.into_iter().map(store_change).collect(), revision });
                }
                Ok(ChangesResponse::HistoryCompacted) => return Err(StoreError::HistoryCompacted),
                // The peer has already tried the watcher of the region. Only this VM's own path is left.
                Ok(ChangesResponse::StoreUnreachable) => break,
                Err(error) => self.source_unresponsive(&source.daemon, &error),
            }
            is_retry = true;
        }
        self.store.watch(prefix, revision, STORE_WAIT_MS).await
    }

    /// Peers from which changes are requested, nearest first, without those that are backed off.
    fn watch_sources(&self) -> Vec<WatchSource> {
        let settings = &self.state.settings;
        let ownership = self.state.ownership();
        let region_watcher = ownership.region_watcher(&settings.region).map(|(daemon, _)| daemon.clone());
        let sources = ownership.watch_sources(&settings.failure_domain, &settings.region);
        let now = self.state.now();
        let backoff_until = self.backoff_until.borrow();
        let available =
            sources.into_iter().filter(|(daemon, _)| backoff_until.get(*daemon).is_none_or(|until| *until <= now));
        let watch_source = |(daemon, presence): (&SharedName, &pimentoslip_kernel::DaemonPresence)| WatchSource {
            daemon: daemon.clone(),
            control_address: presence.control_address.clone(),
            watches_region: Some(daemon) == region_watcher.as_ref(),
        };
        available.map(watch_source).collect()
    }

    /// Logs the failed request and backs off from `daemon`.
    fn source_unresponsive(&self, daemon: &SharedName, error: &PeerError) {
        LogLine::new("change_source_unresponsive").field("daemon", daemon).field("reason", error).warn();
        let until = self.state.now().plus_ms(SOURCE_BACKOFF_MS);
        self.backoff_until.borrow_mut().insert(daemon.clone(), until);
    }
}

/// The wire message for a change of a store entry.
pub fn change_message(change: &StoreChange) -> ChangeBody {
    match change {
        StoreChange::Written(store_entry) => ChangeBody {
            key: store_entry.key.clone(),
            revision: store_entry.revision,
            written: Some(EntryBody {
                value: store_entry.value.to_vec(),
                created_revision: store_entry.created_revision,
                lease: store_entry.lease,
            }),
        },
        StoreChange::Removed { key, revision } => ChangeBody { key: key.clone(), revision: *revision, written: None },
    }
}

/// The change of a store entry that a wire message describes.
fn store_change(change: ChangeBody) -> StoreChange {
    let ChangeBody { key, revision, written } = change;
    match written {
        Some(entry) => StoreChange::Written(StoreEntry {
            key,
            value: Bytes::from(entry.value),
            revision,
            created_revision: entry.created_revision,
            lease: entry.lease,
        }),
        None => StoreChange::Removed { key, revision },
    }
}
