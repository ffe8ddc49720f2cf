//! Relays requests to upstreams for peers that have lost their paths. Which upstream gets a request, how often and for how
//! long is decided by the peer.

use crate::{
    edge_metrics::EdgeMetrics,
    edge_state::{EdgeState, RequestGuard},
    relay::{
        AttemptFailure, RelayRefusal, UpstreamCall, UpstreamGuard, forwarded_response_headers, is_clean_close,
        is_delimited_by_close, observe_upstream, send_direct,
    },
    worker_parts::WorkerParts,
};
use actix_web::{
    HttpRequest, HttpResponse,
    http::{
        Method, StatusCode,
        header::{HeaderMap, HeaderName, HeaderValue},
    },
    web,
};
use awc::{ClientResponse, error::PayloadError};
use bytes::Bytes;
use futures_util::{Stream, StreamExt, stream};
use pimentoslip_kernel::{SamplerOutcome, TimePoint};
use pimentoslip_server::{BufferShare, ClientWatch};
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::{
    decode,
    peer::{RELAY_ANSWERED, RELAY_RESULT_HEADER, RELAY_UNMEASURED_HEADER, RelayedCall},
};
use std::{io, time::Duration};
use tokio::sync::mpsc;

/// Parts of a response that wait for a peer that reads slowly; then the upstream waits as well.
const PARTS_MAX: usize = 16;

/// A request of a peer that was admitted.
struct RelayedRequest {
    call: UpstreamCall,
    guard: UpstreamGuard,
    /// Memory of the request body.
    share: BufferShare,
    /// Delays the end of a planned stop until the response is complete.
    request_guard: RequestGuard,
}

/// Sends a peer's request to the upstream that it names, on the direct path, and passes the response on.
pub async fn relay_request(parts: web::Data<WorkerParts>, request: HttpRequest, body: web::Bytes) -> HttpResponse {
    let arrived_at = parts.state.now();
    let call: RelayedCall = match decode(&body) {
        Ok(call) => call,
        Err(error) => {
            LogLine::new("peer_call_malformed").field("reason", error).warn();
            return HttpResponse::BadRequest().finish();
        }
    };
    let id = call.id.clone();
    let relayed = match admit(&parts, call, arrived_at) {
        Ok(relayed) => relayed,
        Err(refusal) => {
            LogLine::new("relay_refused").field("request_id", id).field("reason", refusal.as_str()).warn();
            return refusal_response(refusal.as_str());
        }
    };
    let client_watch = request.conn_data::<ClientWatch>().cloned();
    let left = Duration::from_millis(relayed.call.deadline.since_ms(arrived_at));
    let exchange = send_direct(&parts.upstream_client, &relayed.call, &relayed.guard);
    tokio::select! {
        result = actix_rt::time::timeout(left, exchange) => match result {
            Ok(Ok(response)) => relay_response(&parts, relayed, response, client_watch),
            Ok(Err(error)) => failure_response(relayed, error.failure),
            Err(_) => failure_response(relayed, AttemptFailure::TimedOut),
        },
        () = peer_left(&client_watch) => failure_response(relayed, AttemptFailure::TimedOut),
    }
}

/// Waits until the peer has closed its connection, because its caller has left or its deadline has passed.
async fn peer_left(client_watch: &Option<ClientWatch>) {
    match client_watch {
        Some(client_watch) => client_watch.wait_for_close().await,
        None => std::future::pending().await,
    }
}

/// Checks whether a request may be relayed, and picks its upstream.
fn admit(parts: &WorkerParts, call: RelayedCall, arrived_at: TimePoint) -> Result<RelayedRequest, RelayRefusal> {
    let state = &parts.state;
    if !state.admit_relay_sender(&call.sender) {
        return Err(RelayRefusal::Forbidden);
    }
    if state.is_draining() {
        return Err(RelayRefusal::Stopping);
    }
    if state.paths().is_cut() {
        return Err(RelayRefusal::AllPathsLost);
    }
    let guard = UpstreamGuard::adopt(state, &call.upstream, call.started).ok_or_else(|| {
        if is_evacuated(state, &call.upstream) { RelayRefusal::Evacuated } else { RelayRefusal::Unlisted }
    })?;
    if !state.paths().may_relay(&guard.record.address) {
        return Err(RelayRefusal::PathLost);
    }
    let mut share = state.buffers.share();
    if !share.grow(call.body.len()) {
        return Err(RelayRefusal::MemoryUsedUp);
    }
    let call = upstream_call(call, arrived_at).ok_or(RelayRefusal::Forbidden)?;
    Ok(RelayedRequest { call, guard, share, request_guard: state.track_request() })
}

/// Whether the failure domain of `upstream` is evacuated.
fn is_evacuated(state: &EdgeState, upstream: &str) -> bool {
    let upstreams = state.upstreams();
    upstreams.get(upstream).is_some_and(|record| upstreams.evacuations().contains(&record.failure_domain))
}

/// The request to the upstream; `None` if the peer's call is not a request of HTTP.
fn upstream_call(call: RelayedCall, arrived_at: TimePoint) -> Option<UpstreamCall> {
    let mut headers = HeaderMap::new();
    for header in call.headers {
        headers.append(HeaderName::try_from(header.name).ok()?, HeaderValue::from_bytes(&header.value).ok()?);
    }
    Some(UpstreamCall {
        id: call.id,
        method: Method::from_bytes(call.method.as_bytes()).ok()?,
        path: call.path,
        host: call.host,
        headers,
        organisation: call.organisation,
        body: call.body.into_vec().into(),
        deadline: arrived_at.plus_ms(call.left_ms),
        is_repeatable: false,
        last_event_id: call.last_event,
    })
}

/// Passes the response of an upstream on, part by part.
fn relay_response<S>(
    parts: &WorkerParts,
    mut relayed: RelayedRequest,
    response: ClientResponse<S>,
    client_watch: Option<ClientWatch>,
) -> HttpResponse
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin + 'static,
{
    let RelayedRequest { call, guard, .. } = &mut relayed;
    observe_upstream(&call.id, guard, response.status(), response.headers(), parts.state.now());
    guard.set_outcome(SamplerOutcome::Answered(None));
    EdgeMetrics::increment(&EdgeMetrics::global().relayed_requests, RELAY_ANSWERED);
    LogLine::new("relayed")
        .field("request_id", &call.id)
        .field("upstream", &guard.record.id)
        .field("status", response.status().as_u16())
        .info();
    let mut answer = HttpResponse::build(response.status());
    for (name, value) in &forwarded_response_headers(response.headers()) {
        answer.append_header((name.clone(), value.clone()));
    }
    answer.insert_header((RELAY_RESULT_HEADER, RELAY_ANSWERED));
    if is_delimited_by_close(response.headers()) {
        answer.insert_header((RELAY_UNMEASURED_HEADER, "1"));
    }
    let (sender, receiver) = mpsc::channel(PARTS_MAX);
    actix_rt::spawn(pass_body(parts.clone(), relayed, response, sender, client_watch));
    let chunks = stream::unfold(receiver, |mut receiver| async move {
        let chunk: Option<io::Result<Bytes>> = receiver.recv().await;
        Some((chunk?, receiver))
    });
    answer.streaming(chunks)
}

/// Passes the body of a response on until it ends, the deadline passes or the peer leaves. A body that breaks off ends the
/// peer's connection, so that it does not look complete.
async fn pass_body<S>(
    parts: WorkerParts,
    relayed: RelayedRequest,
    mut response: ClientResponse<S>,
    sender: mpsc::Sender<io::Result<Bytes>>,
    client_watch: Option<ClientWatch>,
) where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    let RelayedRequest { call, guard: _guard, share: _share, request_guard: _request_guard } = relayed;
    let is_closed_at_end = is_delimited_by_close(response.headers());
    let pass = async {
        loop {
            let left = Duration::from_millis(call.deadline.since_ms(parts.state.now()));
            let chunk = match actix_rt::time::timeout(left, response.next()).await {
                Ok(Some(Ok(chunk))) => chunk,
                Ok(None) => return None,
                Ok(Some(Err(error))) if is_closed_at_end && is_clean_close(&error) => return None,
                Ok(Some(Err(error))) => return Some(error.to_string()),
                Err(_) => return Some("the deadline has passed".to_owned()),
            };
            if sender.send(Ok(chunk)).await.is_err() {
                return None;
            }
        }
    };
    let failure = tokio::select! {
        failure = pass => failure,
        () = peer_left(&client_watch) => None,
    };
    if let Some(reason) = failure {
        LogLine::new("relay_broken_off").field("request_id", &call.id).field("reason", &reason).warn();
        // The peer has left if nobody receives this.
        let _ = sender.send(Err(io::Error::other(reason))).await;
    }
}

/// The response about a request that got none of its upstream.
fn failure_response(mut relayed: RelayedRequest, failure: AttemptFailure) -> HttpResponse {
    relayed.guard.set_outcome(failure.upstream_outcome());
    // The peer tells a path of this daemon from an upstream that nobody reaches.
    let failure = match failure {
        AttemptFailure::PathLost => AttemptFailure::Unreachable,
        // Peers of earlier releases do not know the name, and would take the request for one that was not sent.
        AttemptFailure::Oversized => AttemptFailure::Malformed,
        failure => failure,
    };
    refusal_response(failure.as_str())
}

fn refusal_response(reason: &'static str) -> HttpResponse {
    EdgeMetrics::increment(&EdgeMetrics::global().relayed_requests, reason);
    HttpResponse::build(StatusCode::BAD_GATEWAY).insert_header((RELAY_RESULT_HEADER, reason)).finish()
}
