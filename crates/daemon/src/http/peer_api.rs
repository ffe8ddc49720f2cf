//! Handles calls from other daemons.

use super::WorkerState;
use crate::{
    claim::{ClaimMessage, SettleMessage},
    task::answer_exchange,
};
use actix_web::{HttpResponse, web};
use bytes::Bytes;
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::{
    decode, encode,
    peer::{ClaimRequest, ClaimResponse, ExchangeRequest, ForwardRequest, SettleRequest, TotalsLine, TotalsResponse},
};
use serde::Serialize;
use std::sync::atomic::Ordering;

const MESSAGE_PACK_TYPE: &str = "application/msgpack";

/// Response whose body is the encoded `message`.
fn encoded_response<T: Serialize>(message: &T) -> HttpResponse {
    match encode(message) {
        Ok(body) => HttpResponse::Ok().content_type(MESSAGE_PACK_TYPE).body(body),
        Err(_) => HttpResponse::InternalServerError().finish(),
    }
}

/// Response to a message that cannot be decoded.
fn malformed_response(error: &impl ToString) -> HttpResponse {
    LogLine::new("peer_message_malformed").field("error", error.to_string()).warn();
    HttpResponse::BadRequest().body(error.to_string())
}

/// Handles `POST /peer/exchange`: heartbeat, configuration records and suspect marks.
pub async fn exchange(worker: web::Data<WorkerState>, body: Bytes) -> HttpResponse {
    match decode::<ExchangeRequest>(&body) {
        Ok(request) => encoded_response(&answer_exchange(&worker.shared, request)),
        Err(error) => malformed_response(&error),
    }
}

/// Handles `POST /peer/claim`: a request for a claim that this daemon owns.
pub async fn claim(worker: web::Data<WorkerState>, body: Bytes) -> HttpResponse {
    match decode::<ClaimRequest>(&body) {
        Ok(request) => {
            let response = worker.claim_actor.send(ClaimMessage(request)).await;
            encoded_response(&response.unwrap_or(ClaimResponse::Unavailable))
        }
        Err(error) => malformed_response(&error),
    }
}

/// Handles `POST /peer/settle`: the outcome of a claimed request.
pub async fn settle(worker: web::Data<WorkerState>, body: Bytes) -> HttpResponse {
    match decode::<SettleRequest>(&body) {
        Ok(request) => match worker.claim_actor.send(SettleMessage(request)).await {
            Ok(()) => encoded_response(&()),
            Err(_) => HttpResponse::ServiceUnavailable().finish(),
        },
        Err(error) => malformed_response(&error),
    }
}

/// Handles `POST /peer/forward`: a trainer's call for a step that is held by this daemon.
pub async fn forward(worker: web::Data<WorkerState>, body: Bytes) -> HttpResponse {
    match decode::<ForwardRequest>(&body) {
        Ok(request) => {
            let _inflight = worker.shared.inflight_guard();
            encoded_response(&worker.step_client.serve_locally(request).await)
        }
        Err(error) => malformed_response(&error),
    }
}

/// Handles `POST /peer/totals`: this daemon's cumulative usage counters.
pub async fn totals(worker: web::Data<WorkerState>) -> HttpResponse {
    let requested_at = worker.shared.now();
    let lines = worker.shared.usage_totals().into_iter().map(TotalsLine::from).collect();
    worker.shared.totals_requested_at_ms.store(requested_at.0, Ordering::SeqCst);
    encoded_response(&TotalsResponse { incarnation: worker.shared.process_name(), lines })
}
