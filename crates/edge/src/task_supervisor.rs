//! Starts background tasks again after a panic, so that an unexpected error ends one run of one task only.

use crate::edge_metrics::EdgeMetrics;
use pimentoslip_telemetry::LogLine;
use std::{future::Future, time::Duration};

/// Delay before a task is started again; keeps a task that panics at once from using the processor.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Runs the task that `start` creates until it ends without a panic. `task` names it in logs and metrics.
pub async fn supervise<F: Future<Output = ()> + 'static>(task: &'static str, mut start: impl FnMut() -> F) {
    while let Err(error) = actix_rt::spawn(start()).await {
        if !error.is_panic() {
            return;
        }
        LogLine::new("task_failed").field("task", task).field("reason", error).warn();
        EdgeMetrics::increment(&EdgeMetrics::global().task_failures, task);
        actix_rt::time::sleep(RESTART_DELAY).await;
    }
}
