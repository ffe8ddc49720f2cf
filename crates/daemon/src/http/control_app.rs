//! Routes of the control listener, for peers, operators and probes.

use super::{WorkerState, admin_api, health, key_api, peer_api, secret_guard::has_secret};
use actix_web::web;
use pimentoslip_wire::{CLUSTER_SECRET_HEADER, OPERATOR_KEY_HEADER};

/// Maximum size of a request body on the control listener.
const CONTROL_BODY_BYTES_MAX: usize = 64 << 20;

/// Adds the routes. Those of peers and operators answer 404 unless the request carries the right secret.
pub fn configure_control(app: &mut web::ServiceConfig, worker: &WorkerState) {
    let cluster = worker.shared.settings.cluster_secret.clone();
    let operator = worker.shared.settings.operator_key.clone();
    app.app_data(web::PayloadConfig::new(CONTROL_BODY_BYTES_MAX))
        .app_data(web::JsonConfig::default().limit(CONTROL_BODY_BYTES_MAX))
        .route("/healthz", web::get().to(health::healthz))
        .route("/readyz", web::get().to(health::readyz))
        .route("/metrics", web::get().to(health::metrics))
        .service(
            web::scope("/peer")
                .guard(actix_web::guard::fn_guard(move |context| has_secret(context, CLUSTER_SECRET_HEADER, &cluster)))
                .route("/exchange", web::post().to(peer_api::exchange))
                .route("/claim", web::post().to(peer_api::claim))
                .route("/settle", web::post().to(peer_api::settle))
                .route("/forward", web::post().to(peer_api::forward))
                .route("/totals", web::post().to(peer_api::totals)),
        )
        .service(
            web::scope("/admin/v1")
                .guard(actix_web::guard::fn_guard(move |context| has_secret(context, OPERATOR_KEY_HEADER, &operator)))
                .route("/apply", web::post().to(admin_api::apply))
                .route("/config", web::get().to(admin_api::config))
                .route("/status", web::get().to(admin_api::status))
                .route("/drain", web::post().to(admin_api::drain))
                .route("/usage", web::get().to(admin_api::usage))
                .route("/keys", web::get().to(key_api::list))
                .route("/keys/create", web::post().to(key_api::create))
                .route("/keys/withdraw", web::post().to(key_api::withdraw)),
        );
}
