//! One attempt to send a request to an upstream, up to the header of the response.

use super::{UpstreamCall, UpstreamGuard, direct_attempt::send_direct, relayed_attempt::send_relayed};
use crate::edge_metrics::EdgeMetrics;
use actix_web::http::{StatusCode, header::HeaderMap};
use awc::{Client, ClientResponse};
use pimentoslip_kernel::{SamplerOutcome, ServicePath, TimePoint};
use pimentoslip_platform::{decode_request_limit, header};
use pimentoslip_telemetry::LogLine;

/// Paths that one attempt tries at most, one after the other: the direct one, and those through peers.
const PATHS_MAX: usize = 5;

/// Result of an attempt.
pub type Result<T> = std::result::Result<T, AttemptError>;

/// Reason why an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The deadline had passed, so nothing was sent.
    NotSent,
    /// Nothing was sent, as the upstream has left the list, or leaves, since it was selected.
    Departed,
    /// Nothing was sent, as neither this daemon nor a peer has a path to the upstream. Says nothing of the upstream.
    PathLost,
    /// No connection could be opened.
    Unreachable,
    /// The upstream refused to run the request.
    Refused,
    /// Another upstream has taken over the address, or the upstream has loaded other weights.
    Misdirected,
    /// The connection was lost after the request may have been sent.
    Lost,
    /// The upstream's VM did not acknowledge what was sent, or the path was lost before a response.
    Unacknowledged,
    /// No complete response, or no further event, was received in time.
    TimedOut,
    /// The response has no request id or that of another request, or its events do not continue the text.
    Mismatch,
    /// The response was truncated or malformed, had a content encoding or an unexpected status, or its body was too large.
    Malformed,
    /// The upstream sent more bytes than the head of a response, or the next event of a stream, may have. Other requests would get
    /// the same from it, unlike one with too large a body.
    Oversized,
}

impl AttemptFailure {
    /// All failures.
    const ALL: [Self; 12] = [
        Self::NotSent,
        Self::Departed,
        Self::PathLost,
        Self::Unreachable,
        Self::Refused,
        Self::Misdirected,
        Self::Lost,
        Self::Unacknowledged,
        Self::TimedOut,
        Self::Mismatch,
        Self::Malformed,
        Self::Oversized,
    ];

    /// Name of the reason in metrics and logs, and between daemons.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::Departed => "departed",
            Self::PathLost => "path_lost",
            Self::Unreachable => "unreachable",
            Self::Refused => "refused",
            Self::Misdirected => "misdirected",
            Self::Lost => "lost",
            Self::Unacknowledged => "unacknowledged",
            Self::TimedOut => "timed_out",
            Self::Mismatch => "mismatch",
            Self::Malformed => "spoilt",
            Self::Oversized => "oversized",
        }
    }

    /// The failure with the name `name`.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|failure| failure.as_str() == name)
    }

    /// Whether the upstream may have run the request.
    #[must_use]
    pub fn may_have_run(self) -> bool {
        match self {
            Self::NotSent | Self::Departed | Self::PathLost | Self::Unreachable | Self::Refused | Self::Misdirected => {
                false
            }
            Self::Lost | Self::Unacknowledged | Self::TimedOut | Self::Mismatch | Self::Malformed | Self::Oversized => {
                true
            }
        }
    }

    /// Whether the upstream may have crashed while it ran the request.
    #[must_use]
    pub fn may_be_crash(self) -> bool {
        matches!(self, Self::Lost | Self::Unacknowledged | Self::TimedOut | Self::Malformed)
    }

    /// Outcome that is recorded for the upstream, on which its availability is based.
    #[must_use]
    pub fn upstream_outcome(self) -> SamplerOutcome {
        match self {
            Self::NotSent | Self::Departed | Self::PathLost | Self::Unacknowledged => SamplerOutcome::Abandoned,
            Self::Refused => SamplerOutcome::Refused,
            Self::Unreachable | Self::Misdirected | Self::Lost | Self::TimedOut | Self::Oversized => {
                SamplerOutcome::Failed
            }
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
/// read. Paths on which nothing was sent are followed by others. If the deadline has passed already, nothing is sent and
/// the result is `NotSent`.
pub async fn start_attempt(
    client: &Client,
    call: &UpstreamCall,
    guard: &UpstreamGuard,
    now: TimePoint,
) -> Result<ClientResponse> {
    let mut unreachable_count = 0;
    for _ in 0..PATHS_MAX {
        let Some(path) = guard.next_path(&call.id) else { break };
        let result = match &path {
            ServicePath::Direct => send_direct(client, call, guard).await,
            ServicePath::Relay(peer) => send_relayed(client, call, guard, peer).await,
        };
        match result {
            Ok(response) => {
                observe_response(call, guard, response.status(), response.headers(), now)?;
                return Ok(response);
            }
            Err(error) => match error.failure {
                AttemptFailure::PathLost => {}
                // A peer may have lost its path as well; two seldom have.
                AttemptFailure::Unreachable if path != ServicePath::Direct && unreachable_count == 0 => {
                    unreachable_count += 1;
                }
                _ => return Err(error),
            },
        }
    }
    guard.path_missing(&call.id);
    Err(AttemptFailure::PathLost.into())
}

/// Records what the header of a response to a request that was sent at `sent_at` says of the upstream, and checks that the
/// response belongs to the request and that the upstream accepted it.
fn observe_response(
    call: &UpstreamCall,
    guard: &UpstreamGuard,
    status: StatusCode,
    headers: &HeaderMap,
    sent_at: TimePoint,
) -> Result<()> {
    let checked = check_response(&call.id, status, headers);
    observe_upstream(&call.id, guard, status, headers, sent_at);
    checked
}

/// Records what the header of a response says of the upstream: its load, its limit and whether it leaves.
pub fn observe_upstream(id: &str, guard: &UpstreamGuard, status: StatusCode, headers: &HeaderMap, sent_at: TimePoint) {
    let checked = check_response(id, status, headers);
    let failure = checked.err().map(|error| error.failure);
    // The load in the response to another request is an earlier one, and that in a misdirected response is another upstream's.
    if !matches!(failure, Some(AttemptFailure::Mismatch | AttemptFailure::Misdirected))
        && let Some(requests) = reported_load(headers)
    {
        guard.load_reported(requests);
    }
    guard.observe_leaving(status, headers);
    if is_from_upstream(checked, id, headers) {
        report_limit(guard, headers, sent_at);
    }
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
    Some(running.saturating_add(queued))
}
