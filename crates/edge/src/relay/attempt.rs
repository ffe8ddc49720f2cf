//! One attempt at one upstream, up to the header of its answer.

use super::{UpstreamCall, UpstreamGuard};
use actix_web::http::{StatusCode, header::HeaderMap};
use awc::{
    Client, ClientResponse,
    error::{ConnectError, PayloadError, SendRequestError},
};
use bytes::Bytes;
use futures_util::Stream;
use pimentoslip_kernel::{SamplerOutcome, TimePoint};
use pimentoslip_platform::header;
use std::time::Duration;

/// Result of an attempt.
pub type Result<T> = std::result::Result<T, AttemptError>;

/// What went wrong with an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No connection could be opened.
    Unreachable,
    /// The upstream refused to run it.
    Refused,
    /// Another upstream has the address, or its weights differ.
    Misdirected,
    /// The connection was lost.
    Lost,
    /// No answer came in time.
    TimedOut,
    /// The answer was another request's.
    Mismatch,
    /// The answer was cut or spoilt.
    Malformed,
}

impl AttemptFailure {
    /// Spelling in metrics and logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
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
        !matches!(self, Self::Unreachable | Self::Refused | Self::Misdirected)
    }

    /// What the failure says about the upstream.
    #[must_use]
    pub fn upstream_outcome(self) -> SamplerOutcome {
        match self {
            Self::Refused => SamplerOutcome::Refused,
            Self::Unreachable | Self::Misdirected | Self::Lost | Self::TimedOut => SamplerOutcome::Failed,
            Self::Mismatch | Self::Malformed => SamplerOutcome::Answered(None),
        }
    }
}

/// A failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptError {
    /// What went wrong.
    pub failure: AttemptFailure,
}

impl From<AttemptFailure> for AttemptError {
    fn from(failure: AttemptFailure) -> Self {
        Self { failure }
    }
}

/// Sends `call` to the guard's upstream and waits for the header of an answer that belongs to it.
pub async fn start_attempt(
    client: &Client,
    call: &UpstreamCall,
    guard: &UpstreamGuard,
    now: TimePoint,
) -> Result<ClientResponse<impl Stream<Item = std::result::Result<Bytes, PayloadError>> + Unpin + use<>>> {
    let left_ms = call.deadline.since_ms(now);
    if left_ms == 0 {
        return Err(AttemptFailure::Unreachable.into());
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
    if let Some(last) = call.last_event_id {
        request = request.insert_header((header::LAST_EVENT_ID, last.to_string()));
    }
    let answer = match request.send_body(call.body.clone()).await {
        Ok(answer) => answer,
        Err(SendRequestError::Connect(ConnectError::Disconnected)) => return Err(AttemptFailure::Lost.into()),
        Err(SendRequestError::Connect(_)) => return Err(AttemptFailure::Unreachable.into()),
        Err(SendRequestError::Timeout) => return Err(AttemptFailure::TimedOut.into()),
        Err(SendRequestError::Response(_)) => return Err(AttemptFailure::Malformed.into()),
        Err(_) => return Err(AttemptFailure::Lost.into()),
    };
    if let Some(requests) = load(answer.headers()) {
        guard.load_reported(requests);
    }
    check_answer(&call.id, answer.status(), answer.headers())?;
    Ok(answer)
}

/// Whether an answer belongs to the request `id` and says that an upstream took it on.
pub fn check_answer(id: &str, status: StatusCode, headers: &HeaderMap) -> Result<()> {
    let echoed = headers.get(header::REQUEST_ID).map(|value| value.as_bytes());
    if echoed.is_some_and(|echoed| echoed != id.as_bytes()) {
        return Err(AttemptFailure::Mismatch.into());
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        return Err(AttemptFailure::Misdirected.into());
    }
    if headers.contains_key(header::NOT_RUN) {
        return Err(AttemptFailure::Refused.into());
    }
    if echoed.is_none() {
        return Err(AttemptFailure::Mismatch.into());
    }
    if headers.contains_key("content-encoding") {
        return Err(AttemptFailure::Malformed.into());
    }
    Ok(())
}

/// Requests running and waiting at the upstream.
fn load(headers: &HeaderMap) -> Option<u64> {
    let mut fields = headers.get(header::UPSTREAM_LOAD)?.to_str().ok()?.split(',');
    let running: u64 = fields.next()?.trim().parse().ok()?;
    let waiting: u64 = fields.next()?.trim().parse().ok()?;
    Some(running + waiting)
}
