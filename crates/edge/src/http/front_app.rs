//! Entry point of the public listener, to which callers connect.

use super::{api_refusal::ApiRefusal, batch_api, proxy, request_context::RequestContext};
use crate::{edge_metrics::EdgeMetrics, edge_state::EdgeState, worker_parts::WorkerParts};
use actix_web::{
    HttpRequest, HttpResponse,
    http::{Method, header},
    web,
};
use pimentoslip_kernel::{RouteKind, TimePoint};
use pimentoslip_platform::{BATCH_PATH_PREFIX, ITEM_PATH_PREFIX};
use pimentoslip_telemetry::LogLine;

const MS_PER_SECOND: f64 = 1_000.0;

/// Configures the public listener: one handler serves all paths.
pub fn configure_front(app: &mut web::ServiceConfig) {
    app.default_service(web::to(serve));
}

/// Serves one request and records its latency.
async fn serve(parts: web::Data<WorkerParts>, request: HttpRequest, payload: web::Payload) -> HttpResponse {
    let _request_guard = parts.state.track_request();
    let started_at = parts.state.now();
    let outcome = match RequestContext::from_request(&parts, &request) {
        Ok(context) => tokio::select! {
            biased;
            outcome = dispatch(&parts, &context, &request, payload) => outcome,
            () = parts.state.planned_stop.wait_for_end() => Err(ApiRefusal::ResponseTimeout),
        },
        Err(refusal) => Err(refusal),
    };
    let mut response = match outcome {
        Ok(response) => response,
        Err(refusal) => refusal_response(&request, certain_refusal(&parts.state, refusal)),
    };
    EdgeMetrics::global().request_latency.observe(parts.state.now().since_ms(started_at) as f64 / MS_PER_SECOND);
    if parts.state.is_draining() {
        response.headers_mut().insert(header::CONNECTION, header::HeaderValue::from_static("close"));
    }
    response
}

/// The refusal that holds whatever this daemon may have missed: callers do not retry after being told that a route or key
/// is unknown.
fn certain_refusal(state: &EdgeState, refusal: ApiRefusal) -> ApiRefusal {
    match refusal {
        ApiRefusal::RouteNotFound | ApiRefusal::KeyInvalid if !state.is_config_current() => ApiRefusal::ConfigStale,
        certain => certain,
    }
}

/// Logs a refusal and creates its response.
fn refusal_response(request: &HttpRequest, refusal: ApiRefusal) -> HttpResponse {
    let id = request.headers().get(pimentoslip_platform::header::REQUEST_ID);
    LogLine::new("refused")
        .field("request_id", id.and_then(|id| id.to_str().ok()).unwrap_or_default())
        .field("method", request.method())
        .field("reason", refusal.code())
        .field("status", refusal.status().as_u16())
        .warn();
    refusal.response()
}

/// Passes a request to the batch API or to the proxy, depending on its path and route.
async fn dispatch(
    parts: &WorkerParts,
    context: &RequestContext,
    request: &HttpRequest,
    payload: web::Payload,
) -> Result<HttpResponse, ApiRefusal> {
    let job_call_due = context.deadline.min(context.arrived_at.plus_ms(batch_api::ANSWER_MS_MAX));
    if let Some(job) = context.path.strip_prefix(BATCH_PATH_PREFIX) {
        check_stop(parts, job_call_due, false)?;
        return match *request.method() {
            Method::GET => batch_api::read_results(parts, context, request, job).await,
            Method::DELETE => batch_api::end_job(parts, context, request, job).await,
            _ => Err(ApiRefusal::RouteNotFound),
        };
    }
    if let Some(job) = context.path.strip_prefix(ITEM_PATH_PREFIX) {
        check_stop(parts, job_call_due, false)?;
        return batch_api::read_item(parts, context, request, job).await;
    }
    let rule = context.config.route(&context.host, &context.path).ok_or(ApiRefusal::RouteNotFound)?.clone();
    if rule.batch_rule().is_some() {
        check_stop(parts, job_call_due, false)?;
        return batch_api::submit_job(parts, context, request, payload, &rule).await;
    }
    check_stop(parts, context.answer_deadline(&rule), rule.kind == RouteKind::Idempotent)?;
    proxy::forward_request(parts, context, request, payload, &rule).await
}

/// Fails if a request that ends at `deadline` at the latest is not taken during a planned stop.
fn check_stop(parts: &WorkerParts, deadline: TimePoint, may_repeat: bool) -> Result<(), ApiRefusal> {
    let state = &parts.state;
    if state.planned_stop.allows(deadline, may_repeat, state.now()) { Ok(()) } else { Err(ApiRefusal::Stopping) }
}
