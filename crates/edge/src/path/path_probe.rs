//! Finds out whether this daemon has paths to the upstreams, also if it has sent nothing lately.

use super::direct_failed;
use crate::edge_state::EdgeState;
use pimentoslip_client::probe_connection;
use pimentoslip_kernel::{ConnectOutcome, SamplerRecord, SharedName, fingerprint};

/// Upstreams that are tried at most.
const PROBES_MAX: usize = 3;
/// No further upstream is tried after this time; a connection that is not responded to takes longer.
const PROBES_MS_MAX: u64 = 250;

/// Tries connections to a few listed upstreams other than the one at `except`, one after the other, until one is opened.
/// Records the results, and returns whether one was opened.
pub async fn probe_paths(state: &EdgeState, except: &str) -> bool {
    let first_at = state.now();
    for record in probed_upstreams(state, except) {
        let started_at = state.now();
        if started_at.since_ms(first_at) >= PROBES_MS_MAX {
            break;
        }
        if probe_connection(&record.address).await == ConnectOutcome::Accepted {
            let gain = state.paths().direct_succeeded(&record.address, started_at, state.now());
            state.paths_regained(&record.address, gain);
            return true;
        }
        direct_failed(state, &record, started_at);
    }
    false
}

/// Listed upstreams at other addresses than `except`, first those whose paths have not failed; other daemons try others.
fn probed_upstreams(state: &EdgeState, except: &str) -> Vec<SamplerRecord> {
    let key = format!("{}{except}", state.settings.vm);
    let mut listed: Vec<(SharedName, SharedName)> =
        state.upstreams().records().map(|record| (record.address.clone(), record.id.clone())).collect();
    listed.retain(|(address, _)| **address != *except);
    {
        let paths = state.paths();
        listed.sort_by_cached_key(|(address, id)| {
            (!paths.is_direct(address), fingerprint(&[key.as_bytes(), id.as_bytes()]))
        });
    }
    let upstreams = state.upstreams();
    listed.iter().take(PROBES_MAX).filter_map(|(_, id)| upstreams.get(id).cloned()).collect()
}
