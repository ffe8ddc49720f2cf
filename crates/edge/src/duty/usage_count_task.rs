//! Puts this daemon's counts of each usage window on record.

use crate::{edge_state::EdgeState, store::StoreAccess};
use bytes::Bytes;
use pimentoslip_platform::StoreCommit;
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::{
    encode,
    stored::{KeyLayout, UsageEntry},
};
use std::{sync::Arc, time::Duration};

/// Time between two looks at the counts.
const LOOK_PERIOD: Duration = Duration::from_millis(400);
/// Requests that began before a window's end may be counted this much later, in milliseconds.
const LATE_MS: u64 = 2_200;

/// Runs as long as the process.
pub async fn record_usage(state: Arc<EdgeState>, store: StoreAccess) {
    loop {
        actix_rt::time::sleep(LOOK_PERIOD).await;
        let before = state.unix_ms().saturating_sub(LATE_MS);
        record_ended(&state, &store, before).await;
    }
}

/// Records the windows that ended before `unix_ms`.
pub async fn record_ended(state: &EdgeState, store: &StoreAccess, unix_ms: u64) {
    let ended = state.usage().ended(unix_ms);
    for (window, counts) in ended {
        let total: u64 = counts.values().sum();
        let Ok(value) = encode(&UsageEntry { counts }) else { continue };
        let key = KeyLayout::count(window, &state.settings.vm, state.incarnation);
        let commit = StoreCommit::default().put(key, Bytes::from(value), 0);
        match store.commit(&commit).await {
            Ok(_) => {
                LogLine::new("usage_recorded").field("window", window).field("requests", total).info();
                state.usage().recorded(window);
            }
            Err(error) => LogLine::new("usage_not_recorded").field("window", window).field("reason", error).warn(),
        }
    }
}

/// Records what was counted so far, before the process ends.
pub async fn record_usage_now(state: &EdgeState, store: &StoreAccess) {
    record_ended(state, store, u64::MAX).await;
}
