//! Requests claims from the daemons that own their shards, and reports the outcomes of the claimed requests to them.

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

/// Timeout of a call to the shard's owner, including the wait for its group commit.
const CLAIM_TIMEOUT_MS: u64 = 2_500;
/// Number of attempts at a claim before it is refused as unavailable.
const CLAIM_ATTEMPTS: u32 = 3;
/// Delay after a failed attempt at a claim or at reporting an outcome.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Number of attempts at reporting an outcome.
const SETTLE_ATTEMPTS: u32 = 3;

/// Client for the owners of claim shards, which may be this daemon. Each thread has its own.
#[derive(Clone)]
pub struct ClaimClient {
    shared: Arc<SharedState>,
    /// Actor that holds the claim shards owned by this daemon.
    actor: Addr<ClaimActor<EtcdClient>>,
    peer_client: PeerClient,
}

/// A granted claim, which allows its request to run once.
#[derive(Clone, Debug)]
pub struct ClaimGrant {
    key: SharedName,
    /// Random ID of the attempt to which the claim was granted.
    grant_id: u64,
}

/// Refusal of a call that was not run itself, while an earlier call with the same idempotency key may have run. The run
/// state is that of the earlier call, because it tells the caller whether the operation may have been carried out.
fn may_have_run(reason: RefusalReason, id: &RequestId) -> ApiError {
    ApiError { reason, run_state: RunState::MayHaveRun, request_id: id.clone() }
}

impl ClaimClient {
    /// Creates a client; `actor` holds the shards that this daemon owns.
    pub fn new(shared: Arc<SharedState>, actor: Addr<ClaimActor<EtcdClient>>, peer_client: PeerClient) -> Self {
        Self { shared, actor, peer_client }
    }

    /// Claims `key` for the request with `fingerprint`, which ends within `within_ms` milliseconds. Returns a grant if
    /// the request may run, or the stored response if an earlier request with the same key has run. Returns an error if
    /// the earlier request may have run, if it was a different request, or if the claim could not be obtained in
    /// [`CLAIM_ATTEMPTS`] attempts.
    pub async fn claim(
        &self,
        key: SharedName,
        fingerprint: u64,
        within_ms: u64,
        id: &RequestId,
    ) -> Result<std::result::Result<ClaimGrant, StoredResponse>> {
        let request = ClaimRequest { key: key.clone(), grant_id: self.shared.random_u64(), fingerprint, within_ms };
        let grant = ClaimGrant { key, grant_id: request.grant_id };
        let refuse = |reason| Err(ApiError::not_run(reason, id));
        for _ in 0..CLAIM_ATTEMPTS {
            match self.request_claim(&request).await {
                ClaimResponse::Granted => return Ok(Ok(grant)),
                ClaimResponse::Replay(response) => return Ok(Err(response)),
                ClaimResponse::InProgress => return Err(may_have_run(RefusalReason::ClaimInProgress, id)),
                ClaimResponse::Unknown => return Err(may_have_run(RefusalReason::OutcomeUnknown, id)),
                ClaimResponse::Reused => return refuse(RefusalReason::IdempotencyKeyReused),
                ClaimResponse::Unavailable | ClaimResponse::NotOwner => actix_rt::time::sleep(RETRY_DELAY).await,
            }
        }
        // The claim may be stored although no response was received. Its request was not run, so it is released.
        self.settle(&grant, SettleState::NotRun).await;
        refuse(RefusalReason::ClaimUnavailable)
    }

    /// Reports to the shard's owner how the request of `grant` ended. If that fails, the claim stays in progress until
    /// its deadline. Afterwards its outcome counts as unknown, and later requests with its key are refused.
    pub async fn settle(&self, grant: &ClaimGrant, state: SettleState) {
        let request = SettleRequest { key: grant.key.clone(), grant_id: grant.grant_id, state };
        for _ in 0..SETTLE_ATTEMPTS {
            if self.settle_once(&request).await {
                return;
            }
            actix_rt::time::sleep(RETRY_DELAY).await;
        }
        LogLine::new("claim_unsettled").field("claim", &grant.key).warn();
    }

    /// Name and control address of the daemon that should own the shard of `key`; no address if it is this daemon.
    /// `None` if no daemon is active.
    fn owner(&self, key: &str) -> Option<(SharedName, Option<SharedName>)> {
        let members = self.shared.members();
        let name = shard_owner(shard_of(key), &members.active_names())?;
        let control_address = members.get(&name).map(|member| member.control_address.clone());
        Some((name, control_address))
    }

    /// Requests the claim from the shard's owner once.
    async fn request_claim(&self, request: &ClaimRequest) -> ClaimResponse {
        let Some((name, control_address)) = self.owner(&request.key) else { return ClaimResponse::Unavailable };
        let Some(control_address) = control_address else {
            return self.actor.send(ClaimMessage(request.clone())).await.unwrap_or(ClaimResponse::Unavailable);
        };
        match self.peer_client.call(&control_address, "/peer/claim", request, CLAIM_TIMEOUT_MS).await {
            Ok(response) => response,
            Err(error) => {
                LogLine::new("claim_failed").field("owner", name).field("error", error).warn();
                ClaimResponse::Unavailable
            }
        }
    }

    /// Reports the outcome to the shard's owner once. Returns whether the owner received it.
    async fn settle_once(&self, request: &SettleRequest) -> bool {
        match self.owner(&request.key) {
            None => false,
            Some((_, None)) => self.actor.send(SettleMessage(request.clone())).await.is_ok(),
            Some((_, Some(control_address))) => self
                .peer_client
                .call::<_, ()>(&control_address, "/peer/settle", request, CLAIM_TIMEOUT_MS)
                .await
                .is_ok(),
        }
    }
}
