//! Watches of a fleet of 390 daemons: a change reaches every sound daemon within the bound, whichever watchers fail, and
//! without a storm of calls to the store.

use crate::sequence;
use pimentoslip_kernel::{
    ChangeLog, DaemonPresence, LogRead, OwnershipTable, PathSelector, ServicePath, SharedName, TimePoint, WatchCall,
    WatchSelector, WatchSource, WatchTarget, WatchTiming, rank,
};
use quickcheck::{Arbitrary, Gen};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    sync::OnceLock,
};

const DAEMONS: usize = 390;
const FAILURE_DOMAINS: usize = 22;
const REGIONS: usize = 6;
/// Time of a message between two daemons, or between a daemon and the store.
const HOP_MS: u64 = 3;
/// Factor by which a slow daemon takes longer to handle a message.
const SLOW_FACTOR: u64 = 5;
/// Delay of the next attempt after a failed one, or when no call can be made.
const RETRY_DELAY_MS: u64 = 300;
/// Delay after changes were received, in which further ones accumulate.
const BATCH_DELAY_MS: u64 = 100;
/// Time after the end of its wait at which a watch of the store is given up.
const WATCH_SLACK_MS: u64 = 500;
/// Longest wait of a watch that is relayed through a peer.
const RELAYED_WAIT_MS: u64 = 300;
/// Time that a request may wait for a connection after its upstream was looked up.
const CONNECT_MS: u64 = 300;
/// The change before the one that is measured, so that all are in the delay after it.
const EARLIER_CHANGE_MS: u64 = 20;
/// When the faults begin, after the fleet has run undisturbed.
const FAULTS_AT: TimePoint = TimePoint(10_000);
/// Calls to the store that a daemon may make in a second, on average over the fleet, while watchers are faulty. Two
/// prefixes with a bound are watched, and the store of a fleet of this size serves about 2,000 reads a second.
const CALLS_PER_DAEMON_SECOND_MAX: u64 = 2;

/// Fault of a daemon from [`FAULTS_AT`] on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// The process does not run and answers nothing.
    Frozen,
    /// Connections of new calls are refused.
    Killed,
    /// Calls to the store get no answer; peers relay them.
    CutOff,
    /// Calls to the store are refused; peers relay them.
    Rejected,
    /// Calls to the store get no answer, and no peer relays them.
    Stranded,
    /// Each message takes several times longer.
    Slow,
}

/// Faults of a fleet and the time of a change, relative to [`FAULTS_AT`].
#[derive(Clone, Debug)]
struct Scenario {
    /// The faulty daemons: rank among the watchers of the fleet, and fault.
    watchers: Vec<(u8, Fault)>,
    /// Further faulty daemons by index.
    others: Vec<(u16, Fault)>,
    change_after_ms: u16,
    /// Whether the bound is 2 s, not 4 s.
    short_bound: bool,
}

impl Arbitrary for Fault {
    fn arbitrary(rng: &mut Gen) -> Self {
        *rng.choose(&FAULTS).unwrap_or(&Self::Frozen)
    }
}

impl Arbitrary for Scenario {
    fn arbitrary(rng: &mut Gen) -> Self {
        let watcher_count = usize::from(u8::arbitrary(rng) % 24);
        let other_count = usize::from(u8::arbitrary(rng) % 40);
        Self {
            watchers: (0..watcher_count).map(|_| Arbitrary::arbitrary(rng)).collect(),
            others: (0..other_count).map(|_| Arbitrary::arbitrary(rng)).collect(),
            change_after_ms: u16::arbitrary(rng) % 3_000,
            short_bound: bool::arbitrary(rng),
        }
    }
}

/// The sources of each daemon while all daemons run, and the daemons that others watch through, by name.
struct Topology {
    sources: Vec<Vec<(usize, WatchSource)>>,
    watchers: Vec<usize>,
}

const FAULTS: [Fault; 6] = [Fault::Frozen, Fault::Killed, Fault::CutOff, Fault::Rejected, Fault::Stranded, Fault::Slow];

/// The daemon with the name `name`.
fn daemon_index(name: &str) -> usize {
    name.strip_prefix("edge-").and_then(|number| number.parse().ok()).expect("the name of a daemon")
}

/// Daemons that may relay the calls of `daemon` to the store, in its order of preference.
fn relay_peers(daemon: usize) -> Vec<SharedName> {
    static NAMES: OnceLock<Vec<SharedName>> = OnceLock::new();
    // A few suffice, as two at most are tried at a time.
    let names = NAMES.get_or_init(|| (0..DAEMONS).step_by(13).map(daemon_name).collect());
    let own = daemon_name(daemon);
    rank(&own, names).into_iter().filter(|name| **name != own).cloned().collect()
}

fn daemon_name(daemon: usize) -> SharedName {
    format!("edge-{daemon}").into()
}

fn domain_name(daemon: usize) -> String {
    format!("domain-{}", daemon % FAILURE_DOMAINS)
}

fn region_name(daemon: usize) -> String {
    format!("region-{}", daemon % FAILURE_DOMAINS % REGIONS)
}

/// The topology that the daemons derive from their presence entries.
fn topology() -> &'static Topology {
    static TOPOLOGY: OnceLock<Topology> = OnceLock::new();
    TOPOLOGY.get_or_init(|| {
        let names: BTreeMap<SharedName, usize> = (0..DAEMONS).map(|daemon| (daemon_name(daemon), daemon)).collect();
        let sources: Vec<Vec<(usize, WatchSource)>> = (0..DAEMONS)
            .map(|daemon| {
                let mut table = OwnershipTable::new(daemon_name(daemon), 1);
                for other in 0..DAEMONS {
                    let presence = DaemonPresence {
                        incarnation: 1,
                        lease: 1,
                        control_address: daemon_name(other),
                        failure_domain: domain_name(other).into(),
                        region: region_name(other).into(),
                        relay_token: "".into(),
                    };
                    table.daemon_joined(daemon_name(other), presence);
                }
                let sources = table.watch_sources(&domain_name(daemon), &region_name(daemon));
                sources.into_iter().map(|source| (names[&source.daemon], source)).collect()
            })
            .collect();
        let mut watchers: Vec<usize> = sources.iter().flatten().map(|(daemon, _)| *daemon).collect();
        watchers.sort_unstable();
        watchers.dedup();
        Topology { sources, watchers }
    })
}

/// What happens to a daemon, or to a message, at some time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// The daemon makes its next call.
    Next { daemon: usize },
    /// A request arrives at a peer.
    Asked { peer: usize, by: usize, call: u64 },
    /// The wait that was requested from a peer ends.
    PeerWaited { peer: usize, by: usize, call: u64 },
    /// The wait that was requested from the store ends, or a change is written before.
    StoreAnswered { daemon: usize, call: u64 },
    /// A call to the store fails.
    StoreFailed { daemon: usize, call: u64 },
    /// A peer's answer arrives: the changes that it has, and as of when it is complete.
    Answered { daemon: usize, call: u64, known: usize, as_of: TimePoint },
    /// The daemon gives up waiting for a peer.
    GaveUp { daemon: usize, call: u64 },
    /// A change is written to the store.
    Written,
    /// A daemon gets a fault.
    Faulty { daemon: usize, fault: u8 },
}

/// A call to the store in progress.
#[derive(Clone, Debug)]
struct StoreCall {
    path: ServicePath,
    started_at: TimePoint,
    wait_ms: u64,
    /// Whether another path has failed before.
    is_retry: bool,
}

struct Daemon {
    selector: WatchSelector,
    fault: Option<Fault>,
    /// Number of the current call.
    call: u64,
    current_call: Option<(WatchCall, TimePoint)>,
    /// The current call to the store, if it is one.
    store_call: Option<StoreCall>,
    paths: PathSelector,
    /// Number of changes that the daemon knows.
    known: usize,
    /// Requests of others that wait for a change: daemon, and call.
    waiting: Vec<(usize, u64)>,
}

struct Fleet {
    now: TimePoint,
    events: BinaryHeap<Reverse<(TimePoint, u64, Event)>>,
    sequence: u64,
    daemons: Vec<Daemon>,
    /// Number of changes written to the store.
    written: usize,
    store_calls: u64,
}

impl Fleet {
    fn new(timing: WatchTiming, written_at: TimePoint) -> Self {
        let daemon = |daemon| Daemon {
            selector: WatchSelector::new(timing, TimePoint(0)),
            fault: None,
            call: 0,
            current_call: None,
            store_call: None,
            paths: PathSelector::new(daemon as u64),
            known: 0,
            waiting: Vec::new(),
        };
        let mut fleet = Self {
            now: TimePoint(0),
            events: BinaryHeap::new(),
            sequence: 0,
            daemons: (0..DAEMONS).map(daemon).collect(),
            written: 0,
            store_calls: 0,
        };
        (0..DAEMONS).for_each(|daemon| fleet.schedule(daemon as u64 % 97, Event::Next { daemon }));
        fleet.schedule(written_at.minus_ms(EARLIER_CHANGE_MS).0, Event::Written);
        fleet.schedule(written_at.0, Event::Written);
        fleet
    }

    fn schedule(&mut self, after_ms: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((self.now.plus_ms(after_ms), self.sequence, event)));
    }

    /// Time of a message from or to `daemon`.
    fn hop_ms(&self, daemon: usize) -> u64 {
        if self.daemons[daemon].fault == Some(Fault::Slow) { HOP_MS * SLOW_FACTOR } else { HOP_MS }
    }

    fn runs(&self, daemon: usize) -> bool {
        !matches!(self.daemons[daemon].fault, Some(Fault::Frozen | Fault::Killed))
    }

    fn run_until(&mut self, end: TimePoint) {
        while self.events.peek().is_some_and(|Reverse((at, ..))| *at <= end) {
            let Some(Reverse((at, _, event))) = self.events.pop() else { return };
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Next { daemon } if self.runs(daemon) => self.make_call(daemon),
            Event::Asked { peer, by, call } => self.request_arrived(peer, by, call),
            Event::PeerWaited { peer, by, call } => {
                if self.daemons[peer].waiting.contains(&(by, call)) && self.runs(peer) {
                    self.daemons[peer].waiting.retain(|waiting| *waiting != (by, call));
                    self.answer(peer, by, call);
                }
            }
            Event::StoreAnswered { daemon, call } => self.store_answered(daemon, call),
            Event::StoreFailed { daemon, call } => self.store_failed(daemon, call),
            Event::Answered { daemon, call, known, as_of } => self.peer_answered(daemon, call, known, as_of),
            Event::GaveUp { daemon, call } => self.gave_up(daemon, call),
            Event::Written => {
                self.written += 1;
                for daemon in 0..DAEMONS {
                    let Daemon { store_call, call, .. } = &self.daemons[daemon];
                    let Some(store_call) = store_call.clone().filter(|_| self.runs(daemon)) else { continue };
                    let call = *call;
                    if self.is_served(daemon, &store_call.path) {
                        self.schedule(self.path_ms(daemon, &store_call.path), Event::StoreAnswered { daemon, call });
                    }
                }
            }
            Event::Faulty { daemon, fault } => {
                self.daemons[daemon].fault = FAULTS.get(usize::from(fault)).copied();
                // Open connections to the store end.
                let Daemon { fault, store_call, call, .. } = &self.daemons[daemon];
                let is_direct = store_call.as_ref().is_some_and(|call| call.path == ServicePath::Direct);
                if is_direct && *fault == Some(Fault::Rejected) {
                    let call = *call;
                    self.schedule(HOP_MS, Event::StoreFailed { daemon, call });
                }
            }
            Event::Next { .. } => {}
        }
    }

    /// Time of a message over `path` from `daemon` to the store.
    fn path_ms(&self, daemon: usize, path: &ServicePath) -> u64 {
        match path {
            ServicePath::Direct => self.hop_ms(daemon),
            ServicePath::Relay(peer) => self.hop_ms(daemon) + 2 * self.hop_ms(daemon_index(peer)),
        }
    }

    /// Whether calls over `path` reach the store now.
    fn is_served(&self, daemon: usize, path: &ServicePath) -> bool {
        let is_lost = |fault: Fault| matches!(fault, Fault::CutOff | Fault::Rejected | Fault::Stranded);
        let reaches = |daemon: usize| !self.daemons[daemon].fault.is_some_and(is_lost);
        match path {
            ServicePath::Direct => reaches(daemon),
            ServicePath::Relay(peer) => self.runs(daemon_index(peer)) && reaches(daemon_index(peer)),
        }
    }

    fn make_call(&mut self, daemon: usize) {
        let sources = &topology().sources[daemon];
        let candidates: Vec<WatchSource> = sources.iter().map(|(_, source)| source.clone()).collect();
        let now = self.now;
        let Some(call) = self.daemons[daemon].selector.next_call(&candidates, now) else {
            return self.schedule(RETRY_DELAY_MS, Event::Next { daemon });
        };
        self.daemons[daemon].call += 1;
        let number = self.daemons[daemon].call;
        let (target, wait_ms) = (call.target.clone(), call.wait_ms);
        let gives_up_after_ms = call.give_up_at.since_ms(now);
        self.daemons[daemon].current_call = Some((call, now));
        match target {
            WatchTarget::Peer(source) => {
                let found = sources.iter().find(|(_, candidate)| *candidate == source);
                let peer = found.expect("a source of the topology").0;
                self.schedule(gives_up_after_ms, Event::GaveUp { daemon, call: number });
                let after_ms = self.hop_ms(daemon) + self.hop_ms(peer);
                self.schedule(after_ms, Event::Asked { peer, by: daemon, call: number });
            }
            WatchTarget::Store => self.call_store(daemon, wait_ms, None),
        }
    }

    /// Calls the store over the next path, unless that is the one that has `failed`. Without one, the daemon tries it again after a
    /// while.
    fn call_store(&mut self, daemon: usize, wait_ms: u64, failed: Option<&ServicePath>) {
        let now = self.now;
        let Daemon { paths, fault, .. } = &mut self.daemons[daemon];
        let is_stranded = *fault == Some(Fault::Stranded);
        let path = paths.next_path(now, || if is_stranded { Vec::new() } else { relay_peers(daemon) });
        let Some(path) = path.filter(|path| Some(path) != failed) else {
            self.daemons[daemon].selector.store_failed(now);
            self.daemons[daemon].current_call = None;
            return self.schedule(RETRY_DELAY_MS, Event::Next { daemon });
        };
        self.store_calls += 1;
        let call = self.daemons[daemon].call;
        let wait_ms = if path == ServicePath::Direct { wait_ms } else { wait_ms.min(RELAYED_WAIT_MS) };
        let path_ms = self.path_ms(daemon, &path);
        let is_refused = match &path {
            ServicePath::Direct => self.daemons[daemon].fault == Some(Fault::Rejected),
            // A peer that has lost its own path says so at once.
            ServicePath::Relay(peer) => {
                let peer = &self.daemons[daemon_index(peer)];
                matches!(peer.fault, Some(Fault::Killed | Fault::Rejected)) || !peer.paths.is_direct_available()
            }
        };
        if self.is_served(daemon, &path) && !is_refused {
            let wait_ms = if self.daemons[daemon].known < self.written { 0 } else { wait_ms };
            self.schedule(2 * path_ms + wait_ms, Event::StoreAnswered { daemon, call });
        } else if is_refused {
            self.schedule(2 * path_ms, Event::StoreFailed { daemon, call });
        }
        self.schedule(wait_ms + WATCH_SLACK_MS, Event::StoreFailed { daemon, call });
        let is_retry = failed.is_some();
        self.daemons[daemon].store_call = Some(StoreCall { path, started_at: now, wait_ms, is_retry });
    }

    /// A request arrives at `peer`: it is answered at once if the peer has the change, or waits for it.
    fn request_arrived(&mut self, peer: usize, by: usize, call: u64) {
        match self.daemons[peer].fault {
            Some(Fault::Frozen) => {}
            Some(Fault::Killed) => self.schedule(HOP_MS, Event::GaveUp { daemon: by, call }),
            _ if self.daemons[peer].known > self.daemons[by].known => self.answer(peer, by, call),
            _ => {
                let Some((pending, _)) = &self.daemons[by].current_call else { return };
                let wait_ms = pending.wait_ms;
                self.daemons[peer].waiting.push((by, call));
                self.schedule(wait_ms, Event::PeerWaited { peer, by, call });
            }
        }
    }

    fn answer(&mut self, peer: usize, by: usize, call: u64) {
        let known = self.daemons[peer].known;
        let as_of = self.daemons[peer].selector.current_as_of();
        let after_ms = self.hop_ms(peer) + self.hop_ms(by);
        self.schedule(after_ms, Event::Answered { daemon: by, call, known, as_of });
    }

    /// The finished call of `daemon`, if `call` is its current one and the daemon runs.
    fn take_call(&mut self, daemon: usize, call: u64) -> Option<(WatchCall, TimePoint)> {
        if self.daemons[daemon].call != call || !self.runs(daemon) {
            return None;
        }
        self.daemons[daemon].current_call.take()
    }

    fn store_answered(&mut self, daemon: usize, call: u64) {
        let is_served = self.daemons[daemon].store_call.as_ref().is_some_and(|call| self.is_served(daemon, &call.path));
        if !is_served {
            return;
        }
        if self.take_call(daemon, call).is_none() {
            return;
        }
        let now = self.now;
        let Some(StoreCall { path, started_at, wait_ms, .. }) = self.daemons[daemon].store_call.take() else { return };
        self.daemons[daemon].paths.call_succeeded(&path, now);
        let held_ms = if self.daemons[daemon].known < self.written { 0 } else { wait_ms };
        self.daemons[daemon].selector.proved_current(started_at.plus_ms(held_ms));
        self.received(daemon, self.written);
    }

    fn store_failed(&mut self, daemon: usize, call: u64) {
        if self.daemons[daemon].call != call || !self.runs(daemon) {
            return;
        }
        let Some(StoreCall { path, started_at, wait_ms, is_retry }) = self.daemons[daemon].store_call.take() else {
            return;
        };
        let now = self.now;
        self.daemons[daemon].paths.call_failed(&path, started_at, now);
        // A second call for the same request has a number of its own.
        self.daemons[daemon].call += 1;
        if is_retry {
            self.daemons[daemon].selector.store_failed(now);
            self.daemons[daemon].current_call = None;
            self.schedule(RETRY_DELAY_MS, Event::Next { daemon });
        } else {
            self.call_store(daemon, wait_ms, Some(&path));
        }
    }

    fn peer_answered(&mut self, daemon: usize, call: u64, known: usize, as_of: TimePoint) {
        let Some((finished, _)) = self.take_call(daemon, call) else { return };
        let WatchTarget::Peer(source) = finished.target else { return };
        let now = self.now;
        self.daemons[daemon].selector.peer_answered(&source.daemon, as_of, now);
        self.received(daemon, known);
    }

    fn gave_up(&mut self, daemon: usize, call: u64) {
        let Some((finished, _)) = self.take_call(daemon, call) else { return };
        let now = self.now;
        if let WatchTarget::Peer(source) = finished.target {
            self.daemons[daemon].selector.peer_unresponsive(&source.daemon, now);
        }
        self.schedule(0, Event::Next { daemon });
    }

    /// The daemon receives all changes up to `known`, answers the requests that wait for them, and makes its next call.
    fn received(&mut self, daemon: usize, known: usize) {
        let is_new = known > self.daemons[daemon].known;
        self.daemons[daemon].known = self.daemons[daemon].known.max(known);
        if is_new {
            for (by, call) in std::mem::take(&mut self.daemons[daemon].waiting) {
                self.answer(daemon, by, call);
            }
        }
        self.schedule(if is_new { BATCH_DELAY_MS } else { 0 }, Event::Next { daemon });
    }

    /// Number of daemons that match `is_judged` and do not know all changes.
    fn late_count(&self, is_judged: impl Fn(&Daemon) -> bool) -> usize {
        self.daemons.iter().filter(|daemon| is_judged(daemon) && daemon.known < self.written).count()
    }
}

/// Plays a scenario; the error names a daemon that learned the change late, or a storm of calls to the store.
fn play(scenario: &Scenario) -> Result<(), String> {
    let bound_ms = if scenario.short_bound { 2_000 } else { 4_000 };
    let written_at = FAULTS_AT.plus_ms(u64::from(scenario.change_after_ms));
    let mut fleet = Fleet::new(WatchTiming::new(bound_ms), written_at);
    fleet.run_until(FAULTS_AT);
    let topology = topology();
    for (rank, fault) in &scenario.watchers {
        fleet.daemons[topology.watchers[usize::from(*rank) % topology.watchers.len()]].fault = Some(*fault);
    }
    for (daemon, fault) in &scenario.others {
        fleet.daemons[usize::from(*daemon) % DAEMONS].fault = Some(*fault);
    }
    let calls_before = fleet.store_calls;
    let end = written_at.plus_ms(bound_ms - CONNECT_MS);
    fleet.run_until(end);
    let late = fleet.late_count(|daemon| matches!(daemon.fault, None | Some(Fault::Slow)));
    if late > 0 {
        return Err(format!("{late} daemons do not know the change {} ms after it was written", bound_ms - CONNECT_MS));
    }
    let calls = fleet.store_calls - calls_before;
    let calls_max = end.since_ms(FAULTS_AT) * DAEMONS as u64 * CALLS_PER_DAEMON_SECOND_MAX / 1_000;
    if calls > calls_max {
        return Err(format!("{calls} calls to the store, more than {calls_max}"));
    }
    Ok(())
}

fn play_all(scenarios: Vec<Scenario>) -> Result<(), String> {
    scenarios.iter().try_for_each(play)
}

#[test]
fn a_change_reaches_every_sound_daemon_within_the_bound_whichever_watchers_fail() {
    sequence::check_count(0x3a7c, 3, 100, play_all);
}

#[test]
fn a_change_reaches_every_sound_daemon_when_all_watchers_fail_alike() {
    for fault in FAULTS {
        for change_after_ms in [0, 350, 1_200, 2_900] {
            for short_bound in [true, false] {
                let watchers = (0..topology().watchers.len()).map(|rank| (rank as u8, fault)).collect();
                let scenario = Scenario { watchers, others: Vec::new(), change_after_ms, short_bound };
                let result = play(&scenario);
                assert_eq!(result, Ok(()), "{fault:?}, {change_after_ms} ms, short bound: {short_bound}");
            }
        }
    }
}

/// Guards against requests that reach an upstream later than the platform's bound after it has left the list, where the loss of one
/// source, or of one path to the store, falls at the worst moment.
#[test]
fn a_change_is_in_force_within_the_bound_less_a_connection_whenever_one_source_fails() {
    let watchers = &topology().watchers;
    let region_watcher = *watchers.iter().find(|daemon| topology().sources[**daemon].is_empty()).expect("a watcher");
    let domain_watcher = *watchers.iter().find(|daemon| topology().sources[**daemon].len() == 1).expect("a watcher");
    for bound_ms in [2_000, 4_000] {
        for daemon in [region_watcher, domain_watcher] {
            for fault in 0..FAULTS.len() as u8 {
                for before_ms in (0..bound_ms).step_by(190) {
                    let written_at = FAULTS_AT.plus_ms(3_000);
                    let mut fleet = Fleet::new(WatchTiming::new(bound_ms), written_at);
                    fleet.schedule(written_at.minus_ms(before_ms).0, Event::Faulty { daemon, fault });
                    fleet.run_until(written_at.plus_ms(bound_ms - CONNECT_MS));
                    let late = fleet.late_count(|daemon| matches!(daemon.fault, None | Some(Fault::Slow)));
                    let fault = FAULTS[usize::from(fault)];
                    assert_eq!(late, 0, "{fault:?} of {daemon} {before_ms} ms before the change, bound {bound_ms} ms");
                }
            }
        }
    }
}

#[test]
fn an_undisturbed_fleet_calls_the_store_once_a_region_and_wait() {
    for (bound_ms, waits) in [(2_000, 60_000 / 400), (4_000, 60_000 / 800)] {
        let mut fleet = Fleet::new(WatchTiming::new(bound_ms), TimePoint(90_000));
        fleet.run_until(TimePoint(10_000));
        let calls_before = fleet.store_calls;
        fleet.run_until(TimePoint(70_000));
        let calls = fleet.store_calls - calls_before;
        assert!(calls <= waits * REGIONS as u64, "{calls} calls in a minute, bound {bound_ms} ms");
    }
}

#[test]
fn a_log_returns_the_changes_after_a_revision_or_says_that_it_does_not_reach_back() {
    let mut log = ChangeLog::default();
    assert_eq!(log.read(0), LogRead::<char>::Incomplete, "before the first snapshot");
    log.restart(10, TimePoint(5));
    log.append([(11, 1, 'a'), (12, 1, 'b'), (12, 1, 'c')], 14);
    // requested revision, changes, revision to continue from
    let cases = [(10, "abc", 14), (11, "bc", 14), (12, "", 12), (14, "", 14), (20, "", 20)];
    for (requested, expected, revision) in cases {
        let changes = expected.chars().collect();
        assert_eq!(log.read(requested), LogRead::Changes { changes, revision }, "after revision {requested}");
    }
    assert_eq!(log.read(9), LogRead::Incomplete);
    log.append((15..5_000).map(|revision| (revision, 1, 'd')), 5_000);
    assert_eq!(log.read(14), LogRead::Incomplete, "old changes are dropped");
    assert!(matches!(log.read(4_990), LogRead::Changes { changes, revision: 5_000 } if changes.len() == 9));
    log.append([(5_001, 8 << 20, 'e')], 5_001);
    assert_eq!(log.read(5_000), LogRead::Incomplete, "large changes are dropped");
    assert_eq!(log.read(5_001), LogRead::Changes { changes: Vec::new(), revision: 5_001 });
}
