//! Routes of the public listener, for callers and trainers.

use super::{engine_api, health, plain_api, trainer_api};
use crate::api_error::ApiError;
use actix_web::{HttpResponse, ResponseError, web};
use pimentoslip_kernel::RefusalReason;

/// Adds the routes.
pub fn configure_public(app: &mut web::ServiceConfig) {
    app.route("/healthz", web::get().to(health::healthz))
        .route("/readyz", web::get().to(health::readyz))
        .route("/v1/chat/completions", web::post().to(engine_api::create_completion))
        .route("/v1/completions", web::post().to(engine_api::create_completion))
        .route("/v1/steps", web::post().to(trainer_api::open_step))
        .route("/v1/steps/fetch", web::post().to(trainer_api::fetch_samples))
        .route("/v1/weights", web::post().to(trainer_api::publish_weights))
        .route("/services/{path:.*}", web::route().to(plain_api::call_service))
        .default_service(web::to(unknown_route));
}

/// Response to a path without a route.
async fn unknown_route(worker: web::Data<super::WorkerState>) -> HttpResponse {
    let id = worker.shared.next_request_id();
    worker.shared.metrics.count_refusal(RefusalReason::ServiceUnknown);
    ApiError::not_run(RefusalReason::ServiceUnknown, &id).error_response()
}
