//! Trainers' calls: steps and weights.

use super::{WorkerState, caller_auth::authenticate, request_body::read_body};
use crate::{
    api_error::{ApiError, Result},
    config_writer::ConfigWriter,
    request_id::RequestId,
    task::push_records,
};
use actix_web::{HttpRequest, HttpResponse, web};
use pimentoslip_kernel::{ConfigRecord, RecordName, RefusalReason, ServiceKind};
use pimentoslip_wire::{
    REQUEST_ID_HEADER,
    caller::{FetchRequest, OpenRequest, PublishRequest, PublishResponse},
};
use serde::{Serialize, de::DeserializeOwned};

const NAME_CHARS_MAX: usize = 64;
const FETCH_MAX: usize = 4_096;

/// Handles `POST /v1/steps`.
pub async fn open(worker: web::Data<WorkerState>, request: HttpRequest, payload: web::Payload) -> Result<HttpResponse> {
    let id = worker.shared.next_request_id();
    let (began, _inflight) = (worker.shared.now(), worker.shared.enter());
    let outcome = async {
        let open: OpenRequest = parse(&worker, payload, &id).await?;
        check_name(&open.trainer, &id)?;
        check_engine(&worker, &open.service, &id)?;
        let caller = authenticate(&worker.shared, &request, &open.service, &id)?;
        let answer = worker.steps.open(caller.organisation, open, &id).await?;
        Ok(json(&answer, &id))
    };
    let outcome = outcome.await;
    worker.finish(&id, began, outcome)
}

/// Handles `POST /v1/steps/fetch`.
pub async fn fetch(
    worker: web::Data<WorkerState>,
    request: HttpRequest,
    payload: web::Payload,
) -> Result<HttpResponse> {
    let id = worker.shared.next_request_id();
    let (began, _inflight) = (worker.shared.now(), worker.shared.enter());
    let outcome = async {
        let mut fetch: FetchRequest = parse(&worker, payload, &id).await?;
        check_name(&fetch.trainer, &id)?;
        fetch.samples_max = fetch.samples_max.clamp(1, FETCH_MAX);
        let caller = authenticate_any(&worker, &request, &id)?;
        let answer = worker.steps.fetch(caller, fetch, &id).await?;
        Ok(json(&answer, &id))
    };
    let outcome = outcome.await;
    worker.finish(&id, began, outcome)
}

/// Handles `POST /v1/weights`.
pub async fn publish(
    worker: web::Data<WorkerState>,
    request: HttpRequest,
    payload: web::Payload,
) -> Result<HttpResponse> {
    let id = worker.shared.next_request_id();
    let (began, _inflight) = (worker.shared.now(), worker.shared.enter());
    let outcome = async {
        let publish: PublishRequest = parse(&worker, payload, &id).await?;
        check_engine(&worker, &publish.service, &id)?;
        authenticate(&worker.shared, &request, &publish.service, &id)?;
        let version = record_version(&worker, &publish, &id).await?;
        Ok(json(&PublishResponse { version }, &id))
    };
    let outcome = outcome.await;
    worker.finish(&id, began, outcome)
}

/// Raises the published version on record; a lower one changes nothing.
async fn record_version(worker: &WorkerState, publish: &PublishRequest, id: &RequestId) -> Result<u64> {
    let name = RecordName::Weights(publish.service.clone());
    let writer = ConfigWriter::new(&worker.kv, &worker.shared);
    let written = writer
        .update(&name, &id.shared(), |stored| {
            let known = match stored {
                Some(ConfigRecord::Weights(version)) => *version,
                _ => 0,
            };
            Ok((publish.version > known).then_some(ConfigRecord::Weights(publish.version)))
        })
        .await
        .map_err(|_| ApiError::not_run(RefusalReason::PeerUnreachable, id))?;
    if let Some(entry) = written {
        worker.shared.apply(vec![entry.clone()], 0);
        push_records(&worker.shared, &worker.peers, vec![entry]).await;
    }
    Ok(worker.shared.config().published_version(&publish.service).max(publish.version))
}

/// The organisation of a key, whatever service it is granted.
fn authenticate_any(
    worker: &WorkerState,
    request: &HttpRequest,
    id: &RequestId,
) -> Result<pimentoslip_kernel::SharedName> {
    let services = worker.shared.config().service_names();
    let mut outcome = Err(ApiError::not_run(RefusalReason::ServiceForbidden, id));
    for service in services {
        outcome = authenticate(&worker.shared, request, &service, id).map(|caller| caller.organisation);
        let forbidden = outcome.as_ref().is_err_and(|error| error.reason == RefusalReason::ServiceForbidden);
        if !forbidden {
            return outcome;
        }
    }
    outcome
}

async fn parse<T: DeserializeOwned>(worker: &WorkerState, payload: web::Payload, id: &RequestId) -> Result<T> {
    worker.check_draining(id)?;
    let body = read_body(&worker.shared, payload, id).await?;
    serde_json::from_slice(&body).map_err(|_| ApiError::not_run(RefusalReason::BodyMalformed, id))
}

fn check_name(name: &str, id: &RequestId) -> Result<()> {
    let valid =
        !name.is_empty() && name.len() <= NAME_CHARS_MAX && name.chars().all(|c| c.is_ascii_alphanumeric() || c == '-');
    if valid { Ok(()) } else { Err(ApiError::not_run(RefusalReason::BodyMalformed, id)) }
}

fn check_engine(worker: &WorkerState, service: &str, id: &RequestId) -> Result<()> {
    let config = worker.shared.config();
    let engine = config.service(service).is_some_and(|service| service.kind == ServiceKind::Engine);
    if engine { Ok(()) } else { Err(ApiError::not_run(RefusalReason::ServiceUnknown, id)) }
}

fn json<T: Serialize>(answer: &T, id: &RequestId) -> HttpResponse {
    HttpResponse::Ok().insert_header((REQUEST_ID_HEADER, &**id)).json(answer)
}
