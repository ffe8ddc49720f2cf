//! Calls to the store, through a peer where this VM does not reach it.

use crate::edge_state::EdgeState;
use pimentoslip_kernel::{PathChoice, ServicePath, SharedName, TimePoint, rank};
use pimentoslip_platform::{
    CommitOutcome, RangePage, Result, StoreClient, StoreCommit, StoreError, StoreItem, WatchBatch,
};
use pimentoslip_telemetry::LogLine;
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
};

/// Path at which daemons pass calls on to the store.
pub const RELAY_PATH: &str = "/peer/store/";

/// Longest wait of a watch through the failure domain's watcher, in milliseconds. A watcher that is frozen is noticed
/// after it and half a second, which leaves time to put a change in force.
const SHARED_WAIT_MS: u64 = 1_000;
/// After the watcher failed a daemon watches by itself for this long, in milliseconds.
const ALONE_MS: u64 = 3_000;

/// The store for one thread.
#[derive(Clone)]
pub struct StoreAccess {
    state: Arc<EdgeState>,
    direct: StoreClient,
    relays: Rc<RefCell<HashMap<SharedName, StoreClient>>>,
    choice: Rc<RefCell<PathChoice>>,
    /// Until then the daemon watches by itself.
    alone_until: Rc<Cell<TimePoint>>,
}

impl std::fmt::Debug for StoreAccess {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("StoreAccess").finish_non_exhaustive()
    }
}

impl StoreAccess {
    /// Uses `direct` as long as it works.
    #[must_use]
    pub fn new(state: Arc<EdgeState>, direct: StoreClient) -> Self {
        Self { state, direct, relays: Rc::default(), choice: Rc::default(), alone_until: Rc::default() }
    }

    /// The same access, whose calls serve `purpose`.
    #[must_use]
    pub fn purposed(&self, purpose: &'static str) -> Self {
        Self { direct: self.direct.purposed(purpose), relays: Rc::default(), ..self.clone() }
    }

    fn path(&self) -> (ServicePath, StoreClient) {
        let peers = {
            let ownership = self.state.ownership();
            let own = self.state.settings.vm.clone();
            let peers: Vec<(SharedName, SharedName)> = ownership
                .daemons()
                .filter(|(daemon, _)| **daemon != own)
                .map(|(daemon, presence)| (daemon.clone(), presence.control.clone()))
                .collect();
            peers
        };
        let names: Vec<SharedName> = peers.iter().map(|(daemon, _)| daemon.clone()).collect();
        let ranked: Vec<SharedName> = rank(&self.state.settings.vm, &names).into_iter().cloned().collect();
        let path = self.choice.borrow_mut().next(&ranked, self.state.now());
        if let ServicePath::Relay(peer) = &path
            && let Some((_, control)) = peers.iter().find(|(daemon, _)| daemon == peer)
            && let Ok(address) = control.parse::<SocketAddr>()
        {
            return (path, self.through(control, address));
        }
        (ServicePath::Direct, self.direct.clone())
    }

    fn note<T>(&self, path: &ServicePath, result: &Result<T>) {
        let mut choice = self.choice.borrow_mut();
        match result {
            Err(error @ (StoreError::NotDone { .. } | StoreError::Unknown { .. })) => {
                if choice.failed(path, self.state.now()) {
                    LogLine::new("store_path_lost").field("path", path).field("reason", error).warn();
                }
            }
            _ => {
                if choice.worked(path) {
                    LogLine::new("store_path_regained").field("path", path).info();
                }
            }
        }
    }

    /// Makes a call. One that was not done, or that may be repeated, is made again where another way is open.
    async fn call<T>(&self, repeatable: bool, call: impl AsyncFn(&StoreClient) -> Result<T>) -> Result<T> {
        let (path, client) = self.path();
        let result = call(&client).await;
        self.note(&path, &result);
        let again = match &result {
            Err(StoreError::NotDone { .. }) => true,
            Err(StoreError::Unknown { .. }) => repeatable,
            _ => false,
        };
        if !again {
            return result;
        }
        let (other, client) = self.path();
        if other == path {
            return result;
        }
        let result = call(&client).await;
        self.note(&other, &result);
        result
    }

    /// As [`StoreClient::get`].
    pub async fn get(&self, key: &str) -> Result<Option<StoreItem>> {
        self.call(true, async |client| client.get(key).await).await
    }

    /// As [`StoreClient::page`].
    pub async fn page(&self, prefix: &str, after: Option<&str>) -> Result<RangePage> {
        self.call(true, async |client| client.page(prefix, after).await).await
    }

    /// As [`StoreClient::range`].
    pub async fn range(&self, prefix: &str) -> Result<RangePage> {
        self.call(true, async |client| client.range(prefix).await).await
    }

    /// As [`StoreClient::watch`].
    pub async fn watch(&self, prefix: &str, revision: u64, wait_ms: u64) -> Result<WatchBatch> {
        self.call(true, async |client| client.watch(prefix, revision, wait_ms).await).await
    }

    /// As [`Self::watch`], through the daemon that watches the store for the whole failure domain.
    pub async fn follow(&self, prefix: &str, revision: u64, wait_ms: u64) -> Result<WatchBatch> {
        let Some(watcher) = self.watcher() else { return self.watch(prefix, revision, wait_ms).await };
        let result = watcher.watch(prefix, revision, SHARED_WAIT_MS.min(wait_ms)).await;
        if let Err(StoreError::NotDone { .. } | StoreError::Unknown { .. }) = &result {
            self.alone_until.set(self.state.now().plus_ms(ALONE_MS));
            return self.watch(prefix, revision, wait_ms).await;
        }
        result
    }

    /// The failure domain's watcher, unless it failed a moment ago.
    fn watcher(&self) -> Option<StoreClient> {
        if self.state.now() < self.alone_until.get() {
            return None;
        }
        let control = self.state.ownership().watcher(&self.state.settings.failure_domain)?.control.clone();
        let address = control.parse::<SocketAddr>().ok()?;
        Some(self.through(&control, address))
    }

    /// A client whose calls go through the daemon at `address`.
    fn through(&self, control: &SharedName, address: SocketAddr) -> StoreClient {
        let mut relays = self.relays.borrow_mut();
        relays.entry(control.clone()).or_insert_with(|| self.direct.through(address, RELAY_PATH)).clone()
    }

    /// As [`StoreClient::commit`].
    pub async fn commit(&self, commit: &StoreCommit) -> Result<CommitOutcome> {
        self.call(false, async |client| client.commit(commit).await).await
    }

    /// As [`StoreClient::grant`].
    pub async fn grant(&self, ttl_ms: u64) -> Result<u64> {
        self.call(false, async |client| client.grant(ttl_ms).await).await
    }

    /// As [`StoreClient::keep`].
    pub async fn keep(&self, lease: u64) -> Result<()> {
        self.call(true, async |client| client.keep(lease).await).await
    }

    /// As [`StoreClient::end`].
    pub async fn end(&self, lease: u64) -> Result<()> {
        self.call(true, async |client| client.end(lease).await).await
    }
}
