//! Checks the paths to upstreams that have failed, and probes those that are lost.

use super::path_found;
use crate::{edge_metrics::EdgeMetrics, edge_state::EdgeState, peer_client::PeerClient, suspect::ask_peers};
use futures_util::future::join;
use pimentoslip_client::probe_connection;
use pimentoslip_kernel::{ConnectOutcome, PathVerdict, SamplerRecord, SharedName, TimePoint};
use pimentoslip_telemetry::LogLine;
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

/// Interval at which probes are looked for while a path is lost.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Wait for this daemon's own connection before peers try one as well. Round trips take milliseconds.
const PEERS_DELAY: Duration = Duration::from_millis(50);
/// Shortest time between two checks of one path.
const CHECK_INTERVAL_MS: u64 = 500;

/// Checks and probes paths for as long as the process runs.
pub async fn watch_paths(state: Arc<EdgeState>, peer_client: PeerClient) {
    let mut checked: BTreeMap<SharedName, TimePoint> = BTreeMap::new();
    loop {
        let has_lost_paths = state.paths().has_lost_paths();
        if has_lost_paths {
            // The end of the wait and a notification have the same consequence.
            let _ = actix_rt::time::timeout(TICK_INTERVAL, state.paths_changed.notified()).await;
        } else {
            state.paths_changed.notified().await;
        }
        let now = state.now();
        checked.retain(|_, checked_at| now.since_ms(*checked_at) < CHECK_INTERVAL_MS);
        for record in state.take_path_checks() {
            let is_needed = state.paths().is_check_needed(&record.address);
            if is_needed && checked.insert(record.address.clone(), now).is_none() {
                actix_rt::spawn(check_path(state.clone(), peer_client.clone(), record));
            }
        }
        let listed = if state.paths().is_cut() { listed_addresses(&state) } else { Vec::new() };
        let due = state.paths().due_probes(now, &listed);
        for probe in due {
            if probe.asks_peers {
                let record = listed_record(&state, &probe.address);
                record.map(|record| actix_rt::spawn(check_path(state.clone(), peer_client.clone(), record)));
            } else {
                actix_rt::spawn(probe_path(state.clone(), probe.address));
            }
        }
        EdgeMetrics::global().paths_lost.set(state.paths().lost_count() as i64);
    }
}

/// The upstream that is listed at `address`.
fn listed_record(state: &EdgeState, address: &str) -> Option<SamplerRecord> {
    let upstreams = state.upstreams();
    upstreams.records().find(|record| *record.address == *address).cloned()
}

/// Addresses of all listed upstreams.
fn listed_addresses(state: &EdgeState) -> Vec<SharedName> {
    let upstreams = state.upstreams();
    let addresses: BTreeSet<&SharedName> = upstreams.records().map(|record| &record.address).collect();
    addresses.into_iter().cloned().collect()
}

/// Finds out whether an upstream or the path to it has failed: tries a connection here, and at peers if it is not accepted
/// soon.
async fn check_path(state: Arc<EdgeState>, peer_client: PeerClient, record: SamplerRecord) {
    let started_at = state.now();
    let own_attempt = probe_connection(&record.address);
    tokio::pin!(own_attempt);
    let early = actix_rt::time::timeout(PEERS_DELAY, &mut own_attempt).await;
    let (own, peers) = match early {
        Ok(ConnectOutcome::Accepted) => (ConnectOutcome::Accepted, None),
        Ok(own) => (own, ask_peers(&state, &peer_client, &record).await),
        Err(_) => join(own_attempt, ask_peers(&state, &peer_client, &record)).await,
    };
    record_check(&state, &record, own, peers.as_deref(), started_at);
}

/// Records what connections to an upstream have found, here and at peers, since `started_at`.
pub fn record_check(
    state: &EdgeState,
    record: &SamplerRecord,
    own: ConnectOutcome,
    peers: Option<&[ConnectOutcome]>,
    started_at: TimePoint,
) {
    if own != ConnectOutcome::Accepted && peers.is_none() {
        // Without other daemons there is no path but the direct one.
        return;
    }
    let verdict = PathVerdict::judge(own, peers.unwrap_or_default());
    let now = state.now();
    let gain = state.paths().path_checked(&record.address, verdict, started_at, now);
    state.paths_regained(&record.address, gain);
    match verdict {
        PathVerdict::Sound => {}
        PathVerdict::Lost => path_found(state, Some(&record.address)),
        PathVerdict::UpstreamDown => state.upstreams().address_unreachable(&record.address, now),
    }
    EdgeMetrics::increment(&EdgeMetrics::global().path_checks, verdict.as_str());
    LogLine::new("path_checked")
        .field("upstream", &record.id)
        .field("address", &record.address)
        .field("connection", own.as_str())
        .field("verdict", verdict.as_str())
        .info();
    state.paths_changed.notify_one();
}

/// Tries a connection on a lost path, which is used again if it is opened.
async fn probe_path(state: Arc<EdgeState>, address: SharedName) {
    let started_at = state.now();
    let outcome = probe_connection(&address).await;
    let gain = state.paths().probe_ended(&address, outcome, started_at, state.now());
    state.paths_regained(&address, gain);
}
