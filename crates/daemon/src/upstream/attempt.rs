//! One attempt at one upstream, up to the header of its answer.

use super::{UpstreamGuard, UpstreamRequest};
use crate::{request_id::RequestId, shared_state::SharedState};
use actix_web::http::header::{ACCEPT, CONTENT_TYPE};
use awc::{
    Client, ClientResponse,
    error::{ConnectError, SendRequestError},
};
use futures_util::Stream;
use pimentoslip_kernel::{RequestClass, RequestProgress, RetryReason};
use pimentoslip_wire::{IDEMPOTENCY_KEY_HEADER, NOT_RUN, PRIORITY_HEADER, REQUEST_ID_HEADER, RUN_STATE_HEADER};
use std::time::Duration;

/// What went wrong with an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No connection could be opened.
    Unreachable,
    /// The upstream refused before running.
    Refused,
    /// The connection was lost, or no answer came in time.
    Lost,
    /// As `Lost`, because the caller's time was over.
    TimedOut,
    /// The answer was another request's.
    Mismatch,
}

impl AttemptFailure {
    /// Under which reason a retry is counted.
    #[must_use]
    pub fn retry_reason(self) -> RetryReason {
        match self {
            Self::Unreachable => RetryReason::ConnectFailed,
            Self::Refused => RetryReason::UpstreamRefused,
            Self::Lost | Self::TimedOut => RetryReason::UpstreamLost,
            Self::Mismatch => RetryReason::AnswerMismatch,
        }
    }
}

/// A failed attempt, with what is known about the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptError {
    /// What went wrong.
    pub failure: AttemptFailure,
    /// What the upstream may have done.
    pub progress: RequestProgress,
}

/// Whether no connection was opened, so that no byte can have left. The client reports a connection that
/// closed before the answer as a connect error too, which is no proof of that.
fn never_connected(error: &ConnectError) -> bool {
    matches!(
        error,
        ConnectError::Io(_)
            | ConnectError::Timeout
            | ConnectError::Resolver(_)
            | ConnectError::NoRecords
            | ConnectError::Unresolved
    )
}

/// Sends `request` to the guard's upstream and checks that the answer is its own.
pub async fn start_attempt(
    shared: &SharedState,
    client: &Client,
    request: &UpstreamRequest,
    attempt_id: &RequestId,
    guard: &mut UpstreamGuard,
) -> Result<
    ClientResponse<impl Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin + use<>>,
    AttemptError,
> {
    let mut progress = RequestProgress::default();
    let left_ms = request.deadline.since_ms(shared.now()).max(1);
    let url = format!("http://{}{}", guard.entry.address, request.path);
    let mut outgoing = client
        .request(request.method.clone(), url)
        .no_decompress()
        .timeout(Duration::from_millis(left_ms))
        .insert_header((REQUEST_ID_HEADER, &**attempt_id))
        .insert_header((PRIORITY_HEADER, request.priority.to_string()));
    if request.class != RequestClass::Idempotent {
        // A connection kept open may be closed by the other side just as it is used again, and whether the
        // request arrived would be unknown.
        outgoing = outgoing.force_close();
    }
    if let Some(content_type) = &request.content_type {
        outgoing = outgoing.insert_header((CONTENT_TYPE, content_type.as_str()));
    }
    if let Some(accept) = &request.accept {
        outgoing = outgoing.insert_header((ACCEPT, accept.as_str()));
    }
    if let RequestClass::Claimed(key) = &request.class {
        outgoing = outgoing.insert_header((IDEMPOTENCY_KEY_HEADER, &**key));
    }
    let answer = match outgoing.send_body(request.body.clone()).await {
        Ok(answer) => answer,
        Err(SendRequestError::Connect(error)) if never_connected(&error) => {
            guard.connect_failed();
            return Err(AttemptError { failure: AttemptFailure::Unreachable, progress });
        }
        Err(SendRequestError::Timeout) => {
            progress.connection_opened();
            guard.attempt_failed();
            return Err(AttemptError { failure: AttemptFailure::TimedOut, progress });
        }
        Err(_) => {
            progress.connection_opened();
            guard.connection_lost().await;
            return Err(AttemptError { failure: AttemptFailure::Lost, progress });
        }
    };
    progress.connection_opened();
    let echoed = answer.headers().get(REQUEST_ID_HEADER).and_then(|value| value.to_str().ok());
    if echoed != Some(&**attempt_id) {
        guard.attempt_failed();
        return Err(AttemptError { failure: AttemptFailure::Mismatch, progress });
    }
    let refused = answer.headers().get(RUN_STATE_HEADER).is_some_and(|value| value.as_bytes() == NOT_RUN.as_bytes());
    if refused {
        progress.refusal_received();
        guard.attempt_failed();
        return Err(AttemptError { failure: AttemptFailure::Refused, progress });
    }
    Ok(answer)
}
