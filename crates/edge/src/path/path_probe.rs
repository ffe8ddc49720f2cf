//! Finds out whether this daemon has paths to the upstreams, also if it has sent nothing lately.

use super::direct_failed;
use crate::edge_state::EdgeState;
use pimentoslip_client::probe_connection;
use pimentoslip_kernel::{ConnectOutcome, SamplerRecord, rank};

/// Tries connections to up to `count` listed upstreams other than the one at `except`, one after the other, until one is
/// opened. Records the results, and returns whether one was opened.
pub async fn probe_paths(state: &EdgeState, except: &str, count: usize) -> bool {
    for record in probed_upstreams(state, except, count) {
        let started_at = state.now();
        if probe_connection(&record.address).await == ConnectOutcome::Accepted {
            let gain = state.paths().direct_succeeded(&record.address, started_at, state.now());
            state.paths_regained(&record.address, gain);
            return true;
        }
        direct_failed(state, &record, started_at);
    }
    false
}

/// Up to `count` listed upstreams at other addresses than `except`; other daemons try others.
fn probed_upstreams(state: &EdgeState, except: &str, count: usize) -> Vec<SamplerRecord> {
    let upstreams = state.upstreams();
    let ids: Vec<_> =
        upstreams.records().filter(|record| *record.address != *except).map(|record| record.id.clone()).collect();
    let ranked = rank(&format!("{}{except}", state.settings.vm), &ids);
    ranked.into_iter().take(count).filter_map(|id| upstreams.get(id).cloned()).collect()
}
