//! Requests that one connection has carried, by which copies of their responses are recognised.

use crate::head_fields::{head_field, head_length};
use bytes::{Bytes, BytesMut};
use pimentoslip_kernel::fingerprint;

/// Number of requests that a connection carries at most, which bounds the memory of its log to two kilobytes.
const REQUESTS_MAX: usize = 256;
/// Line that makes the HTTP library close the connection after the response.
const CLOSE_LINE: &[u8] = b"connection: close\r\n";
/// Start of the head of a request with the method HEAD.
const HEAD_METHOD: &[u8] = b"HEAD ";
/// Length of the empty line at the end of a head.
const EMPTY_LINE_BYTES: usize = 2;

/// Result of the check of a request.
pub type Result<T> = std::result::Result<T, RepeatedRequest>;

/// Reason why a request is not sent on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the connection has carried a request with the same id; send it on another one")]
pub struct RepeatedRequest;

/// Ids of the requests that one connection has carried.
///
/// An upstream may send a response again where the next one is expected. The id tells such a copy from the response to the request in
/// progress, unless both have the same id or the copy has none. Therefore a connection carries each id once, and no further request
/// after a response without the id of its own request. Requests without an id are not checked.
#[derive(Debug)]
pub struct ExchangeLog {
    /// Name of the header with the id of a request, which the response repeats.
    id_header: &'static str,
    /// Hashes of the ids of all requests.
    sent: Vec<u64>,
    /// Id of the latest request; `None` if it has none.
    latest: Option<Bytes>,
    /// Whether a request had the method HEAD. The length in its response is not that of a body.
    has_head_request: bool,
}

impl ExchangeLog {
    /// Creates the log of a new connection. `id_header` is the name of the header with the id of a request.
    #[must_use]
    pub fn new(id_header: &'static str) -> Self {
        Self { id_header, sent: Vec::new(), latest: None, has_head_request: false }
    }

    /// Records the request whose first bytes are `bytes`, the complete head included. Fails if the connection has carried one with the
    /// same id.
    pub fn request_started(&mut self, bytes: &[u8]) -> Result<()> {
        let head = &bytes[..head_length(bytes).unwrap_or_default()];
        self.latest = self.id(head).map(Bytes::copy_from_slice);
        self.has_head_request |= head.starts_with(HEAD_METHOD);
        let Some(id) = &self.latest else { return Ok(()) };
        let hash = fingerprint(&[id]);
        if self.sent.contains(&hash) {
            return Err(RepeatedRequest);
        }
        self.sent.push(hash);
        Ok(())
    }

    /// Whether the response with the head `head` is a copy of that to an earlier request, whose body has the length in its head.
    #[must_use]
    pub fn is_copy(&self, head: &[u8]) -> bool {
        let (Some(latest), Some(id)) = (&self.latest, self.id(head)) else { return false };
        !self.has_head_request && latest != id && self.sent.contains(&fingerprint(&[id]))
    }

    /// Marks the response to the latest request as the last one if the connection must not carry another request. `response` are its
    /// first bytes, which are not changed if they hold no complete head.
    pub fn response_received(&self, response: &mut BytesMut) {
        let Some(length) = head_length(response) else { return };
        let Some(id) = &self.latest else { return };
        if self.id(&response[..length]) == Some(id) && self.sent.len() < REQUESTS_MAX {
            return;
        }
        let rest = response.split_off(length - EMPTY_LINE_BYTES);
        response.extend_from_slice(CLOSE_LINE);
        response.extend_from_slice(&rest);
    }

    /// Id that a head has, if any.
    fn id<'a>(&self, head: &'a [u8]) -> Option<&'a [u8]> {
        head_field(head, self.id_header)
    }
}
