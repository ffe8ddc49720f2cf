//! Control API through which daemons call each other.

use crate::{
    job::{ResultsQuery, SubmittedJob, accept_job, job_placement, local_item, local_results},
    limit,
    store::RELAY_PATH,
    stream::known_origins,
    suspect,
    worker_parts::WorkerParts,
};
use actix_web::{HttpRequest, HttpResponse, http::StatusCode, web};
use pimentoslip_kernel::OwnerRecord;
use pimentoslip_platform::{StoreError, decode_submission};
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::{
    CodecError, decode, encode,
    peer::{
        ChangesRequest, ChangesResponse, CrashPush, ItemRequest, JobPush, PermitRequest, ReachRequest, ResultsRequest,
        ResultsResponse, RunReport, StreamsRequest, UsagePush,
    },
};
use serde::Serialize;
use std::sync::Arc;

/// Largest request body: a pushed job with its submission, which the configured limit on request bodies bounds
/// to 32 MB by default.
pub const PUSH_BYTES_MAX: usize = 33 << 20;

/// Relays a peer's call to the store. Responds with 503 if the call was not executed and 502 if its outcome is unknown.
pub async fn relay_store_call(parts: web::Data<WorkerParts>, request: HttpRequest, body: web::Bytes) -> HttpResponse {
    let path = request.uri().path_and_query().map(ToString::to_string).unwrap_or_default();
    let Some(store_path) = path.strip_prefix(RELAY_PATH) else { return HttpResponse::NotFound().finish() };
    if !parts.state.path_selector().is_direct_available() {
        return HttpResponse::ServiceUnavailable().finish();
    }
    match parts.relay_client.relay_call(request.method().clone(), store_path, body).await {
        Ok((status, body)) => {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
            HttpResponse::build(status).content_type("application/json").body(body)
        }
        Err(StoreError::NotApplied { .. }) => HttpResponse::ServiceUnavailable().finish(),
        Err(_) => HttpResponse::BadGateway().finish(),
    }
}

/// Responds to a peer with changes of the store.
pub async fn read_changes(parts: web::Data<WorkerParts>, body: web::Bytes) -> HttpResponse {
    match decode::<ChangesRequest>(&body) {
        Ok(request) => {
            let response = match parts.state.change_log(&request.prefix) {
                Some(log) => log.response(&request, || parts.state.now()).await,
                None => ChangesResponse::Incomplete,
            };
            message_response(&response)
        }
        Err(error) => malformed_response(&error),
    }
}

/// Responds to a peer with results of a job that this daemon owns.
pub async fn read_results(parts: web::Data<WorkerParts>, body: web::Bytes) -> HttpResponse {
    let request: ResultsRequest = match decode(&body) {
        Ok(request) => request,
        Err(error) => return malformed_response(&error),
    };
    let arrived_at = parts.state.now();
    let wait_until = arrived_at.plus_ms(request.wait_ms);
    let query = ResultsQuery { position: request.position, bytes_max: request.bytes_max, arrived_at, wait_until };
    let answer = local_results(&parts.state, &request.job, &query).await;
    message_response(&ResultsResponse::new(answer, request.knows_absent))
}

/// Responds to a peer with the body of an item of a job that this daemon owns.
pub async fn read_item(parts: web::Data<WorkerParts>, body: web::Bytes) -> HttpResponse {
    match decode::<ItemRequest>(&body) {
        Ok(request) => message_response(&local_item(&parts.state, &request.job, &request.item)),
        Err(error) => malformed_response(&error),
    }
}

/// Records the number of requests that a peer has in progress at each upstream.
pub async fn receive_runs(parts: web::Data<WorkerParts>, body: web::Bytes) -> HttpResponse {
    match decode::<RunReport>(&body) {
        Ok(report) => {
            let now = parts.state.now();
            parts.state.run_reports().runs_reported(report.daemon, report.runs, now);
            message_response(&true)
        }
        Err(error) => malformed_response(&error),
    }
}

/// Grants a peer permits of upstreams that this daemon coordinates.
pub async fn grant_permits(parts: web::Data<WorkerParts>, body: web::Bytes) -> HttpResponse {
    match decode::<PermitRequest>(&body) {
        Ok(request) => message_response(&limit::grant_permits(&parts.state, request)),
        Err(error) => malformed_response(&error),
    }
}

/// Responds to a peer with the origins of streams that this daemon knows.
pub async fn read_streams(parts: web::Data<WorkerParts>, body: web::Bytes) -> HttpResponse {
    match decode::<StreamsRequest>(&body) {
        Ok(request) => message_response(&known_origins(&parts.state, &request.keys)),
        Err(error) => malformed_response(&error),
    }
}

/// Keeps crash marks of a peer that cannot write them to the store.
pub async fn receive_marks(parts: web::Data<WorkerParts>, body: web::Bytes) -> HttpResponse {
    match decode::<CrashPush>(&body) {
        Ok(push) => {
            suspect::receive_marks(&parts.state, push);
            message_response(&true)
        }
        Err(error) => malformed_response(&error),
    }
}

/// Tries a connection to an upstream for a peer.
pub async fn try_connection(parts: web::Data<WorkerParts>, body: web::Bytes) -> HttpResponse {
    match decode::<ReachRequest>(&body) {
        Ok(request) => message_response(&suspect::try_connection(&parts.state, &request).await),
        Err(error) => malformed_response(&error),
    }
}

/// Collects usage counts of a peer, and responds with whether they were stored.
pub async fn receive_usage(parts: web::Data<WorkerParts>, body: web::Bytes) -> HttpResponse {
    match decode::<UsagePush>(&body) {
        Ok(push) => message_response(&parts.usage_collector.collect(push).await),
        Err(error) => malformed_response(&error),
    }
}

/// A successful response with the encoded `message`.
fn message_response(message: &impl Serialize) -> HttpResponse {
    match encode(message) {
        Ok(body) => HttpResponse::Ok().body(body),
        Err(error) => {
            LogLine::new("peer_answer_not_encoded").field("reason", error).warn();
            HttpResponse::InternalServerError().finish()
        }
    }
}

/// Logs a request that cannot be decoded and creates its response.
fn malformed_response(error: &CodecError) -> HttpResponse {
    LogLine::new("peer_call_malformed").field("reason", error).warn();
    HttpResponse::BadRequest().finish()
}

/// Receives a job that this process owns from the daemon that accepted or previously owned it. Responds with 409 if the
/// job was sent to another incarnation of this daemon, or if this daemon is draining.
pub async fn receive_job(parts: web::Data<WorkerParts>, body: web::Bytes) -> HttpResponse {
    let state = &parts.state;
    let push: JobPush = match decode(&body) {
        Ok(push) => push,
        Err(error) => return malformed_response(&error),
    };
    if push.owner_incarnation != state.incarnation || state.is_draining() {
        return HttpResponse::Conflict().finish();
    }
    let owner = OwnerRecord {
        daemon: state.settings.vm.clone(),
        incarnation: push.owner_incarnation,
        revision: push.ownership_revision,
    };
    let submission = match decode_submission(&push.body) {
        Ok(submission) => Arc::new(submission),
        Err(error) => {
            LogLine::new("submission_malformed").field("job", &push.job).field("reason", error).warn();
            return HttpResponse::BadRequest().finish();
        }
    };
    let placement = job_placement(state, &push.entry);
    let job = SubmittedJob { id: push.job, entry: push.entry, placement, body: push.body.into(), submission };
    accept_job(state, &job, Some(owner), push.ledger_state);
    HttpResponse::Ok().finish()
}
