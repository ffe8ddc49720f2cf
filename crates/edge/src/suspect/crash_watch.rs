//! Finds out whether an upstream crashed under a request that got no complete response.

use super::reach_check::ask_peers;
use crate::{
    edge_metrics::EdgeMetrics,
    edge_state::EdgeState,
    path::record_check,
    peer_client::PeerClient,
    relay::{AttemptFailure, UpstreamGuard},
    worker_parts::WorkerParts,
};
use pimentoslip_client::{probe_after_loss, probe_connection};
use pimentoslip_kernel::{ConnectOutcome, ProcessVerdict, RequestLoss, SamplerRecord, SharedName};
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::stored::CrashEntry;
use std::sync::Arc;

/// Largest body of a completed request that is hashed although this daemon knows of no recent loss or crash. Hashing it takes
/// some 60 microseconds; the largest body that is accepted would take 30 ms.
const CALM_BODY_BYTES_MAX: usize = 64 << 10;

/// Name of an upstream's process in crash marks.
fn process_name(record: &SamplerRecord) -> SharedName {
    format!("{}@{}", record.id, record.started_unix_ms).into()
}

/// Examines a request that got no complete response, in the background. If its upstream has crashed, no more requests are
/// sent there, and the crash counts against the request at all daemons. As long as that cannot be told, the list of
/// upstreams decides.
pub fn examine_loss(
    parts: &WorkerParts,
    request_id: &SharedName,
    fingerprint: u64,
    guard: &UpstreamGuard,
    failure: AttemptFailure,
) {
    let state = &parts.state;
    let loss = RequestLoss {
        request_id: request_id.clone(),
        fingerprint,
        upstream: guard.record.clone(),
        sent_unix_ms: state.unix_ms().saturating_sub(state.now().since_ms(guard.picked_at)),
        running_unix_ms: None,
    };
    let is_ending = matches!(failure, AttemptFailure::Lost | AttemptFailure::Malformed);
    actix_rt::spawn(classify_loss(state.clone(), parts.peer_client.clone(), loss, is_ending));
}

/// Finds out whether the upstream of a lost request has ended, and records what follows. One that closes its connections
/// may be about to end (`is_ending`).
async fn classify_loss(state: Arc<EdgeState>, peer_client: PeerClient, loss: RequestLoss, is_ending: bool) {
    let (address, started_at) = (loss.upstream.address.clone(), state.now());
    // The list may show the next process while the connections are tried.
    let number = state.losses().add(loss.clone(), started_at);
    let own = if is_ending { probe_after_loss(&address).await } else { probe_connection(&address).await };
    let peers = match own {
        ConnectOutcome::Accepted => None,
        ConnectOutcome::Refused | ConnectOutcome::Silent => ask_peers(&state, &peer_client, &loss.upstream).await,
    };
    record_check(&state, &loss.upstream, own, peers.as_deref(), started_at);
    let verdict = ProcessVerdict::judge(own, peers.as_deref());
    LogLine::new("loss_examined")
        .field("request_id", &loss.request_id)
        .field("upstream", &loss.upstream.id)
        .field("connection", own.as_str())
        .field("peers", outcomes_text(peers.as_deref()))
        .field("process", verdict.as_str())
        .info();
    match verdict {
        ProcessVerdict::Ended => {
            let loss = state.losses().take(number);
            loss.iter().for_each(|loss| upstream_crashed(&state, loss, false));
        }
        ProcessVerdict::Running => state.losses().process_running(number, state.unix_ms()),
        ProcessVerdict::Unknown => {}
    }
}

/// The results of peers in one field of a log line.
fn outcomes_text(outcomes: Option<&[ConnectOutcome]>) -> String {
    let names: Vec<&str> = outcomes.unwrap_or_default().iter().map(|outcome| outcome.as_str()).collect();
    if names.is_empty() { "none".to_owned() } else { names.join(",") }
}

/// Handles a listed upstream: the process before it may have crashed under a request.
pub fn upstream_listed(state: &EdgeState, record: &SamplerRecord) {
    let crashed = state.losses().upstream_listed(record, state.now());
    crashed.iter().for_each(|loss| upstream_crashed(state, loss, true));
}

/// Handles the removal of an upstream from the list. If nothing listens at its address, it has crashed.
pub fn upstream_delisted(state: &Arc<EdgeState>, peer_client: &PeerClient, id: &str) {
    for loss in state.losses().upstream_delisted(id, state.now()) {
        actix_rt::spawn(classify_loss(state.clone(), peer_client.clone(), loss, true));
    }
}

/// Counts the crash of an upstream against the request that it ran, unless the request has been completed since it was sent.
/// `is_inferred` says whether only the list of upstreams shows the crash.
fn upstream_crashed(state: &EdgeState, loss: &RequestLoss, is_inferred: bool) {
    let RequestLoss { request_id, fingerprint, upstream, sent_unix_ms, .. } = loss;
    let (now, sent_unix_ms) = (state.now(), Some(*sent_unix_ms));
    state.upstreams().process_ended(upstream, now);
    let (mark, crash_count, is_disproved) = {
        let mut suspects = state.suspects();
        let mark = suspects.process_crashed(*fingerprint, process_name(upstream), sent_unix_ms, is_inferred, now);
        (mark, suspects.crash_count(*fingerprint, now), suspects.is_disproved(*fingerprint, sent_unix_ms))
    };
    if is_disproved {
        LogLine::new("crash_disproved")
            .field("request_id", request_id)
            .field("fingerprint", format!("{fingerprint:016x}"))
            .field("process", process_name(upstream))
            .info();
    }
    let Some(mark) = mark else { return };
    state.crash_outbox().put(&mark);
    state.crashes_changed.notify_one();
    EdgeMetrics::global().upstream_crashes.inc();
    LogLine::new("upstream_crashed")
        .field("request_id", request_id)
        .field("fingerprint", format!("{fingerprint:016x}"))
        .field("upstream", &upstream.id)
        .field("inferred", is_inferred)
        .field("crashes", crash_count)
        .warn();
}

/// Handles a crash mark in the store. One that a run at this daemon disproves is removed from there.
pub fn mark_stored(state: &EdgeState, fingerprint: u64, process: &str, entry: &CrashEntry) {
    let now = state.now();
    // An earlier release does not say when the request was sent; that was before the observation.
    let sent_unix_ms = entry.sent_unix_ms.or(Some(entry.observed_unix_ms));
    let process = SharedName::from(process);
    state.crash_outbox().mark_stored(&(fingerprint, process.clone()));
    let (is_new, crash_count, is_disproved) = {
        let mut suspects = state.suspects();
        let mark = suspects.process_crashed(fingerprint, process.clone(), sent_unix_ms, entry.inferred, now);
        (mark.is_some(), suspects.crash_count(fingerprint, now), suspects.is_disproved(fingerprint, sent_unix_ms))
    };
    let line = |event| {
        let line = LogLine::new(event).field("fingerprint", format!("{fingerprint:016x}"));
        line.field("process", &process)
    };
    if is_disproved {
        line("crash_disproved").info();
        state.crash_outbox().remove((fingerprint, process));
        state.crashes_changed.notify_one();
    } else if is_new {
        line("crash_known").field("crashes", crash_count).info();
    }
}

/// Handles a request that an upstream has completed: crashes of processes to which it was sent before do not count against
/// it. The store's changes take the removal of its marks to the other daemons, so that no cleared mark has to be kept.
pub fn request_completed(state: &EdgeState, body_bytes: usize, fingerprint: impl FnOnce() -> u64) {
    let (now, unix_ms) = (state.now(), state.unix_ms());
    let is_calm = state.suspects().is_empty() && !state.losses().has_open(now);
    if is_calm && body_bytes > CALM_BODY_BYTES_MAX {
        return;
    }
    let fingerprint = fingerprint();
    let cleared = {
        let mut suspects = state.suspects();
        let cleared = suspects.request_completed(fingerprint, unix_ms, now);
        cleared.iter().for_each(|mark| suspects.remove(fingerprint, &mark.process));
        cleared
    };
    if cleared.is_empty() {
        return;
    }
    cleared.into_iter().for_each(|mark| state.crash_outbox().remove((fingerprint, mark.process)));
    state.crashes_changed.notify_one();
}
