//! Requests that are answered by one upstream.

use super::{
    api_refusal::ApiRefusal,
    request_context::{RequestContext, header_text},
};
use crate::{
    client_watch::ClientWatch,
    edge_metrics::EdgeMetrics,
    relay::{
        CompleteResponse, UpstreamCall, UpstreamGuard, fetch_complete, forwarded_request_headers,
        forwarded_response_headers,
    },
    worker_parts::WorkerParts,
};
use actix_web::{HttpRequest, HttpResponse, web};
use bytes::Bytes;
use pimentoslip_kernel::{
    CapacityNeed, RouteKind, RouteRule, SamplerOutcome, SamplerQuery, SharedName, TimePoint, fingerprint,
};
use pimentoslip_platform::header;
use pimentoslip_telemetry::LogLine;
use std::time::Duration;

/// Largest answer that is held; plain services answer with kilobytes.
const ANSWER_BYTES_MAX: usize = 16 << 20;
/// Pause before upstreams are looked at again when none has room.
const ROOM_PAUSE: Duration = Duration::from_millis(15);
/// A request waits for room up to its objective divided by this; later an answer elsewhere is worth more.
const ROOM_WAIT_DIVISOR: u64 = 4;
/// Refusals, which are no runs, that one request may collect beyond its attempts.
const REFUSALS_MAX: u32 = 4;

/// Reads the body within the limits in force.
pub async fn read_body(
    parts: &WorkerParts,
    context: &RequestContext,
    payload: web::Payload,
) -> Result<Bytes, ApiRefusal> {
    let left = Duration::from_millis(context.deadline.since_ms(parts.state.now()));
    let read = payload.to_bytes_limited(context.config.limits.body_bytes_max);
    match actix_rt::time::timeout(left, read).await {
        Ok(Ok(Ok(body))) => Ok(body),
        Ok(Ok(Err(_))) => Err(ApiRefusal::Malformed),
        Ok(Err(_)) => Err(ApiRefusal::BodyTooLarge),
        Err(_) => Err(ApiRefusal::BodyTimeout),
    }
}

/// Sends a request to upstreams of its route's service until one answers it.
pub async fn forward_request(
    parts: &WorkerParts,
    context: &RequestContext,
    request: &HttpRequest,
    payload: web::Payload,
    rule: &RouteRule,
) -> Result<HttpResponse, ApiRefusal> {
    let grant = if rule.allows_anonymous { None } else { context.key_grant(request)? };
    let body = read_body(parts, context, payload).await?;
    let draw = fingerprint(&[context.id.as_bytes()]);
    let service = rule.service_for_draw(draw).ok_or(ApiRefusal::NoUpstream)?.clone();
    let query = request.uri().path_and_query().map_or_else(|| context.path.clone(), ToString::to_string);
    let call = UpstreamCall {
        id: context.id.clone(),
        method: request.method().clone(),
        path: query,
        host: context.host.clone(),
        headers: forwarded_request_headers(request.headers()),
        organisation: grant.map(|grant| grant.organisation),
        body,
        deadline: context.deadline.min(context.arrived_at.plus_ms(rule.timeout_ms)),
        last_event_id: header_text(request.headers(), header::LAST_EVENT_ID).and_then(|text| text.parse().ok()),
    };
    let watch = request.conn_data::<ClientWatch>().cloned();
    let work = try_upstreams(parts, context, &call, &service, rule);
    let answer = match watch {
        // A request that may run once is finished for its caller's sake, who may ask what became of it.
        Some(watch) if rule.kind == RouteKind::Idempotent => {
            tokio::select! {
                answer = work => answer?,
                () = watch.closed() => {
                    LogLine::new("client_left").field("request_id", &context.id).info();
                    EdgeMetrics::increment(&EdgeMetrics::global().answers, "client_left");
                    return Err(ApiRefusal::ResponseTimeout);
                }
            }
        }
        _ => work.await?,
    };
    Ok(caller_response(answer))
}

fn caller_response(answer: CompleteResponse) -> HttpResponse {
    let mut response = HttpResponse::build(answer.status);
    for (name, value) in &forwarded_response_headers(&answer.headers) {
        response.append_header((name.clone(), value.clone()));
    }
    response.body(answer.body)
}

/// What is known after the attempts so far.
#[derive(Debug, Default)]
struct AttemptHistory {
    tried: Vec<SharedName>,
    runs: u32,
    refusals: u32,
    may_have_run: bool,
    answer: Option<CompleteResponse>,
}

async fn try_upstreams(
    parts: &WorkerParts,
    context: &RequestContext,
    call: &UpstreamCall,
    service: &SharedName,
    rule: &RouteRule,
) -> Result<CompleteResponse, ApiRefusal> {
    let state = &parts.state;
    let room_until = context.arrived_at.plus_ms(rule.latency_objective_ms / ROOM_WAIT_DIVISOR);
    let mut log = AttemptHistory::default();
    while log.runs < rule.attempts_max && log.refusals <= REFUSALS_MAX && state.now() < call.deadline {
        let picked = pick_upstream(parts, service, &call.id, &log.tried);
        let Some(mut guard) = picked else {
            let now = state.now();
            if log.answer.is_some() || now >= room_until.min(call.deadline) {
                break;
            }
            log.tried.clear();
            actix_rt::time::sleep(ROOM_PAUSE).await;
            continue;
        };
        let sent = state.now();
        let end = fetch_complete(&parts.upstream_client, call, &guard, sent, ANSWER_BYTES_MAX).await;
        let took_ms = state.now().since_ms(sent);
        let upstream = guard.record.id.clone();
        log.tried.push(upstream.clone());
        let result = match &end {
            Ok(answer) => answer.status.as_u16().to_string(),
            Err(failure) => failure.as_str().to_owned(),
        };
        LogLine::new("attempt")
            .field("request_id", &context.id)
            .field("route", &rule.name)
            .field("upstream", &upstream)
            .field("config", context.config.version)
            .field("left_ms", call.deadline.since_ms(sent))
            .field("took_ms", took_ms)
            .field("result", result)
            .info();
        match end {
            Ok(answer) => {
                guard.set_outcome(SamplerOutcome::Answered(Some(took_ms)));
                count_usage(parts, call, sent);
                log.runs += 1;
                log.may_have_run = true;
                let repeat = answer.status.is_server_error() && rule.kind == RouteKind::Idempotent;
                log.answer = Some(answer);
                if !repeat {
                    break;
                }
                EdgeMetrics::increment(&EdgeMetrics::global().retries, "upstream_failed");
            }
            Err(failure) => {
                guard.set_outcome(failure.upstream_outcome());
                EdgeMetrics::increment(&EdgeMetrics::global().retries, failure.as_str());
                if failure.may_have_run() {
                    count_usage(parts, call, sent);
                    log.runs += 1;
                    log.may_have_run = true;
                    if rule.kind != RouteKind::Idempotent {
                        break;
                    }
                } else {
                    log.refusals += 1;
                }
            }
        }
    }
    final_response(parts, call, log)
}

fn final_response(
    parts: &WorkerParts,
    call: &UpstreamCall,
    log: AttemptHistory,
) -> Result<CompleteResponse, ApiRefusal> {
    if let Some(answer) = log.answer {
        let outcome = if answer.status.is_success() { "served" } else { "upstream_failed" };
        EdgeMetrics::increment(&EdgeMetrics::global().answers, outcome);
        return Ok(answer);
    }
    let late = parts.state.now() >= call.deadline;
    Err(match (log.may_have_run, late) {
        (true, true) => ApiRefusal::ResponseTimeout,
        (true, false) => ApiRefusal::UpstreamLost,
        (false, true) => ApiRefusal::DeadlinePassed,
        (false, false) => ApiRefusal::NoUpstream,
    })
}

fn pick_upstream(parts: &WorkerParts, service: &str, id: &str, tried: &[SharedName]) -> Option<UpstreamGuard> {
    let query = SamplerQuery {
        service,
        model: None,
        failure_domain: &parts.state.settings.failure_domain,
        excluded: tried,
        capacity: CapacityNeed::Queue,
        affinity: id,
    };
    UpstreamGuard::pick(&parts.state, &query)
}

/// Counts a request that an upstream began to run.
fn count_usage(parts: &WorkerParts, call: &UpstreamCall, sent: TimePoint) {
    let Some(organisation) = &call.organisation else { return };
    let state = &parts.state;
    let unix_ms = state.unix_ms().saturating_sub(state.now().since_ms(sent));
    state.usage().count_request(organisation, unix_ms);
}
