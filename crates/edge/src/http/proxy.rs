//! Forwards a request to upstreams until one returns a response.

use super::{
    api_refusal::ApiRefusal,
    request_context::{RequestContext, header_text},
    request_target::RequestTarget,
    stream_proxy::forward_stream,
    upstream_attempts::{AttemptPlan, try_upstreams},
};
use crate::{
    edge_metrics::EdgeMetrics,
    limit::caller_permit,
    relay::{
        CompleteResponse, UpstreamCall, UpstreamGuard, fetch_complete, forwarded_request_headers,
        forwarded_response_headers,
    },
    waiting::WaitTerms,
    worker_parts::WorkerParts,
};
use actix_web::{HttpRequest, HttpResponse, web};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use pimentoslip_kernel::{RouteKind, RouteRule};
use pimentoslip_platform::header;
use pimentoslip_server::{BufferShare, ClientWatch};
use pimentoslip_telemetry::LogLine;
use std::{sync::Arc, time::Duration};

/// Largest response body that is buffered; services other than batch jobs respond with kilobytes.
pub const RESPONSE_BYTES_MAX: usize = 16 << 20;
/// While the next room is not known, a request waits for up to its route's latency objective divided by this. After that, a
/// response from elsewhere is worth more to the caller, so the request is refused.
const CAPACITY_WAIT_DIVISOR: u64 = 4;

/// Reads the request body within the configured size limit, the request's deadline and the memory for bodies. The
/// returned share is held as long as the body.
pub async fn read_body(
    parts: &WorkerParts,
    context: &RequestContext,
    mut payload: web::Payload,
) -> Result<(Bytes, BufferShare), ApiRefusal> {
    let time_left = Duration::from_millis(context.deadline.since_ms(parts.state.now()));
    let mut share = parts.state.buffers.share();
    let mut body = BytesMut::new();
    let read = async {
        while let Some(chunk) = payload.next().await {
            let chunk = chunk.map_err(|_| ApiRefusal::Malformed)?;
            if body.len() + chunk.len() > context.config.limits.body_bytes_max {
                return Err(ApiRefusal::BodyTooLarge);
            }
            if !share.grow(chunk.len()) {
                return Err(ApiRefusal::MemoryUsedUp);
            }
            body.extend_from_slice(&chunk);
        }
        Ok(())
    };
    actix_rt::time::timeout(time_left, read).await.map_err(|_| ApiRefusal::BodyTimeout)??;
    Ok((body.freeze(), share))
}

/// Forwards a request to upstreams of its route's service until one returns a response.
pub async fn forward_request(
    parts: &WorkerParts,
    context: &RequestContext,
    request: &HttpRequest,
    payload: web::Payload,
    rule: &Arc<RouteRule>,
) -> Result<HttpResponse, ApiRefusal> {
    let grant = if rule.allows_anonymous { None } else { context.key_grant(request)? };
    let (body, _body_share) = read_body(parts, context, payload).await?;
    let priority = grant.as_ref().and_then(|grant| grant.priority).unwrap_or(rule.priority);
    let path_and_query = request.uri().path_and_query().map_or_else(|| context.path.clone(), ToString::to_string);
    let call = UpstreamCall {
        id: context.id.clone(),
        method: request.method().clone(),
        path: path_and_query,
        host: context.host.clone(),
        headers: forwarded_request_headers(request.headers()),
        organisation: grant.map(|grant| grant.organisation),
        body,
        deadline: context.answer_deadline(rule),
        is_repeatable: rule.kind == RouteKind::Idempotent,
        last_event_id: header_text(request.headers(), header::LAST_EVENT_ID).and_then(|text| text.parse().ok()),
    };
    let client_watch = request.conn_data::<ClientWatch>().cloned();
    let homes = context.config.homes(rule, call.organisation.as_deref());
    let target = RequestTarget::select(parts, request.headers(), rule, homes, &call).await?;
    let refused_at = context.arrived_at.plus_ms(rule.latency_objective_ms / CAPACITY_WAIT_DIVISOR).min(call.deadline);
    let plan = AttemptPlan {
        call,
        target,
        rule: rule.clone(),
        config_version: context.config.version,
        permits: caller_permit(priority, context.arrived_at, refused_at),
        wait: WaitTerms::new(context.arrived_at, context.deadline, rule.timeout_ms, rule.latency_objective_ms),
        earlier_runs: 0,
        failed_upstreams: Vec::new(),
    };
    // Requests that may run only once are finished when the caller disconnects, because the caller may request the
    // outcome later. Streams are of no use to anybody else.
    let is_cancelled = rule.kind == RouteKind::Idempotent || rule.is_stream;
    let client_left = async {
        match client_watch.as_ref().filter(|_| is_cancelled) {
            Some(client_watch) => client_watch.wait_for_close().await,
            None => std::future::pending().await,
        }
    };
    let respond = async {
        if rule.is_stream {
            forward_stream(parts, plan, client_watch.clone()).await
        } else {
            forward_call(parts, &plan).await
        }
    };
    tokio::select! {
        response = respond => response,
        () = client_left => {
            LogLine::new("client_left").field("request_id", &context.id).info();
            EdgeMetrics::increment(&EdgeMetrics::global().answers, "client_left");
            Err(ApiRefusal::ResponseTimeout)
        }
    }
}

/// Forwards a request and responds with the complete response of an upstream.
async fn forward_call(parts: &WorkerParts, plan: &AttemptPlan) -> Result<HttpResponse, ApiRefusal> {
    let fetch = async |guard: &UpstreamGuard, sent_at| {
        fetch_complete(&parts.upstream_client, &plan.call, guard, sent_at, RESPONSE_BYTES_MAX).await
    };
    let answered = try_upstreams(parts, plan, fetch).await?;
    Ok(caller_response(answered.response))
}

/// The response to the caller, with the headers of the upstream's response that are forwarded.
pub fn caller_response(upstream_response: CompleteResponse) -> HttpResponse {
    let outcome = if upstream_response.status.is_success() { "served" } else { "upstream_failed" };
    EdgeMetrics::increment(&EdgeMetrics::global().answers, outcome);
    let mut response = HttpResponse::build(upstream_response.status);
    for (name, value) in &forwarded_response_headers(&upstream_response.headers) {
        response.append_header((name.clone(), value.clone()));
    }
    response.body(upstream_response.body)
}
