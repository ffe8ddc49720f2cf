//! What is sent to an upstream.

use crate::request_id::RequestId;
use actix_web::http::Method;
use bytes::Bytes;
use pimentoslip_kernel::{RequestClass, SharedName, TimePoint};

/// A caller's request, stripped of everything that the upstream must not see.
#[derive(Clone, Debug)]
pub struct UpstreamRequest {
    /// Id that the answer must repeat.
    pub id: RequestId,
    /// Organisation whose key came with it; the open one on open routes.
    pub organisation: SharedName,
    /// Service.
    pub service: SharedName,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Content type, if any.
    pub content_type: Option<String>,
    /// Accepted answer types, if any.
    pub accept: Option<String>,
    /// Body.
    pub body: Bytes,
    /// How often it may be sent.
    pub class: RequestClass,
    /// Priority at engines, lower first.
    pub priority: u32,
    /// When the caller stops waiting.
    pub deadline: TimePoint,
    /// Fingerprint over organisation, service, path and body.
    pub fingerprint: u64,
    /// Hash of the prompt's beginning.
    pub prefix_hash: Option<u64>,
    /// Most requests of this daemon on one upstream.
    pub inflight_max: u64,
}
