//! Selects the service of a request, and the software version that can continue its stream.

use super::api_refusal::ApiRefusal;
use crate::{edge_state::EdgeState, relay::UpstreamCall, stream::find_origin, worker_parts::WorkerParts};
use actix_web::http::header::HeaderMap;
use pimentoslip_kernel::{
    CapacityNeed, HomeRegions, PermitNeed, RouteKind, RouteRule, SamplerQuery, SharedName, fingerprint,
};
use pimentoslip_platform::header;

/// Upstreams that a request may be sent to.
#[derive(Clone, Debug)]
pub struct RequestTarget {
    /// Service that serves the request.
    pub service: SharedName,
    /// Version of the software that started the stream which the request resumes; `None` for any.
    pub software: Option<SharedName>,
    /// Key of the stream that the request starts; `None` if it starts none that a caller may resume.
    pub new_stream_key: Option<u64>,
    /// Regions in which the request may be served; `None` for any.
    pub homes: Option<HomeRegions>,
}

impl RequestTarget {
    /// Selects the target of `call`, which was sent with `headers` and may be served in `homes`. Fails if the call continues
    /// a stream whose software is not known for certain or has no upstream, or if the software of the upstreams is not known.
    pub async fn select(
        parts: &WorkerParts,
        headers: &HeaderMap,
        rule: &RouteRule,
        homes: Option<HomeRegions>,
        call: &UpstreamCall,
    ) -> Result<Self, ApiRefusal> {
        let any = || Self { service: "".into(), software: None, new_stream_key: None, homes: homes.clone() };
        if !rule.is_stream {
            return Ok(Self { service: drawn_service(rule, &call.id)?, ..any() });
        }
        let is_resumable = rule.kind == RouteKind::Idempotent;
        if is_resumable && !parts.state.is_list_confirmed() {
            return Err(ApiRefusal::ListOutdated);
        }
        if !headers.contains_key(header::LAST_EVENT_ID) {
            let service = drawn_service(rule, &call.id)?;
            let new_stream_key = is_resumable.then(|| stream_key(&call.id, call));
            return Ok(Self { service, new_stream_key, ..any() });
        }
        if call.last_event_id.is_none() || headers.get_all(header::LAST_EVENT_ID).count() > 1 {
            return Err(ApiRefusal::Malformed);
        }
        let first_attempt = first_attempt(headers).filter(|_| is_resumable).ok_or(ApiRefusal::StreamUnknown)?;
        let service = drawn_service(rule, if first_attempt.is_empty() { &call.id } else { first_attempt })?;
        let key = stream_key(first_attempt, call);
        let stream = find_origin(parts, key, &service).await.ok_or(ApiRefusal::StreamUnknown)?;
        let is_target = rule.targets.iter().any(|target| target.service == stream.service);
        let target = Self { service: stream.service, software: Some(stream.software), ..any() };
        let query = target.query(&parts.state, "", &[], PermitNeed::NONE);
        if !is_target || !parts.state.upstreams().is_served(&query, parts.state.now()) {
            return Err(ApiRefusal::SoftwareGone);
        }
        Ok(target)
    }

    /// Query for an upstream that has room for the request `id`.
    pub fn query<'a>(
        &'a self,
        state: &'a EdgeState,
        id: &'a str,
        excluded: &'a [SharedName],
        permits: PermitNeed,
    ) -> SamplerQuery<'a> {
        SamplerQuery {
            service: &self.service,
            model: None,
            software: self.software.as_deref(),
            failure_domain: &state.settings.failure_domain,
            homes: self.homes.as_ref(),
            excluded,
            capacity: CapacityNeed::OwnSlot,
            affinity: id,
            permits,
        }
    }

    /// Whether the software of the upstream decides what may be done with its response.
    #[must_use]
    pub fn needs_software(&self) -> bool {
        self.software.is_some() || self.new_stream_key.is_some()
    }
}

/// Service for the request `id` by the weights of the route's targets.
fn drawn_service(rule: &RouteRule, id: &str) -> Result<SharedName, ApiRefusal> {
    rule.service_for_draw(fingerprint(&[id.as_bytes()])).cloned().ok_or(ApiRefusal::NoUpstream)
}

/// Id of the attempt that brought the first event; empty if it is not named, `None` if it is named more than once.
fn first_attempt(headers: &HeaderMap) -> Option<&str> {
    let mut values = headers.get_all(header::FIRST_ATTEMPT);
    match (values.next(), values.next()) {
        (None, _) => Some(""),
        (Some(value), None) => value.to_str().ok(),
        (Some(_), Some(_)) => None,
    }
}

/// Key of a stream: hash of its first attempt and of what all attempts have in common, so that no other caller finds it.
fn stream_key(first_attempt: &str, call: &UpstreamCall) -> u64 {
    fingerprint(&[first_attempt.as_bytes(), &call.repeat_fingerprint().to_be_bytes()])
}
