//! Request body that is not sent after its deadline.

use crate::LeaseClock;
use actix_web::body::{BodySize, MessageBody};
use bytes::Bytes;
use pimentoslip_kernel::TimePoint;
use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

/// Request body that checks its deadline in the same poll that passes the bytes to the connection. After the deadline
/// the body returns an error, so that the receiver never gets a complete request.
pub struct DeadlineBody {
    clock: Arc<LeaseClock>,
    deadline: TimePoint,
    /// Content; `None` once it was passed to the connection or dropped.
    bytes: Option<Bytes>,
    length_bytes: u64,
}

impl DeadlineBody {
    /// Creates a body with the content `bytes` that may be sent before `deadline`.
    #[must_use]
    pub fn new(clock: Arc<LeaseClock>, deadline: TimePoint, bytes: Bytes) -> Self {
        let length_bytes = bytes.len() as u64;
        Self { clock, deadline, bytes: Some(bytes), length_bytes }
    }
}

impl MessageBody for DeadlineBody {
    type Error = io::Error;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.length_bytes)
    }

    fn poll_next(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<Option<Result<Bytes, io::Error>>> {
        let this = self.get_mut();
        let Some(bytes) = this.bytes.take() else { return Poll::Ready(None) };
        if this.clock.now() >= this.deadline {
            return Poll::Ready(Some(Err(io::Error::new(
                io::ErrorKind::TimedOut,
                "the deadline passed before the body was sent; the receiver gets no complete request",
            ))));
        }
        Poll::Ready(Some(Ok(bytes)))
    }
}
