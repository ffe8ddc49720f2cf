//! One attempt to send a request to an upstream, up to the header of the response.

use super::{UpstreamCall, UpstreamGuard};
use crate::edge_metrics::EdgeMetrics;
use actix_web::{
    error::ParseError,
    http::{StatusCode, header::HeaderMap},
};
use awc::{
    Client, ClientResponse,
    error::{ConnectError, PayloadError, SendRequestError},
};
use bytes::Bytes;
use futures_util::Stream;
use pimentoslip_kernel::{SamplerOutcome, TimePoint};
use pimentoslip_platform::{decode_request_limit, header};
use pimentoslip_telemetry::LogLine;
use std::time::Duration;

/// Result of an attempt.
pub type Result<T> = std::result::Result<T, AttemptError>;

/// Reason why an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The deadline had passed, so nothing was sent.
    NotSent,
    /// No connection could be opened.
    Unreachable,
    /// The upstream refused to run the request.
    Refused,
    /// Another upstream has taken over the address, or the upstream has loaded other weights.
    Misdirected,
    /// The connection was lost after the request may have been sent.
    Lost,
    /// No complete response, or no further event, was received in time.
    TimedOut,
    /// The response has no request id or that of another request, or its events do not continue the text.
    Mismatch,
    /// The response was truncated, malformed or too large, or had a content encoding or an unexpected status.
    Malformed,
}

impl AttemptFailure {
    /// Name of the reason in metrics and logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::Unreachable => "unreachable",
            Self::Refused => "refused",
            Self::Misdirected => "misdirected",
            Self::Lost => "lost",
            Self::TimedOut => "timed_out",
            Self::Mismatch => "mismatch",
            Self::Malformed => "spoilt",
        }
    }

    /// Whether the upstream may have run the request.
    #[must_use]
    pub fn may_have_run(self) -> bool {
        !matches!(self, Self::NotSent | Self::Unreachable | Self::Refused | Self::Misdirected)
    }

    /// Whether the upstream may have crashed while it ran the request.
    #[must_use]
    pub fn may_be_crash(self) -> bool {
        matches!(self, Self::Lost | Self::TimedOut | Self::Malformed)
    }

    /// Outcome that is recorded for the upstream, on which its availability is based.
    #[must_use]
    pub fn upstream_outcome(self) -> SamplerOutcome {
        match self {
            Self::NotSent => SamplerOutcome::Abandoned,
            Self::Refused => SamplerOutcome::Refused,
            Self::Unreachable | Self::Misdirected | Self::Lost | Self::TimedOut => SamplerOutcome::Failed,
            Self::Mismatch | Self::Malformed => SamplerOutcome::Answered(None),
        }
    }
}

/// A failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptError {
    /// Reason of the failure.
    pub failure: AttemptFailure,
}

impl From<AttemptFailure> for AttemptError {
    fn from(failure: AttemptFailure) -> Self {
        Self { failure }
    }
}

/// Sends `call` to the guard's upstream and waits until the deadline for the header of the response; the body is not
/// read. If the deadline has passed already, nothing is sent and the result is `NotSent`.
pub async fn start_attempt(
    client: &Client,
    call: &UpstreamCall,
    guard: &UpstreamGuard,
    now: TimePoint,
) -> Result<ClientResponse<impl Stream<Item = std::result::Result<Bytes, PayloadError>> + Unpin + use<>>> {
    let left_ms = call.deadline.since_ms(now);
    if left_ms == 0 {
        return Err(AttemptFailure::NotSent.into());
    }
    let url = format!("http://{}{}", guard.record.address, call.path);
    let mut request = client
        .request(call.method.clone(), url)
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
    guard.request_sent();
    let response = match request.send_body(call.body.clone()).await {
        Ok(response) => response,
        Err(error) => return Err(send_failure(&error, call, guard).into()),
    };
    if let Some(requests) = reported_load(response.headers()) {
        guard.load_reported(requests);
    }
    let checked = check_response(&call.id, response.status(), response.headers());
    if is_from_upstream(checked, &call.id, response.headers()) {
        report_limit(guard, response.headers(), now);
    }
    checked?;
    Ok(response)
}

/// Classifies and logs the failure to send a request or to receive the header of its response.
fn send_failure(error: &SendRequestError, call: &UpstreamCall, guard: &UpstreamGuard) -> AttemptFailure {
    let (event, failure) = match error {
        SendRequestError::Connect(ConnectError::Disconnected) => ("connection_lost", AttemptFailure::Lost),
        SendRequestError::Connect(_) => ("connection_failed", AttemptFailure::Unreachable),
        SendRequestError::Timeout => ("connection_silent", AttemptFailure::TimedOut),
        SendRequestError::Response(ParseError::Io(_) | ParseError::Incomplete) => {
            ("connection_lost", AttemptFailure::Lost)
        }
        SendRequestError::Response(_) => ("response_unreadable", AttemptFailure::Malformed),
        _ => ("connection_lost", AttemptFailure::Lost),
    };
    LogLine::new(event).field("request_id", &call.id).field("upstream", &guard.record.id).field("error", error).warn();
    failure
}

/// Checks that a response belongs to the request `id` and that the upstream accepted the request.
pub fn check_response(id: &str, status: StatusCode, headers: &HeaderMap) -> Result<()> {
    let echoed_id = headers.get(header::REQUEST_ID).map(|value| value.as_bytes());
    if echoed_id.is_some_and(|echoed_id| echoed_id != id.as_bytes()) {
        return Err(AttemptFailure::Mismatch.into());
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        return Err(AttemptFailure::Misdirected.into());
    }
    if headers.contains_key(header::NOT_RUN) {
        return Err(AttemptFailure::Refused.into());
    }
    if echoed_id.is_none() {
        return Err(AttemptFailure::Mismatch.into());
    }
    if headers.contains_key("content-encoding") {
        return Err(AttemptFailure::Malformed.into());
    }
    Ok(())
}

/// Whether a response with the result `checked` was written by the upstream that the request `id` was sent to, so that
/// its limit is that of this upstream. A response without an id may belong to an earlier request.
fn is_from_upstream(checked: Result<()>, id: &str, headers: &HeaderMap) -> bool {
    let has_id = headers.get(header::REQUEST_ID).is_some_and(|echoed_id| echoed_id.as_bytes() == id.as_bytes());
    has_id && checked.err().is_none_or(|error| error.failure != AttemptFailure::Misdirected)
}

/// Records the limit that the response to a request which was sent at `sent_at` names, or that it names none. A
/// malformed limit changes nothing.
fn report_limit(guard: &UpstreamGuard, headers: &HeaderMap, sent_at: TimePoint) {
    let Some(value) = headers.get(header::REQUEST_LIMIT) else { return guard.limit_reported(None, sent_at) };
    match decode_request_limit(value.to_str().unwrap_or_default()) {
        Ok(limit) => guard.limit_reported(Some(limit), sent_at),
        Err(error) => {
            EdgeMetrics::increment(&EdgeMetrics::global().limit_changes, "malformed");
            LogLine::new("limit_malformed")
                .field("upstream", &guard.record.id)
                .field("limit", format!("{value:?}"))
                .field("reason", error)
                .warn();
        }
    }
}

/// Number of requests that are running and queued at the upstream, as reported in a response header.
fn reported_load(headers: &HeaderMap) -> Option<u64> {
    let mut fields = headers.get(header::UPSTREAM_LOAD)?.to_str().ok()?.split(',');
    let running: u64 = fields.next()?.trim().parse().ok()?;
    let queued: u64 = fields.next()?.trim().parse().ok()?;
    Some(running + queued)
}
