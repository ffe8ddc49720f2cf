//! Calls of other daemons.

use super::WorkerState;
use crate::{
    claim::{ClaimMessage, SettleMessage},
    task::answer_exchange,
};
use actix_web::{HttpResponse, web};
use bytes::Bytes;
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::{decode, encode, peer::{ClaimRequest, ClaimResponse, ExchangeRequest, ForwardRequest, SettleRequest, TotalsLine, TotalsResponse}};
use serde::Serialize;
use std::sync::atomic::Ordering;

const MESSAGE_PACK: &str = "application/msgpack";

fn answer<T: Serialize>(message: &T) -> HttpResponse {
    match encode(message) {
        Ok(body) => HttpResponse::Ok().content_type(MESSAGE_PACK).body(body),
        Err(_) => HttpResponse::InternalServerError().finish(),
    }
}

fn malformed(error: &impl ToString) -> HttpResponse {
    LogLine::new("peer_message_malformed").field("error", error.to_string()).warn();
    HttpResponse::BadRequest().body(error.to_string())
}

/// Heartbeat and news.
pub async fn exchange(worker: web::Data<WorkerState>, body: Bytes) -> HttpResponse {
    match decode::<ExchangeRequest>(&body) {
        Ok(request) => answer(&answer_exchange(&worker.shared, request)),
        Err(error) => malformed(&error),
    }
}

/// Asks for a claim.
pub async fn claim(worker: web::Data<WorkerState>, body: Bytes) -> HttpResponse {
    match decode::<ClaimRequest>(&body) {
        Ok(request) => {
            let response = worker.claim_actor.send(ClaimMessage(request)).await;
            answer(&response.unwrap_or(ClaimResponse::Unavailable))
        }
        Err(error) => malformed(&error),
    }
}

/// Settles a grant.
pub async fn settle(worker: web::Data<WorkerState>, body: Bytes) -> HttpResponse {
    match decode::<SettleRequest>(&body) {
        Ok(request) => match worker.claim_actor.send(SettleMessage(request)).await {
            Ok(()) => answer(&()),
            Err(_) => HttpResponse::ServiceUnavailable().finish(),
        },
        Err(error) => malformed(&error),
    }
}

/// Serves a trainer's call whose home is here.
pub async fn forward(worker: web::Data<WorkerState>, body: Bytes) -> HttpResponse {
    match decode::<ForwardRequest>(&body) {
        Ok(request) => {
            let _inflight = worker.shared.inflight_guard();
            answer(&worker.steps.serve_locally(request).await)
        }
        Err(error) => malformed(&error),
    }
}

/// Cumulative usage counters.
pub async fn totals(worker: web::Data<WorkerState>) -> HttpResponse {
    let asked_at = worker.shared.now();
    let lines = worker.shared.usage_totals().into_iter().map(TotalsLine::from).collect();
    worker.shared.totals_requested_at_ms.store(asked_at.0, Ordering::SeqCst);
    answer(&TotalsResponse { incarnation: worker.shared.process_name(), lines })
}
