//! One attempt to send a request to an upstream, up to the header of the response.

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

/// Reason why an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No connection could be opened.
    Unreachable,
    /// The upstream refused to run the request.
    Refused,
    /// The connection was lost after the request may have been sent.
    Lost,
    /// No response was received before the request's deadline.
    TimedOut,
    /// The response has no request ID, or that of another request.
    Mismatch,
}

impl AttemptFailure {
    /// Reason under which a retry after this failure is counted.
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

/// A failed attempt, and whether the upstream may have run the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptError {
    /// Reason of the failure.
    pub failure: AttemptFailure,
    /// Progress of the attempt, which determines the request's run state.
    pub progress: RequestProgress,
}

/// Whether the error proves that no connection was opened, so that no part of the request was sent. Other connect
/// errors don't prove it: the HTTP client also reports a connection that was closed before the response as a connect
/// error.
fn is_certainly_unsent(error: &ConnectError) -> bool {
    matches!(
        error,
        ConnectError::Io(_)
            | ConnectError::Timeout
            | ConnectError::Resolver(_)
            | ConnectError::NoRecords
            | ConnectError::Unresolved
    )
}

/// Sends `request` with the ID `attempt_id` to the guard's upstream and waits for the header of the response. Returns
/// an error if no response was received before the deadline, if the response belongs to another request, or if the
/// upstream refused the request.
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
    let remaining_ms = request.deadline.since_ms(shared.now()).max(1);
    let url = format!("http://{}{}", guard.entry.address, request.path);
    let mut outgoing = client
        .request(request.method.clone(), url)
        .no_decompress()
        .timeout(Duration::from_millis(remaining_ms))
        .insert_header((REQUEST_ID_HEADER, &**attempt_id))
        .insert_header((PRIORITY_HEADER, request.priority.to_string()));
    if request.class != RequestClass::Idempotent {
        // The upstream may close a kept-alive connection just as it is reused. It would then be unknown whether the
        // request has arrived.
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
    let response = match outgoing.send_body(request.body.clone()).await {
        Ok(response) => response,
        Err(SendRequestError::Connect(error)) if is_certainly_unsent(&error) => {
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
    let echoed_id = response.headers().get(REQUEST_ID_HEADER).and_then(|value| value.to_str().ok());
    if echoed_id != Some(&**attempt_id) {
        guard.attempt_failed();
        return Err(AttemptError { failure: AttemptFailure::Mismatch, progress });
    }
    let is_refused =
        response.headers().get(RUN_STATE_HEADER).is_some_and(|value| value.as_bytes() == NOT_RUN.as_bytes());
    if is_refused {
        progress.refusal_received();
        guard.attempt_failed();
        return Err(AttemptError { failure: AttemptFailure::Refused, progress });
    }
    Ok(response)
}
