//! Body of a response whose bytes are in the budget.

use crate::buffer_budget::BufferShare;
use actix_web::body::{BodySize, MessageBody};
use bytes::Bytes;
use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
};

/// A body together with its part of the budget, which is returned after it was sent.
#[derive(Debug)]
pub struct ChargedBody {
    bytes: Bytes,
    _share: BufferShare,
}

impl ChargedBody {
    /// Charges `bytes` to `share`. `None` if the budget is used up.
    #[must_use]
    pub fn new(bytes: impl Into<Bytes>, mut share: BufferShare) -> Option<Self> {
        let bytes = bytes.into();
        share.grow(bytes.len()).then_some(Self { bytes, _share: share })
    }
}

impl MessageBody for ChargedBody {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.bytes.len() as u64)
    }

    fn poll_next(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<Option<Result<Bytes, Infallible>>> {
        let bytes = std::mem::take(&mut self.get_mut().bytes);
        Poll::Ready((!bytes.is_empty()).then_some(Ok(bytes)))
    }
}
