//! Request data that is read from the header before a request is routed.

use super::api_refusal::ApiRefusal;
use crate::worker_parts::WorkerParts;
use actix_web::{HttpRequest, http::header::HeaderMap};
use pimentoslip_kernel::{KeyGrant, RouteRule, SharedName, TimePoint, TrafficConfig};
use pimentoslip_platform::header;
use std::sync::Arc;

/// Time until the deadline of a request whose caller sends none.
const DEFAULT_DEADLINE_MS: u64 = 30_000;

/// Id, target, times and configuration of one request.
#[derive(Clone, Debug)]
pub struct RequestContext {
    /// Request id that the caller sent; empty if there is none.
    pub id: SharedName,
    /// Value of the `Host` header; empty if there is none.
    pub host: SharedName,
    /// Path without query.
    pub path: String,
    /// Time at which the header was received.
    pub arrived_at: TimePoint,
    /// Time at which the caller stops waiting for the response.
    pub deadline: TimePoint,
    /// Configuration under which the request is served, also if a newer one is applied meanwhile.
    pub config: Arc<TrafficConfig>,
}

/// The value of the header `name`; `None` if it is missing or not printable ASCII.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

impl RequestContext {
    /// Reads the header of a request. Fails if no configuration is applied yet or the header is too large.
    pub fn from_request(parts: &WorkerParts, request: &HttpRequest) -> Result<Self, ApiRefusal> {
        let config = parts.state.config().ok_or(ApiRefusal::ConfigNotLoaded)?;
        let headers = request.headers();
        let header_bytes: usize = headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
        if header_bytes > config.limits.header_bytes_max {
            return Err(ApiRefusal::HeaderTooLarge);
        }
        let arrived_at = parts.state.now();
        let wait_ms = header_text(headers, header::DEADLINE_MS).and_then(|text| text.trim().parse::<f64>().ok());
        let wait_ms = wait_ms.map_or(DEFAULT_DEADLINE_MS, |ms| ms.max(0.0) as u64);
        Ok(Self {
            id: header_text(headers, header::REQUEST_ID).unwrap_or_default().into(),
            host: header_text(headers, "host").unwrap_or_default().into(),
            path: request.path().to_owned(),
            arrived_at,
            deadline: arrived_at.plus_ms(wait_ms),
            config,
        })
    }

    /// Time until which the request is answered on a route with `rule`.
    #[must_use]
    pub fn answer_deadline(&self, rule: &RouteRule) -> TimePoint {
        self.deadline.min(self.arrived_at.plus_ms(rule.timeout_ms))
    }

    /// The permissions of the request's API key; `None` if the configuration has no organisations. Fails if the key is
    /// missing, does not exist, or is sent more than once.
    pub fn key_grant(&self, request: &HttpRequest) -> Result<Option<KeyGrant>, ApiRefusal> {
        if !self.config.requires_key {
            return Ok(None);
        }
        let mut values = request.headers().get_all("authorization");
        let (Some(value), None) = (values.next(), values.next()) else { return Err(ApiRefusal::KeyInvalid) };
        let key = value.to_str().ok().and_then(|text| text.strip_prefix("Bearer ")).unwrap_or_default();
        let grant = self.config.grant(key.trim()).ok_or(ApiRefusal::KeyInvalid)?;
        Ok(Some(grant.clone()))
    }
}
