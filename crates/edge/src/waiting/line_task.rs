//! Hands freed slots to waiting requests.

use crate::edge_state::EdgeState;
use std::{sync::Arc, time::Duration};

/// Interval of the log lines on waiting requests, and of the update of their gauges while no slot is freed.
const LOG_INTERVAL_MS: u64 = 1_000;

/// Hands freed slots to waiting requests for as long as the process runs.
pub async fn hand_over_slots(state: Arc<EdgeState>) {
    let mut logged_at = state.now();
    loop {
        let now = state.now();
        let next_at = state.lines.hand_over(&state, now);
        state.lines.update_gauges(now);
        if now.since_ms(logged_at) >= LOG_INTERVAL_MS {
            logged_at = now;
            state.lines.log(now);
        }
        let next_at = next_at.unwrap_or(now.plus_ms(LOG_INTERVAL_MS)).min(now.plus_ms(LOG_INTERVAL_MS));
        let wait = Duration::from_millis(next_at.since_ms(now).max(1));
        let _ = actix_rt::time::timeout(wait, state.lines.wait_for_change()).await;
    }
}
