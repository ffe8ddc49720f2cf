//! Origins of callers' streams: keeps the software version that started each, so that a caller that resumes a stream gets the
//! rest from the same version.

mod software_task;
mod stream_lookup;
mod stream_task;

pub use software_task::keep_software_history;
pub use stream_lookup::{STREAMS_PATH, find_origin, known_origins};
pub use stream_task::store_streams;

use crate::edge_state::EdgeState;
use pimentoslip_kernel::SharedName;
use std::collections::BTreeSet;

/// Versions of the software of the listed upstreams of `service`, also of those that are leaving.
pub fn listed_software(state: &EdgeState, service: &str) -> BTreeSet<SharedName> {
    let upstreams = state.upstreams();
    let records = upstreams.records().filter(|record| *record.service == *service);
    records.map(|record| record.software.clone()).collect()
}

/// The only version of `service` that can have started a stream, as this daemon knows; `None` if there may be others.
pub fn sole_software(state: &EdgeState, service: &str) -> Option<SharedName> {
    state.software_history().sole_software(service, state.unix_ms())
}

/// Upstreams of `service` with a version of the software that is not stored as one that serves.
pub fn unrecorded_upstreams(state: &EdgeState, service: &str) -> Vec<SharedName> {
    let upstreams = state.upstreams();
    let history = state.software_history();
    let records = upstreams.records().filter(|record| *record.service == *service);
    let unrecorded = records.filter(|record| !history.is_in_service(service, &record.software));
    unrecorded.map(|record| record.id.clone()).collect()
}
