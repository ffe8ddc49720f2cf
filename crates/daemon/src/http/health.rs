//! Probes and metrics.

use super::WorkerState;
use actix_web::{HttpResponse, web};
use std::sync::atomic::Ordering;

const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// The process runs.
pub async fn healthz() -> HttpResponse {
    HttpResponse::Ok().body("ok\n")
}

/// The balancer may send callers: the configuration is known and the daemon stays.
pub async fn readyz(worker: web::Data<WorkerState>) -> HttpResponse {
    let shared = &worker.shared;
    if shared.draining.load(Ordering::SeqCst) {
        return HttpResponse::ServiceUnavailable().body("draining\n");
    }
    if !shared.is_config_fresh() {
        return HttpResponse::ServiceUnavailable().body("configuration not confirmed\n");
    }
    HttpResponse::Ok().body("ready\n")
}

/// Metrics in the text form.
pub async fn metrics(worker: web::Data<WorkerState>) -> HttpResponse {
    let shared = &worker.shared;
    let calls = shared.kv_calls.load(Ordering::Relaxed);
    shared.metrics.kv_calls.set(i64::try_from(calls).unwrap_or(i64::MAX));
    shared.metrics.inflight.set(shared.inflight_count());
    HttpResponse::Ok().content_type(METRICS_TYPE).body(shared.metrics.encode())
}
