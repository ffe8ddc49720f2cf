//! Which headers are passed on.

use actix_web::http::header::{HeaderMap, HeaderName};
use pimentoslip_platform::header;

/// Headers that concern one connection only, or are written anew for each message.
const CONNECTION_HEADERS: [&str; 11] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
];

/// Headers that the service sets itself, whatever the caller sent.
const OWN_HEADERS: [&str; 7] = [
    "host",
    "authorization",
    header::ORGANISATION,
    header::EXPECTED_UPSTREAM,
    header::DEADLINE_MS,
    header::REQUEST_ID,
    header::PRIORITY,
];

fn is_connection_header(name: &HeaderName, headers: &HeaderMap) -> bool {
    CONNECTION_HEADERS.contains(&name.as_str())
        || headers
            .get_all("connection")
            .filter_map(|value| value.to_str().ok())
            .any(|value| value.split(',').any(|option| option.trim().eq_ignore_ascii_case(name.as_str())))
}

/// Headers of a caller's request that go to the upstream.
#[must_use]
pub fn forwarded_request_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = HeaderMap::new();
    for (name, value) in headers {
        if !is_connection_header(name, headers) && !OWN_HEADERS.contains(&name.as_str()) {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}

/// Headers of an upstream's answer that go to the caller.
#[must_use]
pub fn forwarded_response_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = HeaderMap::new();
    for (name, value) in headers {
        if !is_connection_header(name, headers) {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}
