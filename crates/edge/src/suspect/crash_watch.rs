//! Finds out whether an upstream crashed under a request whose connection was lost.

use crate::{edge_metrics::EdgeMetrics, edge_state::EdgeState, relay::UpstreamCall};
use pimentoslip_client::is_refusing_connections;
use pimentoslip_kernel::{SamplerRecord, SharedName};
use pimentoslip_telemetry::LogLine;
use std::sync::Arc;

/// Name of an upstream's process in crash marks.
fn process_name(record: &SamplerRecord) -> SharedName {
    format!("{}@{}", record.id, record.started_unix_ms).into()
}

/// Probes the upstream that lost the connection of `call`, in the background. If it has crashed, no more requests are sent
/// to it, and the crash counts against the request at all daemons.
pub fn watch_for_crash(state: &Arc<EdgeState>, call: &UpstreamCall, record: &SamplerRecord) {
    let (state, record) = (state.clone(), record.clone());
    let (request_id, fingerprint) = (call.id.clone(), call.repeat_fingerprint());
    actix_rt::spawn(async move {
        if !is_refusing_connections(&record.address).await {
            return;
        }
        let now = state.now();
        state.upstreams().process_ended(&record, now);
        let (mark, crash_count) = {
            let mut suspects = state.suspects();
            let mark = suspects.process_crashed(fingerprint, process_name(&record), now);
            (mark, suspects.crash_count(fingerprint, now))
        };
        let Some(mark) = mark else { return };
        state.crash_outbox().put(&mark);
        state.crashes_changed.notify_one();
        EdgeMetrics::global().upstream_crashes.inc();
        LogLine::new("upstream_crashed")
            .field("request_id", request_id)
            .field("fingerprint", format!("{fingerprint:016x}"))
            .field("upstream", &record.id)
            .field("crashes", crash_count)
            .warn();
    });
}

/// Clears the crashes that count against a request, which an upstream has completed.
pub fn clear_suspect(state: &EdgeState, fingerprint: u64) {
    let cleared = state.suspects().request_completed(fingerprint);
    if !cleared.is_empty() {
        state.crash_outbox().remove(&cleared);
        state.crashes_changed.notify_one();
    }
}
