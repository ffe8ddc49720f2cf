//! Calls to model engines, in the OpenAI-compatible form.

use super::{WorkerState, caller_auth::{CallerIdentity, authenticate, check_misplaced_key, idempotency_key, request_deadline}, request_body::read_body};
use crate::{admission_controller::{AdmissionController, AdmissionGuard, AdmissionRequest}, api_error::{ApiError, Result}, request_id::RequestId, shared_state::InflightGuard, upstream::{StreamBody, StreamContext, UpstreamRequest, UpstreamResponse, dispatch}};
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

/// Engines run customers' calls before trainers' work.
const CUSTOMER_PRIORITY: u32 = 50;
const EXPECTED_TOKENS: u32 = 256;
const PREFIX_BYTES: usize = 256;
const ANSWER_BYTES_MAX: usize = 16 << 20;
const EVENT_STREAM: &str = "text/event-stream";

/// Handles `POST /v1/chat/completions` and `/v1/completions`.
pub async fn complete(
    worker: web::Data<WorkerState>,
    request: HttpRequest,
    payload: web::Payload,
) -> Result<HttpResponse> {
    let id = worker.shared.next_request_id();
    let began = worker.shared.now();
    let inflight = worker.shared.inflight_guard();
    let outcome = run(&worker, &request, payload, &id, inflight).await;
    worker.record_outcome(&id, began, outcome)
}

async fn run(
    worker: &WorkerState,
    request: &HttpRequest,
    payload: web::Payload,
    id: &RequestId,
    inflight: InflightGuard,
) -> Result<HttpResponse> {
    let shared = &worker.shared;
    worker.check_draining(id)?;
    let body = read_body(shared, payload, id).await?;
    let question: CompletionRequest =
        serde_json::from_slice(&body).map_err(|_| ApiError::not_run(RefusalReason::BodyMalformed, id))?;
    let service = engine_service(worker, &question, id)?;
    let caller = authenticate(shared, request, &question.model, id)?;
    check_misplaced_key(shared, request.path(), &body, id)?;
    let upstream = upstream_request(worker, request, &question, &caller, &service, body, id)?;
    let admission = admit(worker, &upstream, &caller, &service, &question, id).await?;
    let dispatched = dispatch(shared, &worker.upstream_client, &upstream).await?;
    if dispatched
        .response
        .headers()
        .get(CONTENT_TYPE)
        .is_some_and(|value| value.as_bytes().starts_with(EVENT_STREAM.as_bytes()))
    {
        let owner = StreamContext {
            shared: shared.clone(),
            organisation: caller.organisation,
            key_id: caller.key_id,
            service: question.model,
            id: id.clone(),
        };
        let body = StreamBody::new(owner, dispatched.response, dispatched.guard, admission, inflight);
        return Ok(HttpResponse::Ok()
            .insert_header((REQUEST_ID_HEADER, &**id))
            .content_type(EVENT_STREAM)
            .streaming(body));
    }
    whole_answer(worker, dispatched, &upstream, &admission, id).await
}

fn engine_service(worker: &WorkerState, question: &CompletionRequest, id: &RequestId) -> Result<ServiceConfig> {
    let config = worker.shared.config();
    config
        .service(&question.model)
        .filter(|service| service.kind == ServiceKind::Engine)
        .cloned()
        .ok_or_else(|| ApiError::not_run(RefusalReason::ServiceUnknown, id))
}

fn upstream_request(
    worker: &WorkerState,
    request: &HttpRequest,
    question: &CompletionRequest,
    caller: &CallerIdentity,
    service: &ServiceConfig,
    body: Bytes,
    id: &RequestId,
) -> Result<UpstreamRequest> {
    // Completions have no effect outside their answer: an idempotency key is checked but adds nothing.
    idempotency_key(request.headers(), id)?;
    let prompt = question.prompt.as_deref().or_else(|| Some(question.messages.first()?.content.as_str())).unwrap_or("");
    let head = &prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)];
    Ok(UpstreamRequest {
        id: id.clone(),
        organisation: caller.organisation.clone(),
        service: question.model.clone(),
        method: request.method().clone(),
        path: request.path().to_owned(),
        content_type: Some("application/json".to_owned()),
        accept: question.stream.then(|| EVENT_STREAM.to_owned()),
        fingerprint: fingerprint(&[caller.organisation.as_bytes(), &body]),
        prefix_hash: Some(fingerprint(&[head])),
        body,
        class: RequestClass::Idempotent,
        priority: CUSTOMER_PRIORITY,
        deadline: request_deadline(request.headers(), service.timeout_ms, worker.shared.now()),
        inflight_max: service.inflight_per_upstream,
    })
}

async fn admit(
    worker: &WorkerState,
    upstream: &UpstreamRequest,
    caller: &CallerIdentity,
    service: &ServiceConfig,
    question: &CompletionRequest,
    id: &RequestId,
) -> Result<AdmissionGuard> {
    let shared = &worker.shared;
    if shared.routes().capacity(&upstream.service, 1) == 0 {
        return Err(ApiError::not_run(RefusalReason::NoUpstream, id));
    }
    // In order of arrival means: all in one queue.
    let fair = shared.settings.admission_policy == AdmissionPolicy::Fair;
    let admission = AdmissionRequest {
        organisation: if fair { caller.organisation.clone() } else { "".into() },
        weight: caller.weight,
        service: upstream.service.clone(),
        expected_tokens: u64::from(question.max_tokens.unwrap_or(EXPECTED_TOKENS)),
        depth_max: if fair { service.queue_depth } else { usize::MAX },
        inflight_max: service.inflight_per_upstream,
    };
    let left_ms = upstream.deadline.since_ms(shared.now());
    let entered = AdmissionController::wait_for_admission(shared, admission);
    match actix_rt::time::timeout(std::time::Duration::from_millis(left_ms), entered).await {
        Ok(Some(guard)) => Ok(guard),
        Ok(None) => Err(ApiError::not_run(RefusalReason::QueueFull, id)),
        Err(_) => Err(ApiError::not_run(RefusalReason::DeadlinePassed, id)),
    }
}

async fn whole_answer<S>(
    worker: &WorkerState,
    mut dispatched: UpstreamResponse<S>,
    upstream: &UpstreamRequest,
    admission: &AdmissionGuard,
    id: &RequestId,
) -> Result<HttpResponse>
where
    S: Stream<Item = std::result::Result<Bytes, awc::error::PayloadError>> + Unpin,
{
    #[derive(serde::Deserialize)]
    struct Answer {
        #[serde(default)]
        usage: TokenUsage,
    }
    let Ok(body) = dispatched.response.body().limit(ANSWER_BYTES_MAX).await else {
        dispatched.guard.connection_lost().await;
        return Err(ApiError { reason: RefusalReason::UpstreamLost, run_state: RunState::Ran, request_id: id.clone() });
    };
    dispatched.guard.request_completed();
    let tokens = serde_json::from_slice::<Answer>(&body).map_or(0, |answer| answer.usage.completion_tokens);
    admission.record_actual_tokens(tokens);
    worker.shared.record_usage(&upstream.organisation, &upstream.service, tokens);
    let mut answer = HttpResponse::build(dispatched.response.status());
    if let Some(content_type) = dispatched.response.headers().get(CONTENT_TYPE) {
        answer.insert_header((CONTENT_TYPE, content_type.clone()));
    }
    Ok(answer.insert_header((REQUEST_ID_HEADER, &**id)).body(body))
}
