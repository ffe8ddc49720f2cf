//! Prepares the head of a response for the HTTP library.
//!
//! The library takes a response of HTTP/1.1 without a length for one without a body, although its body extends to the
//! end of the connection, and takes an interim response for the final one.

use bytes::{Buf, BytesMut};

/// Largest head that is collected, together with the interim responses before it. The HTTP library refuses larger ones.
const HEAD_BYTES_MAX: usize = 128 << 10;
/// End of a head.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// Start of the status line that is expected.
const VERSION: &[u8] = b"HTTP/1.1 ";
/// Position of the minor version in the status line.
const MINOR_VERSION_INDEX: usize = 7;

/// Collects received bytes until the head of the final response is complete.
#[derive(Debug, Default)]
pub struct ResponseHead {
    received: BytesMut,
    /// Length of the received bytes that contain no end of a head.
    searched: usize,
    /// Length of the interim responses that were dropped.
    dropped: usize,
}

impl ResponseHead {
    /// Adds received bytes. Returns all bytes once the head of the final response is complete or can't be one; they are
    /// then passed to the HTTP library.
    pub fn add(&mut self, bytes: &[u8]) -> Option<BytesMut> {
        self.received.extend_from_slice(bytes);
        loop {
            let Some(end) = self.head_end() else {
                return (self.dropped + self.received.len() >= HEAD_BYTES_MAX).then(|| self.take());
            };
            // An upstream that sends nothing but interim responses is refused with the last one of them.
            if !self.is_interim() || self.dropped >= HEAD_BYTES_MAX {
                if !self.has_length(end) {
                    // Responses of HTTP/1.0 end with the connection.
                    self.received[MINOR_VERSION_INDEX] = b'0';
                }
                return Some(self.take());
            }
            self.received.advance(end);
            self.dropped += end;
            self.searched = 0;
        }
    }

    /// All bytes received so far, when no more follow.
    pub fn take(&mut self) -> BytesMut {
        self.searched = 0;
        std::mem::take(&mut self.received)
    }

    /// Length of the first head, with its end; `None` if it is not complete.
    fn head_end(&mut self) -> Option<usize> {
        let start = self.searched.saturating_sub(HEAD_END.len() - 1);
        let found = self.received[start..].windows(HEAD_END.len()).position(|window| window == HEAD_END);
        self.searched = self.received.len();
        Some(start + found? + HEAD_END.len())
    }

    /// First digit and rest of the status code; `None` if the head is not one of HTTP/1.1.
    fn status(&self) -> Option<&[u8]> {
        self.received.strip_prefix(VERSION)?.get(..3)
    }

    /// Whether the final response follows this one. After 101, another protocol follows.
    fn is_interim(&self) -> bool {
        self.status().is_some_and(|status| status[0] == b'1' && status != b"101")
    }

    /// Whether the head says where the body ends, or is of a response without a body, or is none that can be read.
    fn has_length(&self, end: usize) -> bool {
        let Some(status) = self.status() else { return true };
        let names = self.received[..end]
            .split(|byte| *byte == b'\n')
            .filter_map(|line| line.split(|byte| *byte == b':').next());
        let mut lengths = names.filter(|name| {
            name.eq_ignore_ascii_case(b"content-length") || name.eq_ignore_ascii_case(b"transfer-encoding")
        });
        matches!(status, b"101" | b"204" | b"304") || lengths.next().is_some()
    }
}
