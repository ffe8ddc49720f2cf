//! Paths from this daemon to the upstreams. A direct path that fails is told from an upstream that has ended; calls to an
//! upstream without a direct path are relayed through a peer that reaches it.

use super::{PeerCheck, RelayFailure, RelayPeer, ServicePath, peer_contact::PeerContact};
use crate::{ConnectOutcome, SharedName, TimePoint, rendezvous};
use std::collections::{BTreeMap, BTreeSet};

/// Longest time for which an upstream is avoided after its direct path has failed, while peers are asked whether they
/// reach it.
const DOUBT_MS: u64 = 600;
/// Interval between two probes of a lost direct path; doubles with each further failure.
const PROBE_INTERVAL_MS: u64 = 500;
/// Longest such interval. It bounds how long after its return a direct path is used again.
const PROBE_INTERVAL_MS_MAX: u64 = 1_500;
/// Longest interval between two checks of an upstream that no peer reached so far. Each asks other peers: two checks, with the
/// connections that they try, end within the 3 s after which callers are served again.
const CHECK_INTERVAL_MS_MAX: u64 = 1_350;
/// Time for which the failures of a path that works again still count, so that one that fails by turns is probed less often.
const FAILURES_TTL_MS: u64 = 10_000;
/// After a probe has succeeded, one request in this time uses the direct path until one has succeeded.
const TRIAL_INTERVAL_MS: u64 = 300;
/// Upstreams whose direct paths fail, without a success at any upstream, after which all direct paths count as lost.
const CUT_UPSTREAMS: usize = 2;
/// Peers that are asked at once whether they reach an upstream.
pub const PEERS_ASKED: usize = 2;
/// Shortest time between two lines of the log on missing paths.
const REPORT_INTERVAL_MS: u64 = 50;
/// Time for which a peer that did not relay is not used, for one upstream or all of them.
const PEER_BACKOFF_MS: u64 = 1_000;

/// What a failure on a direct path means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DirectLoss {
    /// Nothing new: the path is doubted or lost already, or has worked since.
    Known,
    /// The path is lost again, although a probe has just succeeded on it. It is to be probed.
    LostAgain,
    /// The path may be lost, or the upstream may have ended. Peers are to be asked.
    Doubted,
    /// All direct paths count as lost.
    Cut,
}

/// Direct paths that were lost and work again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathGain {
    /// None.
    Nothing,
    /// The path in question.
    Path,
    /// All of them.
    AllPaths,
}

impl PathGain {
    fn new(was_cut: bool, was_lost: bool) -> Self {
        match (was_cut, was_lost) {
            (true, _) => Self::AllPaths,
            (false, true) => Self::Path,
            (false, false) => Self::Nothing,
        }
    }
}

/// Result of a check of a doubted path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathVerdict {
    /// The direct path works.
    Sound,
    /// Peers reach the upstream, this daemon does not.
    Lost,
    /// Nobody that was asked reaches the upstream.
    UpstreamDown,
}

impl PathVerdict {
    /// Judges by this daemon's own connection to the upstream and those of its peers. Without any of these, the requests that
    /// peers relay will show whether the upstream is down.
    #[must_use]
    pub fn judge(own: ConnectOutcome, peers: &[ConnectOutcome]) -> Self {
        match own {
            ConnectOutcome::Accepted => Self::Sound,
            _ if peers.is_empty() || peers.contains(&ConnectOutcome::Accepted) => Self::Lost,
            _ => Self::UpstreamDown,
        }
    }

    /// Name of the verdict in metrics and logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Sound => "sound",
            Self::Lost => "lost",
            Self::UpstreamDown => "upstream_down",
        }
    }
}

/// A connection that is to be tried.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PathProbe {
    /// Address of the upstream.
    pub address: SharedName,
    /// Whether peers try one as well, since nobody that was asked reached the upstream.
    pub asks_peers: bool,
}

/// A request that needs a path to an upstream.
#[derive(Clone, Copy, Debug)]
pub struct PathQuery<'a> {
    /// Address of the upstream.
    pub address: &'a SharedName,
    /// Failure domain of the upstream.
    pub upstream_domain: &'a str,
    /// Failure domain of this daemon.
    pub own_domain: &'a str,
    /// Key that selects among peers of equal preference.
    pub affinity: &'a str,
    /// Whether a peer is used although the direct path is not known to be lost.
    pub prefers_relay: bool,
}

/// Whether a peer may relay requests to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayState {
    /// It may.
    Usable,
    /// It has not relayed a request to this upstream, and is not used for it until then.
    UpstreamFailed { until: TimePoint },
    /// It has not relayed a request, and is not used until then.
    PeerFailed { until: TimePoint },
}

/// State of a direct path that has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PathPhase {
    /// Peers are asked until then at most.
    Doubted { until: TimePoint },
    /// Lost; probed at this time.
    Lost { probe_at: TimePoint },
    /// A probe has succeeded; the next request may use it from this time on.
    Trial { next_at: TimePoint },
    /// Works again since then.
    Regained { at: TimePoint },
}

/// A direct path that has failed.
#[derive(Clone, Debug)]
struct FailedPath {
    phase: PathPhase,
    /// Start of the last attempt that failed.
    failed_at: TimePoint,
    /// Failures in a row.
    failures: u32,
    /// Checks in a row in which no peer that was asked reached the upstream either.
    down_checks: usize,
}

impl FailedPath {
    fn new(phase: PathPhase, failed_at: TimePoint) -> Self {
        Self { phase, failed_at, failures: 1, down_checks: 0 }
    }

    fn is_upstream_down(&self) -> bool {
        self.down_checks > 0
    }

    fn probe_interval_ms(&self) -> u64 {
        let longest_ms = if self.is_upstream_down() { CHECK_INTERVAL_MS_MAX } else { PROBE_INTERVAL_MS_MAX };
        (PROBE_INTERVAL_MS << self.failures.saturating_sub(1).min(8)).min(longest_ms)
    }
}

/// A peer that did not relay a call.
#[derive(Clone, Debug)]
struct FailedRelay {
    failure_domain: SharedName,
    /// When the peer may be used again.
    until: TimePoint,
}

/// State of all direct paths while they count as lost.
#[derive(Clone, Copy, Debug)]
struct CutState {
    since: TimePoint,
    probe_at: TimePoint,
    /// Number of probes so far, which selects the next upstream.
    probe_count: usize,
    /// Whether a peer has reached an upstream meanwhile, so that it is not the upstreams that have ended.
    is_confirmed: bool,
}

/// Paths to the upstreams, by their addresses. Holds exceptions only.
#[derive(Debug, Default)]
pub struct PathTable {
    failed: BTreeMap<SharedName, FailedPath>,
    /// Upstreams whose direct paths have failed since one has worked last.
    failed_in_a_row: BTreeSet<SharedName>,
    /// Start of the last attempt that succeeded on a direct path.
    succeeded_at: Option<TimePoint>,
    cut: Option<CutState>,
    /// Peers that did not relay, with the address of the upstream if it concerns only one.
    failed_relays: BTreeMap<(SharedName, Option<SharedName>), FailedRelay>,
    /// Signs of life of the peers that relay.
    contacts: BTreeMap<SharedName, PeerContact>,
    /// When a missing path may be logged again.
    report_at: TimePoint,
}

impl PathTable {
    /// Selects the path of the next attempt. `peers` returns the peers that may relay. `None` if there is none at the
    /// moment.
    pub fn next_path(
        &mut self,
        query: &PathQuery<'_>,
        now: TimePoint,
        peers: impl FnOnce() -> Vec<RelayPeer>,
    ) -> Option<ServicePath> {
        if self.is_upstream_down(query.address) {
            return None;
        }
        if self.cut.is_none() {
            match self.failed.get_mut(query.address).map(|path| &mut path.phase) {
                None | Some(PathPhase::Regained { .. }) if !query.prefers_relay => return Some(ServicePath::Direct),
                None | Some(PathPhase::Regained { .. } | PathPhase::Lost { .. }) => {}
                Some(PathPhase::Doubted { until }) => {
                    if now < *until && !query.prefers_relay {
                        return None;
                    }
                }
                Some(PathPhase::Trial { next_at }) => {
                    if now >= *next_at && !query.prefers_relay {
                        *next_at = now.plus_ms(TRIAL_INTERVAL_MS);
                        return Some(ServicePath::Direct);
                    }
                }
            }
        }
        let relay = self.select_relay(query, now, &peers()).map(ServicePath::Relay);
        // Without a peer, a direct path that is not known to be lost is better than none.
        if relay.is_none() && self.is_direct(query.address) { Some(ServicePath::Direct) } else { relay }
    }

    /// The order in which `ranked` peers are asked whether they reach the upstream at `address`, [`PEERS_ASKED`] of them in each
    /// check: others than in the checks before if these found nobody who does, since those may have lost the same path. Peers
    /// that have not relayed lately, which may have lost all paths, are last.
    #[must_use]
    pub fn asking_order(&self, address: &str, ranked: Vec<SharedName>, now: TimePoint) -> Vec<SharedName> {
        let mut peers = ranked;
        let asked = self.failed.get(address).map_or(0, |path| path.down_checks * PEERS_ASKED);
        let first = asked.checked_rem(peers.len()).unwrap_or(0);
        peers.rotate_left(first);
        peers.sort_by_key(|peer| self.is_relay_failed(peer, now));
        peers
    }

    /// Whether [`Self::next_path`] would select a path.
    pub fn has_path(&self, query: &PathQuery<'_>, now: TimePoint, peers: impl FnOnce() -> Vec<RelayPeer>) -> bool {
        let is_trial_due = |path: &FailedPath| matches!(path.phase, PathPhase::Trial { next_at } if now >= next_at);
        let is_usable = self.cut.is_none() && self.failed.get(query.address).is_some_and(is_trial_due);
        let is_doubted = |path: &FailedPath| matches!(path.phase, PathPhase::Doubted { until } if now < until);
        let is_avoided = self.cut.is_none() && self.failed.get(query.address).is_some_and(is_doubted);
        let may_relay = !self.is_upstream_down(query.address) && (!is_avoided || query.prefers_relay);
        self.is_direct(query.address) || is_usable || (may_relay && self.select_relay(query, now, &peers()).is_some())
    }

    /// Whether the last check found nobody that reaches the upstream at `address`.
    fn is_upstream_down(&self, address: &str) -> bool {
        let is_down = |path: &FailedPath| path.is_upstream_down() && matches!(path.phase, PathPhase::Lost { .. });
        self.failed.get(address).is_some_and(is_down)
    }

    /// The peer for an attempt: of the failure domain with the fewest peers that did not relay, then the nearest one to this
    /// daemon or the upstream, then by the query's affinity.
    fn select_relay(&self, query: &PathQuery<'_>, now: TimePoint, peers: &[RelayPeer]) -> Option<SharedName> {
        let is_failed = |name: &SharedName, address: Option<&SharedName>| {
            self.failed_relays.get(&(name.clone(), address.cloned())).is_some_and(|relay| now < relay.until)
        };
        let mut failures: BTreeMap<&str, usize> = BTreeMap::new();
        for relay in self.failed_relays.values().filter(|relay| now < relay.until) {
            *failures.entry(&relay.failure_domain).or_default() += 1;
        }
        let distance = |domain: &str| match domain {
            domain if domain == query.own_domain => 0,
            domain if domain == query.upstream_domain => 1,
            _ => 2,
        };
        let cost = |peer: &RelayPeer| {
            let domain = &*peer.failure_domain;
            (failures.get(domain).copied().unwrap_or(0), distance(domain))
        };
        let is_usable = |peer: &&RelayPeer| !is_failed(&peer.name, None) && !is_failed(&peer.name, Some(query.address));
        let usable: Vec<&RelayPeer> = peers.iter().filter(is_usable).collect();
        let lowest_cost = usable.iter().map(|peer| cost(peer)).min()?;
        let cheapest: Vec<&SharedName> =
            usable.into_iter().filter(|peer| cost(peer) == lowest_cost).map(|peer| &peer.name).collect();
        rendezvous::highest_ranked(query.affinity, &cheapest).map(|name| (*name).clone())
    }

    /// Whether the direct path to `address` is not known to be lost.
    #[must_use]
    pub fn is_direct(&self, address: &str) -> bool {
        self.cut.is_none()
            && self.failed.get(address).is_none_or(|path| matches!(path.phase, PathPhase::Regained { .. }))
    }

    /// Whether it is not known whether the direct path to `address` is lost.
    #[must_use]
    pub fn is_check_needed(&self, address: &str) -> bool {
        let is_known = |path: &FailedPath| matches!(path.phase, PathPhase::Lost { .. } | PathPhase::Trial { .. });
        self.cut_since().is_none() && !self.failed.get(address).is_some_and(is_known)
    }

    /// Whether requests of peers may be sent on the direct path to `address`: it is not known to be lost, or a probe has
    /// succeeded since.
    #[must_use]
    pub fn may_relay(&self, address: &str) -> bool {
        let is_trial = |path: &FailedPath| matches!(path.phase, PathPhase::Trial { .. });
        self.is_direct(address) || (self.cut.is_none() && self.failed.get(address).is_some_and(is_trial))
    }

    /// Whether all direct paths count as lost.
    #[must_use]
    pub fn is_cut(&self) -> bool {
        self.cut.is_some()
    }

    /// Since when all direct paths are known to be lost while peers reach the upstreams.
    #[must_use]
    pub fn cut_since(&self) -> Option<TimePoint> {
        self.cut.filter(|cut| cut.is_confirmed).map(|cut| cut.since)
    }

    /// Since when the direct path to `address` is known to be lost; `None` if it is not.
    #[must_use]
    pub fn lost_since(&self, address: &str) -> Option<TimePoint> {
        let path = self.failed.get(address).filter(|path| matches!(path.phase, PathPhase::Lost { .. }));
        path.map(|path| path.failed_at).or_else(|| self.cut_since())
    }

    /// Whether the direct path to `address` is known to be lost, so that this daemon cannot tell whether the upstream runs.
    #[must_use]
    pub fn is_lost_here(&self, address: &str) -> bool {
        self.lost_since(address).is_some() && !self.is_upstream_down(address)
    }

    /// Number of direct paths that are known to be lost, apart from those that count as lost with all others.
    #[must_use]
    pub fn lost_count(&self) -> usize {
        self.failed.values().filter(|path| matches!(path.phase, PathPhase::Lost { .. })).count()
    }

    /// Handles an attempt, started at `started_at`, that opened no connection on the direct path to `address`, or whose bytes
    /// were not acknowledged there.
    pub fn direct_failed(&mut self, address: &SharedName, started_at: TimePoint, now: TimePoint) -> DirectLoss {
        let doubted = PathPhase::Doubted { until: now.plus_ms(DOUBT_MS) };
        let is_new = match self.failed.get_mut(address) {
            None => {
                self.failed.insert(address.clone(), FailedPath::new(doubted, started_at));
                true
            }
            Some(path) => match path.phase {
                PathPhase::Regained { at } if started_at < at => false,
                PathPhase::Regained { at } => {
                    path.failures = if now.since_ms(at) < FAILURES_TTL_MS { path.failures + 1 } else { 1 };
                    path.phase = doubted;
                    path.failed_at = started_at;
                    true
                }
                PathPhase::Trial { .. } => {
                    path.failures += 1;
                    path.failed_at = started_at;
                    // That nobody reached the upstream was found before its path was on trial.
                    if path.is_upstream_down() && self.cut.is_none() {
                        path.phase = doubted;
                        return DirectLoss::Doubted;
                    }
                    path.phase = PathPhase::Lost { probe_at: now.plus_ms(path.probe_interval_ms()) };
                    return DirectLoss::LostAgain;
                }
                PathPhase::Doubted { .. } | PathPhase::Lost { .. } => false,
            },
        };
        // Paths that were lost before say nothing of the others.
        if is_new && self.succeeded_at.is_none_or(|at| at <= started_at) {
            self.failed_in_a_row.insert(address.clone());
        }
        if self.cut.is_none() && self.failed_in_a_row.len() >= CUT_UPSTREAMS {
            self.cut = Some(CutState { since: now, probe_at: now, probe_count: 0, is_confirmed: false });
            return DirectLoss::Cut;
        }
        if is_new && self.cut.is_none() { DirectLoss::Doubted } else { DirectLoss::Known }
    }

    /// Handles an attempt, started at `started_at`, that succeeded on the direct path to `address`.
    pub fn direct_succeeded(&mut self, address: &str, started_at: TimePoint, now: TimePoint) -> PathGain {
        self.succeeded_at = self.succeeded_at.max(Some(started_at));
        if self.failed.is_empty() && self.cut.is_none() {
            return PathGain::Nothing;
        }
        if self
            .failed_in_a_row
            .iter()
            .all(|address| self.failed.get(address).is_none_or(|path| path.failed_at <= started_at))
        {
            self.failed_in_a_row.clear();
        }
        let was_cut = self.cut.is_some_and(|cut| started_at >= cut.since);
        if was_cut {
            self.cut_ended(now);
        }
        let path = self.failed.get_mut(address).filter(|path| started_at >= path.failed_at);
        let lost_path = path.filter(|path| !matches!(path.phase, PathPhase::Regained { .. }));
        let was_lost = lost_path.is_some();
        if let Some(path) = lost_path {
            path.phase = PathPhase::Regained { at: now };
        }
        PathGain::new(was_cut, was_lost)
    }

    /// The other paths are tried again one request at a time.
    fn cut_ended(&mut self, now: TimePoint) {
        self.cut = None;
        self.failed_in_a_row.clear();
        for path in self.failed.values_mut() {
            if !matches!(path.phase, PathPhase::Regained { .. }) {
                path.phase = PathPhase::Trial { next_at: now };
            }
        }
    }

    /// Handles the result of a check, started at `started_at`, of the path to `address`.
    pub fn path_checked(
        &mut self,
        address: &SharedName,
        verdict: PathVerdict,
        started_at: TimePoint,
        now: TimePoint,
    ) -> PathGain {
        match verdict {
            PathVerdict::Sound => self.direct_succeeded(address, started_at, now),
            PathVerdict::Lost | PathVerdict::UpstreamDown => {
                let doubted = PathPhase::Doubted { until: now };
                let path = self.failed.entry(address.clone()).or_insert_with(|| FailedPath::new(doubted, started_at));
                if matches!(path.phase, PathPhase::Lost { .. }) {
                    path.failures += 1;
                }
                path.down_checks = if verdict == PathVerdict::UpstreamDown { path.down_checks + 1 } else { 0 };
                path.phase = PathPhase::Lost { probe_at: now.plus_ms(path.probe_interval_ms()) };
                if verdict == PathVerdict::Lost {
                    self.cut.iter_mut().for_each(|cut| cut.is_confirmed = true);
                } else {
                    self.upstream_is_down(address);
                }
                PathGain::Nothing
            }
        }
    }

    /// Without the failures at an upstream that is down, the direct paths may not count as lost.
    fn upstream_is_down(&mut self, address: &str) {
        self.failed_in_a_row.remove(address);
        let is_unconfirmed = self.cut.is_some_and(|cut| !cut.is_confirmed);
        if is_unconfirmed && self.failed_in_a_row.len() < CUT_UPSTREAMS {
            self.cut = None;
        }
    }

    /// Handles a call that `peer` relayed: the upstream at `address` responded.
    pub fn relay_succeeded(&mut self, peer: &SharedName, address: &str, now: TimePoint) {
        if let Some(path) = self.failed.get_mut(address) {
            path.down_checks = 0;
            self.cut.iter_mut().for_each(|cut| cut.is_confirmed = true);
        }
        self.failed_relays.remove(&(peer.clone(), None));
        self.peer_responded(peer, now);
    }

    /// Handles any response of `peer`, which shows that it runs.
    pub fn peer_responded(&mut self, peer: &SharedName, now: TimePoint) {
        self.contacts.entry(peer.clone()).or_default().responded(now);
    }

    /// Whether `peer` has not relayed any calls lately.
    #[must_use]
    pub fn is_relay_failed(&self, peer: &SharedName, now: TimePoint) -> bool {
        self.failed_relays.get(&(peer.clone(), None)).is_some_and(|relay| now < relay.until)
    }

    /// Whether `peer` may relay requests to the upstream at `address`.
    #[must_use]
    pub fn relay_state(&self, peer: &SharedName, address: &SharedName, now: TimePoint) -> RelayState {
        let until = |address: Option<&SharedName>| {
            let relay = self.failed_relays.get(&(peer.clone(), address.cloned()));
            relay.map(|relay| relay.until).filter(|until| now < *until)
        };
        match (until(None), until(Some(address))) {
            (Some(until), _) => RelayState::PeerFailed { until },
            (None, Some(until)) => RelayState::UpstreamFailed { until },
            (None, None) => RelayState::Usable,
        }
    }

    /// Whether a missing path may be logged now, which bounds the number of lines.
    pub fn may_report(&mut self, now: TimePoint) -> bool {
        if now < self.report_at {
            return false;
        }
        self.report_at = now.plus_ms(REPORT_INTERVAL_MS);
        true
    }

    /// State of the direct path to `address`, for the log.
    #[must_use]
    pub fn direct_state(&self, address: &str) -> &'static str {
        let failed = self.failed.get(address);
        match failed.map(|path| path.phase) {
            _ if self.is_upstream_down(address) => "upstream_down",
            _ if self.cut.is_some() => "all_paths_lost",
            None => "direct",
            Some(PathPhase::Doubted { .. }) => "doubted",
            Some(PathPhase::Lost { .. }) => "lost",
            Some(PathPhase::Trial { .. }) => "trial",
            Some(PathPhase::Regained { .. }) => "regained",
        }
    }

    /// What is known of `peer`, which has not responded to a call since `since`.
    pub fn peer_check(&mut self, peer: &SharedName, since: TimePoint, now: TimePoint) -> PeerCheck {
        self.contacts.entry(peer.clone()).or_default().check(since, now)
    }

    /// Handles a check to which `peer` has not responded.
    pub fn peer_silent(&mut self, peer: &RelayPeer, address: &SharedName, now: TimePoint) {
        self.contacts.entry(peer.name.clone()).or_default().silent(now);
        self.relay_failed(peer, address, RelayFailure::Peer, now);
    }

    /// Handles a call to the upstream at `address` that `peer` did not relay.
    pub fn relay_failed(&mut self, peer: &RelayPeer, address: &SharedName, failure: RelayFailure, now: TimePoint) {
        self.failed_relays.retain(|_, relay| now < relay.until);
        let upstream = match failure {
            RelayFailure::Upstream => Some(address.clone()),
            RelayFailure::Peer => None,
        };
        let relay = FailedRelay { failure_domain: peer.failure_domain.clone(), until: now.plus_ms(PEER_BACKOFF_MS) };
        self.failed_relays.insert((peer.name.clone(), upstream), relay);
    }

    /// Whether probes are due some time.
    #[must_use]
    pub fn has_lost_paths(&self) -> bool {
        let is_probed = |path: &FailedPath| matches!(path.phase, PathPhase::Doubted { .. } | PathPhase::Lost { .. });
        self.cut.is_some() || self.failed.values().any(is_probed)
    }

    /// Connections that are to be tried now. `listed` are the addresses of all upstreams: while all paths count as lost, one of
    /// them at a time is tried, first those whose paths have not failed themselves.
    pub fn due_probes(&mut self, now: TimePoint, listed: &[SharedName]) -> Vec<PathProbe> {
        let mut due: Vec<PathProbe> = self.due_cut_probe(now, listed).into_iter().collect();
        let is_cut = self.cut.is_some();
        for (address, path) in &mut self.failed {
            // A doubt that no check has ended counts as a loss.
            let due_at = match path.phase {
                PathPhase::Doubted { until } => until,
                PathPhase::Lost { probe_at } => probe_at,
                PathPhase::Trial { .. } | PathPhase::Regained { .. } => continue,
            };
            if due_at <= now && (path.is_upstream_down() || !is_cut) {
                path.phase = PathPhase::Lost { probe_at: now.plus_ms(path.probe_interval_ms()) };
                due.push(PathProbe { address: address.clone(), asks_peers: path.is_upstream_down() });
            }
        }
        due
    }

    fn due_cut_probe(&mut self, now: TimePoint, listed: &[SharedName]) -> Option<PathProbe> {
        let cut = self.cut.as_mut().filter(|cut| cut.probe_at <= now)?;
        cut.probe_at = now.plus_ms(PROBE_INTERVAL_MS);
        cut.probe_count += 1;
        let (failed, mut order): (Vec<_>, Vec<_>) =
            listed.iter().partition(|address| self.failed.contains_key(*address));
        order.extend(failed);
        let index = (cut.probe_count - 1).checked_rem(order.len())?;
        Some(PathProbe { address: order[index].clone(), asks_peers: false })
    }

    /// Handles the result of a probe, started at `started_at`.
    pub fn probe_ended(
        &mut self,
        address: &SharedName,
        outcome: ConnectOutcome,
        started_at: TimePoint,
        now: TimePoint,
    ) -> PathGain {
        let lost_path = |path: &&mut FailedPath| matches!(path.phase, PathPhase::Lost { .. });
        if outcome != ConnectOutcome::Accepted {
            // Where nobody reached the upstream, this says nothing of the path.
            if let Some(path) = self.failed.get_mut(address).filter(lost_path).filter(|path| !path.is_upstream_down()) {
                path.failures += 1;
                path.phase = PathPhase::Lost { probe_at: now.plus_ms(path.probe_interval_ms()) };
            }
            return PathGain::Nothing;
        }
        let was_cut = self.cut.is_some_and(|cut| started_at >= cut.since);
        if was_cut {
            self.cut_ended(now);
        }
        let path = self.failed.get_mut(address).filter(lost_path);
        let was_lost = path.is_some();
        if let Some(path) = path {
            path.phase = PathPhase::Trial { next_at: now };
            path.down_checks = 0;
        }
        PathGain::new(was_cut, was_lost)
    }

    /// Forgets the path to an address at which another process is listed, or none any more.
    pub fn forget(&mut self, address: &str) {
        self.failed.remove(address);
        self.failed_in_a_row.remove(address);
        self.failed_relays.retain(|(_, upstream), _| upstream.as_deref() != Some(address));
    }
}
