//! Sends a request to an upstream on the direct path.

use super::{AttemptFailure, Result, UpstreamCall, UpstreamGuard};
use crate::edge_metrics::EdgeMetrics;
use actix_web::error::ParseError;
use awc::{
    Client, ClientRequest, ClientResponse,
    error::{ConnectError, SendRequestError},
};
use pimentoslip_client::is_unsent;
use pimentoslip_platform::header;
use pimentoslip_telemetry::LogLine;
use std::{io, time::Duration};

/// Sends `call` to the guard's upstream and waits until the deadline for the header of the response, which is not checked.
pub async fn send_direct(client: &Client, call: &UpstreamCall, guard: &UpstreamGuard) -> Result<ClientResponse> {
    let sent_at = guard.now();
    let left_ms = call.deadline.since_ms(sent_at);
    if left_ms == 0 {
        return Err(AttemptFailure::NotSent.into());
    }
    if !guard.may_send() {
        return Err(AttemptFailure::Departed.into());
    }
    guard.request_sent();
    let sent = loop {
        match upstream_request(client, call, guard, left_ms).send_body(call.body.clone()).await {
            // Each of these closes an idle connection at once, so that at last a new one is opened.
            Err(error) if is_unsent(&error) => count_closed_connection("id_repeated"),
            sent => break sent,
        }
    };
    match sent {
        Ok(response) => {
            guard.direct_succeeded(sent_at);
            match response.headers().get(header::REQUEST_ID) {
                None => count_closed_connection("id_missing"),
                Some(id) if id.as_bytes() != call.id.as_bytes() => count_closed_connection("id_of_other"),
                Some(_) => {}
            }
            Ok(response)
        }
        Err(error) => {
            let failure = send_failure(&error, call, guard);
            Err(guard.direct_failed(failure, sent_at).into())
        }
    }
}

/// Counts a connection that carries no further request, as a copy of one of its responses could be mistaken.
fn count_closed_connection(reason: &'static str) {
    EdgeMetrics::increment(&EdgeMetrics::global().connections_closed, reason);
}

/// The request to the guard's upstream for `call`, whose sender waits for `left_ms` milliseconds.
fn upstream_request(client: &Client, call: &UpstreamCall, guard: &UpstreamGuard, left_ms: u64) -> ClientRequest {
    let mut request = client
        .request(call.method.clone(), format!("http://{}{}", guard.record.address, call.path))
        .no_decompress()
        .timeout(Duration::from_millis(left_ms))
        .insert_header(("host", &*call.host))
        .insert_header((header::REQUEST_ID, &*call.id))
        .insert_header((header::DEADLINE_MS, left_ms.to_string()))
        .insert_header((header::EXPECTED_UPSTREAM, &*guard.record.id));
    for (name, value) in &call.headers {
        request = request.append_header((name.clone(), value.clone()));
    }
    if let Some(organisation) = &call.organisation {
        request = request.insert_header((header::ORGANISATION, &**organisation));
    }
    if let Some(event_id) = call.last_event_id {
        request = request.insert_header((header::LAST_EVENT_ID, event_id.to_string()));
    }
    request
}

/// Classifies and logs the failure to send a request or to receive the header of its response.
fn send_failure(error: &SendRequestError, call: &UpstreamCall, guard: &UpstreamGuard) -> AttemptFailure {
    let (event, failure) = match error {
        SendRequestError::Connect(ConnectError::Disconnected) => ("connection_lost", AttemptFailure::Lost),
        SendRequestError::Connect(_) => ("connection_failed", AttemptFailure::Unreachable),
        SendRequestError::Timeout => ("connection_silent", AttemptFailure::TimedOut),
        SendRequestError::Response(ParseError::Io(error)) | SendRequestError::Send(error)
            if error.kind() == io::ErrorKind::TimedOut =>
        {
            ("connection_lost", AttemptFailure::Unacknowledged)
        }
        SendRequestError::Response(ParseError::Io(_) | ParseError::Incomplete) => {
            ("connection_lost", AttemptFailure::Lost)
        }
        SendRequestError::Response(ParseError::TooLarge) => ("response_unreadable", AttemptFailure::Oversized),
        SendRequestError::Response(_) => ("response_unreadable", AttemptFailure::Malformed),
        _ => ("connection_lost", AttemptFailure::Lost),
    };
    LogLine::new(event).field("request_id", &call.id).field("upstream", &guard.record.id).field("error", error).warn();
    failure
}
