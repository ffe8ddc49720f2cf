//! Requests permits from the coordinators of upstreams, and grants those of the upstreams that this daemon coordinates.

use super::call_budget::CallBudget;
use crate::{edge_metrics::EdgeMetrics, edge_state::EdgeState, peer_client::PeerClient};
use pimentoslip_kernel::{PermitAnswer, PermitAsk, SharedName, TimePoint};
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::peer::{AnswerBody, AskBody, PermitRequest, PermitResponse};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

/// Path of the peer interface at which a coordinator grants permits.
pub const PERMITS_PATH: &str = "/peer/permits";
/// Longest time between two updates of the daemons that coordinate upstreams.
const UPDATE_PERIOD: Duration = Duration::from_millis(500);
/// Longest wait for a coordinator's response. Round trips take milliseconds; after this the next daemon is asked.
const CALL_TIMEOUT_MS: u64 = 200;

/// Requests the wanted permits for as long as the process runs.
pub async fn request_permits(state: Arc<EdgeState>, peer_client: PeerClient) {
    let mut budget = CallBudget::new(state.now());
    loop {
        // Without a wanted permit the daemons are updated only.
        let _ = actix_rt::time::timeout(UPDATE_PERIOD, state.permits_wanted.notified()).await;
        let now = state.now();
        let present: BTreeSet<SharedName> = state.ownership().daemons().map(|(daemon, _)| daemon.clone()).collect();
        state.coordinators().daemons_listed(&present, now);
        let mut asks_by_daemon: BTreeMap<SharedName, Vec<PermitAsk>> = BTreeMap::new();
        for ask in state.upstreams().start_asks(now) {
            let coordinator = state.coordinators().coordinator(&ask.upstream, now);
            asks_by_daemon.entry(coordinator).or_default().push(ask);
        }
        for (daemon, asks) in asks_by_daemon {
            if daemon == state.settings.vm {
                let answers = asks.iter().map(|ask| grant_permit(&state, ask, now)).collect();
                permits_received(&state, answers);
            } else if budget.take(now) {
                actix_rt::spawn(ask_peer(state.clone(), peer_client.clone(), daemon, asks));
            } else {
                asks_failed(&state, &asks, "deferred");
            }
        }
    }
}

/// Grants permits to a peer.
pub fn grant_permits(state: &EdgeState, request: PermitRequest) -> PermitResponse {
    let now = state.now();
    let answer = |body: AskBody| AnswerBody::from_answer(&grant_permit(state, &body.into_ask(now), now), now);
    PermitResponse { answers: request.asks.into_iter().map(answer).collect() }
}

/// Grants permits of one upstream.
fn grant_permit(state: &EdgeState, ask: &PermitAsk, now: TimePoint) -> PermitAnswer {
    let observation = state.upstreams().limit_observation(&ask.upstream, ask.started_unix_ms, now);
    let shares = state.coordinators().own_shares(&ask.upstream, state.are_daemons_confirmed(), now);
    state.grants().grant(ask, observation, shares, now)
}

/// Requests permits from the coordinator `daemon`.
async fn ask_peer(state: Arc<EdgeState>, peer_client: PeerClient, daemon: SharedName, asks: Vec<PermitAsk>) {
    let sent_at = state.now();
    let control_address = state.ownership().daemon(&daemon).map(|presence| presence.control_address.clone());
    let request = PermitRequest { asks: asks.iter().map(|ask| AskBody::from_ask(ask, sent_at)).collect() };
    let response = match control_address {
        Some(address) => {
            let call = peer_client.call::<PermitResponse>(&address, PERMITS_PATH, &request, CALL_TIMEOUT_MS);
            call.await.map_err(|error| error.to_string())
        }
        None => Err("the daemon has left".to_owned()),
    };
    match response {
        Ok(response) if response.answers.len() == asks.len() => {
            let answers = response.answers.into_iter().map(|body| body.into_answer(sent_at)).collect();
            permits_received(&state, answers);
        }
        Ok(_) => {
            LogLine::new("permits_malformed").field("coordinator", &daemon).field("asks", asks.len()).warn();
            asks_failed(&state, &asks, "malformed");
        }
        Err(reason) => {
            LogLine::new("coordinator_unresponsive").field("coordinator", &daemon).field("reason", reason).warn();
            state.coordinators().call_failed(daemon, state.now());
            asks_failed(&state, &asks, "unresponsive");
        }
    }
}

/// Passes granted permits to the requests that wait for them.
fn permits_received(state: &EdgeState, answers: Vec<PermitAnswer>) {
    for answer in answers {
        let now = state.now();
        let result = match (answer.observation.limit_at(now), answer.blocked) {
            (None, _) => "ended",
            (Some(_), Some(_)) => "unmet",
            (Some(_), None) => "granted",
        };
        EdgeMetrics::increment(&EdgeMetrics::global().permit_asks, result);
        state.upstreams().permits_answered(&answer, now);
    }
    state.permits_changed.notify_waiters();
    state.lines.room_changed();
}

/// Handles requests for permits that got no response. The requests that wait for the permits ask again.
fn asks_failed(state: &EdgeState, asks: &[PermitAsk], reason: &'static str) {
    for ask in asks {
        EdgeMetrics::increment(&EdgeMetrics::global().permit_asks, reason);
        state.upstreams().ask_failed(&ask.upstream);
    }
    state.permits_changed.notify_waiters();
}
