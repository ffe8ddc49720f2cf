//! Receives the changes of one prefix from the daemon that watches the store for this one, or else from the store itself.

use super::StoreAccess;
use crate::{
    edge_state::EdgeState,
    peer_client::{PeerClient, PeerError},
};
use bytes::Bytes;
use pimentoslip_kernel::{TimePoint, WatchCall, WatchSelector, WatchSource, WatchTarget, WatchTiming};
use pimentoslip_platform::{RangePage, Result, StoreChange, StoreEntry, StoreError};
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::peer::{ChangeBody, ChangesRequest, ChangesResponse, EntryBody};
use std::sync::Arc;

/// Path of the control listener at which peers request store changes.
pub const CHANGES_PATH: &str = "/peer/news";

/// Source of the changes of one prefix. Received changes are also kept in the prefix's log, from which this daemon serves
/// others.
#[derive(Debug)]
pub struct ChangeFeed {
    state: Arc<EdgeState>,
    store: StoreAccess,
    peer_client: PeerClient,
    prefix: &'static str,
    timing: WatchTiming,
    selector: WatchSelector,
    /// Revision up to which all changes have been received.
    revision: u64,
}

/// Changes received from a peer or from the store.
struct ReceivedBatch {
    changes: Vec<Arc<ChangeBody>>,
    /// Revision up to which all changes have been received.
    revision: u64,
    /// All changes written before this time have been received.
    current_as_of: TimePoint,
}

impl ChangeFeed {
    /// Creates a feed of the changes below `prefix`, which must reach this daemon within the bound of `timing`.
    #[must_use]
    pub fn new(
        state: Arc<EdgeState>,
        store: StoreAccess,
        peer_client: PeerClient,
        prefix: &'static str,
        timing: WatchTiming,
    ) -> Self {
        let selector = WatchSelector::new(timing, TimePoint(0));
        Self { state, store, peer_client, prefix, timing, selector, revision: 0 }
    }

    /// Reads all entries from the store. The next changes are those after this snapshot.
    pub async fn read_snapshot(&mut self) -> Result<RangePage> {
        let sent_at = self.state.now();
        let page = self.store.range(self.prefix).await?;
        self.revision = page.revision;
        self.selector = WatchSelector::new(self.timing, sent_at);
        if let Some(log) = self.state.change_log(self.prefix) {
            log.restart(page.revision, sent_at);
        }
        Ok(page)
    }

    /// The changes after those that were returned before. Waits a limited time for the first one, so there may be none.
    /// Fails with `HistoryCompacted` if the store no longer has these changes.
    pub async fn next_changes(&mut self) -> Result<Vec<StoreChange>> {
        loop {
            let sources = {
                let settings = &self.state.settings;
                self.state.ownership().watch_sources(&settings.failure_domain, &settings.region)
            };
            let call = self.selector.next_call(&sources, self.state.now()).ok_or_else(unreachable_error)?;
            let received = match &call.target {
                WatchTarget::Peer(source) => self.request_from_peer(source, &call).await,
                WatchTarget::Store => Some(self.watch_store(&call).await?),
            };
            let Some(batch) = received else { continue };
            self.revision = self.revision.max(batch.revision);
            if let Some(log) = self.state.change_log(self.prefix) {
                log.append(&batch.changes, batch.revision, batch.current_as_of);
            }
            return Ok(batch.changes.iter().map(|change| store_change(change)).collect());
        }
    }

    /// Requests changes from a peer. `None` if it does not have them; another source is selected then.
    async fn request_from_peer(&mut self, source: &WatchSource, call: &WatchCall) -> Option<ReceivedBatch> {
        let sent_at = self.state.now();
        let request = ChangesRequest { prefix: self.prefix.to_owned(), revision: self.revision, wait_ms: call.wait_ms };
        let timeout_ms = call.give_up_at.since_ms(sent_at);
        let response = self.peer_client.call(&source.control_address, CHANGES_PATH, &request, timeout_ms).await;
        let now = self.state.now();
        match response {
            Ok(ChangesResponse::Changes { changes, revision, current_after_ms }) => {
                let current_as_of = TimePoint(sent_at.0.saturating_add_signed(current_after_ms)).min(now);
                self.selector.peer_answered(&source.daemon, current_as_of, now);
                Some(ReceivedBatch { changes, revision, current_as_of })
            }
            Ok(ChangesResponse::Incomplete) => {
                LogLine::new("change_source_incomplete")
                    .field("daemon", &source.daemon)
                    .field("prefix", self.prefix)
                    .field("revision", self.revision)
                    .info();
                self.selector.peer_outdated(&source.daemon, now);
                None
            }
            Err(error) => {
                self.log_unresponsive(source, &error);
                self.selector.peer_unresponsive(&source.daemon, now);
                None
            }
        }
    }

    fn log_unresponsive(&self, source: &WatchSource, error: &PeerError) {
        let known_age_ms = self.state.now().since_ms(self.selector.current_as_of());
        LogLine::new("change_source_unresponsive")
            .field("daemon", &source.daemon)
            .field("prefix", self.prefix)
            .field("age_ms", known_age_ms)
            .field("reason", error)
            .warn();
    }

    /// Requests changes from the store.
    async fn watch_store(&mut self, call: &WatchCall) -> Result<ReceivedBatch> {
        match self.store.watch(self.prefix, self.revision, call.wait_ms).await {
            Ok((batch, current_as_of)) => {
                self.selector.proved_current(current_as_of);
                let changes = batch.changes.iter().map(|change| Arc::new(change_message(change))).collect();
                Ok(ReceivedBatch { changes, revision: batch.revision, current_as_of })
            }
            Err(error) => {
                self.selector.store_failed(self.state.now());
                Err(error)
            }
        }
    }
}

/// The error while the store is unreachable and no peer can be asked.
fn unreachable_error() -> StoreError {
    StoreError::NotApplied { problem: "the store was unreachable a moment ago, and no peer has its changes".to_owned() }
}

/// The wire message for a change of a store entry.
fn change_message(change: &StoreChange) -> ChangeBody {
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
fn store_change(change: &ChangeBody) -> StoreChange {
    let ChangeBody { key, revision, written } = change;
    match written {
        Some(entry) => StoreChange::Written(StoreEntry {
            key: key.clone(),
            value: Bytes::copy_from_slice(&entry.value),
            revision: *revision,
            created_revision: entry.created_revision,
            lease: entry.lease,
        }),
        None => StoreChange::Removed { key: key.clone(), revision: *revision },
    }
}
