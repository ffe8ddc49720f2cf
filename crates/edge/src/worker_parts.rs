//! The shared state and the clients that one thread uses.

use crate::{
    duty::UsageCollector, edge_metrics::EdgeMetrics, edge_state::EdgeState, peer_client::PeerClient, store::StoreAccess,
};
use awc::Client;
use pimentoslip_client::upstream_client;
use pimentoslip_platform::{StoreClient, header};
use std::{sync::Arc, time::Duration};

/// Longest wait for a connection to an upstream. Round trips take milliseconds; a lost request for a connection is sent again
/// after a second, when another attempt is worth more.
const UPSTREAM_CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// TCP user timeout of connections to upstreams: a connection is closed when sent bytes stay unacknowledged for this
/// long. Round trips take milliseconds; lost bytes are sent again twice in this time.
const UPSTREAM_USER_TIMEOUT: Duration = Duration::from_millis(700);

/// Shared state and clients of a worker thread; passed to the HTTP handlers.
#[derive(Clone)]
pub struct WorkerParts {
    /// State shared with all other threads.
    pub state: Arc<EdgeState>,
    /// HTTP client for upstreams.
    pub upstream_client: Client,
    /// HTTP client for other daemons.
    pub peer_client: PeerClient,
    /// Access to the store, direct or relayed through a peer.
    pub store: StoreAccess,
    /// Direct client for the store, used to relay calls of peers that cannot reach it.
    pub relay_client: StoreClient,
    /// Collects usage counts of other daemons and stores them together.
    pub usage_collector: UsageCollector,
}

impl std::fmt::Debug for WorkerParts {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("WorkerParts").finish_non_exhaustive()
    }
}

impl WorkerParts {
    /// Creates the clients of the current thread.
    #[must_use]
    pub fn new(state: Arc<EdgeState>) -> Self {
        let direct_client = StoreClient::new(state.settings.store_address, EdgeMetrics::count_store_call);
        let store = StoreAccess::new(state.clone(), direct_client.with_purpose("serve_batches"));
        let peer_client = PeerClient::default();
        Self {
            upstream_client: upstream_client(UPSTREAM_CONNECT_TIMEOUT, UPSTREAM_USER_TIMEOUT, header::REQUEST_ID),
            usage_collector: UsageCollector::new(state.clone(), store.with_purpose("usage")),
            relay_client: direct_client.with_purpose("relay"),
            peer_client,
            store,
            state,
        }
    }
}
