//! Notices of upstreams in their responses that they are about to end.

use crate::{edge_state::EdgeState, suspect::upstream_listed};
use actix_web::http::{StatusCode, header::HeaderMap};
use pimentoslip_kernel::{SamplerRecord, SamplerState};
use pimentoslip_platform::header;
use pimentoslip_telemetry::LogLine;

/// Records whether a response on a connection to the upstream says that it is about to end. It gets no more requests then,
/// whatever the list says of the same process. A misdirected request was answered by another process.
pub fn observe_leaving(state: &EdgeState, record: &SamplerRecord, status: StatusCode, headers: &HeaderMap) {
    let is_leaving = headers.get(header::UPSTREAM_LEAVING).is_some_and(|value| value.as_bytes() == header::LEAVING);
    if !is_leaving || status == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    let is_new = state.upstreams().process_leaving(record, state.now());
    if is_new {
        LogLine::new("upstream_leaving").field("upstream", &record.id).info();
        // Requests that are lost there are no sign of a crash.
        upstream_listed(state, &SamplerRecord { state: SamplerState::Leaving, ..record.clone() });
        state.upstreams_changed.notify_waiters();
    }
}
