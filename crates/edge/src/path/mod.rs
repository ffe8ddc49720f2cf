//! Paths to the upstreams: finds out whether an upstream or the path to it has failed, and relays requests of peers that have
//! lost their paths.

mod no_path_log;
mod path_probe;
mod path_task;
mod relay_api;

pub use no_path_log::log_no_path;
pub use path_probe::probe_paths;
pub use path_task::{record_check, watch_paths};
pub use relay_api::relay_request;

use crate::edge_state::EdgeState;
use pimentoslip_kernel::{DaemonPresence, DirectLoss, HomeRegions, RelayPeer, SamplerRecord, SharedName, TimePoint};
use pimentoslip_telemetry::LogLine;

/// Records that an attempt which was started at `started_at` opened no connection on the direct path to an upstream, or that
/// its bytes were not acknowledged there.
pub fn direct_failed(state: &EdgeState, record: &SamplerRecord, started_at: TimePoint) {
    let loss = state.paths().direct_failed(&record.address, started_at, state.now());
    match loss {
        DirectLoss::Known => {}
        // The task that probes lost paths sleeps while none is lost.
        DirectLoss::LostAgain => state.paths_changed.notify_one(),
        DirectLoss::Doubted => state.request_path_check(record),
        DirectLoss::Cut => {
            LogLine::new("all_paths_lost").field("upstream", &record.id).warn();
            path_found(state, None);
            state.request_path_check(record);
        }
    }
}

/// Lets requests that wait for a path to `address`, or to any upstream for `None`, be sent: peers may relay them now.
fn path_found(state: &EdgeState, address: Option<&str>) {
    state.upstreams().path_found(address);
    state.lines.room_changed();
}

/// Daemons that may relay requests with `homes` to upstreams for this one: those in the homes and in this daemon's region.
pub fn relay_peers(state: &EdgeState, homes: Option<&HomeRegions>) -> Vec<RelayPeer> {
    let is_allowed =
        |region: &SharedName| homes.is_none_or(|homes| homes.contains(region)) || *region == state.settings.region;
    let now = state.now();
    let ownership = state.ownership();
    let others = ownership.possible_daemons(now).filter(|(name, presence)| {
        let is_relay = !presence.relay_token.is_empty() && !presence.control_address.is_empty();
        **name != state.settings.vm && is_relay && is_allowed(&presence.region)
    });
    others.map(|(name, presence)| peer(name, presence)).collect()
}

/// The daemon `name` as one that may relay requests; `None` if it has left.
pub fn relay_peer(state: &EdgeState, name: &str) -> Option<RelayPeer> {
    let now = state.now();
    let ownership = state.ownership();
    let mut daemons = ownership.possible_daemons(now);
    daemons.find(|(daemon, _)| ***daemon == *name).map(|(daemon, presence)| peer(daemon, presence))
}

fn peer(name: &SharedName, presence: &DaemonPresence) -> RelayPeer {
    RelayPeer { name: name.clone(), failure_domain: presence.failure_domain.clone() }
}
