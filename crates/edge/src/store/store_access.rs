//! Calls to the store, through a peer where this VM does not reach it.

use crate::edge_state::EdgeState;
use pimentoslip_kernel::{ServicePath, SharedName, TimePoint, rank};
use pimentoslip_platform::{
    CommitOutcome, RangePage, Result, StoreClient, StoreCommit, StoreEntry, StoreError, WatchBatch,
};
use pimentoslip_telemetry::LogLine;
use std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc, sync::Arc};

/// Path at which daemons pass calls on to the store.
pub const RELAY_PATH: &str = "/peer/store/";
/// Longest wait of a watch through a peer in milliseconds, below the longest wait for a call that is passed on.
const RELAYED_WAIT_MS: u64 = 300;

/// The store for one thread.
#[derive(Clone)]
pub struct StoreAccess {
    state: Arc<EdgeState>,
    direct: StoreClient,
    relays: Rc<RefCell<HashMap<SharedName, StoreClient>>>,
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
        Self { state, direct, relays: Rc::default() }
    }

    /// The same access, whose calls serve `purpose`.
    #[must_use]
    pub fn with_purpose(&self, purpose: &'static str) -> Self {
        Self { direct: self.direct.with_purpose(purpose), relays: Rc::default(), ..self.clone() }
    }

    /// The way of the next call; none while the store is away and not to be asked yet.
    fn path(&self) -> Option<(ServicePath, StoreClient)> {
        let path = self.state.store_path().next_path(self.state.now(), || self.ranked_peers())?;
        match &path {
            ServicePath::Direct => Some((path, self.direct.clone())),
            ServicePath::Relay(peer) => {
                let client = self.through(peer)?;
                Some((path, client))
            }
        }
    }

    fn ranked_peers(&self) -> Vec<SharedName> {
        let own = &self.state.settings.vm;
        let ownership = self.state.ownership();
        let names: Vec<SharedName> =
            ownership.daemons().map(|(daemon, _)| daemon).filter(|daemon| *daemon != own).cloned().collect();
        rank(own, &names).into_iter().cloned().collect()
    }

    /// A client whose calls go through the daemon `peer`.
    fn through(&self, peer: &SharedName) -> Option<StoreClient> {
        let control = self.state.ownership().daemon(peer)?.control.clone();
        let address = control.parse::<SocketAddr>().ok()?;
        let mut relays = self.relays.borrow_mut();
        let client = relays.entry(control).or_insert_with(|| self.direct.relayed_through(address, RELAY_PATH));
        Some(client.clone())
    }

    fn note<T>(&self, path: &ServicePath, began: TimePoint, result: &Result<T>) {
        let now = self.state.now();
        let mut choice = self.state.store_path();
        match result {
            Err(error @ (StoreError::NotApplied { .. } | StoreError::OutcomeUnknown { .. })) => {
                if choice.call_failed(path, began, now) {
                    LogLine::new("store_path_lost").field("path", path).field("reason", error).warn();
                }
            }
            _ => {
                if choice.call_succeeded(path, now) {
                    drop(choice);
                    self.state.store_reconnected(now);
                    LogLine::new("store_path_regained").field("path", path).info();
                }
            }
        }
    }

    /// Makes a call. One that was not done, or that may be repeated, is made again where another way is open.
    async fn call<T>(
        &self,
        repeatable: bool,
        call: impl AsyncFn(&StoreClient, &ServicePath) -> Result<T>,
    ) -> Result<T> {
        let Some((path, client)) = self.path() else { return Err(resting()) };
        let began = self.state.now();
        let result = call(&client, &path).await;
        self.note(&path, began, &result);
        let again = match &result {
            Err(StoreError::NotApplied { .. }) => true,
            Err(StoreError::OutcomeUnknown { .. }) => repeatable,
            _ => false,
        };
        if !again {
            return result;
        }
        let Some((other, client)) = self.path().filter(|(other, _)| *other != path) else { return result };
        let began = self.state.now();
        let result = call(&client, &other).await;
        self.note(&other, began, &result);
        result
    }

    /// As [`StoreClient::get`].
    pub async fn get(&self, key: &str) -> Result<Option<StoreEntry>> {
        self.call(true, async |client, _| client.get(key).await).await
    }

    /// As [`StoreClient::range_page`].
    pub async fn page(&self, prefix: &str, after: Option<&str>) -> Result<RangePage> {
        self.call(true, async |client, _| client.range_page(prefix, after).await).await
    }

    /// As [`StoreClient::range`].
    pub async fn range(&self, prefix: &str) -> Result<RangePage> {
        self.call(true, async |client, _| client.range(prefix).await).await
    }

    /// As [`StoreClient::watch`], with a shorter wait through a peer.
    pub async fn watch(&self, prefix: &str, revision: u64, wait_ms: u64) -> Result<WatchBatch> {
        let watch = async |client: &StoreClient, path: &ServicePath| {
            let wait_ms = if *path == ServicePath::Direct { wait_ms } else { RELAYED_WAIT_MS.min(wait_ms) };
            client.watch(prefix, revision, wait_ms).await
        };
        self.call(true, watch).await
    }

    /// As [`StoreClient::commit`].
    pub async fn commit(&self, commit: &StoreCommit) -> Result<CommitOutcome> {
        self.call(false, async |client, _| client.commit(commit).await).await
    }

    /// As [`StoreClient::grant_lease`].
    pub async fn grant_lease(&self, ttl_ms: u64) -> Result<u64> {
        self.call(false, async |client, _| client.grant_lease(ttl_ms).await).await
    }

    /// As [`StoreClient::renew_lease`].
    pub async fn renew_lease(&self, lease: u64) -> Result<()> {
        self.call(true, async |client, _| client.renew_lease(lease).await).await
    }

    /// As [`StoreClient::revoke_lease`].
    pub async fn revoke_lease(&self, lease: u64) -> Result<()> {
        self.call(true, async |client, _| client.revoke_lease(lease).await).await
    }
}

/// The store was away a moment ago, and no call was made.
fn resting() -> StoreError {
    StoreError::NotApplied { problem: "it was away a moment ago".to_owned() }
}
