//! Follows a key prefix of the store: reads a snapshot, then passes each change to a handler.

use super::ChangeFeed;
use crate::edge_state::EdgeState;
use pimentoslip_kernel::TimePoint;
use pimentoslip_platform::{RangePage, StoreChange, StoreError};
use pimentoslip_telemetry::LogLine;
use std::{sync::Arc, time::Duration};

/// Delay before a failed call is retried. While the store is unreachable, calls are sent to it less often than this,
/// because `StoreAccess` backs off.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Handler that keeps some state up to date with the entries below one key prefix.
pub trait PrefixHandler: 'static {
    /// Key prefix that is followed.
    const PREFIX: &'static str;
    /// Delay after a batch of changes, in which further ones accumulate for the next batch; 0 for none.
    const BATCH_DELAY_MS: u64;

    /// Applies a snapshot of all entries, which replaces what was read before.
    fn apply_snapshot(&mut self, page: RangePage, now: TimePoint);

    /// Applies one change.
    fn apply_change(&mut self, change: StoreChange, now: TimePoint);

    /// Called after each poll for changes, also when it returned none or failed.
    fn after_poll(&mut self, _now: TimePoint) {}
}

/// Keeps `handler` up to date with its prefix for as long as the process runs.
pub async fn follow_prefix<H: PrefixHandler>(state: Arc<EdgeState>, mut feed: ChangeFeed, mut handler: H) {
    let mut lost_since: Option<TimePoint> = None;
    loop {
        match feed.read_snapshot().await {
            Ok(page) => {
                log_store_reconnected::<H>(&state, &mut lost_since);
                handler.apply_snapshot(page, state.now());
                feed.mark_applied();
            }
            Err(error) => {
                log_store_lost::<H>(&state, &mut lost_since, &error);
                actix_rt::time::sleep(RETRY_DELAY).await;
                continue;
            }
        }
        loop {
            match feed.next_changes().await {
                Ok(changes) => {
                    log_store_reconnected::<H>(&state, &mut lost_since);
                    let now = state.now();
                    let has_changes = !changes.is_empty();
                    for change in changes {
                        handler.apply_change(change, now);
                    }
                    feed.mark_applied();
                    handler.after_poll(now);
                    if has_changes && H::BATCH_DELAY_MS > 0 {
                        actix_rt::time::sleep(Duration::from_millis(H::BATCH_DELAY_MS)).await;
                    }
                }
                Err(error @ (StoreError::HistoryCompacted | StoreError::Malformed { .. })) => {
                    LogLine::new("store_reread").field("prefix", H::PREFIX).field("reason", &error).warn();
                    if matches!(error, StoreError::Malformed { .. }) {
                        actix_rt::time::sleep(RETRY_DELAY).await;
                    }
                    break;
                }
                Err(error) => {
                    log_store_lost::<H>(&state, &mut lost_since, &error);
                    handler.after_poll(state.now());
                    actix_rt::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }
}

/// Logs the first failed call since the store was last reached and records when it failed.
fn log_store_lost<H: PrefixHandler>(state: &EdgeState, lost_since: &mut Option<TimePoint>, error: &StoreError) {
    if lost_since.is_none() {
        LogLine::new("store_lost").field("prefix", H::PREFIX).field("reason", error).warn();
        *lost_since = Some(state.now());
    }
}

/// Logs the end of an outage with its duration, if there was one.
fn log_store_reconnected<H: PrefixHandler>(state: &EdgeState, lost_since: &mut Option<TimePoint>) {
    if let Some(since) = lost_since.take() {
        let outage_ms = state.now().since_ms(since);
        LogLine::new("store_regained").field("prefix", H::PREFIX).field("away_ms", outage_ms).info();
    }
}
