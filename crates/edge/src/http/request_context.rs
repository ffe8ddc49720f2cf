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
    pub arrived: TimePoint,
    /// When its caller stops waiting.
    pub deadline: TimePoint,
    /// Configuration.
    pub config: Arc<TrafficConfig>,
}

/// The text of a header.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

impl RequestContext {
    /// Reads the head of a request.
    pub fn read(parts: &WorkerParts, request: &HttpRequest) -> Result<Self, ApiRefusal> {
        let config = parts.state.config().ok_or(ApiRefusal::ConfigUnknown)?;
        let headers = request.headers();
        let header_bytes: usize = headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
        if header_bytes > config.limits.header_bytes_max {
            return Err(ApiRefusal::HeaderTooLarge);
        }
        let arrived = parts.state.now();
        let wait_ms = text(headers, header::DEADLINE_MS).and_then(|text| text.trim().parse::<f64>().ok());
        let wait_ms = wait_ms.map_or(DEADLINE_DEFAULT_MS, |ms| ms.max(0.0) as u64);
        Ok(Self {
            id: text(headers, header::REQUEST_ID).unwrap_or_default().into(),
            host: text(headers, "host").unwrap_or_default().into(),
            path: request.path().to_owned(),
            arrived,
            deadline: arrived.plus_ms(wait_ms),
            config,
        })
    }

    /// What the request's key grants; none where the operators use no organisations.
    pub fn grant(&self, request: &HttpRequest) -> Result<Option<KeyGrant>, ApiRefusal> {
        if !self.config.requires_key {
            return Ok(None);
        }
        let mut values = request.headers().get_all("authorization");
        let (Some(value), None) = (values.next(), values.next()) else { return Err(ApiRefusal::KeyUnknown) };
        let key = value.to_str().ok().and_then(|text| text.strip_prefix("Bearer ")).unwrap_or_default();
        let grant = self.config.grant(key.trim()).ok_or(ApiRefusal::KeyUnknown)?;
        Ok(Some(grant.clone()))
    }
}
