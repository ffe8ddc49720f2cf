//! Stores this daemon's request counts of each usage window, through the collector of its region.

use super::usage_collector::{USAGE_PATH, write_batches};
use crate::{
    edge_metrics::{EdgeMetrics, ReasonLabel},
    edge_state::EdgeState,
    peer_client::PeerClient,
    store::StoreAccess,
};
use pimentoslip_kernel::UsageBatch;
use pimentoslip_platform::StoreClient;
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::{peer::UsagePush, stored::UsageBatchEntry};
use std::{sync::Arc, time::Duration};

/// Time between two checks for windows that have ended.
const CHECK_PERIOD: Duration = Duration::from_millis(400);
/// A request that started before a window's end may be counted this much later, so the window is closed after it.
const LATE_COUNT_MS: u64 = 2_200;
/// Longest wait for the collector, which collects for some hundred milliseconds and then writes once.
const COLLECT_TIMEOUT_MS: u64 = 1_000;
/// Longest time from the return of the store until a window's counts are stored: the rest of an attempt that fails, first
/// at the collector and then directly, the period, and an attempt that succeeds at the collector.
pub const STORE_TIME_MAX_MS: u64 =
    2 * COLLECT_TIMEOUT_MS + StoreClient::CALL_TIMEOUT_MS + CHECK_PERIOD.as_millis() as u64;

/// Reason of dropped counts that could not be stored for too long.
const KEPT_REASON: &str = "store_away";

/// Stores the counts of ended windows as long as the process runs.
pub async fn record_usage(state: Arc<EdgeState>, store: StoreAccess, peer_client: PeerClient) {
    loop {
        actix_rt::time::sleep(CHECK_PERIOD).await;
        let ended_before = state.unix_ms().saturating_sub(LATE_COUNT_MS);
        let batches = state.usage().close_ended_windows(ended_before);
        for batch in batches {
            store_batch(&state, &store, &peer_client, batch).await;
        }
        let dropped_requests = state.usage().take_dropped();
        if dropped_requests > 0 {
            EdgeMetrics::global()
                .usage_dropped
                .get_or_create(&ReasonLabel { reason: KEPT_REASON })
                .inc_by(dropped_requests);
            LogLine::new("usage_dropped").field("requests", dropped_requests).field("reason", KEPT_REASON).warn();
        }
    }
}

/// Stores all counts, including those of windows that have not ended. Called before the process exits.
pub async fn flush_usage(state: &EdgeState, store: &StoreAccess, peer_client: &PeerClient) {
    let batches = state.usage().close_ended_windows(u64::MAX);
    for batch in batches {
        store_batch(state, store, peer_client, batch).await;
    }
}

/// Stores one batch of counts through the collector, or directly if that fails. A batch that is not confirmed as
/// stored, or as refused because its window is sealed, stays in the tally, which returns it again at the next check.
async fn store_batch(state: &EdgeState, store: &StoreAccess, peer_client: &PeerClient, batch: UsageBatch) {
    let UsageBatch { number, window, counts } = batch;
    let entry = UsageBatchEntry { daemon: state.settings.vm.clone(), incarnation: state.incarnation, number, counts };
    let push = UsagePush { window, batch: entry };
    if send_to_collector(state, peer_client, &push).await
        || write_batches(state, store, &[(window, vec![push.batch])]).await
    {
        state.usage().batch_stored(number);
    }
}

/// Sends counts to the region's collector, which may be this daemon. Returns false if it is not certain that they
/// are stored.
async fn send_to_collector(state: &EdgeState, peer_client: &PeerClient, push: &UsagePush) -> bool {
    let collector = {
        let ownership = state.ownership();
        ownership.region_watcher(&state.settings.region).map(|(_, presence)| presence.control_address.clone())
    };
    let own_control_address = || state.settings.control_address.map(|address| address.to_string().into());
    let Some(control_address) = collector.or_else(own_control_address) else { return false };
    match peer_client.call::<bool>(&control_address, USAGE_PATH, push, COLLECT_TIMEOUT_MS).await {
        Ok(stored) => stored,
        Err(error) => {
            LogLine::new("usage_not_collected").field("collector", control_address).field("reason", error).warn();
            false
        }
    }
}
