//! Receives the changes of one prefix from the daemon that watches the store for this one, or else from the store itself.

use super::StoreAccess;
use crate::{
    edge_metrics::EdgeMetrics,
    edge_state::EdgeState,
    peer_client::{PeerClient, PeerError},
    suspect::distant_peers,
};
use bytes::Bytes;
use futures_util::future::join_all;
use pimentoslip_kernel::{
    OutageWitness, ReadGap, StoreRead, TimePoint, WatchCall, WatchSelector, WatchSource, WatchTarget, WatchTiming,
};
use pimentoslip_platform::{RangePage, Result, StoreChange, StoreEntry, StoreError, UPSTREAM_PREFIX};
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::peer::{ChangeBody, ChangesRequest, ChangesResponse, EntryBody, OutageBody};
use std::sync::Arc;

/// Path of the control listener at which peers request store changes.
pub const CHANGES_PATH: &str = "/peer/news";

/// Daemons that are asked whether the store served while this one read nothing.
const WITNESSES_MAX: usize = 4;
/// Longest wait for their responses. Round trips take milliseconds.
const WITNESS_TIMEOUT_MS: u64 = 200;
/// Time for which the agreement of others that the store cannot be read is not asked for again.
const AGREEMENT_AGE_MS: u64 = 1_000;

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
    read: StoreRead,
    /// What the peer says of the store; `None` from the store, or if it does not tell.
    view: Option<PeerView>,
    is_from_store: bool,
}

/// What another daemon says of the store.
struct PeerView {
    witness: OutageWitness,
    /// Whether it cannot read the store now.
    is_unread: bool,
}

/// What a peer responds, to the request that was sent at `sent_at`, of the store.
fn peer_view(
    outages: Option<OutageBody>,
    current_as_of: TimePoint,
    sent_at: TimePoint,
    now: TimePoint,
) -> Option<PeerView> {
    let OutageBody { window, is_unread } = outages?;
    let window = window.map(|window| window.into_window(sent_at, now));
    Some(PeerView { witness: OutageWitness { current_as_of, window }, is_unread })
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
        let read = StoreRead { revision: page.revision, current_as_of: sent_at, served_at: self.state.now() };
        let witnesses = self.ask_witnesses(&read).await;
        self.revision = page.revision;
        self.selector = WatchSelector::new(self.timing, sent_at);
        if let Some(log) = self.state.change_log(self.prefix) {
            log.restart(&read, &witnesses).into_iter().for_each(|gap| self.log_gap(gap));
            log.set_unread(false);
        }
        Ok(page)
    }

    /// The changes after those that were returned before. Waits a limited time for the first one, so there may be none.
    /// Fails with `HistoryCompacted` if the store no longer has these changes.
    pub async fn next_changes(&mut self) -> Result<Vec<StoreChange>> {
        let received = self.receive_changes().await;
        if let Err(StoreError::NotApplied { .. } | StoreError::OutcomeUnknown { .. }) = &received {
            self.read_failed().await;
        }
        received
    }

    /// Records that the changes which were returned have been applied.
    pub fn mark_applied(&self) {
        if let Some(log) = self.state.change_log(self.prefix) {
            log.mark_applied();
        }
    }

    /// Handles a failure to read the store: asks others whether they can, from time to time.
    async fn read_failed(&self) {
        let Some(log) = self.state.change_log(self.prefix) else { return };
        log.set_unread(true);
        let asked_at = self.state.now();
        if self.prefix != UPSTREAM_PREFIX || asked_at.since_ms(log.confirmed_at()) < AGREEMENT_AGE_MS {
            return;
        }
        let is_alone =
            self.state.ownership().possible_daemons(asked_at).all(|(name, _)| *name == self.state.settings.vm);
        let views = self.ask_peers().await;
        let reads_store = |view: &PeerView| !view.is_unread && view.witness.current_as_of > log.current_as_of();
        if is_alone || (!views.is_empty() && !views.iter().any(reads_store)) {
            log.set_agreed(asked_at);
        }
    }

    async fn receive_changes(&mut self) -> Result<Vec<StoreChange>> {
        loop {
            let sources = {
                let settings = &self.state.settings;
                self.state.ownership().watch_sources(&settings.failure_domain, &settings.region)
            };
            let asked_at = self.state.now();
            let call = self.selector.next_call(&sources, asked_at).ok_or_else(unreachable_error)?;
            let received = match &call.target {
                WatchTarget::Peer(source) => self.request_from_peer(source, &call).await,
                WatchTarget::Store => Some(self.watch_store(&call).await?),
            };
            let Some(ReceivedBatch { changes, read, view, is_from_store }) = received else { continue };
            let is_unread = view.as_ref().is_some_and(|view| view.is_unread);
            let witnesses = if is_from_store {
                self.ask_witnesses(&read).await
            } else {
                view.into_iter().map(|view| view.witness).collect()
            };
            self.revision = self.revision.max(read.revision);
            if let Some(log) = self.state.change_log(self.prefix) {
                log.append(&changes, &read, &witnesses).into_iter().for_each(|gap| self.log_gap(gap));
                log.set_unread(is_unread);
                if is_unread {
                    log.set_agreed(asked_at);
                }
            }
            return Ok(changes.iter().map(|change| store_change(change)).collect());
        }
    }

    /// What other daemons know of the time in which this one read nothing; nobody is asked if that is too short to matter.
    async fn ask_witnesses(&self, read: &StoreRead) -> Vec<OutageWitness> {
        let gap_ms = self.state.change_log(self.prefix).and_then(|log| log.gap_ms(read.served_at));
        if gap_ms.is_none() {
            return Vec::new();
        }
        self.ask_peers().await.into_iter().map(|view| view.witness).collect()
    }

    /// What a few other daemons say of the store.
    async fn ask_peers(&self) -> Vec<PeerView> {
        let request = &ChangesRequest { prefix: self.prefix.to_owned(), revision: self.revision, wait_ms: 0 };
        let peers = distant_peers(&self.state, &self.state.settings.vm, WITNESSES_MAX);
        let asked = peers.iter().map(|address| async move {
            let sent_at = self.state.now();
            let response = self.peer_client.call(address, CHANGES_PATH, request, WITNESS_TIMEOUT_MS).await;
            match response {
                Ok(ChangesResponse::Changes { current_after_ms, outages, .. }) => {
                    let now = self.state.now();
                    let current_as_of = sent_at.plus_signed_ms(current_after_ms).min(now);
                    peer_view(outages, current_as_of, sent_at, now)
                }
                Ok(ChangesResponse::Incomplete) => None,
                Err(error) => {
                    LogLine::new("witness_unresponsive").field("peer", address).field("reason", &error).warn();
                    None
                }
            }
        });
        join_all(asked).await.into_iter().flatten().collect()
    }

    /// Logs a time in which nothing was read, and what it is taken for.
    fn log_gap(&self, gap: ReadGap) {
        let verdict = if gap.outage.is_some() { "store_away" } else { "store_served" };
        EdgeMetrics::increment(&EdgeMetrics::global().read_gaps, verdict);
        LogLine::new("read_gap")
            .field("prefix", self.prefix)
            .field("gap_ms", gap.gap_ms)
            .field("verdict", verdict)
            .field("after", gap.outage.map_or(0, |window| window.after))
            .field("through", gap.outage.map_or(0, |window| window.through))
            .info();
    }

    /// Requests changes from a peer. `None` if it does not have them; another source is selected then.
    async fn request_from_peer(&mut self, source: &WatchSource, call: &WatchCall) -> Option<ReceivedBatch> {
        let sent_at = self.state.now();
        let request = ChangesRequest { prefix: self.prefix.to_owned(), revision: self.revision, wait_ms: call.wait_ms };
        let timeout_ms = call.give_up_at.since_ms(sent_at);
        let response = self.peer_client.call(&source.control_address, CHANGES_PATH, &request, timeout_ms).await;
        let now = self.state.now();
        match response {
            Ok(ChangesResponse::Changes { changes, revision, current_after_ms, outages }) => {
                let current_as_of = sent_at.plus_signed_ms(current_after_ms).min(now);
                self.selector.peer_answered(&source.daemon, current_as_of, now);
                let read = StoreRead { revision, current_as_of, served_at: current_as_of };
                let view = peer_view(outages, current_as_of, sent_at, now);
                Some(ReceivedBatch { changes, read, view, is_from_store: false })
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
                let read = StoreRead { revision: batch.revision, current_as_of, served_at: self.state.now() };
                Ok(ReceivedBatch { changes, read, view: None, is_from_store: true })
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
