//! Load balancing: tracks the upstreams of a daemon and picks one for each request.

use crate::{RoutePolicy, SharedName, TimePoint, rendezvous};
use rand::Rng;
use std::collections::BTreeMap;

/// Consecutive failed requests, or missed load reports, after which an upstream is ejected.
const EJECT_AFTER_FAILURES: u32 = 3;
/// Time for which an ejected or unreachable upstream gets no requests.
const EJECTION_MS: u64 = 5_000;
/// Ejections are ignored while they would leave less than one in this many upstreams to pick from.
const ELIGIBLE_MIN_DIVISOR: usize = 2;
/// Time over which a new upstream's share of requests rises to its full share.
const SLOW_START_MS: u64 = 10_000;
/// Load units per request. Load is counted in fractions of a request to keep precision in the moving average.
const LOAD_UNITS_PER_REQUEST: u64 = 8;
/// A new load report has a weight of one in this many in the moving average.
const REPORT_AVERAGE_DIVISOR: u64 = 4;
/// A new request duration has a weight of one in this many in the moving average.
const DURATION_AVERAGE_DIVISOR: u64 = 8;
/// Duration assumed while no upstream has been measured. Once one has, an unmeasured upstream counts as fast as
/// the fastest measured one.
const UNMEASURED_DURATION_MS: u64 = 1;
/// Requests by which the upstream that caches the prompt prefix may be more loaded and still be preferred.
const PREFIX_BONUS_REQUESTS: u64 = 1;

/// State of an upstream in the platform's VM list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamState {
    /// Accepts new requests.
    Live,
    /// Finishes its running requests and accepts no new ones.
    Draining,
}

/// An upstream, with its load and health as this daemon observes them.
#[derive(Clone, Debug)]
pub struct UpstreamEntry {
    /// Name of the upstream's VM.
    pub name: SharedName,
    /// Service that the upstream runs.
    pub service: SharedName,
    /// Failure domain of the VM.
    pub failure_domain: SharedName,
    /// Address that requests are sent to, as `ip:port`.
    pub address: SharedName,
    /// Whether the platform may reclaim the VM at any time.
    pub reclaimable: bool,
    /// State in the last VM list.
    pub state: UpstreamState,
    /// Weight version that the upstream last reported or confirmed; `None` if it has not named one yet.
    pub version: Option<u64>,
    /// Requests of this daemon running on the upstream.
    inflight: u64,
    /// Moving average of the load from other daemons, in load units.
    remote_load: u64,
    consecutive_failures: u32,
    ejected_until: TimePoint,
    /// End of the slow start.
    slow_start_end: TimePoint,
    /// Whether the running request must not share the upstream.
    exclusive: bool,
    /// Whether the upstream itself reported that it is draining. Kept even if a VM list, which lags behind, still
    /// shows it as live.
    reported_draining: bool,
    /// Whether the upstream is missing from the last VM list.
    delisted: bool,
    /// Consecutive load reports that could not be read.
    missed_reports: u32,
    /// Moving average of the request duration; `None` before the first completed request.
    mean_duration_ms: Option<u64>,
    /// End of the time in which the upstream is avoided because no connection to it could be opened.
    avoided_until: TimePoint,
}

impl UpstreamEntry {
    /// Creates a live entry whose slow start begins at `now`.
    #[must_use]
    pub fn new(
        name: SharedName,
        service: SharedName,
        failure_domain: SharedName,
        address: SharedName,
        reclaimable: bool,
        now: TimePoint,
    ) -> Self {
        Self {
            name,
            service,
            failure_domain,
            address,
            reclaimable,
            state: UpstreamState::Live,
            version: None,
            inflight: 0,
            remote_load: 0,
            consecutive_failures: 0,
            ejected_until: TimePoint(0),
            slow_start_end: now.plus_ms(SLOW_START_MS),
            exclusive: false,
            reported_draining: false,
            delisted: false,
            missed_reports: 0,
            mean_duration_ms: None,
            avoided_until: TimePoint(0),
        }
    }

    /// Whether the upstream accepts new requests: it is listed, live and not draining.
    #[must_use]
    pub fn accepts_requests(&self) -> bool {
        self.state == UpstreamState::Live && !self.reported_draining && !self.delisted
    }

    /// Number of this daemon's requests running on the upstream.
    #[must_use]
    pub fn inflight(&self) -> u64 {
        self.inflight
    }

    /// Load in load units: this daemon's own requests, which are counted exactly, plus the moving average of the
    /// load from other daemons, whose reports lag. At the beginning of the slow start up to four own requests
    /// count twice; this number falls to zero by its end.
    fn load(&self, now: TimePoint) -> u64 {
        let load = self.inflight * LOAD_UNITS_PER_REQUEST + self.remote_load;
        let slow_start_penalty = self.slow_start_end.since_ms(now) * 4 / SLOW_START_MS;
        load + slow_start_penalty.min(self.inflight) * LOAD_UNITS_PER_REQUEST
    }
}

/// Requirements of a request on its upstream.
#[derive(Clone, Debug)]
pub struct RouteQuery<'a> {
    /// Service that the upstream must run.
    pub service: &'a str,
    /// Failure domain of this daemon, preferred between equally loaded upstreams.
    pub failure_domain: &'a str,
    /// Hash of the start of the prompt, used to pick an upstream that has the prefix cached.
    pub prefix_hash: Option<u64>,
    /// Names of upstreams that must not be picked, such as those already tried.
    pub excluded: &'a [SharedName],
    /// Whether the request must be the only one of this daemon on its upstream.
    pub exclusive: bool,
    /// Maximum number of this daemon's requests on one upstream.
    pub inflight_max: u64,
}

/// Upstreams of a daemon by name, and the policy that picks among them.
#[derive(Debug, Default)]
pub struct RouteTable {
    policy: RoutePolicy,
    entries: BTreeMap<SharedName, UpstreamEntry>,
    /// Number of picks so far, from which round robin derives the next upstream.
    round_robin_index: usize,
}

impl RouteTable {
    /// Creates an empty table that picks upstreams by `policy`.
    #[must_use]
    pub fn new(policy: RoutePolicy) -> Self {
        Self { policy, ..Self::default() }
    }

    /// Updates the table from the platform's VM list. An upstream missing from the list gets no new requests and is
    /// removed once its last request has ended. An upstream at a new address replaces the previous entry.
    pub fn apply_list(&mut self, list: Vec<UpstreamEntry>) {
        for entry in self.entries.values_mut() {
            entry.delisted = !list.iter().any(|listed| listed.name == entry.name);
        }
        for listed in list {
            match self.entries.get_mut(&listed.name) {
                Some(entry) if entry.address == listed.address => {
                    entry.state = listed.state;
                    entry.reclaimable = listed.reclaimable;
                }
                _ => {
                    self.entries.insert(listed.name.clone(), listed);
                }
            }
        }
        self.entries.retain(|_, entry| !entry.delisted || entry.inflight > 0);
    }

    /// Records that an upstream is draining, so that it gets no new requests until it is removed from the list.
    pub fn draining_reported(&mut self, name: &str) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.reported_draining = true;
        }
    }

    /// Records that a load report could not be read, and ejects the upstream after several in a row.
    pub fn load_report_missed(&mut self, name: &str, now: TimePoint) {
        let Some(entry) = self.entries.get_mut(name) else { return };
        entry.missed_reports += 1;
        if entry.missed_reports >= EJECT_AFTER_FAILURES {
            entry.ejected_until = now.plus_ms(EJECTION_MS);
        }
    }

    /// Applies a load report of an upstream: its number of running and waiting requests from all daemons, and the
    /// weight version it serves.
    pub fn load_reported(&mut self, name: &str, load: u64, version: Option<u64>) {
        if let Some(entry) = self.entries.get_mut(name) {
            let remote_load = load.saturating_sub(entry.inflight) * LOAD_UNITS_PER_REQUEST;
            entry.remote_load =
                (entry.remote_load * (REPORT_AVERAGE_DIVISOR - 1) + remote_load) / REPORT_AVERAGE_DIVISOR;
            entry.missed_reports = 0;
            entry.version = version.or(entry.version);
        }
    }

    /// Records that an upstream confirmed loading weight `version`.
    pub fn weights_loaded(&mut self, name: &str, version: u64) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.version = Some(version);
        }
    }

    /// Picks an upstream for a request and counts the request as running on it. Returns `None` if no upstream meets
    /// the query. Every pick must be followed by [`request_ended`](Self::request_ended).
    pub fn pick<R: Rng>(&mut self, query: &RouteQuery<'_>, now: TimePoint, rng: &mut R) -> Option<UpstreamEntry> {
        let candidates: Vec<&UpstreamEntry> = self
            .entries
            .values()
            .filter(|entry| &*entry.service == query.service && entry.accepts_requests())
            .filter(|entry| !query.excluded.contains(&entry.name))
            .filter(|entry| entry.inflight < query.inflight_max && !entry.exclusive)
            .filter(|entry| !query.exclusive || entry.inflight == 0)
            .collect();
        let reachable: Vec<&UpstreamEntry> =
            candidates.iter().copied().filter(|entry| entry.avoided_until <= now).collect();
        let candidates = if reachable.is_empty() { candidates } else { reachable };
        let mut eligible: Vec<&UpstreamEntry> =
            candidates.iter().copied().filter(|entry| entry.ejected_until <= now).collect();
        if eligible.len() * ELIGIBLE_MIN_DIVISOR < candidates.len() {
            eligible = candidates;
        }
        let name = self.choose(&eligible, query, now, rng)?;
        self.round_robin_index = self.round_robin_index.wrapping_add(1);
        let entry = self.entries.get_mut(&name)?;
        entry.inflight += 1;
        entry.exclusive = query.exclusive;
        Some(entry.clone())
    }

    /// Records that a picked request ended, and ejects the upstream after several failures in a row. `failed` is set
    /// when the upstream was lost or unreachable, refused the request, or answered late or with another response.
    pub fn request_ended(&mut self, name: &str, failed: bool, now: TimePoint) {
        let Some(entry) = self.entries.get_mut(name) else { return };
        entry.inflight = entry.inflight.saturating_sub(1);
        entry.exclusive = false;
        if !failed {
            entry.consecutive_failures = 0;
            return;
        }
        entry.consecutive_failures += 1;
        if entry.consecutive_failures >= EJECT_AFTER_FAILURES {
            entry.ejected_until = now.plus_ms(EJECTION_MS);
            entry.consecutive_failures = 0;
        }
    }

    /// Number of requests of this daemon that the upstreams of `service` can run at the same time, with at most
    /// `inflight_max` on each.
    #[must_use]
    pub fn capacity(&self, service: &str, inflight_max: u64) -> usize {
        let live = self.iter().filter(|entry| &*entry.service == service && entry.accepts_requests()).count();
        live * usize::try_from(inflight_max).unwrap_or(usize::MAX)
    }

    /// Records the duration of a request that completed on an upstream.
    pub fn duration_observed(&mut self, name: &str, duration_ms: u64) {
        if let Some(entry) = self.entries.get_mut(name) {
            let mean_ms = entry.mean_duration_ms.map_or(duration_ms, |mean_ms| {
                (mean_ms * (DURATION_AVERAGE_DIVISOR - 1) + duration_ms) / DURATION_AVERAGE_DIVISOR
            });
            entry.mean_duration_ms = Some(mean_ms.max(1));
        }
    }

    /// Records that no connection to an upstream could be opened, for example because its process has ended. The
    /// upstream is then avoided for a while.
    pub fn connection_refused(&mut self, name: &str, now: TimePoint) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.avoided_until = now.plus_ms(EJECTION_MS);
        }
    }

    /// Iterates over all upstreams, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = &UpstreamEntry> {
        self.entries.values()
    }

    /// Chooses one of the `eligible` upstreams by the table's policy.
    fn choose<R: Rng>(
        &self,
        eligible: &[&UpstreamEntry],
        query: &RouteQuery<'_>,
        now: TimePoint,
        rng: &mut R,
    ) -> Option<SharedName> {
        if eligible.is_empty() {
            return None;
        }
        if self.policy == RoutePolicy::RoundRobin {
            return Some(eligible[self.round_robin_index % eligible.len()].name.clone());
        }
        let count = eligible.len();
        let first = rng.random_range(0..count);
        let offset = if count > 1 { rng.random_range(1..count) } else { 0 };
        let (first, second) = (eligible[first], eligible[(first + offset) % count]);
        let fastest_ms =
            eligible.iter().filter_map(|entry| entry.mean_duration_ms).min().unwrap_or(UNMEASURED_DURATION_MS);
        // The cost is the expected wait: the requests ahead of this one, and this one, times the mean duration on the
        // upstream. Between equal costs the daemon's own failure domain is preferred.
        let cost_at_load = |entry: &UpstreamEntry, load: u64| {
            let in_other_domain = &*entry.failure_domain != query.failure_domain;
            ((load + LOAD_UNITS_PER_REQUEST) * entry.mean_duration_ms.unwrap_or(fastest_ms), in_other_domain)
        };
        let cost = |entry: &UpstreamEntry| cost_at_load(entry, entry.load(now));
        let cheaper = if cost(second) < cost(first) { second } else { first };
        if let (RoutePolicy::PrefixTwoChoices, Some(prefix)) = (self.policy, query.prefix_hash) {
            let names: Vec<&str> = eligible.iter().map(|entry| &*entry.name).collect();
            let prefix_owner = rendezvous::highest_ranked(&format!("{prefix:x}"), &names)?;
            let prefix_owner = eligible.iter().find(|entry| &*entry.name == *prefix_owner)?;
            if cost(prefix_owner)
                <= cost_at_load(cheaper, cheaper.load(now) + PREFIX_BONUS_REQUESTS * LOAD_UNITS_PER_REQUEST)
            {
                return Some(prefix_owner.name.clone());
            }
        }
        Some(cheaper.name.clone())
    }
}
