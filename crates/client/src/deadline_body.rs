//! A request body that refuses to be sent late.

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

/// Checks its deadline in the same poll that hands the bytes to the connection. Past the deadline the
/// body fails, so the receiver never sees a whole request.
pub struct DeadlineBody {
    clock: Arc<LeaseClock>,
    deadline: TimePoint,
    bytes: Option<Bytes>,
    length: u64,
}

impl DeadlineBody {
    /// Creates a body that may be sent before `deadline`.
    #[must_use]
    pub fn new(clock: Arc<LeaseClock>, deadline: TimePoint, bytes: Bytes) -> Self {
        let length = bytes.len() as u64;
        Self { clock, deadline, bytes: Some(bytes), length }
    }
}

impl MessageBody for DeadlineBody {
    type Error = io::Error;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.length)
    }

    fn poll_next(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<Option<Result<Bytes, io::Error>>> {
        let this = self.get_mut();
        let Some(bytes) = this.bytes.take() else { return Poll::Ready(None) };
        if this.clock.now() >= this.deadline {
            return Poll::Ready(Some(Err(io::Error::new(
                io::ErrorKind::TimedOut,
                "the lease ended before the order was sent",
            ))));
        }
        Poll::Ready(Some(Ok(bytes)))
    }
}
