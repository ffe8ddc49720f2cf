//! The way from an entry daemon to the owner of a claim.

use super::{ClaimActor, ClaimMessage, SettleMessage, shard_of, shard_owner};
use crate::{
    api_error::{ApiError, Result},
    peer_client::PeerClient,
    request_id::RequestId,
    shared_state::SharedState,
};
use actix::Addr;
use pimentoslip_client::EtcdClient;
use pimentoslip_kernel::{RefusalReason, RunState, SharedName};
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::peer::{ClaimRequest, ClaimResponse, SettleRequest, SettleState, StoredResponse};
use std::{sync::Arc, time::Duration};

const CLAIM_TIMEOUT_MS: u64 = 2_500;
const CLAIM_ATTEMPTS: u32 = 3;
const CLAIM_PAUSE: Duration = Duration::from_millis(100);
const SETTLE_ATTEMPTS: u32 = 3;

/// Asks owners for claims. Not shared between threads.
#[derive(Clone)]
pub struct ClaimGate {
    shared: Arc<SharedState>,
    actor: Addr<ClaimActor<EtcdClient>>,
    peers: PeerClient,
}

/// A granted claim: its request may run once.
#[derive(Clone, Debug)]
pub struct ClaimTicket {
    key: SharedName,
    grant: u64,
}

/// This call did not run, but an earlier one under the same key may have, and the caller means the order.
fn doubtful(reason: RefusalReason, id: &RequestId) -> ApiError {
    ApiError { reason, run_state: RunState::MayHaveRun, request_id: id.clone() }
}

impl ClaimGate {
    /// Creates a gate; `actor` is this daemon's own owner of claims.
    pub fn new(shared: Arc<SharedState>, actor: Addr<ClaimActor<EtcdClient>>, peers: PeerClient) -> Self {
        Self { shared, actor, peers }
    }

    /// Claims `key` for a request with `fingerprint`. Either a ticket, or the answer of an earlier run.
    pub async fn claim(
        &self,
        key: SharedName,
        fingerprint: u64,
        within_ms: u64,
        id: &RequestId,
    ) -> Result<std::result::Result<ClaimTicket, StoredResponse>> {
        let request = ClaimRequest { key: key.clone(), grant_id: self.shared.draw(), fingerprint, within_ms };
        let ticket = ClaimTicket { key, grant: request.grant_id };
        let refuse = |reason| Err(ApiError::not_run(reason, id));
        for _ in 0..CLAIM_ATTEMPTS {
            match self.ask(&request).await {
                ClaimResponse::Granted => return Ok(Ok(ticket)),
                ClaimResponse::Replay(answer) => return Ok(Err(answer)),
                ClaimResponse::InProgress => return Err(doubtful(RefusalReason::ClaimInProgress, id)),
                ClaimResponse::Unknown => return Err(doubtful(RefusalReason::OutcomeUnknown, id)),
                ClaimResponse::Reused => return refuse(RefusalReason::IdempotencyKeyReused),
                ClaimResponse::Unavailable | ClaimResponse::NotOwner => actix_rt::time::sleep(CLAIM_PAUSE).await,
            }
        }
        // The claim may be on record without our knowing, and nothing was run under it.
        self.settle(&ticket, SettleState::NotRun).await;
        refuse(RefusalReason::ClaimUnavailable)
    }

    /// Tells the owner how the request of `ticket` ended.
    pub async fn settle(&self, ticket: &ClaimTicket, state: SettleState) {
        let request = SettleRequest { key: ticket.key.clone(), grant_id: ticket.grant, state };
        for _ in 0..SETTLE_ATTEMPTS {
            if self.settle_once(&request).await {
                return;
            }
            actix_rt::time::sleep(CLAIM_PAUSE).await;
        }
        LogLine::new("claim_unsettled").field("claim", &ticket.key).warn();
    }

    /// Name and control address of the shard's owner; no address when it is this daemon.
    fn owner(&self, key: &str) -> Option<(SharedName, Option<SharedName>)> {
        let members = self.shared.members();
        let name = shard_owner(shard_of(key), &members.active_names())?;
        let control = members.get(&name).map(|member| member.control.clone());
        Some((name, control))
    }

    async fn ask(&self, request: &ClaimRequest) -> ClaimResponse {
        let Some((name, control)) = self.owner(&request.key) else { return ClaimResponse::Unavailable };
        let Some(control) = control else {
            return self.actor.send(ClaimMessage(request.clone())).await.unwrap_or(ClaimResponse::Unavailable);
        };
        match self.peers.call(&control, "/peer/claim", request, CLAIM_TIMEOUT_MS).await {
            Ok(response) => response,
            Err(error) => {
                LogLine::new("claim_failed").field("owner", name).field("error", error).warn();
                ClaimResponse::Unavailable
            }
        }
    }

    async fn settle_once(&self, request: &SettleRequest) -> bool {
        match self.owner(&request.key) {
            None => false,
            Some((_, None)) => self.actor.send(SettleMessage(request.clone())).await.is_ok(),
            Some((_, Some(control))) => {
                self.peers.call::<_, ()>(&control, "/peer/settle", request, CLAIM_TIMEOUT_MS).await.is_ok()
            }
        }
    }
}
