//! Body of a response, in blocks.

use crate::client_connection::RequestTurn;
use actix_http::body::{BodySize, BoxBody, MessageBody};
use bytes::Bytes;
use std::{
    error::Error,
    pin::Pin,
    task::{Context, Poll, ready},
};

/// Largest block that is passed on; the HTTP library copies each into its write buffer.
const BLOCK_BYTES_MAX: usize = 16 << 10;

/// Body of a response. The request of its connection ends when it is dropped.
#[derive(Debug)]
pub struct AnswerBody {
    body: BoxBody,
    /// Bytes of the body that are not passed on yet.
    prepared: Bytes,
    _turn: RequestTurn,
}

impl AnswerBody {
    /// Wraps `body`, the response in `turn`.
    pub fn new(body: BoxBody, turn: RequestTurn) -> Self {
        Self { body, prepared: Bytes::new(), _turn: turn }
    }
}

impl MessageBody for AnswerBody {
    type Error = Box<dyn Error>;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, Self::Error>>> {
        let this = self.get_mut();
        if this.prepared.is_empty() {
            match ready!(Pin::new(&mut this.body).poll_next(context)) {
                Some(Ok(bytes)) => this.prepared = bytes,
                end => return Poll::Ready(end),
            }
        }
        let length = this.prepared.len().min(BLOCK_BYTES_MAX);
        Poll::Ready(Some(Ok(this.prepared.split_to(length))))
    }
}
