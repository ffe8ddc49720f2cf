//! State and clients of one thread that serves requests.

use crate::{
    api_error::Result,
    claim::{ClaimActor, ClaimClient},
    peer_client::PeerClient,
    request_id::RequestId,
    shared_state::SharedState,
    step::{StepActor, StepClient},
};
use actix::Addr;
use actix_web::HttpResponse;
use awc::Client;
use pimentoslip_client::{EtcdClient, plain_client, plain_upstream_client};
use pimentoslip_kernel::{RefusalReason, TimePoint};
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::REQUEST_ID_HEADER;
use std::sync::{Arc, atomic::Ordering};

/// State of one serving thread: its own clients, and references to the state and actors of the daemon.
pub struct WorkerState {
    /// State shared by the whole daemon.
    pub shared: Arc<SharedState>,
    /// Client for requests that may be repeated, which reuses connections to upstreams.
    pub upstream_client: Client,
    /// Client for requests that must not run twice, whose connections are never reused.
    pub non_idempotent_client: Client,
    /// Client for peers.
    pub peer_client: PeerClient,
    /// Client for the key-value service.
    pub kv: EtcdClient,
    /// Client for the daemons that own the claims.
    pub claim_client: ClaimClient,
    /// Actor that holds the claims owned by this daemon.
    pub claim_actor: Addr<ClaimActor<EtcdClient>>,
    /// Client for the daemons that own the steps.
    pub step_client: StepClient,
    /// Actor that holds the steps owned by this daemon.
    pub step_actor: Addr<StepActor>,
}

impl WorkerState {
    /// Creates the state of a thread, with new clients.
    #[must_use]
    pub fn new(
        shared: Arc<SharedState>,
        claim_actor: Addr<ClaimActor<EtcdClient>>,
        step_actor: Addr<StepActor>,
    ) -> Self {
        let peer_client = PeerClient::new(shared.settings.cluster_secret.clone());
        Self {
            upstream_client: plain_upstream_client(REQUEST_ID_HEADER),
            non_idempotent_client: plain_client(),
            kv: EtcdClient::new(shared.settings.kv_address.clone(), shared.kv_calls.clone()),
            claim_client: ClaimClient::new(shared.clone(), claim_actor.clone(), peer_client.clone()),
            step_client: StepClient::new(shared.clone(), step_actor.clone(), peer_client.clone()),
            claim_actor,
            step_actor,
            peer_client,
            shared,
        }
    }

    /// Refuses a new request if this daemon is shutting down and the balancer has had time to notice.
    pub fn check_accepts_requests(&self, id: &RequestId) -> Result<()> {
        if self.shared.refusing_requests.load(Ordering::SeqCst) {
            return Err(crate::api_error::ApiError::not_run(RefusalReason::Draining, id));
        }
        Ok(())
    }

    /// Counts and logs the outcome of a caller's request, and returns it.
    pub fn record_outcome(
        &self,
        id: &RequestId,
        started_at: TimePoint,
        outcome: Result<HttpResponse>,
    ) -> Result<HttpResponse> {
        let duration_ms = self.shared.now().since_ms(started_at);
        let line = LogLine::new("request").field("request_id", &**id).field("ms", duration_ms);
        self.shared.metrics.latency_seconds.observe(duration_ms as f64 / 1_000.0);
        match &outcome {
            Ok(response) => line.field("status", response.status().as_u16()).info(),
            Err(error) => {
                self.shared.metrics.count_refusal(error.reason);
                line.field("status", error.reason.status())
                    .field("reason", error.reason.code())
                    .field("run_state", error.run_state.as_str())
                    .info();
            }
        }
        outcome
    }
}
