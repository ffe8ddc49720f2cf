//! What the daemon knows of a request before it decides anything.

use super::api_refusal::ApiRefusal;
use crate::worker_parts::WorkerParts;
use actix_web::{HttpRequest, http::header::HeaderMap};
use pimentoslip_kernel::{KeyGrant, SharedName, TimePoint, TrafficConfig};
use pimentoslip_platform::header;
use std::sync::Arc;

/// Longest wait where a caller names none, in milliseconds.
const DEADLINE_DEFAULT_MS: u64 = 30_000;

/// A request's identity, its arrival and the configuration under which it is served.
#[derive(Clone, Debug)]
pub struct RequestContext {
    /// Id.
    pub id: SharedName,
    /// Host that the caller named.
    pub host: SharedName,
    /// Path without query.
    pub path: String,
    /// When it arrived.
    pub arrived_at: TimePoint,
    /// When its caller stops waiting.
    pub deadline: TimePoint,
    /// Configuration.
    pub config: Arc<TrafficConfig>,
}

/// The text of a header.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

impl RequestContext {
    /// Reads the head of a request.
    pub fn from_request(parts: &WorkerParts, request: &HttpRequest) -> Result<Self, ApiRefusal> {
        let config = parts.state.config().ok_or(ApiRefusal::ConfigNotLoaded)?;
        let headers = request.headers();
        let header_bytes: usize = headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
        if header_bytes > config.limits.header_bytes_max {
            return Err(ApiRefusal::HeaderTooLarge);
        }
        let arrived_at = parts.state.now();
        let wait_ms = header_text(headers, header::DEADLINE_MS).and_then(|text| text.trim().parse::<f64>().ok());
        let wait_ms = wait_ms.map_or(DEADLINE_DEFAULT_MS, |ms| ms.max(0.0) as u64);
        Ok(Self {
            id: header_text(headers, header::REQUEST_ID).unwrap_or_default().into(),
            host: header_text(headers, "host").unwrap_or_default().into(),
            path: request.path().to_owned(),
            arrived_at,
            deadline: arrived_at.plus_ms(wait_ms),
            config,
        })
    }

    /// What the request's key grants; none where the operators use no organisations.
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
