//! Sends a request to an upstream through a peer that has a path to it.

use super::{AttemptFailure, Result, UpstreamCall, UpstreamGuard, relay_refusal::RelayRefusal};
use crate::edge_metrics::EdgeMetrics;
use awc::{
    Client, ClientResponse,
    error::{ConnectError, SendRequestError},
};
use pimentoslip_kernel::{PeerCheck, RelayFailure, SharedName};
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::{
    encode,
    peer::{HeaderBody, RELAY_ANSWERED, RELAY_RESULT_HEADER, RelayedCall},
};
use serde_bytes::ByteBuf;
use std::time::Duration;

/// Path of the peer interface at which daemons relay requests to upstreams.
pub const UPSTREAM_RELAY_PATH: &str = "/peer/upstream";

/// Path at which a peer shows that it runs.
pub const PEER_CHECK_PATH: &str = "/peer/alive";
/// Time without a response of a peer after which it is asked whether it runs. Upstreams respond later than this to many
/// requests; the peer itself responds at once.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// Longest wait for the peer's response.
const PEER_CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// Sends `call` to the guard's upstream through `peer`, and waits until the deadline for the header of the response, which is
/// not checked.
pub async fn send_relayed(
    client: &Client,
    call: &UpstreamCall,
    guard: &UpstreamGuard,
    peer: &SharedName,
) -> Result<ClientResponse> {
    let left_ms = call.deadline.since_ms(guard.now());
    if left_ms == 0 {
        return Err(AttemptFailure::NotSent.into());
    }
    if !guard.may_send() {
        return Err(AttemptFailure::Departed.into());
    }
    let Some(control_address) = guard.peer_address(peer) else {
        guard.relay_failed(peer, RelayFailure::Peer);
        return Err(AttemptFailure::PathLost.into());
    };
    let body = match encode(&message(call, guard, left_ms)) {
        Ok(body) => body,
        Err(error) => {
            LogLine::new("relay_not_encoded").field("request_id", &call.id).field("reason", error).warn();
            return Err(AttemptFailure::NotSent.into());
        }
    };
    guard.request_sent();
    let request = client
        .post(format!("http://{control_address}{UPSTREAM_RELAY_PATH}"))
        .no_decompress()
        .timeout(Duration::from_millis(left_ms));
    let sent = tokio::select! {
        sent = request.send_body(body) => sent,
        () = peer_failed(client, guard, peer, &control_address) => {
            EdgeMetrics::increment(&EdgeMetrics::global().relayed_attempts, "peer_silent");
            return Err(AttemptFailure::Unacknowledged.into());
        }
    };
    let (result, outcome) = match sent {
        Ok(response) => {
            let value = response.headers().get(RELAY_RESULT_HEADER).and_then(|value| value.to_str().ok());
            match value {
                Some(RELAY_ANSWERED) => {
                    guard.relay_succeeded(peer);
                    (RELAY_ANSWERED, Ok(response))
                }
                value => {
                    LogLine::new("relay_declined")
                        .field("request_id", &call.id)
                        .field("peer", peer)
                        .field("upstream", &guard.record.id)
                        .field("reason", value.unwrap_or("none"))
                        .warn();
                    let failure = refused_by_peer(guard, peer, value);
                    (failure.as_str(), Err(failure.into()))
                }
            }
        }
        Err(error) => {
            let failure = peer_failure(&error);
            // A request whose time is up says nothing of the peer.
            if failure != AttemptFailure::TimedOut {
                guard.relay_failed(peer, RelayFailure::Peer);
            }
            LogLine::new("relay_unresponsive")
                .field("request_id", &call.id)
                .field("peer", peer)
                .field("error", error)
                .warn();
            (failure.as_str(), Err(failure.into()))
        }
    };
    EdgeMetrics::increment(&EdgeMetrics::global().relayed_attempts, result);
    outcome
}

/// The message that asks a peer to relay `call`.
fn message(call: &UpstreamCall, guard: &UpstreamGuard, left_ms: u64) -> RelayedCall {
    let header = |(name, value): (&actix_web::http::header::HeaderName, &actix_web::http::header::HeaderValue)| {
        HeaderBody { name: name.to_string(), value: ByteBuf::from(value.as_bytes()) }
    };
    RelayedCall {
        sender: guard.relay_sender(),
        upstream: guard.record.id.clone(),
        started: guard.record.started_unix_ms,
        id: call.id.clone(),
        method: call.method.to_string(),
        path: call.path.clone(),
        host: call.host.clone(),
        headers: call.headers.iter().map(header).collect(),
        organisation: call.organisation.clone(),
        last_event: call.last_event_id,
        left_ms,
        body: ByteBuf::from(call.body.as_ref()),
    }
}

/// Failure of an attempt that the peer did not answer with a response of the upstream, for the reason `value`.
fn refused_by_peer(guard: &UpstreamGuard, peer: &SharedName, value: Option<&str>) -> AttemptFailure {
    if let Some(failure) = value.and_then(AttemptFailure::from_name) {
        if failure == AttemptFailure::Unreachable || failure == AttemptFailure::PathLost {
            guard.relay_failed(peer, RelayFailure::Upstream);
        }
        return failure;
    }
    // A peer that gives no reason is of an earlier release, which has not read the call.
    let concerns_upstream = value.and_then(RelayRefusal::from_name).is_some_and(RelayRefusal::concerns_upstream);
    guard.relay_failed(peer, if concerns_upstream { RelayFailure::Upstream } else { RelayFailure::Peer });
    AttemptFailure::PathLost
}

/// Waits until `peer` does not run any more: it responds to nothing, also not when it is asked whether it runs.
async fn peer_failed(client: &Client, guard: &UpstreamGuard, peer: &SharedName, control_address: &str) {
    let mut since = guard.now();
    loop {
        actix_rt::time::sleep(PEER_CHECK_INTERVAL).await;
        match guard.peer_check(peer, since) {
            PeerCheck::Responded => since = guard.now(),
            PeerCheck::Silent => return,
            PeerCheck::Pending => {}
            PeerCheck::Due => {
                let url = format!("http://{control_address}{PEER_CHECK_PATH}");
                match client.get(url).timeout(PEER_CHECK_TIMEOUT).send().await {
                    Ok(_) => guard.peer_responded(peer),
                    Err(error) => {
                        LogLine::new("relay_silent").field("peer", peer).field("error", error).warn();
                        guard.peer_silent(peer);
                    }
                }
            }
        }
    }
}

/// Failure of an attempt whose peer did not respond.
fn peer_failure(error: &SendRequestError) -> AttemptFailure {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => AttemptFailure::Lost,
        SendRequestError::Connect(_) => AttemptFailure::PathLost,
        SendRequestError::Timeout => AttemptFailure::TimedOut,
        _ => AttemptFailure::Lost,
    }
}
