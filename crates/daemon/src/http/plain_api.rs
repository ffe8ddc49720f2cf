//! Forwards calls to plain HTTP services, under a claim if the caller sends an idempotency key.

use super::{
    WorkerState,
    caller_auth::{CallerIdentity, authenticate, check_misplaced_key, idempotency_key, request_deadline},
    request_body::read_body,
};
use crate::{
    api_error::{ApiError, Result},
    claim::ClaimGrant,
    request_id::RequestId,
    upstream::{UpstreamRequest, dispatch},
};
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
use pimentoslip_wire::{
    REPLAYED_HEADER, REQUEST_ID_HEADER,
    peer::{SettleState, StoredResponse},
};

/// Priority sent to the upstream with each request.
const PLAIN_PRIORITY: u32 = 50;
/// Maximum size of an upstream's response.
const RESPONSE_BYTES_MAX: usize = 8 << 20;
/// Maximum size of a response that is stored with its claim, to be replayed when the request is repeated.
const STORED_RESPONSE_BYTES_MAX: usize = 64 << 10;
/// Time after the deadline of a claimed request at which its outcome counts as unknown if it has not been settled.
const CLAIM_MARGIN_MS: u64 = 2_000;
const PATH_PREFIX: &str = "/services/";

/// Handles every method on `/services/SERVICE/PATH`.
pub async fn call_service(
    worker: web::Data<WorkerState>,
    request: HttpRequest,
    payload: web::Payload,
) -> Result<HttpResponse> {
    let id = worker.shared.next_request_id();
    let started_at = worker.shared.now();
    let inflight_guard = worker.shared.inflight_guard();
    let prepared_request = prepare_request(&worker, &request, payload, &id).await;
    let outcome = match prepared_request {
        Ok(upstream_request) => {
            // The request runs in a task of its own, so that it is not cancelled when the caller disconnects.
            let task_worker = worker.clone();
            let run_task = actix_rt::spawn(async move {
                let outcome = run_request(&task_worker, &upstream_request).await;
                drop(inflight_guard);
                outcome
            });
            run_task.await.unwrap_or_else(|_| {
                Err(ApiError {
                    reason: RefusalReason::UpstreamLost,
                    run_state: RunState::MayHaveRun,
                    request_id: id.clone(),
                })
            })
        }
        Err(error) => Err(error),
    };
    let outcome = outcome.map(|response| caller_response(&response.0, response.1, &id));
    worker.record_outcome(&id, started_at, outcome)
}

/// Response to the caller. `replayed` says whether it is from an earlier run of the claimed request.
fn caller_response(stored_response: &StoredResponse, replayed: bool, id: &RequestId) -> HttpResponse {
    let status = StatusCode::from_u16(stored_response.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = HttpResponse::build(status);
    response.insert_header((REQUEST_ID_HEADER, &**id));
    if !stored_response.content_type.is_empty() {
        response.insert_header((CONTENT_TYPE, &*stored_response.content_type));
    }
    if replayed {
        response.insert_header((REPLAYED_HEADER, "true"));
    }
    response.body(stored_response.body.clone())
}

/// Authenticates the caller, reads the body and builds the request for the upstream.
async fn prepare_request(
    worker: &WorkerState,
    request: &HttpRequest,
    payload: web::Payload,
    id: &RequestId,
) -> Result<UpstreamRequest> {
    let shared = &worker.shared;
    worker.check_accepts_requests(id)?;
    let (service_name, path) = split_path(request, id)?;
    let service = plain_service(worker, &service_name, id)?;
    let caller = match is_open_path(&service, &path) {
        true => CallerIdentity::anonymous(),
        false => authenticate(shared, request, &service_name, id)?,
    };
    let body = read_body(shared, payload, id).await?;
    check_misplaced_key(shared, &path, &body, id)?;
    let header_text = |name: HeaderName| Some(request.headers().get(name)?.to_str().ok()?.to_owned());
    let key = idempotency_key(request.headers(), id)?;
    let class = RequestClass::classify(request.method().as_str(), service.repeatable, key.as_deref());
    Ok(UpstreamRequest {
        id: id.clone(),
        is_owed: false,
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
        content_type: header_text(CONTENT_TYPE),
        accept: header_text(ACCEPT),
        body,
        class,
        priority: PLAIN_PRIORITY,
        deadline: request_deadline(request.headers(), service.timeout_ms, shared.now()),
        prefix_hash: None,
        inflight_max: service.inflight_per_upstream,
    })
}

/// Splits the request path into the service and the path, with its query, that the upstream receives.
fn split_path(request: &HttpRequest, id: &RequestId) -> Result<(SharedName, String)> {
    let unknown = || ApiError::not_run(RefusalReason::ServiceUnknown, id);
    let full_path = request.uri().path_and_query().map_or("", |path| path.as_str());
    let service_path = full_path.strip_prefix(PATH_PREFIX).ok_or_else(unknown)?;
    let (service, path) = service_path.split_once('/').ok_or_else(unknown)?;
    Ok((service.into(), format!("/{path}")))
}

/// Settings of the plain service `name`.
fn plain_service(worker: &WorkerState, name: &str, id: &RequestId) -> Result<ServiceConfig> {
    let config = worker.shared.config();
    let service = config.service(name).filter(|service| service.kind == ServiceKind::Plain);
    service.cloned().ok_or_else(|| ApiError::not_run(RefusalReason::ServiceUnknown, id))
}

/// Whether a path needs no key. A path with `..`, `//`, `%` or `\`, which an upstream might interpret differently,
/// always needs one.
fn is_open_path(service: &ServiceConfig, path: &str) -> bool {
    let path = path.split('?').next().unwrap_or("");
    if path.contains("..") || path.contains("//") || path.contains('%') || path.contains('\\') {
        return false;
    }
    service.open_paths.iter().any(|open_path| {
        path.strip_prefix(&**open_path)
            .is_some_and(|rest| rest.is_empty() || rest.starts_with('/') || open_path.ends_with('/'))
    })
}

/// Runs the request, under a claim if it has an idempotency key. The flag is true if the response is from an earlier
/// run.
async fn run_request(worker: &WorkerState, request: &UpstreamRequest) -> Result<(StoredResponse, bool)> {
    let RequestClass::Claimed(key) = &request.class else { return Ok((forward(worker, request).await?, false)) };
    let claim_key = format!("{}/{}/{key}", request.organisation, request.service).into();
    let within_ms = request.deadline.since_ms(worker.shared.now()) + CLAIM_MARGIN_MS;
    let grant = match worker.claim_client.claim(claim_key, request.fingerprint, within_ms, &request.id).await? {
        Ok(grant) => grant,
        Err(stored_response) => return Ok((stored_response, true)),
    };
    let outcome = forward(worker, request).await;
    settle_claim(worker, &grant, &outcome).await;
    Ok((outcome?, false))
}

/// Reports the outcome of a claimed request to the owner of the claim.
async fn settle_claim(worker: &WorkerState, grant: &ClaimGrant, outcome: &Result<StoredResponse>) {
    let state = match outcome {
        Ok(response) if response.body.len() <= STORED_RESPONSE_BYTES_MAX => SettleState::Ran(response.clone()),
        Ok(_) => SettleState::Lost,
        Err(error) if error.run_state == RunState::NotRun => SettleState::NotRun,
        Err(_) => SettleState::Lost,
    };
    worker.claim_client.settle(grant, state).await;
}

/// Sends the request to an upstream and reads the complete response.
async fn forward(worker: &WorkerState, request: &UpstreamRequest) -> Result<StoredResponse> {
    let client =
        if request.class == RequestClass::Idempotent { &worker.upstream_client } else { &worker.non_idempotent_client };
    let mut upstream_response = dispatch(&worker.shared, client, request).await?;
    let content_type =
        upstream_response.response.headers().get(CONTENT_TYPE).and_then(|value| value.to_str().ok()).unwrap_or("");
    let content_type = SharedName::from(content_type);
    let body: Bytes = match upstream_response.response.body().limit(RESPONSE_BYTES_MAX).await {
        Ok(body) => body,
        Err(_) => {
            upstream_response.guard.connection_lost().await;
            return Err(ApiError {
                reason: RefusalReason::UpstreamLost,
                run_state: RunState::Ran,
                request_id: request.id.clone(),
            });
        }
    };
    upstream_response.guard.request_completed();
    worker.shared.record_usage(&request.organisation, &request.service, 0);
    Ok(StoredResponse { status: upstream_response.response.status().as_u16(), content_type, body: body.to_vec() })
}
