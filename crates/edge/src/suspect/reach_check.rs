//! Tries connections to upstreams for other daemons, and asks them to: a daemon cannot tell by itself whether an upstream
//! or its own path to it has failed.

use crate::{
    edge_state::EdgeState,
    path::{direct_failed, probe_paths},
    peer_client::PeerClient,
};
use futures_util::future::{join, join_all};
use pimentoslip_client::probe_connection;
use pimentoslip_kernel::{ConnectOutcome, PEERS_ASKED, SamplerRecord, SharedName, rank};
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::peer::{ReachRequest, ReachResponse};
use std::{collections::BTreeMap, time::Duration};

/// Path of the peer interface at which daemons try connections to upstreams.
pub const REACH_PATH: &str = "/peer/reach";
/// Longest wait for the response of a peer, which waits up to 300 ms for the upstream.
const CALL_TIMEOUT_MS: u64 = 500;
/// Wait for the connection that a peer has asked for before another upstream is tried as well. Round trips take milliseconds.
const OTHER_DELAY: Duration = Duration::from_millis(50);
/// Times that other peers are asked while those before have no paths themselves.
const ROUNDS_MAX: usize = 2;

/// Tries a connection for a peer. One that is not accepted shows something of the upstream only if this daemon reaches another
/// one.
pub async fn try_connection(state: &EdgeState, request: &ReachRequest) -> ReachResponse {
    let Some(address) = reach_address(state, request) else { return ReachResponse::Unknown };
    let started_at = state.now();
    let own_attempt = probe_connection(&address);
    tokio::pin!(own_attempt);
    let early = actix_rt::time::timeout(OTHER_DELAY, &mut own_attempt).await;
    let (outcome, has_paths) = match early {
        Ok(ConnectOutcome::Accepted) => return ReachResponse::Accepted,
        Ok(outcome) => (outcome, probe_paths(state, &address).await),
        Err(_) => join(own_attempt, probe_paths(state, &address)).await,
    };
    if outcome == ConnectOutcome::Accepted || has_paths {
        return outcome.into();
    }
    let record = state.upstreams().get(&request.upstream).cloned();
    record.iter().for_each(|record| direct_failed(state, record, started_at));
    ReachResponse::Unknown
}

/// Address at which the upstream of `request` is tried; `None` if another process may listen there, or the direct path of this
/// daemon is lost.
fn reach_address(state: &EdgeState, request: &ReachRequest) -> Option<SharedName> {
    if state.paths().is_lost_here(&request.address) {
        return None;
    }
    let upstreams = state.upstreams();
    match upstreams.get(&request.upstream) {
        Some(record) => (record.started_unix_ms == request.started).then(|| record.address.clone()),
        None => upstreams.records().all(|record| record.address != request.address).then(|| request.address.clone()),
    }
}

/// Lets peers try connections to an upstream, and returns the results. `None` if there is no other daemon.
pub async fn ask_peers(
    state: &EdgeState,
    peer_client: &PeerClient,
    record: &SamplerRecord,
) -> Option<Vec<ConnectOutcome>> {
    let ranked = ranked_peers(state, &record.id);
    if ranked.is_empty() {
        return None;
    }
    let names = ranked.iter().map(|(name, _)| name.clone()).collect();
    let order = state.paths().asking_order(&record.address, names, state.now());
    let addresses: BTreeMap<SharedName, SharedName> = ranked.into_iter().collect();
    let peers: Vec<(&SharedName, &SharedName)> =
        order.iter().filter_map(|name| addresses.get_key_value(name)).collect();
    let request =
        ReachRequest { upstream: record.id.clone(), started: record.started_unix_ms, address: record.address.clone() };
    let request = &request;
    for round in peers.chunks(PEERS_ASKED).take(ROUNDS_MAX) {
        let calls = round.iter().map(|(name, address)| async move {
            let response = peer_client.call::<ReachResponse>(address, REACH_PATH, request, CALL_TIMEOUT_MS).await;
            match &response {
                Ok(response) => LogLine::new("reach_answered")
                    .field("peer", name)
                    .field("upstream", &request.upstream)
                    .field("connection", response.outcome().map_or("unknown", ConnectOutcome::as_str))
                    .info(),
                Err(error) => LogLine::new("reach_not_answered").field("peer", name).field("reason", error).warn(),
            }
            response.ok()?.outcome()
        });
        let outcomes: Vec<ConnectOutcome> = join_all(calls).await.into_iter().flatten().collect();
        if !outcomes.is_empty() {
            return Some(outcomes);
        }
    }
    Some(Vec::new())
}

/// Addresses of up to `count_max` peers; see [`ranked_peers`].
pub fn distant_peers(state: &EdgeState, key: &str, count_max: usize) -> Vec<SharedName> {
    ranked_peers(state, key).into_iter().take(count_max).map(|(_, address)| address).collect()
}

/// Names and addresses of the peers by their rank for `key`: first those of other failure domains than this daemon's, since
/// the daemons of one may fail together.
fn ranked_peers(state: &EdgeState, key: &str) -> Vec<(SharedName, SharedName)> {
    let own = &state.settings;
    let ownership = state.ownership();
    let others: Vec<&SharedName> = ownership.daemons().map(|(name, _)| name).filter(|name| **name != own.vm).collect();
    let ranked = rank(key, &others);
    let presences = ranked.into_iter().filter_map(|name| Some((name, ownership.daemon(name)?)));
    let (near, far): (Vec<_>, Vec<_>) =
        presences.partition(|(_, presence)| presence.failure_domain == own.failure_domain);
    far.into_iter()
        .chain(near)
        .map(|(name, presence)| (SharedName::clone(name), presence.control_address.clone()))
        .collect()
}
