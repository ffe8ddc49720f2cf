//! Test support: runs the real binaries as child processes against stand-in services.

mod child_process;
mod daemon_site;
mod edge_site;
mod http_client;
mod path_matrix;
mod raw_server;
mod repeating_server;

pub use child_process::{ChildProcess, Workdir, run_cli};
pub use daemon_site::{DaemonSite, KEY_ORGANISATION, OPERATOR_KEY, SiteOptions};
pub use edge_site::{
    EdgeOptions, EdgeReply, EdgeSite, HOST, ROSE_KEY, TRAY_KEY, event_numbers, job_item, job_submission,
};
pub use http_client::{HttpAnswer, HttpClient};
pub use path_matrix::PathMatrix;
pub use raw_server::{RawAnswer, RawEnding, RawServer};
pub use repeating_server::{CopyMoment, RecordedRun, RepeatingOptions, RepeatingServer};

use std::{future::Future, time::Duration};

/// Calls `probe` repeatedly until it returns a value, and returns that value. Panics with `what`, the awaited
/// condition, after 90 seconds; the limit only ends a test that would otherwise hang.
pub async fn wait_for<T, F: Future<Output = Option<T>>>(what: &str, mut probe: impl FnMut() -> F) -> T {
    const TIMEOUT: Duration = Duration::from_secs(90);
    const POLL_INTERVAL: Duration = Duration::from_millis(25);
    let polls = TIMEOUT.as_millis() / POLL_INTERVAL.as_millis();
    for _ in 0..polls {
        if let Some(value) = probe().await {
            return value;
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    panic!("timed out waiting until {what}");
}
