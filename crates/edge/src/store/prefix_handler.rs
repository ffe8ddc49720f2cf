//! Keeps a prefix of the store in view.

use super::ChangeFeed;
use crate::edge_state::EdgeState;
use pimentoslip_kernel::TimePoint;
use pimentoslip_platform::{RangePage, StoreChange, StoreError};
use pimentoslip_telemetry::LogLine;
use std::{sync::Arc, time::Duration};

/// Pause after a failed call. The store is asked less often than this while it is away.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// What is done with the entries of a prefix.
pub trait PrefixHandler: 'static {
    /// Prefix.
    const PREFIX: &'static str;
    /// Pause after changes, in which further ones gather, in milliseconds.
    const BATCH_DELAY_MS: u64;

    /// All entries, as read at once.
    fn apply_snapshot(&mut self, page: RangePage, now: TimePoint);

    /// One change.
    fn apply_change(&mut self, change: StoreChange, now: TimePoint);

    /// Called after each round.
    fn after_poll(&mut self, _now: TimePoint) {}
}

/// Follows `prefix` for as long as the process lives.
pub async fn follow_prefix<F: PrefixHandler>(state: Arc<EdgeState>, feed: ChangeFeed, mut prefix: F) {
    let mut lost: Option<TimePoint> = None;
    loop {
        let page = feed.store().range(F::PREFIX).await;
        let mut revision = match page {
            Ok(page) => {
                regain::<F>(&state, &mut lost);
                let revision = page.revision;
                prefix.apply_snapshot(page, state.now());
                revision
            }
            Err(error) => {
                lose::<F>(&state, &mut lost, &error);
                actix_rt::time::sleep(RETRY_PAUSE).await;
                continue;
            }
        };
        loop {
            match feed.next_changes(F::PREFIX, revision).await {
                Ok(news) => {
                    regain::<F>(&state, &mut lost);
                    revision = news.revision;
                    let now = state.now();
                    let changed = !news.changes.is_empty();
                    for change in news.changes {
                        prefix.apply_change(change, now);
                    }
                    prefix.after_poll(now);
                    if changed && F::BATCH_DELAY_MS > 0 {
                        actix_rt::time::sleep(Duration::from_millis(F::BATCH_DELAY_MS)).await;
                    }
                }
                Err(error @ (StoreError::HistoryCompacted | StoreError::Malformed { .. })) => {
                    LogLine::new("store_reread").field("prefix", F::PREFIX).field("reason", &error).warn();
                    break;
                }
                Err(error) => {
                    lose::<F>(&state, &mut lost, &error);
                    prefix.after_poll(state.now());
                    actix_rt::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }
}

fn lose<F: PrefixHandler>(state: &EdgeState, lost: &mut Option<TimePoint>, error: &StoreError) {
    if lost.is_none() {
        LogLine::new("store_lost").field("prefix", F::PREFIX).field("reason", error).warn();
        *lost = Some(state.now());
    }
}

fn regain<F: PrefixHandler>(state: &EdgeState, lost: &mut Option<TimePoint>) {
    if let Some(since) = lost.take() {
        let away_ms = state.now().since_ms(since);
        LogLine::new("store_regained").field("prefix", F::PREFIX).field("away_ms", away_ms).info();
    }
}
