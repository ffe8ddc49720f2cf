//! Tells the duty's holder what this daemon runs, so that loads of weights wait for what is busy.

use crate::{edge_state::EdgeState, peer_client::PeerClient};
use pimentoslip_kernel::SharedName;
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::peer::RunReport;
use std::{sync::Arc, time::Duration};

/// Path at which daemons report what they run.
pub const RUNS_PATH: &str = "/peer/runs";
/// Time between two reports; a fraction of the time in which weights are loaded.
const REPORT_PERIOD: Duration = Duration::from_millis(250);
/// Longest wait for the holder's answer, in milliseconds; a later report replaces one that is lost.
const REPORT_MS: u64 = 200;

/// Runs as long as the process.
pub async fn report_runs(state: Arc<EdgeState>, peers: PeerClient) {
    let mut told = false;
    loop {
        actix_rt::time::sleep(REPORT_PERIOD).await;
        let runs = state.upstreams().model_runs();
        if runs.is_empty() && !told {
            continue;
        }
        told = !runs.is_empty();
        let Some(control) = holder_control(&state) else { continue };
        let report = RunReport { daemon: state.settings.vm.clone(), runs };
        if let Err(error) = peers.call::<bool>(&control, RUNS_PATH, &report, REPORT_MS).await {
            LogLine::new("runs_not_reported").field("holder", control).field("reason", error).warn();
        }
    }
}

fn holder_control(state: &EdgeState) -> Option<SharedName> {
    let holder = state.lease().duty.as_ref().map(|(_, holder)| holder.daemon.clone())?;
    Some(state.ownership().daemon(&holder)?.control.clone())
}
