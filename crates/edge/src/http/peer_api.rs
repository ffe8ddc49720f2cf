//! What daemons send each other.

use crate::{
    job::{NewJob, receive},
    store::RELAY_PATH,
    worker_parts::WorkerParts,
};
use actix_web::{HttpRequest, HttpResponse, http::StatusCode, web};
use pimentoslip_kernel::OwnerRecord;
use pimentoslip_platform::StoreError;
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::{decode, peer::JobPush};

/// Largest push: submissions are bounded by the operators' limit on bodies, 32 MB by default.
pub const PUSH_BYTES_MAX: usize = 33 << 20;

/// Query parameter with the time for which a call may be kept waiting, in milliseconds.
const WAIT_PARAMETER: &str = "waitMs";

/// Passes a peer's call on to the store. A failure before anything was sent is told from one of unknown outcome.
pub async fn relay(parts: web::Data<WorkerParts>, request: HttpRequest, body: web::Bytes) -> HttpResponse {
    let path = request.uri().path_and_query().map(ToString::to_string).unwrap_or_default();
    let Some(name) = path.strip_prefix(RELAY_PATH) else { return HttpResponse::NotFound().finish() };
    let waits = form_urlencoded::parse(request.query_string().as_bytes()).find(|(key, _)| key == WAIT_PARAMETER);
    let wait_ms = waits.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    let passed = if wait_ms > 0 {
        parts.watches.pass_on(&parts.relay, name, wait_ms).await
    } else {
        parts.relay.pass_on(request.method().clone(), name, wait_ms, body).await
    };
    match passed {
        Ok((status, body)) => {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
            HttpResponse::build(status).content_type("application/json").body(body)
        }
        Err(StoreError::NotDone { .. }) => HttpResponse::ServiceUnavailable().finish(),
        Err(_) => HttpResponse::BadGateway().finish(),
    }
}

/// Takes in a job that this process owns.
pub async fn take_job(parts: web::Data<WorkerParts>, body: web::Bytes) -> HttpResponse {
    let state = &parts.state;
    let push: JobPush = match decode(&body) {
        Ok(push) => push,
        Err(error) => {
            LogLine::new("push_malformed").field("reason", error).warn();
            return HttpResponse::BadRequest().finish();
        }
    };
    if push.incarnation != state.incarnation || state.is_draining() {
        return HttpResponse::Conflict().finish();
    }
    let owner =
        OwnerRecord { daemon: state.settings.vm.clone(), incarnation: push.incarnation, revision: push.revision };
    let job = NewJob { id: push.job, entry: push.entry, kind: "".into(), body: push.body.into() };
    receive(state, &job, Some(owner), push.state);
    HttpResponse::Ok().finish()
}
