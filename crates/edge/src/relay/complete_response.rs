//! An upstream's answer once it is whole.

use super::{AttemptFailure, Result, UpstreamCall, UpstreamGuard, start_attempt};
use actix_web::http::{
    StatusCode,
    header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING},
};
use awc::{Client, ClientResponse, error::PayloadError};
use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use pimentoslip_kernel::TimePoint;
use std::{io::ErrorKind, time::Duration};

/// Status, headers and the whole body.
#[derive(Clone, Debug)]
pub struct CompleteResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Reads the rest of an answer. Only what the message itself ends counts as whole, or the orderly end of
/// the connection where the message names no length.
async fn read_whole<S>(mut answer: ClientResponse<S>, bytes_max: usize) -> Result<CompleteResponse>
where
    S: Stream<Item = std::result::Result<Bytes, PayloadError>> + Unpin,
{
    let (status, headers) = (answer.status(), answer.headers().clone());
    let mut body = BytesMut::new();
    while let Some(chunk) = answer.next().await {
        match chunk {
            Ok(chunk) if body.len() + chunk.len() <= bytes_max => body.extend_from_slice(&chunk),
            Ok(_) => return Err(AttemptFailure::Malformed.into()),
            Err(error) if is_delimited_by_close(&headers) && is_clean_close(&error) => break,
            Err(_) => return Err(AttemptFailure::Lost.into()),
        }
    }
    Ok(CompleteResponse { status, headers, body: body.freeze() })
}

/// Whether the body lasts until the connection's end.
pub fn is_delimited_by_close(headers: &HeaderMap) -> bool {
    !headers.contains_key(CONTENT_LENGTH) && !headers.contains_key(TRANSFER_ENCODING)
}

/// Whether the upstream closed the connection in order.
pub fn is_clean_close(error: &PayloadError) -> bool {
    match error {
        PayloadError::Incomplete(None) => true,
        PayloadError::Incomplete(Some(error)) | PayloadError::Io(error) => error.kind() == ErrorKind::UnexpectedEof,
        _ => false,
    }
}

/// Sends `call` to the guard's upstream and reads its whole answer before the call's deadline.
pub async fn fetch_complete(
    client: &Client,
    call: &UpstreamCall,
    guard: &UpstreamGuard,
    now: TimePoint,
    bytes_max: usize,
) -> std::result::Result<CompleteResponse, AttemptFailure> {
    let left = Duration::from_millis(call.deadline.since_ms(now));
    let whole = async {
        let answer = start_attempt(client, call, guard, now).await?;
        read_whole(answer, bytes_max).await
    };
    match actix_rt::time::timeout(left, whole).await {
        Ok(Ok(answer)) => Ok(answer),
        Ok(Err(error)) => Err(error.failure),
        Err(_) => Err(AttemptFailure::TimedOut),
    }
}
