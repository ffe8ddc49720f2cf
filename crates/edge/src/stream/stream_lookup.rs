//! Finds the origin of a stream that a caller resumes at this daemon.

use super::sole_software;
use crate::{edge_metrics::EdgeMetrics, edge_state::EdgeState, worker_parts::WorkerParts};
use futures_util::future::join_all;
use pimentoslip_kernel::{SharedName, StreamOrigin};
use pimentoslip_platform::StoreError;
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::{
    decode,
    peer::{StreamsRequest, StreamsResponse},
    stored::{KeyLayout, SoftwareEntry, StreamsEntry},
};
use std::time::Duration;

/// Path of the peer interface at which daemons are asked for the origins of streams.
pub const STREAMS_PATH: &str = "/peer/streams";
/// Longest wait for the response of a daemon. Round trips take milliseconds.
const PEER_TIMEOUT_MS: u64 = 200;
/// Daemons that are asked at most: those of this daemon's failure domain, among which callers retry first, then others.
const PEERS_MAX: usize = 24;
/// Longest time for all calls; the caller is told then that its stream is not known.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(600);

/// Origin of the stream with the key `key`, of a caller whose route leads to `service`. `None` if it is not certain, so that
/// the stream must not be resumed.
pub async fn find_origin(parts: &WorkerParts, key: u64, service: &SharedName) -> Option<StreamOrigin> {
    let lookup = look_up(parts, key, service);
    let (found, source) = match known_origin(&parts.state, key) {
        Some(stream) => (Some(stream), "known"),
        None => actix_rt::time::timeout(LOOKUP_TIMEOUT, lookup).await.unwrap_or((None, "timed_out")),
    };
    EdgeMetrics::increment(&EdgeMetrics::global().stream_lookups, source);
    LogLine::new("stream_resumed")
        .field("stream", format!("{key:016x}"))
        .field("service", found.as_ref().map_or(&**service, |stream| &*stream.service))
        .field("software", found.as_ref().map_or("unknown", |stream| &*stream.software))
        .field("source", source)
        .info();
    found
}

/// The streams among `keys` that this daemon knows.
pub fn known_origins(state: &EdgeState, keys: &[u64]) -> StreamsResponse {
    let known = keys.iter().filter_map(|key| Some((*key, known_origin(state, *key)?).into()));
    StreamsResponse { streams: known.collect() }
}

fn known_origin(state: &EdgeState, key: u64) -> Option<StreamOrigin> {
    state.streams().get(key, state.now()).cloned()
}

/// Asks the store and other daemons. Returns the origin of the stream, and where it was found or why it was not.
async fn look_up(parts: &WorkerParts, key: u64, service: &SharedName) -> (Option<StreamOrigin>, &'static str) {
    let state = &parts.state;
    let asked_at = state.now();
    // One at a time: what one call learns, such as all streams of a daemon that ended, serves the next ones.
    let mut read_from = state.stream_lookup_turn.lock().await;
    let mut is_read = *read_from >= asked_at;
    if !is_read && known_origin(state, key).is_none() {
        let started_at = state.now();
        match read_store(parts, service).await {
            Ok(()) => {
                *read_from = started_at;
                is_read = true;
            }
            Err(error) => LogLine::new("streams_not_read").field("reason", error).warn(),
        }
    }
    if let Some(stream) = known_origin(state, key) {
        return (Some(stream), "store");
    }
    // The store names every version that started a stream before it was read.
    if let Some(software) = sole_software(state, service).filter(|_| is_read) {
        return (Some(StreamOrigin { service: service.clone(), software }), "sole_version");
    }
    ask_peers(parts, key).await;
    match known_origin(state, key) {
        Some(stream) => (Some(stream), "peer"),
        None => (None, if is_read { "unknown" } else { "store_unreachable" }),
    }
}

/// Asks other daemons for a stream, and keeps what they know.
async fn ask_peers(parts: &WorkerParts, key: u64) {
    let state = &parts.state;
    let addresses = peer_addresses(state);
    let request = StreamsRequest { keys: vec![key] };
    let calls = addresses
        .iter()
        .map(|address| parts.peer_client.call::<StreamsResponse>(address, STREAMS_PATH, &request, PEER_TIMEOUT_MS));
    for response in join_all(calls).await.into_iter().flatten() {
        for (found, stream) in response.streams.into_iter().map(Into::into) {
            state.streams().learned(found, stream, state.now());
        }
    }
}

/// Addresses of the daemons to ask.
fn peer_addresses(state: &EdgeState) -> Vec<SharedName> {
    let ownership = state.ownership();
    let others = ownership.daemons().filter(|(daemon, _)| **daemon != state.settings.vm);
    let (near, far): (Vec<_>, Vec<_>) =
        others.partition(|(_, presence)| presence.failure_domain == state.settings.failure_domain);
    near.into_iter().chain(far).take(PEERS_MAX).map(|(_, presence)| presence.control_address.clone()).collect()
}

/// Reads the stored streams and the stored versions of `service`, and keeps what was read.
async fn read_store(parts: &WorkerParts, service: &SharedName) -> Result<(), StoreError> {
    let state = &parts.state;
    let versions_key = KeyLayout::software_key(service);
    let (versions, page) =
        futures_util::try_join!(parts.store.get(&versions_key), parts.store.range(KeyLayout::STREAMS_PREFIX))?;
    if let Some(entry) = versions {
        match decode::<SoftwareEntry>(&entry.value) {
            Ok(uses) => state.software_history().uses_stored(service, uses.into(), entry.revision),
            Err(error) => return Err(StoreError::Malformed { problem: error.to_string() }),
        }
    }
    for entry in page.entries {
        match decode::<StreamsEntry>(&entry.value) {
            Ok(streams) => {
                for (key, stream) in Vec::from(streams) {
                    state.streams().learned(key, stream, state.now());
                }
            }
            Err(error) => {
                LogLine::new("entry_unreadable").field("key", &entry.key).field("reason", error).warn();
            }
        }
    }
    Ok(())
}
