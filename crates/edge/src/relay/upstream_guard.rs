//! Counts a request towards the load of its upstream while it is in flight.

use super::{AttemptFailure, leaving_notice::observe_leaving};
use crate::{
    edge_metrics::EdgeMetrics,
    edge_state::EdgeState,
    path::{direct_failed, log_no_path, relay_peer, relay_peers},
};
use actix_web::http::{StatusCode, header::HeaderMap};
use pimentoslip_kernel::{
    HomeRegions, PathQuery, PeerCheck, RateLimit, RelayFailure, RelayPeer, SamplerOutcome, SamplerQuery, SamplerRecord,
    ServicePath, SharedName, TimePoint,
};
use pimentoslip_server::BufferShare;
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::peer::RelaySender;
use std::{cell::RefCell, sync::Arc, time::Duration};

/// Time for which an upstream gets no requests after one had no path to it.
const NO_PATH_BACKOFF_MS: u64 = 200;
/// Upstreams without a path that are passed over at once; after that, none counts as having capacity.
const PATHLESS_MAX: usize = 16;
/// Time without a byte on a direct path that is lost by then, after which the connection counts as lost too. Connections
/// may outlive the path for new ones.
const LOST_PATH_GRACE_MS: u64 = 300;
/// Interval at which a request in progress looks whether its path is lost.
const PATH_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Counts a request as in flight at an upstream; when dropped, records the outcome of the attempt.
#[derive(Debug)]
pub struct UpstreamGuard {
    state: Arc<EdgeState>,
    /// The upstream's record at the time when it was picked.
    pub record: SamplerRecord,
    /// When the upstream was picked.
    pub picked_at: TimePoint,
    /// Regions in which the request may be served; `None` for any.
    homes: Option<HomeRegions>,
    outcome: SamplerOutcome,
    prefers_relay: bool,
    /// Path of the last attempt; `None` if there was none.
    path: RefCell<Option<ServicePath>>,
}

impl UpstreamGuard {
    /// Picks an upstream for `query` to which there is a path, and counts the request there. `None` if no upstream has
    /// capacity.
    #[must_use]
    pub fn pick(state: &Arc<EdgeState>, query: &SamplerQuery<'_>) -> Option<Self> {
        for _ in 0..PATHLESS_MAX {
            let now = state.now();
            let (record, wants_permits) = {
                let mut upstreams = state.upstreams();
                (upstreams.pick(query, now), upstreams.wants_permits())
            };
            if wants_permits {
                state.permits_wanted.notify_one();
            }
            let guard = Self::new(state, record?, query.homes.cloned(), now);
            let path_query = guard.path_query(query.affinity);
            if state.paths().has_path(&path_query, now, || relay_peers(state, query.homes)) {
                return Some(guard);
            }
            guard.path_missing(query.affinity);
        }
        None
    }

    /// Counts a request that is sent to an upstream for a peer, which has picked it. `None` unless the upstream is listed as
    /// the process that started at `started_unix_ms`, and accepts new requests.
    #[must_use]
    pub fn adopt(state: &Arc<EdgeState>, id: &str, started_unix_ms: u64) -> Option<Self> {
        let now = state.now();
        let record = state.upstreams().adopt(id, started_unix_ms, now)?;
        // The peer has chosen the upstream by the homes of the request.
        Some(Self::new(state, record, None, now))
    }

    fn new(state: &Arc<EdgeState>, record: SamplerRecord, homes: Option<HomeRegions>, picked_at: TimePoint) -> Self {
        Self {
            state: state.clone(),
            record,
            picked_at,
            homes,
            outcome: SamplerOutcome::Abandoned,
            prefers_relay: false,
            path: RefCell::new(Some(ServicePath::Direct)),
        }
    }

    /// Lets a peer relay the request although the direct path is not known to be lost.
    pub fn prefer_relay(&mut self) {
        self.prefers_relay = true;
    }

    /// Current time.
    #[must_use]
    pub fn now(&self) -> TimePoint {
        self.state.now()
    }

    /// Selects the path of the next attempt to send the request `id`. `None` if there is none.
    #[must_use]
    pub fn next_path(&self, id: &str) -> Option<ServicePath> {
        let path = self.state.paths().next_path(&self.path_query(id), self.now(), || self.relay_peers());
        self.path.replace(path.clone());
        path
    }

    /// Path of the last attempt, for the log.
    #[must_use]
    pub fn path_text(&self) -> String {
        self.path.borrow().as_ref().map_or_else(|| "none".to_owned(), ToString::to_string)
    }

    /// Daemons that may relay the request.
    fn relay_peers(&self) -> Vec<RelayPeer> {
        relay_peers(&self.state, self.homes.as_ref())
    }

    fn is_direct(&self) -> bool {
        *self.path.borrow() == Some(ServicePath::Direct)
    }

    fn path_query<'a>(&'a self, affinity: &'a str) -> PathQuery<'a> {
        PathQuery {
            address: &self.record.address,
            upstream_domain: &self.record.failure_domain,
            own_domain: &self.state.settings.failure_domain,
            affinity,
            prefers_relay: self.prefers_relay,
        }
    }

    /// Keeps requests from the upstream for a moment, as there is no path to it for the request `id`.
    pub fn path_missing(&self, id: &str) {
        log_no_path(&self.state, id, &self.record, self.homes.as_ref());
        let until = self.now().plus_ms(NO_PATH_BACKOFF_MS);
        self.state.upstreams().path_missing(&self.record.id, until);
    }

    /// Records a response on the direct path to a request that was sent at `sent_at`.
    pub fn direct_succeeded(&self, sent_at: TimePoint) {
        let gain = self.state.paths().direct_succeeded(&self.record.address, sent_at, self.now());
        self.state.paths_regained(&self.record.address, gain);
    }

    /// Records the failure of an attempt that was started at `sent_at` on the direct path. Returns it as the request is to
    /// treat it: other daemons may reach an upstream that this one does not.
    #[must_use]
    pub fn direct_failed(&self, failure: AttemptFailure, sent_at: TimePoint) -> AttemptFailure {
        let is_path_failure = matches!(failure, AttemptFailure::Unreachable | AttemptFailure::Unacknowledged);
        if !is_path_failure || self.relay_peers().is_empty() {
            return failure;
        }
        direct_failed(&self.state, &self.record, sent_at);
        if failure == AttemptFailure::Unreachable { AttemptFailure::PathLost } else { failure }
    }

    /// Lets the path of a request that got no complete response be checked, unless the upstream has responded since.
    pub fn request_path_check(&self, failure: AttemptFailure) {
        if self.is_direct() && failure.may_be_crash() && !self.has_responded_since() {
            self.state.request_path_check(&self.record);
        }
    }

    /// Waits until the direct path has been lost for a while, if the last attempt used it; the last byte was received at
    /// `received_at`.
    pub async fn path_lost(&self, received_at: TimePoint) {
        while !self.is_path_lost(received_at) {
            actix_rt::time::sleep(PATH_CHECK_INTERVAL).await;
        }
    }

    /// Whether the last attempt used the direct path, that path is lost, and nothing was received for a while since; the last
    /// byte was received at `received_at`.
    #[must_use]
    pub fn is_path_lost(&self, received_at: TimePoint) -> bool {
        let lost_since = if self.is_direct() { self.state.paths().lost_since(&self.record.address) } else { None };
        lost_since.is_some_and(|since| self.now().since_ms(since.max(received_at)) >= LOST_PATH_GRACE_MS)
    }

    /// Address of the control listener of `peer`; `None` if it has left.
    #[must_use]
    pub fn peer_address(&self, peer: &str) -> Option<SharedName> {
        let now = self.now();
        let ownership = self.state.ownership();
        let mut daemons = ownership.possible_daemons(now);
        daemons.find(|(name, _)| ***name == *peer).map(|(_, presence)| presence.control_address.clone())
    }

    /// Records that `peer` has relayed a response of the upstream.
    pub fn relay_succeeded(&self, peer: &SharedName) {
        self.state.paths().relay_succeeded(peer, &self.record.address, self.now());
    }

    /// Records that `peer` has responded.
    pub fn peer_responded(&self, peer: &SharedName) {
        self.state.paths().peer_responded(peer, self.now());
    }

    /// What is known of `peer`, which has not responded to the request since `since`.
    #[must_use]
    pub fn peer_check(&self, peer: &SharedName, since: TimePoint) -> PeerCheck {
        self.state.paths().peer_check(peer, since, self.now())
    }

    /// Records that `peer` has not responded when it was asked whether it runs.
    pub fn peer_silent(&self, peer: &SharedName) {
        self.state.paths().peer_silent(&self.relay_peer(peer), &self.record.address, self.now());
    }

    /// Records that `peer` has not relayed the request.
    pub fn relay_failed(&self, peer: &SharedName, failure: RelayFailure) {
        self.state.paths().relay_failed(&self.relay_peer(peer), &self.record.address, failure, self.now());
    }

    fn relay_peer(&self, name: &SharedName) -> RelayPeer {
        let gone = || RelayPeer { name: name.clone(), failure_domain: "".into() };
        relay_peer(&self.state, name).unwrap_or_else(gone)
    }

    /// Proof for peers that the next call is from this daemon.
    #[must_use]
    pub fn relay_sender(&self) -> RelaySender {
        self.state.relay_sender()
    }

    /// Sets the outcome that is recorded on drop. Without it the attempt counts as abandoned, which does not affect the
    /// upstream's availability.
    pub fn set_outcome(&mut self, outcome: SamplerOutcome) {
        self.outcome = outcome;
    }

    /// Whether the request may be sent now: the upstream has not left since it was picked.
    #[must_use]
    pub fn may_send(&self) -> bool {
        self.state.upstreams().may_send(&self.record, self.now())
    }

    /// Whether the list names another process under the upstream's id by now, or one with other software.
    #[must_use]
    pub fn is_replaced(&self) -> bool {
        self.state.upstreams().get(&self.record.id).is_some_and(|record| !record.is_same_process(&self.record))
    }

    /// Whether the process that responds has the software that the list named when it was picked.
    #[must_use]
    pub fn is_software_known(&self) -> bool {
        self.state.is_list_confirmed() && !self.is_replaced()
    }

    /// Whether the upstream has responded to a request of this daemon since it was picked.
    #[must_use]
    pub fn has_responded_since(&self) -> bool {
        self.state.upstreams().responded_at(&self.record.id).is_some_and(|at| at > self.picked_at)
    }

    /// Number of this daemon's requests in progress at the upstream, this one included.
    #[must_use]
    pub fn inflight(&self) -> u64 {
        self.state.upstreams().inflight(&self.record.id)
    }

    /// Memory for the body of the upstream's response.
    #[must_use]
    pub fn buffer_share(&self) -> BufferShare {
        self.state.buffers.share()
    }

    /// Records that the request is being sent.
    pub fn request_sent(&self) {
        self.state.upstreams().request_sent(&self.record.id);
    }

    /// Records the limit that the response to a request which was sent at `sent_at` names; `None` if it names none.
    pub fn limit_reported(&self, limit: Option<RateLimit>, sent_at: TimePoint) {
        let now = self.state.now();
        if !self.state.upstreams().limit_reported(&self.record, limit, sent_at, now) {
            return;
        }
        self.state.lines.room_changed();
        let (event, reason) = if limit.is_some() { ("limit_named", "named") } else { ("limit_ended", "ended") };
        EdgeMetrics::increment(&EdgeMetrics::global().limit_changes, reason);
        let limit = limit.map_or_else(|| "none".to_owned(), |limit| limit.to_string());
        LogLine::new(event).field("upstream", &self.record.id).field("limit", limit).info();
    }

    /// Records whether a response of the upstream says that it is about to end.
    pub fn observe_leaving(&self, status: StatusCode, headers: &HeaderMap) {
        observe_leaving(&self.state, &self.record, status, headers);
    }

    /// Records the number of requests that the upstream reported as running and queued.
    pub fn load_reported(&self, requests: u64) {
        let has_room = self.state.upstreams().load_reported(&self.record.id, requests, self.state.now());
        if has_room {
            self.state.lines.room_changed();
        }
    }
}

impl Drop for UpstreamGuard {
    fn drop(&mut self) {
        let now = self.state.now();
        self.state.upstreams().request_ended(&self.record, self.outcome, now);
        // A guard may be dropped while the lines are locked, but only by the selection of an upstream, without an answer.
        if let (SamplerOutcome::Answered(_), true) = (self.outcome, self.record.versions.is_empty()) {
            self.state.lines.run_ended(&self.record.service, now.since_ms(self.picked_at), now);
        }
        self.state.lines.room_changed();
    }
}
