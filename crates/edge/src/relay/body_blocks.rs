//! Body of a response that is read completely before it is used.

use actix_web::body::{BodySize, MessageBody};
use bytes::Bytes;
use pimentoslip_server::BufferShare;
use std::{
    collections::VecDeque,
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
};

/// Size of the first block of a body.
const BLOCK_BYTES_MIN: usize = 1 << 10;
/// Size of the largest blocks.
const BLOCK_BYTES_MAX: usize = 64 << 10;

/// A body in blocks that are never moved while it grows, so that it needs no more memory than its share of the budget. The share
/// is returned with the body, after it was sent.
#[derive(Debug)]
pub struct BodyBlocks {
    blocks: VecDeque<Vec<u8>>,
    length: usize,
    share: BufferShare,
}

impl BodyBlocks {
    /// Creates an empty body, whose memory is taken from `share`.
    #[must_use]
    pub fn new(share: BufferShare) -> Self {
        Self { blocks: VecDeque::new(), length: 0, share }
    }

    /// Number of bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.length
    }

    /// Appends bytes. Returns false if there is no memory for them; the body is incomplete then.
    #[must_use]
    pub fn append(&mut self, mut bytes: &[u8]) -> bool {
        while !bytes.is_empty() {
            let free = self.blocks.back().map_or(0, |block| block.capacity() - block.len());
            if free == 0 {
                let last_capacity = self.blocks.back().map_or(0, Vec::capacity);
                let capacity = (2 * last_capacity).max(bytes.len()).clamp(BLOCK_BYTES_MIN, BLOCK_BYTES_MAX);
                if !self.share.grow(capacity) {
                    return false;
                }
                self.blocks.push_back(Vec::with_capacity(capacity));
                continue;
            }
            let (now, later) = bytes.split_at(free.min(bytes.len()));
            if let Some(block) = self.blocks.back_mut() {
                block.extend_from_slice(now);
            }
            self.length += now.len();
            bytes = later;
        }
        true
    }
}

impl MessageBody for BodyBlocks {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.length as u64)
    }

    fn poll_next(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<Option<Result<Bytes, Infallible>>> {
        Poll::Ready(self.get_mut().blocks.pop_front().map(|block| Ok(block.into())))
    }
}
