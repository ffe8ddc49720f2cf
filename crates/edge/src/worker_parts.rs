//! State and clients of one thread.

use crate::{
    duty::UsageCollector,
    edge_metrics::EdgeMetrics,
    edge_state::EdgeState,
    peer_client::PeerClient,
    store::{NewsFeed, NewsHub, StoreAccess},
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
    pub upstreams: Client,
    /// Client for other daemons.
    pub peers: PeerClient,
    /// Client for the store.
    pub store: StoreAccess,
    /// Client for the store that passes peers' calls on.
    pub relay: StoreClient,
    /// Changes in the store, for this daemon.
    pub feed: NewsFeed,
    /// Changes in the store, for other daemons.
    pub news: NewsHub,
    /// Usage counts of other daemons.
    pub collector: UsageCollector,
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
        let direct = StoreClient::new(state.settings.store, EdgeMetrics::store_called);
        let store = StoreAccess::new(state.clone(), direct.purposed("serve_batches"));
        let peers = PeerClient::default();
        let feed = NewsFeed::new(state.clone(), store.clone(), peers.clone());
        Self {
            upstreams: client_with_user_timeout(UPSTREAM_USER_TIMEOUT),
            news: NewsHub::new(feed.purposed("news")),
            collector: UsageCollector::new(state.clone(), store.purposed("usage")),
            relay: direct.purposed("relay"),
            peers,
            store,
            feed,
            state,
        }
    }
}
