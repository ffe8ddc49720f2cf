//! Reports the number of this daemon's requests in progress at each upstream to the holder of the duty, which orders
//! loads of weights at idle upstreams first.

use crate::{edge_state::EdgeState, peer_client::PeerClient};
use pimentoslip_kernel::SharedName;
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::peer::RunReport;
use std::{sync::Arc, time::Duration};

/// Path of the peer interface at which the holder of the duty receives reports of running requests.
pub const RUNS_PATH: &str = "/peer/runs";
/// Time between two reports; a fraction of the time that a load of weights takes.
const REPORT_PERIOD: Duration = Duration::from_millis(250);
/// Longest wait for the holder's response; a lost report is replaced by the next one.
const REPORT_TIMEOUT_MS: u64 = 200;

/// Sends reports as long as the process runs. After a report without any runs, no more are sent until there are runs.
pub async fn report_runs(state: Arc<EdgeState>, peer_client: PeerClient) {
    let mut reported_runs = false;
    loop {
        actix_rt::time::sleep(REPORT_PERIOD).await;
        let runs = state.upstreams().model_requests();
        if runs.is_empty() && !reported_runs {
            continue;
        }
        reported_runs = !runs.is_empty();
        let Some(control_address) = holder_control_address(&state) else { continue };
        let report = RunReport { daemon: state.settings.vm.clone(), runs };
        if let Err(error) = peer_client.call::<bool>(&control_address, RUNS_PATH, &report, REPORT_TIMEOUT_MS).await {
            LogLine::new("run_report_failed").field("holder", control_address).field("reason", error).warn();
        }
    }
}

/// Control address of the duty's holder, if the holder is present.
fn holder_control_address(state: &EdgeState) -> Option<SharedName> {
    let holder = state.lease_view().duty.as_ref().map(|holder| holder.daemon.clone())?;
    Some(state.ownership().daemon(&holder)?.control_address.clone())
}
