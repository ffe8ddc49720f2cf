//! Logs why a request has no path to an upstream.

use super::relay_peers;
use crate::edge_state::EdgeState;
use pimentoslip_kernel::{HomeRegions, RelayPeer, RelayState, SamplerRecord, TimePoint};
use pimentoslip_telemetry::LogLine;

/// Peers that a line names at most.
const PEERS_MAX: usize = 8;

/// Logs the state of the direct path to an upstream, and which peers may relay or for how long they are not used, unless that
/// was logged a moment before.
pub fn log_no_path(state: &EdgeState, request_id: &str, record: &SamplerRecord, homes: Option<&HomeRegions>) {
    let now = state.now();
    if !state.paths().may_report(now) {
        return;
    }
    let peers = relay_peers(state, homes);
    // The table of paths is not locked while the line is written.
    let (direct, states): (_, Vec<String>) = {
        let paths = state.paths();
        let text = |peer: &RelayPeer| {
            let relay_state = paths.relay_state(&peer.name, &record.address, now);
            format!("{}:{}", peer.name, relay_text(relay_state, now))
        };
        (paths.direct_state(&record.address), peers.iter().take(PEERS_MAX).map(text).collect())
    };
    LogLine::new("no_path")
        .field("request_id", request_id)
        .field("upstream", &record.id)
        .field("direct", direct)
        .field("peer_count", peers.len())
        .field("peers", states.join(","))
        .warn();
}

/// The state of a peer, and the milliseconds for which it is not used.
fn relay_text(state: RelayState, now: TimePoint) -> String {
    match state {
        RelayState::Usable => "usable".to_owned(),
        RelayState::UpstreamFailed { until } => format!("upstream_failed:{}", until.since_ms(now)),
        RelayState::PeerFailed { until } => format!("peer_failed:{}", until.since_ms(now)),
    }
}
