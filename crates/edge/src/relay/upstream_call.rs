//! The request that is sent to an upstream.

use actix_web::http::{Method, header::HeaderMap};
use bytes::Bytes;
use pimentoslip_kernel::{SharedName, TimePoint, fingerprint};

/// A request that can be sent to any upstream of its service.
#[derive(Clone, Debug)]
pub struct UpstreamCall {
    /// Request id, which the response must echo.
    pub id: SharedName,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Value of the `Host` header.
    pub host: SharedName,
    /// Headers in addition to those that the daemon sets for every request.
    pub headers: HeaderMap,
    /// Organisation of the caller; `None` if the route needs no key, the configuration has no organisations, or a
    /// scorer is called.
    pub organisation: Option<SharedName>,
    /// Request body.
    pub body: Bytes,
    /// Time until which the daemon waits for the complete response.
    pub deadline: TimePoint,
    /// Whether the request may run more than once, so that it is given up where its path is lost.
    pub is_repeatable: bool,
    /// Number of the last received event, after which an interrupted event stream is resumed.
    pub last_event_id: Option<u64>,
}

impl UpstreamCall {
    /// Hash of what identifies repeats of the request: organisation, method, host, path and body. Each attempt of a
    /// caller has an id of its own.
    #[must_use]
    pub fn repeat_fingerprint(&self) -> u64 {
        let organisation = self.organisation.as_deref().unwrap_or_default();
        fingerprint(&[
            organisation.as_bytes(),
            self.method.as_str().as_bytes(),
            self.host.as_bytes(),
            self.path.as_bytes(),
            &self.body,
        ])
    }
}
