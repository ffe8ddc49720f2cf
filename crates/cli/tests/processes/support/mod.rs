//! Runs the real binaries as separate processes.

mod child_process;
mod daemon_site;
mod edge_site;
mod http_client;

pub use child_process::{ChildProcess, Workdir, run_cli};
pub use daemon_site::{DaemonSite, OPERATOR_KEY, SiteOptions};
pub use edge_site::{EdgeSite, ROSE_KEY, TRAY_KEY, job_item, job_submission};
pub use http_client::{HttpAnswer, HttpClient};

use std::{future::Future, time::Duration};

/// Polls until `probe` gives a value. The limit only ends a run that would never end.
pub async fn wait_for<T, F: Future<Output = Option<T>>>(what: &str, mut probe: impl FnMut() -> F) -> T {
    const LIMIT: Duration = Duration::from_secs(90);
    const POLL: Duration = Duration::from_millis(25);
    let polls = LIMIT.as_millis() / POLL.as_millis();
    for _ in 0..polls {
        if let Some(value) = probe().await {
            return value;
        }
        actix_rt::time::sleep(POLL).await;
    }
    panic!("did not happen: {what}");
}
