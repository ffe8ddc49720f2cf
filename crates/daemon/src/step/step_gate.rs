//! The way from an entry daemon to the home of a step.

use super::{FetchMessage, OpenMessage, StepActor, step_actor::StepOutcome, step_key};
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

const FORWARD_MARGIN_MS: u64 = 3_000;

/// Passes trainers' calls to the home of their step. Not shared between threads.
#[derive(Clone)]
pub struct StepGate {
    shared: Arc<SharedState>,
    actor: Addr<StepActor>,
    peers: PeerClient,
}

impl StepGate {
    /// Creates a gate; `actor` is this daemon's own.
    #[must_use]
    pub fn new(shared: Arc<SharedState>, actor: Addr<StepActor>, peers: PeerClient) -> Self {
        Self { shared, actor, peers }
    }

    /// Opens a step at its home.
    pub async fn open(&self, organisation: SharedName, open: OpenRequest, id: &RequestId) -> Result<OpenResponse> {
        let key = step_key(&organisation, &open.trainer, open.step);
        let request = ForwardRequest::Open { organisation, request_id: id.shared(), open };
        match self.forward(&key, request, FORWARD_MARGIN_MS, id).await? {
            ForwardResponse::Opened(answer) => Ok(answer),
            answer => Err(unexpected(answer, id)),
        }
    }

    /// Fetches samples from a step's home.
    pub async fn fetch(&self, organisation: SharedName, fetch: FetchRequest, id: &RequestId) -> Result<FetchResponse> {
        let key = step_key(&organisation, &fetch.trainer, fetch.step);
        let timeout_ms = fetch.wait_ms + FORWARD_MARGIN_MS;
        let request = ForwardRequest::Fetch { organisation, request_id: id.shared(), fetch };
        match self.forward(&key, request, timeout_ms, id).await? {
            ForwardResponse::Fetched(answer) => Ok(answer),
            answer => Err(unexpected(answer, id)),
        }
    }

    /// Serves a call whose home is this daemon.
    pub async fn serve(&self, request: ForwardRequest) -> ForwardResponse {
        match request {
            ForwardRequest::Open { organisation, request_id, open } => {
                LogLine::new("step_open").field("request_id", &request_id).info();
                let outcome = self.actor.send(OpenMessage { organisation, open }).await;
                answer(outcome.unwrap_or(Err(RefusalReason::StepUnknown)), &request_id, ForwardResponse::Opened)
            }
            ForwardRequest::Fetch { organisation, request_id, fetch } => {
                LogLine::new("step_fetch").field("request_id", &request_id).info();
                let outcome = self.actor.send(FetchMessage { organisation, fetch }).await;
                answer(outcome.unwrap_or(Err(RefusalReason::StepUnknown)), &request_id, ForwardResponse::Fetched)
            }
        }
    }

    async fn forward(
        &self,
        key: &str,
        request: ForwardRequest,
        timeout_ms: u64,
        id: &RequestId,
    ) -> Result<ForwardResponse> {
        let control = {
            let members = self.shared.members();
            let home = pimentoslip_kernel::highest_ranked(&format!("step/{key}"), &members.active_names()).cloned();
            home.and_then(|home| members.get(&home).map(|member| member.control.clone()))
        };
        let Some(control) = control else { return Ok(self.serve(request).await) };
        self.peers.call(&control, "/peer/forward", &request, timeout_ms).await.map_err(|error| {
            LogLine::new("forward_failed").field("request_id", &**id).field("error", error).warn();
            ApiError::not_run(RefusalReason::PeerUnreachable, id)
        })
    }
}

fn answer<T>(outcome: StepOutcome<T>, id: &str, wrap: impl FnOnce(T) -> ForwardResponse) -> ForwardResponse {
    match outcome {
        Ok(answer) => wrap(answer),
        Err(reason) => ForwardResponse::Refused(reason.status(), Refusal::new(reason, RunState::NotRun, id)),
    }
}

/// Turns a refusal by the home into one by this daemon.
fn unexpected(answer: ForwardResponse, id: &RequestId) -> ApiError {
    let code = match &answer {
        ForwardResponse::Refused(_, refusal) => refusal.error.code.as_str(),
        ForwardResponse::Opened(_) | ForwardResponse::Fetched(_) => "",
    };
    let known = RefusalReason::ALL.iter().find(|reason| reason.code() == code);
    ApiError::not_run(known.copied().unwrap_or(RefusalReason::PeerUnreachable), id)
}
