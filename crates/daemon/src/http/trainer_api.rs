//! API for trainers: steps and weights.

use super::{WorkerState, caller_auth::authenticate, request_body::read_body};
use crate::{
    api_error::{ApiError, Result},
    config_writer::ConfigWriter,
    request_id::RequestId,
    task::{PeerUpdate, push_update},
};
use actix_web::{HttpRequest, HttpResponse, web};
use pimentoslip_kernel::{ConfigRecord, RecordName, RefusalReason, ServiceKind};
use pimentoslip_wire::{
    REQUEST_ID_HEADER,
    caller::{FetchRequest, OpenRequest, PublishRequest, PublishResponse},
};
use serde::{Serialize, de::DeserializeOwned};

/// Maximum length of a trainer's name.
const TRAINER_NAME_CHARS_MAX: usize = 64;
/// Maximum number of samples in the response to one fetch.
const FETCH_SAMPLES_MAX: usize = 4_096;

/// Handles `POST /v1/steps`: opens a step.
pub async fn open_step(
    worker: web::Data<WorkerState>,
    request: HttpRequest,
    payload: web::Payload,
) -> Result<HttpResponse> {
    let id = worker.shared.next_request_id();
    let (started_at, _inflight) = (worker.shared.now(), worker.shared.inflight_guard());
    let outcome = async {
        let open_request: OpenRequest = parse_body(&worker, payload, &id).await?;
        check_trainer_name(&open_request.trainer, &id)?;
        check_engine(&worker, &open_request.service, &id)?;
        let caller = authenticate(&worker.shared, &request, &open_request.service, &id)?;
        let response = worker.step_client.open(caller.organisation, open_request, &id).await?;
        Ok(json_response(&response, &id))
    };
    let outcome = outcome.await;
    worker.record_outcome(&id, started_at, outcome)
}

/// Handles `POST /v1/steps/fetch`: returns finished samples of a step.
pub async fn fetch_samples(
    worker: web::Data<WorkerState>,
    request: HttpRequest,
    payload: web::Payload,
) -> Result<HttpResponse> {
    let id = worker.shared.next_request_id();
    let (started_at, _inflight) = (worker.shared.now(), worker.shared.inflight_guard());
    let outcome = async {
        let mut fetch_request: FetchRequest = parse_body(&worker, payload, &id).await?;
        check_trainer_name(&fetch_request.trainer, &id)?;
        fetch_request.samples_max = fetch_request.samples_max.clamp(1, FETCH_SAMPLES_MAX);
        let organisation = authenticate_any(&worker, &request, &id)?;
        let response = worker.step_client.fetch(organisation, fetch_request, &id).await?;
        Ok(json_response(&response, &id))
    };
    let outcome = outcome.await;
    worker.record_outcome(&id, started_at, outcome)
}

/// Handles `POST /v1/weights`: publishes a weight version of an engine service.
pub async fn publish_weights(
    worker: web::Data<WorkerState>,
    request: HttpRequest,
    payload: web::Payload,
) -> Result<HttpResponse> {
    let id = worker.shared.next_request_id();
    let (started_at, _inflight) = (worker.shared.now(), worker.shared.inflight_guard());
    let outcome = async {
        let publish_request: PublishRequest = parse_body(&worker, payload, &id).await?;
        check_engine(&worker, &publish_request.service, &id)?;
        authenticate(&worker.shared, &request, &publish_request.service, &id)?;
        let version = store_version(&worker, &publish_request, &id).await?;
        Ok(json_response(&PublishResponse { version }, &id))
    };
    let outcome = outcome.await;
    worker.record_outcome(&id, started_at, outcome)
}

/// Raises the stored published version; a version that is not higher than the stored one changes nothing. Returns the
/// published version in this daemon's cached configuration, or the requested one if that is higher.
async fn store_version(worker: &WorkerState, publish_request: &PublishRequest, id: &RequestId) -> Result<u64> {
    let name = RecordName::Weights(publish_request.service.clone());
    let writer = ConfigWriter::new(&worker.kv, &worker.shared);
    let written = writer
        .update(&name, &id.to_arc(), |stored| {
            let stored_version = match stored {
                Some(ConfigRecord::Weights(version)) => *version,
                _ => 0,
            };
            Ok((publish_request.version > stored_version).then_some(ConfigRecord::Weights(publish_request.version)))
        })
        .await
        .map_err(|_| ApiError::not_run(RefusalReason::PeerUnreachable, id))?;
    if let Some(entry) = written {
        worker.shared.apply_records(vec![entry.clone()], 0);
        push_update(&worker.shared, &worker.peer_client, PeerUpdate::records(vec![entry])).await;
    }
    Ok(worker.shared.config().published_version(&publish_request.service).max(publish_request.version))
}

/// Organisation of the caller, which must be allowed to use at least one service.
fn authenticate_any(
    worker: &WorkerState,
    request: &HttpRequest,
    id: &RequestId,
) -> Result<pimentoslip_kernel::SharedName> {
    let services = worker.shared.config().service_names();
    let mut outcome = Err(ApiError::not_run(RefusalReason::ServiceForbidden, id));
    for service in services {
        outcome = authenticate(&worker.shared, request, &service, id).map(|caller| caller.organisation);
        let is_forbidden = outcome.as_ref().is_err_and(|error| error.reason == RefusalReason::ServiceForbidden);
        if !is_forbidden {
            return outcome;
        }
    }
    outcome
}

/// Reads and parses the JSON body. Fails if this daemon no longer accepts requests, or if the body is invalid.
async fn parse_body<T: DeserializeOwned>(worker: &WorkerState, payload: web::Payload, id: &RequestId) -> Result<T> {
    worker.check_accepts_requests(id)?;
    let body = read_body(&worker.shared, payload, id).await?;
    serde_json::from_slice(&body).map_err(|_| ApiError::not_run(RefusalReason::BodyMalformed, id))
}

/// Refuses a trainer name that is empty, too long or has other characters than ASCII letters, digits and `-`.
fn check_trainer_name(name: &str, id: &RequestId) -> Result<()> {
    let is_valid = !name.is_empty()
        && name.len() <= TRAINER_NAME_CHARS_MAX
        && name.chars().all(|character| character.is_ascii_alphanumeric() || character == '-');
    if is_valid { Ok(()) } else { Err(ApiError::not_run(RefusalReason::BodyMalformed, id)) }
}

/// Refuses a service that is unknown or not an engine.
fn check_engine(worker: &WorkerState, service: &str, id: &RequestId) -> Result<()> {
    let config = worker.shared.config();
    let is_engine = config.service(service).is_some_and(|service| service.kind == ServiceKind::Engine);
    if is_engine { Ok(()) } else { Err(ApiError::not_run(RefusalReason::ServiceUnknown, id)) }
}

fn json_response<T: Serialize>(response: &T, id: &RequestId) -> HttpResponse {
    HttpResponse::Ok().insert_header((REQUEST_ID_HEADER, &**id)).json(response)
}
