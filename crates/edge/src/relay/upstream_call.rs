//! What is sent to an upstream.

use actix_web::http::{Method, header::HeaderMap};
use bytes::Bytes;
use pimentoslip_kernel::{SharedName, TimePoint};

/// A request as it goes to any upstream of its service.
#[derive(Clone, Debug)]
pub struct UpstreamCall {
    /// Id that the answer must repeat.
    pub id: SharedName,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Host that the caller named.
    pub host: SharedName,
    /// Headers of the caller that go to the upstream.
    pub headers: HeaderMap,
    /// Organisation, if the route asks for one.
    pub organisation: Option<SharedName>,
    /// Body.
    pub body: Bytes,
    /// When the caller stops waiting.
    pub deadline: TimePoint,
    /// Number of the last event that is known, for a stream that goes on.
    pub last_event_id: Option<u64>,
}
