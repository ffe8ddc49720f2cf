//! Prepares the head of a response for the HTTP library.
//!
//! The library takes a response of HTTP/1.1 without a length for one without a body, although its body extends to the
//! end of the connection, and takes an interim response for the final one. It also accepts statuses that are none, and
//! bodies of responses that have none; such a response is prepared so that the library refuses it and closes the connection. Copies of
//! responses to earlier requests are dropped, as the library would take them for the response to the request in progress.

use crate::{
    exchange_log::ExchangeLog,
    head_fields::{HEAD_END, head_field, head_fields},
};
use bytes::{Buf, BytesMut};
use std::ops::RangeInclusive;

/// Largest head that is collected, together with the interim responses and copies before it. The HTTP library refuses larger ones.
const HEAD_BYTES_MAX: usize = 128 << 10;
/// Start of the status line that is expected, without the minor version.
const VERSION: &[u8] = b"HTTP/1.";
/// Position of the minor version in the status line.
const MINOR_VERSION_INDEX: usize = VERSION.len();
/// Position of the status in the status line.
const STATUS_INDEX: usize = MINOR_VERSION_INDEX + 2;
/// Number of digits of a status.
const STATUS_DIGITS: usize = 3;
/// Statuses of final responses.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;
/// Status that the library refuses.
const REFUSED_STATUS: &[u8; STATUS_DIGITS] = b"000";

/// Collects received bytes until the head of the final response is complete.
#[derive(Debug, Default)]
pub struct ResponseHead {
    received: BytesMut,
    /// Length of the received bytes that contain no end of a head.
    searched: usize,
    /// Length of the interim responses and copies that were dropped.
    dropped: usize,
    /// Number of the next bytes that belong to the body of a dropped copy.
    copy_bytes: usize,
}

impl ResponseHead {
    /// Adds received bytes. Returns all bytes once the head of the final response is complete or can't be one; they are
    /// then passed to the HTTP library. `exchanges` has the requests of the connection.
    pub fn add(&mut self, bytes: &[u8], exchanges: Option<&ExchangeLog>) -> Option<BytesMut> {
        self.received.extend_from_slice(bytes);
        loop {
            self.drop_copy_bytes();
            let Some(end) = self.head_end() else {
                return (self.dropped + self.received.len() >= HEAD_BYTES_MAX).then(|| self.take());
            };
            let copy_bytes = exchanges.and_then(|exchanges| self.copy_body_bytes(end, exchanges));
            // An upstream that sends nothing but interim responses and copies is refused with the last one of them.
            let is_dropped = self.is_interim() || copy_bytes.is_some();
            if !is_dropped || self.dropped.saturating_add(copy_bytes.unwrap_or_default()) >= HEAD_BYTES_MAX {
                if !self.has_length(end) {
                    // Responses of HTTP/1.0 end with the connection.
                    let index = self.line_start() + MINOR_VERSION_INDEX;
                    self.received[index] = b'0';
                }
                return Some(self.take_checked(Some(end)));
            }
            self.received.advance(end);
            self.dropped += end;
            self.searched = 0;
            self.copy_bytes = copy_bytes.unwrap_or_default();
        }
    }

    /// Drops what was received of the body of a copy.
    fn drop_copy_bytes(&mut self) {
        let count = self.copy_bytes.min(self.received.len());
        self.received.advance(count);
        self.dropped += count;
        self.copy_bytes -= count;
    }

    /// Length of the body of the response whose head ends at `end`, if it is the copy of an earlier response and announces its length.
    fn copy_body_bytes(&self, end: usize, exchanges: &ExchangeLog) -> Option<usize> {
        let head = &self.received[..end];
        if !exchanges.is_copy(head) || head_field(head, "transfer-encoding").is_some() {
            return None;
        }
        if matches!(self.status(), Some(204 | 304)) {
            return Some(0);
        }
        std::str::from_utf8(head_field(head, "content-length")?).ok()?.parse().ok()
    }

    /// All bytes received so far, when no more follow.
    pub fn take(&mut self) -> BytesMut {
        self.take_checked(None)
    }

    /// All bytes received so far, with a status that is refused unless they may be a final response. `end` is the end of its head, if
    /// it was found.
    fn take_checked(&mut self, end: Option<usize>) -> BytesMut {
        self.searched = 0;
        let is_response = match self.status() {
            Some(204 | 304) => end.is_some_and(|end| end == self.received.len() && !self.announces_body(end)),
            status => status.is_some_and(|status| FINAL_STATUSES.contains(&status)),
        };
        let start = self.line_start() + STATUS_INDEX;
        if let Some(status) = self.received.get_mut(start..start + STATUS_DIGITS)
            && !is_response
            && !status.iter().any(|byte| matches!(byte, b'\r' | b'\n'))
        {
            status.copy_from_slice(REFUSED_STATUS);
        }
        std::mem::take(&mut self.received)
    }

    /// Length of the first head, with its end; `None` if it is not complete.
    fn head_end(&mut self) -> Option<usize> {
        let start = self.searched.saturating_sub(HEAD_END.len() - 1);
        let found = self.received[start..].windows(HEAD_END.len()).position(|window| window == HEAD_END);
        self.searched = self.received.len();
        Some(start + found? + HEAD_END.len())
    }

    /// Start of the status line; the library skips blank lines before it.
    fn line_start(&self) -> usize {
        self.received.iter().take_while(|byte| matches!(byte, b'\r' | b'\n')).count()
    }

    /// Minor version; `None` if the bytes are no response of HTTP/1.
    fn minor_version(&self) -> Option<u8> {
        let [version, b' ', ..] = self.received[self.line_start()..].strip_prefix(VERSION)? else { return None };
        Some(*version)
    }

    /// Status; `None` if it has not exactly three digits.
    fn status(&self) -> Option<u16> {
        self.minor_version()?;
        let status = &self.received[self.line_start() + STATUS_INDEX..];
        let (digits, rest) = status.split_at_checked(STATUS_DIGITS)?;
        let is_ended = rest.first().is_none_or(|byte| matches!(byte, b' ' | b'\r' | b'\n'));
        if !is_ended || !digits.iter().all(u8::is_ascii_digit) {
            return None;
        }
        std::str::from_utf8(digits).ok()?.parse().ok()
    }

    /// Whether the final response follows this one. After 101, another protocol follows.
    fn is_interim(&self) -> bool {
        self.minor_version() == Some(b'1')
            && self.status().is_some_and(|status| (100..200).contains(&status) && status != 101)
    }

    /// Values of the fields of the head that end at `end` and say where the body ends.
    fn lengths(&self, end: usize) -> impl Iterator<Item = (&[u8], &[u8])> {
        head_fields(&self.received[..end]).filter(|(name, _)| {
            name.eq_ignore_ascii_case(b"content-length") || name.eq_ignore_ascii_case(b"transfer-encoding")
        })
    }

    /// Whether the head announces a body that is not empty.
    fn announces_body(&self, end: usize) -> bool {
        self.lengths(end).any(|(name, value)| name.eq_ignore_ascii_case(b"transfer-encoding") || value != b"0")
    }

    /// Whether the head says where the body ends, or is of a response without a body, or is none that can be read.
    fn has_length(&self, end: usize) -> bool {
        self.minor_version() != Some(b'1')
            || matches!(self.status(), Some(101 | 204 | 304))
            || self.lengths(end).next().is_some()
    }
}
