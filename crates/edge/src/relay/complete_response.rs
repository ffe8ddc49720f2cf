//! Reads a complete response of an upstream into memory.

use super::{AttemptFailure, BodyBlocks, Result, UpstreamCall, UpstreamGuard, start_attempt};
use actix_web::http::{
    StatusCode,
    header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING},
};
use awc::{Client, ClientResponse, error::PayloadError};
use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use pimentoslip_kernel::TimePoint;
use pimentoslip_server::BufferShare;
use std::{io::ErrorKind, time::Duration};

/// A response with its complete body.
#[derive(Debug)]
pub struct CompleteResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Response headers, unfiltered.
    pub headers: HeaderMap,
    /// Complete response body.
    pub body: BodyBlocks,
}

/// Reads the body of a response; one larger than `bytes_max` is rejected. The body is complete when it ends according
/// to its length or chunked encoding, or, if it has neither, when the upstream closes the connection cleanly.
pub async fn read_response<S>(
    mut response: ClientResponse<S>,
    bytes_max: usize,
    share: BufferShare,
) -> Result<CompleteResponse>
where
    S: Stream<Item = std::result::Result<Bytes, PayloadError>> + Unpin,
{
    let (status, headers) = (response.status(), response.headers().clone());
    let mut body = BodyBlocks::new(share);
    while let Some(chunk) = response.next().await {
        match chunk {
            Ok(chunk) if body.len() + chunk.len() <= bytes_max && body.append(&chunk) => {}
            Ok(_) => return Err(AttemptFailure::Malformed.into()),
            Err(error) if is_delimited_by_close(&headers) && is_clean_close(&error) => break,
            Err(_) => return Err(AttemptFailure::Lost.into()),
        }
    }
    Ok(CompleteResponse { status, headers, body })
}

/// Whether the end of the body is marked only by the close of the connection.
pub fn is_delimited_by_close(headers: &HeaderMap) -> bool {
    !headers.contains_key(CONTENT_LENGTH) && !headers.contains_key(TRANSFER_ENCODING)
}

/// Whether `error` means that the upstream closed the connection cleanly, not that the connection was lost.
pub fn is_clean_close(error: &PayloadError) -> bool {
    match error {
        PayloadError::Incomplete(None) => true,
        PayloadError::Incomplete(Some(error)) | PayloadError::Io(error) => error.kind() == ErrorKind::UnexpectedEof,
        _ => false,
    }
}

/// Sends `call` to the guard's upstream and reads the complete response before the call's deadline.
pub async fn fetch_complete(
    client: &Client,
    call: &UpstreamCall,
    guard: &UpstreamGuard,
    now: TimePoint,
    bytes_max: usize,
) -> std::result::Result<CompleteResponse, AttemptFailure> {
    let time_left = Duration::from_millis(call.deadline.since_ms(now));
    let exchange = async {
        let response = start_attempt(client, call, guard, now).await?;
        read_response(response, bytes_max, guard.buffer_share()).await
    };
    let path_lost = async {
        if call.is_repeatable { guard.path_lost(guard.picked_at).await } else { std::future::pending().await }
    };
    tokio::select! {
        result = actix_rt::time::timeout(time_left, exchange) => match result {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) => Err(error.failure),
            Err(_) => Err(AttemptFailure::TimedOut),
        },
        () = path_lost => Err(AttemptFailure::Unacknowledged),
    }
}
