//! Calls to plain services.

use super::{WorkerState, caller_auth::{CallerIdentity, authenticate, check_misplaced_key, idempotency_key, request_deadline}, request_body::read_body};
use crate::{api_error::{ApiError, Result}, claim::ClaimGrant, request_id::RequestId, upstream::{UpstreamRequest, dispatch}};
use actix_web::{
    HttpRequest, HttpResponse,
    http::{
        StatusCode,
        header::{ACCEPT, CONTENT_TYPE, HeaderName},
    },
    web,
};
use bytes::Bytes;
use pimentoslip_kernel::{RefusalReason, RequestClass, RunState, ServiceConfig, ServiceKind, SharedName, fingerprint};
use pimentoslip_wire::{REPLAYED_HEADER, REQUEST_ID_HEADER, peer::{SettleState, StoredResponse}};

const PLAIN_PRIORITY: u32 = 50;
const ANSWER_BYTES_MAX: usize = 8 << 20;
/// Answers up to this size are kept for repeats of a claimed request.
const STORED_BYTES_MAX: usize = 64 << 10;
/// A claim outlives its request's deadline by this much before its outcome counts as unknown.
const CLAIM_MARGIN_MS: u64 = 2_000;
const PATH_PREFIX: &str = "/services/";

/// Handles every method on `/services/SERVICE/PATH`.
pub async fn call(worker: web::Data<WorkerState>, request: HttpRequest, payload: web::Payload) -> Result<HttpResponse> {
    let id = worker.shared.next_request_id();
    let began = worker.shared.now();
    let inflight = worker.shared.inflight_guard();
    let prepared = prepare(&worker, &request, payload, &id).await;
    let outcome = match prepared {
        Ok(upstream) => {
            // A caller that hangs up must not stop a request in the middle, so it runs on its own.
            let task = worker.clone();
            let run = actix_rt::spawn(async move {
                let outcome = run(&task, &upstream).await;
                drop(inflight);
                outcome
            });
            run.await.unwrap_or_else(|_| {
                Err(ApiError {
                    reason: RefusalReason::UpstreamLost,
                    run_state: RunState::MayHaveRun,
                    request_id: id.clone(),
                })
            })
        }
        Err(error) => Err(error),
    };
    let outcome = outcome.map(|answer| reply(&answer.0, answer.1, &id));
    worker.record_outcome(&id, began, outcome)
}

fn reply(answer: &StoredResponse, replayed: bool, id: &RequestId) -> HttpResponse {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut reply = HttpResponse::build(status);
    reply.insert_header((REQUEST_ID_HEADER, &**id));
    if !answer.content_type.is_empty() {
        reply.insert_header((CONTENT_TYPE, &*answer.content_type));
    }
    if replayed {
        reply.insert_header((REPLAYED_HEADER, "true"));
    }
    reply.body(answer.body.clone())
}

async fn prepare(
    worker: &WorkerState,
    request: &HttpRequest,
    payload: web::Payload,
    id: &RequestId,
) -> Result<UpstreamRequest> {
    let shared = &worker.shared;
    worker.check_draining(id)?;
    let (service_name, path) = split_path(request, id)?;
    let service = plain_service(worker, &service_name, id)?;
    let caller = match is_open(&service, &path) {
        true => CallerIdentity::anonymous(),
        false => authenticate(shared, request, &service_name, id)?,
    };
    let body = read_body(shared, payload, id).await?;
    check_misplaced_key(shared, &path, &body, id)?;
    let text = |name: HeaderName| Some(request.headers().get(name)?.to_str().ok()?.to_owned());
    let key = idempotency_key(request.headers(), id)?;
    let class = RequestClass::classify(request.method().as_str(), service.repeatable, key.as_deref());
    Ok(UpstreamRequest {
        id: id.clone(),
        fingerprint: fingerprint(&[
            caller.organisation.as_bytes(),
            service_name.as_bytes(),
            request.method().as_str().as_bytes(),
            path.as_bytes(),
            &body,
        ]),
        organisation: caller.organisation,
        service: service_name,
        method: request.method().clone(),
        path,
        content_type: text(CONTENT_TYPE),
        accept: text(ACCEPT),
        body,
        class,
        priority: PLAIN_PRIORITY,
        deadline: request_deadline(request.headers(), service.timeout_ms, shared.now()),
        prefix_hash: None,
        inflight_max: service.inflight_per_upstream,
    })
}

/// Service and the path that the upstream sees, with its query.
fn split_path(request: &HttpRequest, id: &RequestId) -> Result<(SharedName, String)> {
    let unknown = || ApiError::not_run(RefusalReason::ServiceUnknown, id);
    let full = request.uri().path_and_query().map_or("", |path| path.as_str());
    let rest = full.strip_prefix(PATH_PREFIX).ok_or_else(unknown)?;
    let (service, path) = rest.split_once('/').ok_or_else(unknown)?;
    Ok((service.into(), format!("/{path}")))
}

fn plain_service(worker: &WorkerState, name: &str, id: &RequestId) -> Result<ServiceConfig> {
    let config = worker.shared.config();
    let service = config.service(name).filter(|service| service.kind == ServiceKind::Plain);
    service.cloned().ok_or_else(|| ApiError::not_run(RefusalReason::ServiceUnknown, id))
}

/// Whether a path needs no key. Paths that an upstream might read in another way are never open.
fn is_open(service: &ServiceConfig, path: &str) -> bool {
    let path = path.split('?').next().unwrap_or("");
    if path.contains("..") || path.contains("//") || path.contains('%') || path.contains('\\') {
        return false;
    }
    service.open_paths.iter().any(|open| {
        path.strip_prefix(&**open).is_some_and(|rest| rest.is_empty() || rest.starts_with('/') || open.ends_with('/'))
    })
}

/// Runs the request, under a claim if it has an idempotency key. The flag tells a repeated answer.
async fn run(worker: &WorkerState, request: &UpstreamRequest) -> Result<(StoredResponse, bool)> {
    let RequestClass::Claimed(key) = &request.class else { return Ok((exchange(worker, request).await?, false)) };
    let claim = format!("{}/{}/{key}", request.organisation, request.service).into();
    let within_ms = request.deadline.since_ms(worker.shared.now()) + CLAIM_MARGIN_MS;
    let ticket = match worker.claims.claim(claim, request.fingerprint, within_ms, &request.id).await? {
        Ok(ticket) => ticket,
        Err(answer) => return Ok((answer, true)),
    };
    let outcome = exchange(worker, request).await;
    settle(worker, &ticket, &outcome).await;
    Ok((outcome?, false))
}

async fn settle(worker: &WorkerState, ticket: &ClaimGrant, outcome: &Result<StoredResponse>) {
    let state = match outcome {
        Ok(answer) if answer.body.len() <= STORED_BYTES_MAX => SettleState::Ran(answer.clone()),
        Ok(_) => SettleState::Lost,
        Err(error) if error.run_state == RunState::NotRun => SettleState::NotRun,
        Err(_) => SettleState::Lost,
    };
    worker.claims.settle(ticket, state).await;
}

/// Sends the request and reads the whole answer.
async fn exchange(worker: &WorkerState, request: &UpstreamRequest) -> Result<StoredResponse> {
    let client =
        if request.class == RequestClass::Idempotent { &worker.upstream_client } else { &worker.non_idempotent_client };
    let mut dispatched = dispatch(&worker.shared, client, request).await?;
    let content_type =
        dispatched.response.headers().get(CONTENT_TYPE).and_then(|value| value.to_str().ok()).unwrap_or("");
    let content_type = SharedName::from(content_type);
    let body: Bytes = match dispatched.response.body().limit(ANSWER_BYTES_MAX).await {
        Ok(body) => body,
        Err(_) => {
            dispatched.guard.connection_lost().await;
            return Err(ApiError {
                reason: RefusalReason::UpstreamLost,
                run_state: RunState::Ran,
                request_id: request.id.clone(),
            });
        }
    };
    dispatched.guard.request_completed();
    worker.shared.record_usage(&request.organisation, &request.service, 0);
    Ok(StoredResponse { status: dispatched.response.status().as_u16(), content_type, body: body.to_vec() })
}
