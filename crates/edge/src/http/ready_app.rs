//! Routes of the readiness probe and of the control listener.

use super::{api_refusal::ApiRefusal, peer_api};
use crate::{
    duty::{RUNS_PATH, USAGE_PATH},
    edge_metrics::EdgeMetrics,
    job::{ITEM_BODY_PATH, JOB_PUSH_PATH, RESULTS_PATH},
    limit::PERMITS_PATH,
    path::relay_request,
    relay::{PEER_CHECK_PATH, UPSTREAM_RELAY_PATH},
    store::{CHANGES_PATH, RELAY_PATH},
    stream::STREAMS_PATH,
    suspect::{CRASHES_PATH, REACH_PATH},
    worker_parts::WorkerParts,
};
use actix_web::{HttpResponse, web};
use pimentoslip_platform::READY_PATH;
use pimentoslip_server::ChargedBody;

/// Readiness probe of the load balancer: succeeds when a configuration is applied and the daemon is not draining.
async fn ready(parts: web::Data<WorkerParts>) -> HttpResponse {
    let state = &parts.state;
    if state.is_draining() || state.config().is_none() {
        return HttpResponse::ServiceUnavailable().finish();
    }
    HttpResponse::Ok().finish()
}

/// Shows a peer that this daemon runs.
async fn alive() -> HttpResponse {
    HttpResponse::NoContent().finish()
}

/// Metrics in the OpenMetrics text format.
async fn metrics(parts: web::Data<WorkerParts>) -> HttpResponse {
    match ChargedBody::new(EdgeMetrics::global().encode(), parts.state.buffers.share()) {
        Some(body) => {
            HttpResponse::Ok().content_type("application/openmetrics-text; version=1.0.0; charset=utf-8").body(body)
        }
        None => ApiRefusal::MemoryUsedUp.response(),
    }
}

/// Configures the listener that the load balancer probes.
pub fn configure_ready(app: &mut web::ServiceConfig) {
    app.route(READY_PATH, web::get().to(ready));
}

/// Configures the control listener, which peers call and from which metrics are read.
pub fn configure_control(app: &mut web::ServiceConfig) {
    app.app_data(web::PayloadConfig::new(peer_api::PUSH_BYTES_MAX))
        .route(JOB_PUSH_PATH, web::post().to(peer_api::receive_job))
        .route(CHANGES_PATH, web::post().to(peer_api::read_changes))
        .route(RESULTS_PATH, web::post().to(peer_api::read_results))
        .route(PERMITS_PATH, web::post().to(peer_api::grant_permits))
        .route(STREAMS_PATH, web::post().to(peer_api::read_streams))
        .route(CRASHES_PATH, web::post().to(peer_api::receive_marks))
        .route(PEER_CHECK_PATH, web::get().to(alive))
        .route(UPSTREAM_RELAY_PATH, web::post().to(relay_request))
        .route(REACH_PATH, web::post().to(peer_api::try_connection))
        .route(RUNS_PATH, web::post().to(peer_api::receive_runs))
        .route(USAGE_PATH, web::post().to(peer_api::receive_usage))
        .route(ITEM_BODY_PATH, web::post().to(peer_api::read_item))
        .route(&format!("{RELAY_PATH}{{call:.*}}"), web::to(peer_api::relay_store_call))
        .route("/metrics", web::get().to(metrics));
}
