//! Authenticates callers, and checks the parts of a request that depend on its caller.

use crate::{
    api_error::{ApiError, Result},
    request_id::RequestId,
    shared_state::SharedState,
};
use actix_web::{
    HttpRequest,
    http::header::{AUTHORIZATION, HeaderMap},
};
use pimentoslip_kernel::{KeySecret, RefusalReason, SharedName, TimePoint};
use pimentoslip_wire::{IDEMPOTENCY_KEY_HEADER, TIMEOUT_MS_HEADER};

const BEARER: &str = "Bearer ";
const IDEMPOTENCY_KEY_CHARS_MAX: usize = 200;
/// Organisation for which requests without a key are counted.
const ANONYMOUS_ORGANISATION: &str = "open";

/// Caller of a request, authenticated unless the path needs no key.
#[derive(Clone, Debug)]
pub struct CallerIdentity {
    /// Organisation that the key of the request belongs to.
    pub organisation: SharedName,
    /// ID of the key; empty on paths that need no key.
    pub key_id: SharedName,
    /// The organisation's weight in fair admission.
    pub weight: u64,
}

impl CallerIdentity {
    /// Caller of a path that needs no key.
    #[must_use]
    pub fn anonymous() -> Self {
        Self { organisation: ANONYMOUS_ORGANISATION.into(), key_id: "".into(), weight: 1 }
    }
}

/// Authenticates the caller by the key in the `Authorization` header. Fails if the cached keys are stale, the key is
/// missing, unknown or withdrawn, or its organisation may not use `service`.
pub fn authenticate(
    shared: &SharedState,
    request: &HttpRequest,
    service: &str,
    id: &RequestId,
) -> Result<CallerIdentity> {
    let refuse = |reason| ApiError::not_run(reason, id);
    let secret = bearer_key(request.headers()).map_err(refuse)?;
    if !shared.is_config_fresh() {
        return Err(refuse(RefusalReason::ConfigStale));
    }
    let config = shared.config();
    let organisation = config.authenticate(&secret).ok_or_else(|| refuse(RefusalReason::KeyUnknown))?;
    let organisation_config = config.organisation(&organisation).ok_or_else(|| refuse(RefusalReason::KeyUnknown))?;
    if !organisation_config.services.iter().any(|granted| &**granted == service) {
        return Err(refuse(RefusalReason::ServiceForbidden));
    }
    Ok(CallerIdentity { weight: organisation_config.weight, key_id: secret.id.clone(), organisation })
}

/// Key in the `Authorization` header, or the reason why the request is refused.
fn bearer_key(headers: &HeaderMap) -> std::result::Result<KeySecret, RefusalReason> {
    let mut values = headers.get_all(AUTHORIZATION);
    let value = values.next().ok_or(RefusalReason::KeyMissing)?;
    if values.next().is_some() {
        return Err(RefusalReason::KeyAmbiguous);
    }
    let token = value.to_str().ok().and_then(|text| text.strip_prefix(BEARER)).ok_or(RefusalReason::KeyMissing)?;
    KeySecret::parse(token.trim()).ok_or(RefusalReason::KeyUnknown)
}

/// Refuses a request with a key of this site in a place that an upstream would see. Checks the path, query and body as
/// sent, the path and query percent-decoded, and the body with its JSON escapes resolved.
pub fn check_misplaced_key(shared: &SharedState, uri: &str, body: &[u8], id: &RequestId) -> Result<()> {
    let decoded: Vec<u8> = form_urlencoded::parse(uri.as_bytes())
        .flat_map(|(name, value)| [name.into_owned().into_bytes(), value.into_owned().into_bytes()])
        .flatten()
        .collect();
    let has_escapes = memchr::memchr(b'\\', body).is_some();
    let unescaped = if has_escapes { unescaped_strings(body) } else { Vec::new() };
    let config = shared.config();
    let is_misplaced = [uri.as_bytes(), &decoded, body, &unescaped]
        .into_iter()
        .flat_map(KeySecret::find_ids)
        .any(|key_id| config.has_key(&key_id));
    if is_misplaced {
        return Err(ApiError::not_run(RefusalReason::KeyMisplaced, id));
    }
    Ok(())
}

/// All strings of a JSON body with their escapes resolved; empty if the body is not JSON.
fn unescaped_strings(body: &[u8]) -> Vec<u8> {
    let Ok(value) = serde_json::from_slice::<serde_json::Value>(body) else { return Vec::new() };
    let mut strings = Vec::new();
    collect_strings(&value, &mut strings);
    strings
}

fn collect_strings(value: &serde_json::Value, strings: &mut Vec<u8>) {
    match value {
        serde_json::Value::String(text) => {
            strings.extend_from_slice(text.as_bytes());
            strings.push(b'\n');
        }
        serde_json::Value::Array(items) => items.iter().for_each(|item| collect_strings(item, strings)),
        serde_json::Value::Object(fields) => {
            for (name, field) in fields {
                strings.extend_from_slice(name.as_bytes());
                strings.push(b'\n');
                collect_strings(field, strings);
            }
        }
        _ => {}
    }
}

/// The request's idempotency key, if it has one. Fails if it is malformed, repeated or contains an API key.
pub fn idempotency_key(headers: &HeaderMap, id: &RequestId) -> Result<Option<SharedName>> {
    let mut values = headers.get_all(IDEMPOTENCY_KEY_HEADER);
    let Some(value) = values.next() else { return Ok(None) };
    let text = value.to_str().unwrap_or("");
    let is_valid = !text.is_empty()
        && text.len() <= IDEMPOTENCY_KEY_CHARS_MAX
        && text.chars().all(|character| character.is_ascii_graphic());
    if !is_valid || values.next().is_some() || !KeySecret::find_ids(text.as_bytes()).is_empty() {
        return Err(ApiError::not_run(RefusalReason::IdempotencyKeyInvalid, id));
    }
    Ok(Some(text.into()))
}

/// Time until which the caller waits: the timeout in its request, limited to the service's `timeout_ms`.
#[must_use]
pub fn request_deadline(headers: &HeaderMap, timeout_ms: u64, now: TimePoint) -> TimePoint {
    let requested_ms = headers.get(TIMEOUT_MS_HEADER).and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
    now.plus_ms(requested_ms.map_or(timeout_ms, |requested_ms| requested_ms.min(timeout_ms)))
}
