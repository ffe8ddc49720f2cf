//! Puts this daemon's counts of each usage window on record, through the region's collector.

use super::usage_collector::{USAGE_PATH, write_parts};
use crate::{edge_state::EdgeState, peer_client::PeerClient, store::StoreAccess};
use pimentoslip_kernel::UsageBatch;
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::{peer::UsagePush, stored::UsagePart};
use std::{sync::Arc, time::Duration};

/// Time between two looks at the counts.
const LOOK_PERIOD: Duration = Duration::from_millis(400);
/// Requests that began before a window's end may be counted this much later, in milliseconds.
const LATE_MS: u64 = 2_200;
/// Longest wait for the collector, which gathers for some hundred milliseconds and writes once, in milliseconds.
const COLLECT_MS: u64 = 1_000;

/// Runs as long as the process.
pub async fn record_usage(state: Arc<EdgeState>, store: StoreAccess, peers: PeerClient) {
    loop {
        actix_rt::time::sleep(LOOK_PERIOD).await;
        let before = state.unix_ms().saturating_sub(LATE_MS);
        let batches = state.usage().close_ended(before);
        for batch in batches {
            record(&state, &store, &peers, batch).await;
        }
    }
}

/// Records what was counted so far, before the process ends.
pub async fn flush_usage(state: &EdgeState, store: &StoreAccess, peers: &PeerClient) {
    let batches = state.usage().close_ended(u64::MAX);
    for batch in batches {
        record(state, store, peers, batch).await;
    }
}

async fn record(state: &EdgeState, store: &StoreAccess, peers: &PeerClient, batch: UsageBatch) {
    let UsageBatch { number, window, counts } = batch;
    let part = UsagePart { daemon: state.settings.vm.clone(), incarnation: state.incarnation, number, counts };
    let push = UsagePush { window, part };
    if collect(state, peers, &push).await || write_parts(state, store, &[(window, vec![push.part])]).await {
        state.usage().recorded(number);
    }
}

/// Hands counts to the region's collector. False if it is not certain that they are on record.
async fn collect(state: &EdgeState, peers: &PeerClient, push: &UsagePush) -> bool {
    let collector = {
        let ownership = state.ownership();
        ownership.region_watcher(&state.settings.region).map(|(_, presence)| presence.control.clone())
    };
    let own = || state.settings.control.map(|address| address.to_string().into());
    let Some(control) = collector.or_else(own) else { return false };
    match peers.call::<bool>(&control, USAGE_PATH, push, COLLECT_MS).await {
        Ok(recorded) => recorded,
        Err(error) => {
            LogLine::new("usage_not_collected").field("collector", control).field("reason", error).warn();
            false
        }
    }
}
