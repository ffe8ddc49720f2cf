//! Forwards a request to upstreams until one returns a response.

use super::{
    api_refusal::ApiRefusal,
    request_context::{RequestContext, header_text},
    request_target::RequestTarget,
};
use crate::{
    buffer_budget::BufferShare,
    client_watch::ClientWatch,
    edge_metrics::EdgeMetrics,
    limit::caller_permit,
    relay::{
        AttemptFailure, CompleteResponse, UpstreamCall, UpstreamGuard, fetch_complete, forwarded_request_headers,
        forwarded_response_headers,
    },
    stream::unrecorded_upstreams,
    suspect::{clear_suspect, watch_for_crash},
    worker_parts::WorkerParts,
};
use actix_web::{HttpRequest, HttpResponse, web};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use pimentoslip_kernel::{
    BegunStream, PermitNeed, RouteKind, RouteRule, SamplerOutcome, SharedName, SuspectVerdict, TimePoint,
};
use pimentoslip_platform::header;
use pimentoslip_telemetry::LogLine;
use std::{cell::LazyCell, sync::atomic::Ordering, time::Duration};

/// Largest response body that is buffered; services other than batch jobs respond with kilobytes.
const RESPONSE_BYTES_MAX: usize = 16 << 20;
/// Interval at which upstreams are checked again while none has capacity.
const CAPACITY_CHECK_INTERVAL: Duration = Duration::from_millis(15);
/// A request waits for capacity for up to its route's latency objective divided by this. After that, a response from
/// elsewhere is worth more to the caller, so the request is refused.
const CAPACITY_WAIT_DIVISOR: u64 = 4;
/// Number of attempts in which the request did not run, such as refusals by upstreams, after which one more attempt is
/// made. They do not count towards the attempts that the route allows.
const REFUSALS_MAX: u32 = 4;

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
    rule: &RouteRule,
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
        deadline: context.deadline.min(context.arrived_at.plus_ms(rule.timeout_ms)),
        last_event_id: header_text(request.headers(), header::LAST_EVENT_ID).and_then(|text| text.parse().ok()),
    };
    let client_watch = request.conn_data::<ClientWatch>().cloned();
    let target = RequestTarget::select(parts, request.headers(), rule, &call).await?;
    let attempts = try_upstreams(parts, context, &call, &target, rule, priority);
    let upstream_response = match client_watch {
        // Only idempotent requests are cancelled when the caller disconnects. Others may run at most once and are
        // finished, because the caller may request the outcome later.
        Some(client_watch) if rule.kind == RouteKind::Idempotent => {
            tokio::select! {
                upstream_response = attempts => upstream_response?,
                () = client_watch.wait_for_close() => {
                    LogLine::new("client_left").field("request_id", &context.id).info();
                    EdgeMetrics::increment(&EdgeMetrics::global().answers, "client_left");
                    return Err(ApiRefusal::ResponseTimeout);
                }
            }
        }
        _ => attempts.await?,
    };
    Ok(caller_response(upstream_response))
}

/// The response to the caller, with the headers of the upstream's response that are forwarded.
fn caller_response(upstream_response: CompleteResponse) -> HttpResponse {
    let mut response = HttpResponse::build(upstream_response.status);
    for (name, value) in &forwarded_response_headers(&upstream_response.headers) {
        response.append_header((name.clone(), value.clone()));
    }
    response.body(upstream_response.body)
}

/// Results of the attempts to send one request.
#[derive(Debug, Default)]
struct AttemptHistory {
    /// Ids of the upstreams tried so far; cleared when no other upstream has capacity, so that all are tried again.
    tried: Vec<SharedName>,
    /// Number of attempts in which the request may have run.
    runs: u32,
    /// Number of attempts in which the request certainly did not run.
    refusals: u32,
    /// Whether the request may have run in any attempt.
    may_have_run: bool,
    /// Why no further attempt was made, if it is because upstreams crashed while they ran the request.
    suspect_refusal: Option<ApiRefusal>,
    /// When an upstream may have room for the request, if limits alone kept it from all of them.
    permitted_at: Option<TimePoint>,
    /// The last complete response; it has an error status if a further attempt was made.
    upstream_response: Option<CompleteResponse>,
}

/// Sends `call` to upstreams of `target`, one at a time, until one returns a response that is not to be retried, or
/// until the attempts, the wait for capacity or the deadline are exhausted.
async fn try_upstreams(
    parts: &WorkerParts,
    context: &RequestContext,
    call: &UpstreamCall,
    target: &RequestTarget,
    rule: &RouteRule,
    priority: u32,
) -> Result<CompleteResponse, ApiRefusal> {
    let state = &parts.state;
    let capacity_deadline = context.arrived_at.plus_ms(rule.latency_objective_ms / CAPACITY_WAIT_DIVISOR);
    // The body is hashed only while some request is marked, or after an attempt without a response.
    let repeat_fingerprint = LazyCell::new(|| call.repeat_fingerprint());
    let is_marked = || !state.suspects().is_empty();
    let permits = caller_permit(priority, context.arrived_at, capacity_deadline.min(call.deadline));
    let mut history = AttemptHistory::default();
    while history.runs < rule.attempts_max && history.refusals <= REFUSALS_MAX && state.now() < call.deadline {
        if is_marked() {
            history.suspect_refusal = suspect_refusal(parts, target, *repeat_fingerprint);
            if history.suspect_refusal.is_some() {
                break;
            }
        }
        let picked_guard = pick_upstream(parts, target, &call.id, &history.tried, permits);
        let Some(mut guard) = picked_guard else {
            let now = state.now();
            history.permitted_at = state.upstreams().permit_time(&target.query(parts, &call.id, &[], permits), now);
            // A permit that comes too late is not waited for.
            let is_over = now.max(history.permitted_at.unwrap_or(now)) >= permits.useful_until;
            if history.upstream_response.is_some() || is_over {
                break;
            }
            history.tried.clear();
            let _ = actix_rt::time::timeout(CAPACITY_CHECK_INTERVAL, state.permits_changed.notified()).await;
            continue;
        };
        let sent_at = state.now();
        let attempt = fetch_complete(&parts.upstream_client, call, &guard, sent_at, RESPONSE_BYTES_MAX).await;
        let attempt = attempt.and_then(|response| check_software(response, target, &guard));
        let took_ms = state.now().since_ms(sent_at);
        let upstream = guard.record.id.clone();
        history.tried.push(upstream.clone());
        let result_text = match &attempt {
            Ok(upstream_response) => upstream_response.status.as_u16().to_string(),
            Err(failure) => failure.as_str().to_owned(),
        };
        LogLine::new("attempt")
            .field("request_id", &context.id)
            .field("route", &rule.name)
            .field("upstream", &upstream)
            .field("software", &guard.record.software)
            .field("resumed_after", call.last_event_id.map_or_else(|| "none".to_owned(), |last| last.to_string()))
            .field("config", context.config.version)
            .field("left_ms", call.deadline.since_ms(sent_at))
            .field("took_ms", took_ms)
            .field("result", result_text)
            .info();
        match attempt {
            Ok(upstream_response) => {
                guard.set_outcome(SamplerOutcome::Answered(Some(took_ms)));
                if is_marked() {
                    clear_suspect(state, *repeat_fingerprint);
                }
                count_usage(parts, call, sent_at);
                history.runs += 1;
                history.may_have_run = true;
                let should_retry = upstream_response.status.is_server_error() && rule.kind == RouteKind::Idempotent;
                if upstream_response.status.is_success() {
                    stream_begun(parts, target, &guard);
                }
                history.upstream_response = Some(upstream_response);
                if !should_retry {
                    break;
                }
                EdgeMetrics::increment(&EdgeMetrics::global().retries, "upstream_failed");
            }
            Err(failure) => {
                guard.set_outcome(failure.upstream_outcome());
                EdgeMetrics::increment(&EdgeMetrics::global().retries, failure.as_str());
                if failure.may_have_run() {
                    log_unfinished_run(&call.id, *repeat_fingerprint, &guard, failure);
                    if failure == AttemptFailure::Lost {
                        watch_for_crash(state, &call.id, *repeat_fingerprint, &guard.record);
                    }
                    count_usage(parts, call, sent_at);
                    history.runs += 1;
                    history.may_have_run = true;
                    if rule.kind != RouteKind::Idempotent {
                        break;
                    }
                } else {
                    history.refusals += 1;
                }
            }
        }
    }
    final_response(parts, call, history)
}

/// Fails if the response may be that of a process with other software than the target's, which was started under the
/// upstream's id meanwhile.
fn check_software(
    response: CompleteResponse,
    target: &RequestTarget,
    guard: &UpstreamGuard,
) -> Result<CompleteResponse, AttemptFailure> {
    let needs_software = target.software.is_some() || target.begun_key.is_some();
    if needs_software && guard.is_replaced() { Err(AttemptFailure::Mismatch) } else { Ok(response) }
}

/// Logs an attempt that may have run and got no response, with what identifies repeats of the request at any daemon.
fn log_unfinished_run(request_id: &str, fingerprint: u64, guard: &UpstreamGuard, failure: AttemptFailure) {
    LogLine::new("run_unfinished")
        .field("request_id", request_id)
        .field("fingerprint", format!("{fingerprint:016x}"))
        .field("upstream", &guard.record.id)
        .field("upstream_started", guard.record.started_unix_ms)
        .field("running", guard.inflight())
        .field("result", failure.as_str())
        .warn();
}

/// The last upstream response, or, without one, the refusal that describes the failed attempts.
fn final_response(
    parts: &WorkerParts,
    call: &UpstreamCall,
    history: AttemptHistory,
) -> Result<CompleteResponse, ApiRefusal> {
    if let Some(upstream_response) = history.upstream_response {
        let outcome = if upstream_response.status.is_success() { "served" } else { "upstream_failed" };
        EdgeMetrics::increment(&EdgeMetrics::global().answers, outcome);
        return Ok(upstream_response);
    }
    if let (Some(refusal), false) = (history.suspect_refusal, history.may_have_run) {
        return Err(refusal);
    }
    if let (Some(permitted_at), false) = (history.permitted_at, history.may_have_run) {
        return Err(ApiRefusal::RateLimited { retry_after_ms: permitted_at.since_ms(parts.state.now()) });
    }
    let is_past_deadline = parts.state.now() >= call.deadline;
    Err(match (history.may_have_run, is_past_deadline) {
        (true, true) => ApiRefusal::ResponseTimeout,
        (true, false) => ApiRefusal::UpstreamLost,
        (false, true) => ApiRefusal::DeadlinePassed,
        (false, false) => ApiRefusal::NoUpstream,
    })
}

/// Why the request with `fingerprint` must not run because of the upstreams that crashed under it; `None` if it may. A
/// request that could be the cause is kept from the last upstream of its service, which serves all other requests.
fn suspect_refusal(parts: &WorkerParts, target: &RequestTarget, fingerprint: u64) -> Option<ApiRefusal> {
    let now = parts.state.now();
    let verdict = parts.state.suspects().verdict(fingerprint, now);
    match verdict {
        SuspectVerdict::Quarantined { until } => Some(ApiRefusal::Quarantined { retry_after_ms: until.since_ms(now) }),
        SuspectVerdict::Isolated => {
            let available_count =
                parts.state.upstreams().available_count(&target.query(parts, "", &[], PermitNeed::NONE), now);
            (available_count <= 1).then_some(ApiRefusal::Isolated)
        }
        SuspectVerdict::Unsuspected => None,
    }
}

/// Picks an upstream of `target` other than those in `tried`. `None` if none has capacity. A stream that a caller may
/// continue begins only at a software version that is stored.
fn pick_upstream(
    parts: &WorkerParts,
    target: &RequestTarget,
    id: &str,
    tried: &[SharedName],
    permits: PermitNeed,
) -> Option<UpstreamGuard> {
    let unrecorded = match target.begun_key {
        Some(_) => unrecorded_upstreams(&parts.state, &target.service),
        None => Vec::new(),
    };
    if unrecorded.is_empty() {
        return UpstreamGuard::pick(&parts.state, &target.query(parts, id, tried, permits));
    }
    let excluded: Vec<SharedName> = tried.iter().chain(&unrecorded).cloned().collect();
    let guard = UpstreamGuard::pick(&parts.state, &target.query(parts, id, &excluded, permits));
    if guard.is_none() {
        parts.state.software_wanted.store(true, Ordering::SeqCst);
        parts.state.software_unrecorded.notify_one();
    }
    guard
}

/// Records which software begins the stream of a response that is passed to the caller, who may come back with a part of it
/// to any daemon.
fn stream_begun(parts: &WorkerParts, target: &RequestTarget, guard: &UpstreamGuard) {
    let Some(key) = target.begun_key else { return };
    let stream = BegunStream { service: target.service.clone(), software: guard.record.software.clone() };
    let state = &parts.state;
    state.streams().begun(key, stream, state.now());
    state.streams_begun.notify_one();
}

/// Counts a request that an upstream may have run as usage of its organisation, in the window in which it was sent.
fn count_usage(parts: &WorkerParts, call: &UpstreamCall, sent_at: TimePoint) {
    let Some(organisation) = &call.organisation else { return };
    let state = &parts.state;
    let unix_ms = state.unix_ms().saturating_sub(state.now().since_ms(sent_at));
    state.usage().count_request(organisation, unix_ms);
}
