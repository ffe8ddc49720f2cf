//! Request as it is sent to an upstream.

use crate::request_id::RequestId;
use actix_web::http::Method;
use bytes::Bytes;
use pimentoslip_kernel::{RequestClass, SharedName, TimePoint};

/// A caller's request, reduced to the parts that the upstream may see, with the data that routing needs.
#[derive(Clone, Debug)]
pub struct UpstreamRequest {
    /// ID of the request. Each attempt adds a suffix to it, which the upstream's response must echo.
    pub id: RequestId,
    /// Organisation that owns the caller's key; a fixed one on routes that need no key.
    pub organisation: SharedName,
    /// Name of the service whose upstreams can run the request.
    pub service: SharedName,
    /// HTTP method.
    pub method: Method,
    /// Path with the query string.
    pub path: String,
    /// Value of the `Content-Type` header, if any.
    pub content_type: Option<String>,
    /// Value of the `Accept` header, if any.
    pub accept: Option<String>,
    /// Request body.
    pub body: Bytes,
    /// Whether the request may be sent to an upstream more than once.
    pub class: RequestClass,
    /// Priority at the upstream; lower values run first.
    pub priority: u32,
    /// Time at which the caller stops waiting.
    pub deadline: TimePoint,
    /// Fingerprint that identifies repeats of the request; includes the organisation and the body or prompt.
    pub fingerprint: u64,
    /// Whether the request must be run until it completes, whatever happened to the upstreams that ran it. It is then
    /// never suspected of crashing them.
    pub is_owed: bool,
    /// Hash of the first bytes of the prompt, used to route requests with the same prefix to the same upstream.
    pub prefix_hash: Option<u64>,
    /// Maximum number of requests that this daemon may have in flight on one upstream.
    pub inflight_max: u64,
}

impl UpstreamRequest {
    /// Fingerprint under which crashes of upstreams count against the request; `None` if it is owed.
    #[must_use]
    pub fn suspect_fingerprint(&self) -> Option<u64> {
        (!self.is_owed).then_some(self.fingerprint)
    }
}
