//! Forwards trainers' calls to the daemons that own their steps.

use super::{
    FetchSamplesMessage, OpenStepMessage, StepActor,
    step_actor::{FETCH_WAIT_MS_MAX, StepOutcome},
    step_key,
};
use crate::{
    api_error::{ApiError, Result},
    peer_client::PeerClient,
    request_id::RequestId,
    shared_state::SharedState,
};
use actix::Addr;
use pimentoslip_kernel::{RefusalReason, RunState, SharedName};
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::{
    caller::{FetchRequest, FetchResponse, OpenRequest, OpenResponse, Refusal},
    peer::{ForwardRequest, ForwardResponse},
};
use std::sync::Arc;

/// Timeout of a forwarded call, in addition to the time for which the call itself may wait.
const FORWARD_TIMEOUT_MS: u64 = 3_000;

/// Client for the owners of steps, which may be this daemon. Each thread has its own.
#[derive(Clone)]
pub struct StepClient {
    shared: Arc<SharedState>,
    /// Actor that holds the steps owned by this daemon.
    actor: Addr<StepActor>,
    peer_client: PeerClient,
}

impl StepClient {
    /// Creates a client; `actor` holds the steps that this daemon owns.
    #[must_use]
    pub fn new(shared: Arc<SharedState>, actor: Addr<StepActor>, peer_client: PeerClient) -> Self {
        Self { shared, actor, peer_client }
    }

    /// Opens a step on the daemon that owns it.
    pub async fn open(&self, organisation: SharedName, open: OpenRequest, id: &RequestId) -> Result<OpenResponse> {
        let key = step_key(&organisation, &open.trainer, open.step);
        let request = ForwardRequest::Open { organisation, request_id: id.to_arc(), open };
        match self.forward(&key, request, FORWARD_TIMEOUT_MS, id).await? {
            ForwardResponse::Opened(response) => Ok(response),
            response => Err(refusal_error(response, id)),
        }
    }

    /// Fetches samples from the daemon that owns the step.
    pub async fn fetch(
        &self,
        organisation: SharedName,
        mut fetch: FetchRequest,
        id: &RequestId,
    ) -> Result<FetchResponse> {
        fetch.wait_ms = fetch.wait_ms.min(FETCH_WAIT_MS_MAX);
        let key = step_key(&organisation, &fetch.trainer, fetch.step);
        let timeout_ms = fetch.wait_ms + FORWARD_TIMEOUT_MS;
        let request = ForwardRequest::Fetch { organisation, request_id: id.to_arc(), fetch };
        match self.forward(&key, request, timeout_ms, id).await? {
            ForwardResponse::Fetched(response) => Ok(response),
            response => Err(refusal_error(response, id)),
        }
    }

    /// Serves a call for a step that this daemon owns.
    pub async fn serve_locally(&self, request: ForwardRequest) -> ForwardResponse {
        match request {
            ForwardRequest::Open { organisation, request_id, open } => {
                LogLine::new("step_open").field("request_id", &request_id).info();
                let outcome = self.actor.send(OpenStepMessage { organisation, open }).await;
                forward_response(
                    outcome.unwrap_or(Err(RefusalReason::StepUnknown)),
                    &request_id,
                    ForwardResponse::Opened,
                )
            }
            ForwardRequest::Fetch { organisation, request_id, fetch } => {
                LogLine::new("step_fetch").field("request_id", &request_id).info();
                let outcome = self.actor.send(FetchSamplesMessage { organisation, fetch }).await;
                forward_response(
                    outcome.unwrap_or(Err(RefusalReason::StepUnknown)),
                    &request_id,
                    ForwardResponse::Fetched,
                )
            }
        }
    }

    /// Sends a call to the daemon that should own the step `key`, or serves it locally if that is this daemon or no
    /// daemon is active.
    async fn forward(
        &self,
        key: &str,
        request: ForwardRequest,
        timeout_ms: u64,
        id: &RequestId,
    ) -> Result<ForwardResponse> {
        let control_address = {
            let members = self.shared.members();
            let owner = pimentoslip_kernel::highest_ranked(&format!("step/{key}"), &members.active_names()).cloned();
            owner.and_then(|owner| members.get(&owner).map(|member| member.control_address.clone()))
        };
        let Some(control_address) = control_address else { return Ok(self.serve_locally(request).await) };
        self.peer_client.call(&control_address, "/peer/forward", &request, timeout_ms).await.map_err(|error| {
            LogLine::new("forward_failed").field("request_id", &**id).field("error", error).warn();
            ApiError::not_run(RefusalReason::PeerUnreachable, id)
        })
    }
}

/// Response to the daemon that forwarded the call: the result in the variant of `wrap`, or the refusal.
fn forward_response<T>(outcome: StepOutcome<T>, id: &str, wrap: impl FnOnce(T) -> ForwardResponse) -> ForwardResponse {
    match outcome {
        Ok(response) => wrap(response),
        Err(reason) => ForwardResponse::Refused(reason.status(), Refusal::new(reason, RunState::NotRun, id)),
    }
}

/// Converts a refusal by the step's owner into one by this daemon. Any other response becomes `PeerUnreachable`.
fn refusal_error(response: ForwardResponse, id: &RequestId) -> ApiError {
    let code = match &response {
        ForwardResponse::Refused(_, refusal) => refusal.error.code.as_str(),
        ForwardResponse::Opened(_) | ForwardResponse::Fetched(_) => "",
    };
    let reason = RefusalReason::ALL.iter().find(|reason| reason.code() == code);
    ApiError::not_run(reason.copied().unwrap_or(RefusalReason::PeerUnreachable), id)
}
