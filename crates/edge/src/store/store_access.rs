//! Calls to the key-value store, relayed through a peer while this VM cannot reach the store directly.

use crate::edge_state::EdgeState;
use pimentoslip_kernel::{ServicePath, SharedName, TimePoint, rank};
use pimentoslip_platform::{
    CommitOutcome, RangePage, Result, StoreClient, StoreCommit, StoreEntry, StoreError, WatchBatch,
};
use pimentoslip_telemetry::LogLine;
use std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc, sync::Arc};

/// Path prefix of the control listener at which daemons relay calls of peers to the store.
pub const RELAY_PATH: &str = "/peer/store/";
/// Longest wait of a watch that is relayed through a peer; shorter than the timeout of a relayed call.
const RELAYED_WAIT_MS: u64 = 300;

/// Access to the store for one thread. It chooses the path of each call and can retry a failed call on another path.
#[derive(Clone)]
pub struct StoreAccess {
    state: Arc<EdgeState>,
    direct_client: StoreClient,
    /// Clients that relay through peers, by the address of the peer's control listener.
    relay_clients: Rc<RefCell<HashMap<SharedName, StoreClient>>>,
}

impl std::fmt::Debug for StoreAccess {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("StoreAccess").finish_non_exhaustive()
    }
}

impl StoreAccess {
    /// Creates an access that uses `direct_client` unless its calls fail.
    #[must_use]
    pub fn new(state: Arc<EdgeState>, direct_client: StoreClient) -> Self {
        Self { state, direct_client, relay_clients: Rc::default() }
    }

    /// The same access, whose calls are counted under `purpose`.
    #[must_use]
    pub fn with_purpose(&self, purpose: &'static str) -> Self {
        Self { direct_client: self.direct_client.with_purpose(purpose), relay_clients: Rc::default(), ..self.clone() }
    }

    /// The path and client of the next call; `None` while calls back off because the store is unreachable, or if the
    /// chosen peer has no usable address.
    fn next_path(&self) -> Option<(ServicePath, StoreClient)> {
        let path = self.state.path_selector().next_path(self.state.now(), || self.ranked_peers())?;
        match &path {
            ServicePath::Direct => Some((path, self.direct_client.clone())),
            ServicePath::Relay(peer) => {
                let client = self.relay_client(peer)?;
                Some((path, client))
            }
        }
    }

    /// Other daemons in this VM's order of preference as relays.
    fn ranked_peers(&self) -> Vec<SharedName> {
        let own = &self.state.settings.vm;
        let ownership = self.state.ownership();
        let names: Vec<SharedName> =
            ownership.daemons().map(|(daemon, _)| daemon).filter(|daemon| *daemon != own).cloned().collect();
        rank(own, &names).into_iter().cloned().collect()
    }

    /// A client whose calls are relayed through `peer`; `None` if the peer has no usable control address.
    fn relay_client(&self, peer: &SharedName) -> Option<StoreClient> {
        let control_address = self.state.ownership().daemon(peer)?.control_address.clone();
        let address = control_address.parse::<SocketAddr>().ok()?;
        let mut relay_clients = self.relay_clients.borrow_mut();
        let client = relay_clients
            .entry(control_address)
            .or_insert_with(|| self.direct_client.relayed_through(address, RELAY_PATH));
        Some(client.clone())
    }

    /// Records the result of a call for the selection of paths, and logs when the direct path stops or starts working.
    fn record_result<T>(&self, path: &ServicePath, started_at: TimePoint, result: &Result<T>) {
        let now = self.state.now();
        let mut selector = self.state.path_selector();
        match result {
            Err(error @ (StoreError::NotApplied { .. } | StoreError::OutcomeUnknown { .. })) => {
                if selector.call_failed(path, started_at, now) {
                    self.state.store_path_lost.notify_waiters();
                    LogLine::new("store_path_lost").field("path", path).field("reason", error).warn();
                }
            }
            _ => {
                if selector.call_succeeded(path, now) {
                    LogLine::new("store_path_regained").field("path", path).info();
                }
            }
        }
    }

    /// Makes a call like [`Self::call_paths`], and records whether it failed.
    async fn call<T>(
        &self,
        repeatable: bool,
        call: impl AsyncFn(&StoreClient, &ServicePath) -> Result<T>,
    ) -> Result<T> {
        let result = self.call_paths(repeatable, call).await;
        if let Err(StoreError::NotApplied { .. } | StoreError::OutcomeUnknown { .. }) = &result {
            self.state.record_store_failure();
        }
        result
    }

    /// Makes a call. If it was not executed, or its outcome is unknown and it is `repeatable`, it is retried once if
    /// another path is available.
    async fn call_paths<T>(
        &self,
        repeatable: bool,
        call: impl AsyncFn(&StoreClient, &ServicePath) -> Result<T>,
    ) -> Result<T> {
        let Some((path, client)) = self.next_path() else { return Err(backoff_error()) };
        let started_at = self.state.now();
        let result = call(&client, &path).await;
        self.record_result(&path, started_at, &result);
        let should_retry = match &result {
            Err(StoreError::NotApplied { .. }) => true,
            Err(StoreError::OutcomeUnknown { .. }) => repeatable,
            _ => false,
        };
        if !should_retry {
            return result;
        }
        let Some((retry_path, client)) = self.next_path().filter(|(next, _)| *next != path) else { return result };
        let started_at = self.state.now();
        let result = call(&client, &retry_path).await;
        self.record_result(&retry_path, started_at, &result);
        result
    }

    /// Reads the entry of `key`; see [`StoreClient::get`].
    pub async fn get(&self, key: &str) -> Result<Option<StoreEntry>> {
        self.call(true, async |client, _| client.get(key).await).await
    }

    /// Reads one page of the entries below `prefix`; see [`StoreClient::range_page`].
    pub async fn page(&self, prefix: &str, after: Option<&str>) -> Result<RangePage> {
        self.call(true, async |client, _| client.range_page(prefix, after).await).await
    }

    /// Reads all entries below `prefix`; see [`StoreClient::range`].
    pub async fn range(&self, prefix: &str) -> Result<RangePage> {
        self.call(true, async |client, _| client.range(prefix).await).await
    }

    /// Waits for changes below `prefix` after `revision`; see [`StoreClient::watch`]. The wait is shorter if the call
    /// is relayed through a peer, and ends once another call shows that the direct path is lost. Also returns a time
    /// before which all changes below `prefix` were written that the batch or `revision` includes.
    pub async fn watch(&self, prefix: &str, revision: u64, wait_ms: u64) -> Result<(WatchBatch, TimePoint)> {
        let watch = async |client: &StoreClient, path: &ServicePath| {
            let sent_at = self.state.now();
            let is_direct = *path == ServicePath::Direct;
            let wait_ms = if is_direct { wait_ms } else { RELAYED_WAIT_MS.min(wait_ms) };
            let path_lost = self.state.store_path_lost.notified();
            let batch = tokio::select! {
                batch = client.watch(prefix, revision, wait_ms) => batch?,
                () = path_lost, if is_direct => return Err(path_lost_error()),
            };
            // The store returns an empty batch only at the end of the wait, unless it ends the watch early.
            let is_full_wait = batch.changes.is_empty() && self.state.now().since_ms(sent_at) >= wait_ms;
            let held_ms = if is_full_wait { wait_ms } else { 0 };
            Ok((batch, sent_at.plus_ms(held_ms)))
        };
        self.call(true, watch).await
    }

    /// Writes under conditions; see [`StoreClient::commit`].
    pub async fn commit(&self, commit: &StoreCommit) -> Result<CommitOutcome> {
        self.call(false, async |client, _| client.commit(commit).await).await
    }

    /// Requests a lease with a time to live of `ttl_ms`; see [`StoreClient::grant_lease`].
    pub async fn grant_lease(&self, ttl_ms: u64) -> Result<u64> {
        self.call(false, async |client, _| client.grant_lease(ttl_ms).await).await
    }

    /// Renews a lease; see [`StoreClient::renew_lease`].
    pub async fn renew_lease(&self, lease: u64) -> Result<()> {
        self.call(true, async |client, _| client.renew_lease(lease).await).await
    }

    /// Revokes a lease, which removes the entries bound to it; see [`StoreClient::revoke_lease`].
    pub async fn revoke_lease(&self, lease: u64) -> Result<()> {
        self.call(true, async |client, _| client.revoke_lease(lease).await).await
    }
}

/// The error of a watch that ended because another call on the same path failed.
fn path_lost_error() -> StoreError {
    StoreError::NotApplied { problem: "another call showed that the direct path to the store is lost".to_owned() }
}

/// The error of a call that was not made because the store was unreachable a moment ago.
fn backoff_error() -> StoreError {
    StoreError::NotApplied { problem: "backing off, as the store was unreachable a moment ago".to_owned() }
}
