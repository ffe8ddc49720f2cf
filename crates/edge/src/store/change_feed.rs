//! Changes in the store, from the daemon that watches it for this one.

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

/// Path at which daemons ask for changes.
pub const CHANGES_PATH: &str = "/peer/news";

/// Longest wait of a watch at the store in milliseconds. A watch on a silent connection is given up after it; a VM whose
/// connections were cut counts as disturbed for three seconds, in which a change need not be in force.
const STORE_WAIT_MS: u64 = 2_300;
/// Longest wait at another daemon in milliseconds. One that is frozen is noticed after it and the slack, which leaves
/// time to put a change in force within two seconds.
const PEER_WAIT_MS: u64 = 1_000;
/// Longest wait of a failure domain's watcher at its region's, in milliseconds: shorter than that of those who wait for
/// its own answer.
const REGION_WAIT_MS: u64 = 700;
/// Added to the time for which a peer may keep a call waiting, in milliseconds.
const ANSWER_SLACK_MS: u64 = 400;
/// Wait at the next daemon up after one was silent, in milliseconds: only what it knows already counts then.
const RETRY_WAIT_MS: u64 = 0;
/// A daemon that was silent is not asked for this long, in milliseconds.
const SILENT_PAUSE_MS: u64 = 3_000;

/// Hears of changes for one thread.
#[derive(Clone, Debug)]
pub struct ChangeFeed {
    state: Arc<EdgeState>,
    store: StoreAccess,
    peers: PeerClient,
    silent_until: Rc<RefCell<HashMap<SharedName, TimePoint>>>,
}

/// A daemon that is asked.
struct NewsSource {
    daemon: SharedName,
    control: SharedName,
    watches_region: bool,
}

impl ChangeFeed {
    /// Reads `store` where no other daemon watches for this one.
    #[must_use]
    pub fn new(state: Arc<EdgeState>, store: StoreAccess, peers: PeerClient) -> Self {
        Self { state, store, peers, silent_until: Rc::default() }
    }

    /// The same feed, whose calls to the store serve `purpose`.
    #[must_use]
    pub fn with_purpose(&self, purpose: &'static str) -> Self {
        Self { store: self.store.with_purpose(purpose), ..self.clone() }
    }

    /// Access to the store for what is no change.
    #[must_use]
    pub fn store(&self) -> &StoreAccess {
        &self.store
    }

    /// Changes below `prefix` after `revision`; waits for the first one.
    pub async fn next_changes(&self, prefix: &str, revision: u64) -> Result<WatchBatch> {
        let mut is_retry = false;
        for source in self.sources() {
            let wait_ms = match (is_retry, source.watches_region) {
                (true, _) => RETRY_WAIT_MS,
                (false, true) => REGION_WAIT_MS,
                (false, false) => PEER_WAIT_MS,
            };
            let request = ChangesRequest { prefix: prefix.to_owned(), revision, wait_ms };
            match self.peers.call(&source.control, CHANGES_PATH, &request, wait_ms + ANSWER_SLACK_MS).await {
                Ok(ChangesResponse::Changes { changes, revision }) => {
                    return Ok(WatchBatch { changes: changes.into_iter().map(store_change).collect(), revision });
                }
                Ok(ChangesResponse::HistoryCompacted) => return Err(StoreError::HistoryCompacted),
                // It has asked further up itself. Only this VM's own way is left.
                Ok(ChangesResponse::StoreUnreachable) => break,
                Err(error) => self.silent(&source.daemon, &error),
            }
            is_retry = true;
        }
        self.store.watch(prefix, revision, STORE_WAIT_MS).await
    }

    fn sources(&self) -> Vec<NewsSource> {
        let settings = &self.state.settings;
        let ownership = self.state.ownership();
        let region_watcher = ownership.region_watcher(&settings.region).map(|(daemon, _)| daemon.clone());
        let sources = ownership.watch_sources(&settings.failure_domain, &settings.region);
        let now = self.state.now();
        let silent = self.silent_until.borrow();
        let awake = sources.into_iter().filter(|(daemon, _)| silent.get(*daemon).is_none_or(|until| *until <= now));
        let source = |(daemon, presence): (&SharedName, &pimentoslip_kernel::DaemonPresence)| NewsSource {
            daemon: daemon.clone(),
            control: presence.control.clone(),
            watches_region: Some(daemon) == region_watcher.as_ref(),
        };
        awake.map(source).collect()
    }

    fn silent(&self, daemon: &SharedName, error: &PeerError) {
        LogLine::new("news_source_silent").field("daemon", daemon).field("reason", error).warn();
        let until = self.state.now().plus_ms(SILENT_PAUSE_MS);
        self.silent_until.borrow_mut().insert(daemon.clone(), until);
    }
}

/// The message for what happened to an entry.
pub fn change_message(change: &StoreChange) -> ChangeBody {
    match change {
        StoreChange::Written(item) => ChangeBody {
            key: item.key.clone(),
            revision: item.revision,
            written: Some(EntryBody {
                value: item.value.to_vec(),
                created_revision: item.created_revision,
                lease: item.lease,
            }),
        },
        StoreChange::Removed { key, revision } => ChangeBody { key: key.clone(), revision: *revision, written: None },
    }
}

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
