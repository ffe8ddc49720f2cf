//! OpenAI-compatible API for calls to model engines.

use super::{
    WorkerState,
    caller_auth::{CallerIdentity, authenticate, check_misplaced_key, idempotency_key, request_deadline},
    request_body::read_body,
};
use crate::{
    admission_controller::{AdmissionController, AdmissionGuard, AdmissionRequest},
    api_error::{ApiError, Result},
    request_id::RequestId,
    shared_state::InflightGuard,
    upstream::{StreamBody, StreamContext, UpstreamRequest, UpstreamResponse, dispatch},
};
use actix_web::{HttpRequest, HttpResponse, http::header::CONTENT_TYPE, web};
use bytes::Bytes;
use futures_util::Stream;
use pimentoslip_kernel::{
    AdmissionPolicy, RefusalReason, RequestClass, RunState, ServiceConfig, ServiceKind, fingerprint,
};
use pimentoslip_wire::{
    REQUEST_ID_HEADER,
    engine::{CompletionRequest, TokenUsage},
};

/// Priority of callers' requests. Engines run lower values first, so these run before the samples of trainers.
const CALLER_PRIORITY: u32 = 50;
/// Number of generated tokens assumed for a request without `max_tokens`.
const DEFAULT_EXPECTED_TOKENS: u32 = 256;
/// Length of the prompt prefix that is hashed for routing, so that an upstream with this prefix cached is preferred.
const PROMPT_PREFIX_BYTES: usize = 256;
/// Maximum size of an upstream's response that is not streamed.
const RESPONSE_BYTES_MAX: usize = 16 << 20;
const EVENT_STREAM: &str = "text/event-stream";

/// Handles `POST /v1/chat/completions` and `/v1/completions`.
pub async fn create_completion(
    worker: web::Data<WorkerState>,
    request: HttpRequest,
    payload: web::Payload,
) -> Result<HttpResponse> {
    let id = worker.shared.next_request_id();
    let started_at = worker.shared.now();
    let inflight_guard = worker.shared.inflight_guard();
    let outcome = run_completion(&worker, &request, payload, &id, inflight_guard).await;
    worker.record_outcome(&id, started_at, outcome)
}

async fn run_completion(
    worker: &WorkerState,
    request: &HttpRequest,
    payload: web::Payload,
    id: &RequestId,
    inflight_guard: InflightGuard,
) -> Result<HttpResponse> {
    let shared = &worker.shared;
    worker.check_accepts_requests(id)?;
    let body = read_body(shared, payload, id).await?;
    let completion: CompletionRequest =
        serde_json::from_slice(&body).map_err(|_| ApiError::not_run(RefusalReason::BodyMalformed, id))?;
    let service = engine_service(worker, &completion, id)?;
    let caller = authenticate(shared, request, &completion.model, id)?;
    check_misplaced_key(shared, request.path(), &body, id)?;
    let upstream_request = upstream_request(worker, request, &completion, &caller, &service, body, id)?;
    let admission_guard = admit(worker, &upstream_request, &caller, &service, &completion, id).await?;
    let upstream_response = dispatch(shared, &worker.upstream_client, &upstream_request).await?;
    if upstream_response
        .response
        .headers()
        .get(CONTENT_TYPE)
        .is_some_and(|value| value.as_bytes().starts_with(EVENT_STREAM.as_bytes()))
    {
        let context = StreamContext {
            shared: shared.clone(),
            organisation: caller.organisation,
            key_id: caller.key_id,
            service: completion.model,
            id: id.clone(),
        };
        let body = StreamBody::new(
            context,
            upstream_response.response,
            upstream_response.guard,
            admission_guard,
            inflight_guard,
        );
        return Ok(HttpResponse::Ok()
            .insert_header((REQUEST_ID_HEADER, &**id))
            .content_type(EVENT_STREAM)
            .streaming(body));
    }
    buffered_response(worker, upstream_response, &upstream_request, &admission_guard, id).await
}

/// Settings of the requested engine service.
fn engine_service(worker: &WorkerState, completion: &CompletionRequest, id: &RequestId) -> Result<ServiceConfig> {
    let config = worker.shared.config();
    config
        .service(&completion.model)
        .filter(|service| service.kind == ServiceKind::Engine)
        .cloned()
        .ok_or_else(|| ApiError::not_run(RefusalReason::ServiceUnknown, id))
}

/// Request to an upstream for the completion. Fails if the caller's idempotency key is invalid.
fn upstream_request(
    worker: &WorkerState,
    request: &HttpRequest,
    completion: &CompletionRequest,
    caller: &CallerIdentity,
    service: &ServiceConfig,
    body: Bytes,
    id: &RequestId,
) -> Result<UpstreamRequest> {
    // Completions have no side effects, so an idempotency key is only checked for its form.
    idempotency_key(request.headers(), id)?;
    let prompt =
        completion.prompt.as_deref().or_else(|| Some(completion.messages.first()?.content.as_str())).unwrap_or("");
    let prompt_prefix = &prompt.as_bytes()[..prompt.len().min(PROMPT_PREFIX_BYTES)];
    Ok(UpstreamRequest {
        id: id.clone(),
        organisation: caller.organisation.clone(),
        service: completion.model.clone(),
        method: request.method().clone(),
        path: request.path().to_owned(),
        content_type: Some("application/json".to_owned()),
        accept: completion.stream.then(|| EVENT_STREAM.to_owned()),
        is_owed: false,
        fingerprint: fingerprint(&[caller.organisation.as_bytes(), &body]),
        prefix_hash: Some(fingerprint(&[prompt_prefix])),
        body,
        class: RequestClass::Idempotent,
        priority: CALLER_PRIORITY,
        deadline: request_deadline(request.headers(), service.timeout_ms, worker.shared.now()),
        inflight_max: service.inflight_per_upstream,
    })
}

/// Waits until the request is admitted. Fails if its queue is full, its deadline passes, or no upstream is available.
async fn admit(
    worker: &WorkerState,
    upstream_request: &UpstreamRequest,
    caller: &CallerIdentity,
    service: &ServiceConfig,
    completion: &CompletionRequest,
    id: &RequestId,
) -> Result<AdmissionGuard> {
    let shared = &worker.shared;
    if shared.routes().capacity(&upstream_request.service, 1) == 0 {
        return Err(ApiError::not_run(RefusalReason::NoUpstream, id));
    }
    // Under the first-come, first-served policy all requests wait in a single queue without a limit.
    let is_fair = shared.settings.admission_policy == AdmissionPolicy::Fair;
    let admission_request = AdmissionRequest {
        organisation: if is_fair { caller.organisation.clone() } else { "".into() },
        weight: caller.weight,
        service: upstream_request.service.clone(),
        expected_tokens: u64::from(completion.max_tokens.unwrap_or(DEFAULT_EXPECTED_TOKENS)),
        depth_max: if is_fair { service.queue_depth } else { usize::MAX },
        inflight_max: service.inflight_per_upstream,
        deadline: upstream_request.deadline,
    };
    let remaining_ms = upstream_request.deadline.since_ms(shared.now());
    let admission = AdmissionController::wait_for_admission(shared, admission_request);
    match actix_rt::time::timeout(std::time::Duration::from_millis(remaining_ms), admission).await {
        Ok(Ok(guard)) => Ok(guard),
        Ok(Err(_)) => Err(ApiError::not_run(RefusalReason::QueueFull, id)),
        Err(_) => Err(ApiError::not_run(RefusalReason::DeadlinePassed, id)),
    }
}

/// Reads the complete response of the upstream, counts its usage and returns the response to the caller.
async fn buffered_response<S>(
    worker: &WorkerState,
    mut upstream_response: UpstreamResponse<S>,
    upstream_request: &UpstreamRequest,
    admission_guard: &AdmissionGuard,
    id: &RequestId,
) -> Result<HttpResponse>
where
    S: Stream<Item = std::result::Result<Bytes, awc::error::PayloadError>> + Unpin,
{
    #[derive(serde::Deserialize)]
    struct CompletionResponse {
        #[serde(default)]
        usage: TokenUsage,
    }
    let Ok(body) = upstream_response.response.body().limit(RESPONSE_BYTES_MAX).await else {
        upstream_response.guard.connection_lost().await;
        return Err(ApiError { reason: RefusalReason::UpstreamLost, run_state: RunState::Ran, request_id: id.clone() });
    };
    upstream_response.guard.request_completed();
    let tokens =
        serde_json::from_slice::<CompletionResponse>(&body).map_or(0, |completion| completion.usage.completion_tokens);
    admission_guard.record_actual_tokens(tokens);
    worker.shared.record_usage(&upstream_request.organisation, &upstream_request.service, tokens);
    let mut response = HttpResponse::build(upstream_response.response.status());
    if let Some(content_type) = upstream_response.response.headers().get(CONTENT_TYPE) {
        response.insert_header((CONTENT_TYPE, content_type.clone()));
    }
    Ok(response.insert_header((REQUEST_ID_HEADER, &**id)).body(body))
}
