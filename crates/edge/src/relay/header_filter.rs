//! Selects the headers that are forwarded between callers and upstreams.

use actix_web::http::header::{HeaderMap, HeaderName};
use pimentoslip_platform::header;
use pimentoslip_wire::peer::{RELAY_RESULT_HEADER, RELAY_UNMEASURED_HEADER};

/// Hop-by-hop headers, and headers that the HTTP library sets for each message.
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

/// Request headers that are not copied from the caller's request; the daemon sets those that an upstream needs.
const RESERVED_HEADERS: [&str; 7] = [
    "host",
    "authorization",
    header::ORGANISATION,
    header::EXPECTED_UPSTREAM,
    header::DEADLINE_MS,
    header::REQUEST_ID,
    header::PRIORITY,
];

/// Response headers that a relaying peer adds.
const RELAY_HEADERS: [&str; 2] = [RELAY_RESULT_HEADER, RELAY_UNMEASURED_HEADER];

/// Whether `name` is a hop-by-hop header, also one that the message's `Connection` header lists.
fn is_connection_header(name: &HeaderName, headers: &HeaderMap) -> bool {
    CONNECTION_HEADERS.contains(&name.as_str())
        || headers
            .get_all("connection")
            .filter_map(|value| value.to_str().ok())
            .any(|value| value.split(',').any(|option| option.trim().eq_ignore_ascii_case(name.as_str())))
}

/// Headers of a caller's request that are forwarded to the upstream.
#[must_use]
pub fn forwarded_request_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = HeaderMap::new();
    for (name, value) in headers {
        if !is_connection_header(name, headers) && !RESERVED_HEADERS.contains(&name.as_str()) {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}

/// Headers of an upstream's response that are forwarded to the caller, or to the peer that it is relayed for.
#[must_use]
pub fn forwarded_response_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = HeaderMap::new();
    for (name, value) in headers {
        if !is_connection_header(name, headers) && !RELAY_HEADERS.contains(&name.as_str()) {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}
