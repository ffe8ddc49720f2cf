//! State and clients of one thread.

use crate::{
    duty::UsageCollector,
    edge_metrics::EdgeMetrics,
    edge_state::EdgeState,
    peer_client::PeerClient,
    store::{ChangeFeed, ChangeHub, StoreAccess},
};
use awc::Client;
use pimentoslip_client::client_with_user_timeout;
use pimentoslip_platform::StoreClient;
use std::{sync::Arc, time::Duration};

/// Unacknowledged bytes towards an upstream are given up after this; round trips take milliseconds.
const UPSTREAM_USER_TIMEOUT: Duration = Duration::from_millis(2_000);

/// State and clients of a worker.
#[derive(Clone)]
pub struct WorkerParts {
    /// State.
    pub state: Arc<EdgeState>,
    /// Client for upstreams.
    pub upstream_client: Client,
    /// Client for other daemons.
    pub peer_client: PeerClient,
    /// Client for the store.
    pub store: StoreAccess,
    /// Client for the store that passes peers' calls on.
    pub relay_client: StoreClient,
    /// Changes in the store, for this daemon.
    pub change_feed: ChangeFeed,
    /// Changes in the store, for other daemons.
    pub change_hub: ChangeHub,
    /// Usage counts of other daemons.
    pub usage_collector: UsageCollector,
}

impl std::fmt::Debug for WorkerParts {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("WorkerParts").finish_non_exhaustive()
    }
}

impl WorkerParts {
    /// Creates the parts of the current thread.
    #[must_use]
    pub fn new(state: Arc<EdgeState>) -> Self {
        let direct = StoreClient::new(state.settings.store, EdgeMetrics::count_store_call);
        let store = StoreAccess::new(state.clone(), direct.purposed("serve_batches"));
        let peer_client = PeerClient::default();
        let change_feed = ChangeFeed::new(state.clone(), store.clone(), peer_client.clone());
        Self {
            upstream_client: client_with_user_timeout(UPSTREAM_USER_TIMEOUT),
            change_hub: ChangeHub::new(change_feed.with_purpose("news")),
            usage_collector: UsageCollector::new(state.clone(), store.with_purpose("usage")),
            relay_client: direct.purposed("relay"),
            peer_client,
            store,
            change_feed,
            state,
        }
    }
}
