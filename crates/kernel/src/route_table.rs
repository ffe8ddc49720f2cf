//! Upstreams known to a daemon, and the choice among them.

use crate::{RoutePolicy, SharedName, TimePoint, rendezvous};
use rand::Rng;
use std::collections::BTreeMap;

/// Failures in a row that eject an upstream.
const EJECT_FAILURES: u32 = 3;
const EJECT_MS: u64 = 5_000;
/// At most one upstream in this many is ejected at a time.
const EJECT_CAP_DIVISOR: usize = 2;
/// Span over which a new upstream's share of work rises to full.
const SLOW_START_MS: u64 = 10_000;
/// Fraction of a request in which load is counted.
const LOAD_UNIT: u64 = 8;
/// A report's share in the moving average of others' load is one in this many.
const REPORT_WEIGHT: u64 = 4;
/// A request's share in the moving average is one in this many.
const PACE_WEIGHT: u64 = 8;
/// An upstream of unknown pace is taken for the fastest one.
const PACE_UNKNOWN_MS: u64 = 1;
/// Load by which the prefix holder may exceed the other choice.
const PREFIX_BONUS: u64 = 1;

/// Standing of an upstream in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamState {
    /// Takes new work.
    Live,
    /// Finishes its work and takes none.
    Draining,
}

/// One upstream and what this daemon knows of its load.
#[derive(Clone, Debug)]
pub struct UpstreamEntry {
    /// VM name.
    pub name: SharedName,
    /// Service that it runs.
    pub service: SharedName,
    /// Failure domain.
    pub failure_domain: SharedName,
    /// `ip:port`.
    pub address: SharedName,
    /// Whether the platform may reclaim it.
    pub reclaimable: bool,
    /// Standing.
    pub state: UpstreamState,
    /// Weight version from its last load report.
    pub version: Option<u64>,
    inflight: u64,
    /// Moving average of other daemons' load on it, in [`LOAD_UNIT`]ths.
    others: u64,
    failures: u32,
    ejected_until: TimePoint,
    full_at: TimePoint,
    exclusive: bool,
    /// It said itself that it leaves, which outlasts the lagging list.
    noticed: bool,
    /// It is missing from the list.
    delisted: bool,
    missed_reports: u32,
    /// Moving average of how long requests take on it, once one has ended.
    pace_ms: Option<u64>,
    /// Until then nothing is sent to it, because nothing listened at its address.
    refused_until: TimePoint,
}

impl UpstreamEntry {
    /// Creates an entry first seen at `now`.
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
            others: 0,
            failures: 0,
            ejected_until: TimePoint(0),
            full_at: now.plus_ms(SLOW_START_MS),
            exclusive: false,
            noticed: false,
            delisted: false,
            missed_reports: 0,
            pace_ms: None,
            refused_until: TimePoint(0),
        }
    }

    /// Whether it may be given new work.
    #[must_use]
    pub fn accepts_requests(&self) -> bool {
        self.state == UpstreamState::Live && !self.noticed && !self.delisted
    }

    /// Requests of this daemon running on it.
    #[must_use]
    pub fn inflight(&self) -> u64 {
        self.inflight
    }

    /// This daemon's own requests, known exactly, and the smoothed load of others, whose reports lag. In
    /// [`LOAD_UNIT`]ths; raised while the upstream is new.
    fn load(&self, now: TimePoint) -> u64 {
        let load = self.inflight * LOAD_UNIT + self.others;
        let warming = self.full_at.since_ms(now) * 4 / SLOW_START_MS;
        load + warming.min(self.inflight) * LOAD_UNIT
    }
}

/// What a request needs of its upstream.
#[derive(Clone, Debug)]
pub struct RouteQuery<'a> {
    /// Service to run on.
    pub service: &'a str,
    /// Failure domain of the daemon.
    pub failure_domain: &'a str,
    /// Hash of the prompt's beginning.
    pub prefix_hash: Option<u64>,
    /// Upstreams already tried.
    pub excluded: &'a [SharedName],
    /// Whether it must run with nothing beside it.
    pub exclusive: bool,
    /// Most requests of this daemon on one upstream.
    pub inflight_max: u64,
}

/// The upstreams of a daemon.
#[derive(Debug, Default)]
pub struct RouteTable {
    policy: RoutePolicy,
    entries: BTreeMap<SharedName, UpstreamEntry>,
    turn: usize,
}

impl RouteTable {
    /// Creates an empty table that chooses by `policy`.
    #[must_use]
    pub fn new(policy: RoutePolicy) -> Self {
        Self { policy, ..Self::default() }
    }

    /// Takes in the platform's list. Upstreams missing from it take no new work.
    pub fn apply_list(&mut self, listed: Vec<UpstreamEntry>) {
        for entry in self.entries.values_mut() {
            entry.delisted = !listed.iter().any(|new| new.name == entry.name);
        }
        for new in listed {
            match self.entries.get_mut(&new.name) {
                Some(old) if old.address == new.address => {
                    old.state = new.state;
                    old.reclaimable = new.reclaimable;
                }
                _ => {
                    self.entries.insert(new.name.clone(), new);
                }
            }
        }
        self.entries.retain(|_, entry| !entry.delisted || entry.inflight > 0);
    }

    /// Stops new work for an upstream that said that it leaves, until it is off the list.
    pub fn draining_reported(&mut self, name: &str) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.noticed = true;
        }
    }

    /// A load report did not come. An upstream that stays silent is ejected.
    pub fn load_report_missed(&mut self, name: &str, now: TimePoint) {
        let Some(entry) = self.entries.get_mut(name) else { return };
        entry.missed_reports += 1;
        if entry.missed_reports >= EJECT_FAILURES {
            entry.ejected_until = now.plus_ms(EJECT_MS);
        }
    }

    /// Takes in a load report.
    pub fn load_reported(&mut self, name: &str, load: u64, version: Option<u64>) {
        if let Some(entry) = self.entries.get_mut(name) {
            let others = load.saturating_sub(entry.inflight) * LOAD_UNIT;
            entry.others = (entry.others * (REPORT_WEIGHT - 1) + others) / REPORT_WEIGHT;
            entry.missed_reports = 0;
            entry.version = version.or(entry.version);
        }
    }

    /// An upstream confirmed that it loaded a weight version.
    pub fn weights_loaded(&mut self, name: &str, version: u64) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.version = Some(version);
        }
    }

    /// Chooses an upstream and counts the request on it.
    pub fn pick<R: Rng>(&mut self, query: &RouteQuery<'_>, now: TimePoint, rng: &mut R) -> Option<UpstreamEntry> {
        let all: Vec<&UpstreamEntry> = self
            .entries
            .values()
            .filter(|entry| &*entry.service == query.service && entry.accepts_requests())
            .filter(|entry| !query.excluded.contains(&entry.name))
            .filter(|entry| entry.inflight < query.inflight_max && !entry.exclusive)
            .filter(|entry| !query.exclusive || entry.inflight == 0)
            .collect();
        let listening: Vec<&UpstreamEntry> = all.iter().copied().filter(|entry| entry.refused_until <= now).collect();
        let all = if listening.is_empty() { all } else { listening };
        let mut eligible: Vec<&UpstreamEntry> =
            all.iter().copied().filter(|entry| entry.ejected_until <= now).collect();
        if eligible.len() * EJECT_CAP_DIVISOR < all.len() {
            eligible = all;
        }
        let name = self.choose(&eligible, query, now, rng)?;
        self.turn = self.turn.wrapping_add(1);
        let entry = self.entries.get_mut(&name)?;
        entry.inflight += 1;
        entry.exclusive = query.exclusive;
        Some(entry.clone())
    }

    /// A request ended; `failed` when the upstream was lost or unreachable.
    pub fn request_ended(&mut self, name: &str, failed: bool, now: TimePoint) {
        let Some(entry) = self.entries.get_mut(name) else { return };
        entry.inflight = entry.inflight.saturating_sub(1);
        entry.exclusive = false;
        if !failed {
            entry.failures = 0;
            return;
        }
        entry.failures += 1;
        if entry.failures >= EJECT_FAILURES {
            entry.ejected_until = now.plus_ms(EJECT_MS);
            entry.failures = 0;
        }
    }

    /// Requests that the service's live upstreams take at a time.
    #[must_use]
    pub fn capacity(&self, service: &str, inflight_max: u64) -> usize {
        let live = self.iter().filter(|entry| &*entry.service == service && entry.accepts_requests()).count();
        live * usize::try_from(inflight_max).unwrap_or(usize::MAX)
    }

    /// A request ran to its end on an upstream in `ms`.
    pub fn duration_observed(&mut self, name: &str, ms: u64) {
        if let Some(entry) = self.entries.get_mut(name) {
            let pace_ms = entry.pace_ms.map_or(ms, |pace| (pace * (PACE_WEIGHT - 1) + ms) / PACE_WEIGHT);
            entry.pace_ms = Some(pace_ms.max(1));
        }
    }

    /// Nothing listens at an upstream's address: its process has ended.
    pub fn connection_refused(&mut self, name: &str, now: TimePoint) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.refused_until = now.plus_ms(EJECT_MS);
        }
    }

    /// All upstreams, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = &UpstreamEntry> {
        self.entries.values()
    }

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
            return Some(eligible[self.turn % eligible.len()].name.clone());
        }
        let count = eligible.len();
        let first = rng.random_range(0..count);
        let step = if count > 1 { rng.random_range(1..count) } else { 0 };
        let (first, second) = (eligible[first], eligible[(first + step) % count]);
        let fastest_ms = eligible.iter().filter_map(|entry| entry.pace_ms).min().unwrap_or(PACE_UNKNOWN_MS);
        // Expected wait: what is ahead of the request, and itself, at the upstream's pace. Between equals the
        // own failure domain comes first.
        let cost_above = |entry: &UpstreamEntry, load: u64| {
            let away = &*entry.failure_domain != query.failure_domain;
            ((load + LOAD_UNIT) * entry.pace_ms.unwrap_or(fastest_ms), away)
        };
        let cost = |entry: &UpstreamEntry| cost_above(entry, entry.load(now));
        let lighter = if cost(second) < cost(first) { second } else { first };
        if let (RoutePolicy::PrefixTwoChoices, Some(prefix)) = (self.policy, query.prefix_hash) {
            let names: Vec<&str> = eligible.iter().map(|entry| &*entry.name).collect();
            let holder = rendezvous::owner(&format!("{prefix:x}"), &names)?;
            let holder = eligible.iter().find(|entry| &*entry.name == *holder)?;
            if cost(holder) <= cost_above(lighter, lighter.load(now) + PREFIX_BONUS * LOAD_UNIT) {
                return Some(holder.name.clone());
            }
        }
        Some(lighter.name.clone())
    }
}
