//! Health probes and metrics.

use super::WorkerState;
use actix_web::{HttpResponse, web};
use std::sync::atomic::Ordering;

const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Handles `GET /healthz`: succeeds while the process is running.
pub async fn healthz() -> HttpResponse {
    HttpResponse::Ok().body("ok\n")
}

/// Handles `GET /readyz`: succeeds while the balancer may send requests, that is while the cached configuration is
/// fresh and the daemon is not shutting down.
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

/// Handles `GET /metrics`: all metrics in the OpenMetrics text format.
pub async fn metrics(worker: web::Data<WorkerState>) -> HttpResponse {
    let shared = &worker.shared;
    let calls = shared.kv_calls.load(Ordering::Relaxed);
    shared.metrics.kv_calls.set(i64::try_from(calls).unwrap_or(i64::MAX));
    shared.metrics.inflight.set(shared.inflight_count());
    HttpResponse::Ok().content_type(METRICS_CONTENT_TYPE).body(shared.metrics.encode())
}
