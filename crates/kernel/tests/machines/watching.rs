//! Watches of a fleet of 390 daemons: a change reaches every sound daemon within the bound, whichever watchers fail, and
//! without a storm of calls to the store.

use crate::sequence;
use pimentoslip_kernel::{
    ChangeLog, DaemonPresence, LogRead, OwnershipTable, SharedName, TimePoint, WatchCall, WatchSelector, WatchSource,
    WatchTarget, WatchTiming,
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
/// Delay of the next attempt when no call can be made.
const IDLE_MS: u64 = 300;
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
    /// Calls to the store get no answer.
    CutOff,
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
        *rng.choose(&[Self::Frozen, Self::Killed, Self::CutOff, Self::Slow]).unwrap_or(&Self::Frozen)
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
    /// The wait that was requested from the store ends, or the change is written before.
    StoreAnswered { daemon: usize, call: u64 },
    /// A peer's answer arrives: whether it has the change, and as of when it is complete.
    Answered { daemon: usize, call: u64, changed: bool, as_of: TimePoint },
    /// The daemon gives up waiting for a call.
    GaveUp { daemon: usize, call: u64 },
    /// The change is written to the store.
    Written,
}

struct Daemon {
    selector: WatchSelector,
    fault: Option<Fault>,
    /// Number of the current call.
    call: u64,
    current_call: Option<(WatchCall, TimePoint)>,
    /// Source of the current call, if it is a peer.
    source: Option<usize>,
    learned_at: Option<TimePoint>,
    /// Requests of others that wait for the change: daemon, call, and when the request arrived.
    waiting: Vec<(usize, u64)>,
}

struct Fleet {
    now: TimePoint,
    events: BinaryHeap<Reverse<(TimePoint, u64, Event)>>,
    sequence: u64,
    daemons: Vec<Daemon>,
    written_at: TimePoint,
    store_calls: u64,
}

impl Fleet {
    fn new(timing: WatchTiming, written_at: TimePoint) -> Self {
        let daemon = |_| Daemon {
            selector: WatchSelector::new(timing, TimePoint(0)),
            fault: None,
            call: 0,
            current_call: None,
            source: None,
            learned_at: None,
            waiting: Vec::new(),
        };
        let mut fleet = Self {
            now: TimePoint(0),
            events: BinaryHeap::new(),
            sequence: 0,
            daemons: (0..DAEMONS).map(daemon).collect(),
            written_at,
            store_calls: 0,
        };
        (0..DAEMONS).for_each(|daemon| fleet.schedule(daemon as u64 % 97, Event::Next { daemon }));
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
            Event::Answered { daemon, call, changed, as_of } => self.peer_answered(daemon, call, changed, as_of),
            Event::GaveUp { daemon, call } => self.gave_up(daemon, call),
            Event::Written => {
                for daemon in 0..DAEMONS {
                    let is_watching =
                        self.daemons[daemon].current_call.is_some() && self.daemons[daemon].source.is_none();
                    if is_watching {
                        let call = self.daemons[daemon].call;
                        self.schedule(self.hop_ms(daemon), Event::StoreAnswered { daemon, call });
                    }
                }
            }
            Event::Next { .. } => {}
        }
    }

    fn make_call(&mut self, daemon: usize) {
        let sources = &topology().sources[daemon];
        let candidates: Vec<WatchSource> = sources.iter().map(|(_, source)| source.clone()).collect();
        let now = self.now;
        let Some(call) = self.daemons[daemon].selector.next_call(&candidates, now) else {
            return self.schedule(IDLE_MS, Event::Next { daemon });
        };
        let source = match &call.target {
            WatchTarget::Peer(source) => {
                sources.iter().find(|(_, candidate)| candidate == source).map(|(daemon, _)| *daemon)
            }
            WatchTarget::Store => None,
        };
        self.daemons[daemon].call += 1;
        let number = self.daemons[daemon].call;
        self.schedule(call.give_up_at.since_ms(now), Event::GaveUp { daemon, call: number });
        match source {
            Some(peer) => {
                let after_ms = self.hop_ms(daemon) + self.hop_ms(peer);
                self.schedule(after_ms, Event::Asked { peer, by: daemon, call: number });
            }
            None => {
                self.store_calls += 1;
                let has_change = now >= self.written_at && self.daemons[daemon].learned_at.is_none();
                let wait_ms = if has_change { 0 } else { call.wait_ms };
                let after_ms = 2 * self.hop_ms(daemon) + wait_ms;
                self.schedule(after_ms, Event::StoreAnswered { daemon, call: number });
            }
        }
        self.daemons[daemon].source = source;
        self.daemons[daemon].current_call = Some((call, now));
    }

    /// A request arrives at `peer`: it is answered at once if the peer has the change, or waits for it.
    fn request_arrived(&mut self, peer: usize, by: usize, call: u64) {
        match self.daemons[peer].fault {
            Some(Fault::Frozen) => {}
            Some(Fault::Killed) => self.schedule(HOP_MS, Event::GaveUp { daemon: by, call }),
            _ if self.daemons[peer].learned_at.is_some() && self.daemons[by].learned_at.is_none() => {
                self.answer(peer, by, call);
            }
            _ => {
                let Some((pending, _)) = &self.daemons[by].current_call else { return };
                let wait_ms = pending.wait_ms;
                self.daemons[peer].waiting.push((by, call));
                self.schedule(wait_ms, Event::PeerWaited { peer, by, call });
            }
        }
    }

    fn answer(&mut self, peer: usize, by: usize, call: u64) {
        let changed = self.daemons[peer].learned_at.is_some();
        let as_of = self.daemons[peer].selector.current_as_of();
        let after_ms = self.hop_ms(peer) + self.hop_ms(by);
        self.schedule(after_ms, Event::Answered { daemon: by, call, changed, as_of });
    }

    /// The finished call of `daemon`, if `call` is its current one and the daemon runs.
    fn take_call(&mut self, daemon: usize, call: u64) -> Option<(WatchCall, TimePoint)> {
        if self.daemons[daemon].call != call || !self.runs(daemon) {
            return None;
        }
        self.daemons[daemon].current_call.take()
    }

    fn store_answered(&mut self, daemon: usize, call: u64) {
        if self.daemons[daemon].fault == Some(Fault::CutOff) {
            return;
        }
        let Some((finished, sent_at)) = self.take_call(daemon, call) else { return };
        let changed = self.now >= self.written_at && self.daemons[daemon].learned_at.is_none();
        let held_ms = if changed { 0 } else { finished.wait_ms };
        self.daemons[daemon].selector.proved_current(sent_at.plus_ms(held_ms));
        if changed {
            self.learned(daemon);
        }
        self.schedule(0, Event::Next { daemon });
    }

    fn peer_answered(&mut self, daemon: usize, call: u64, changed: bool, as_of: TimePoint) {
        let Some((finished, _)) = self.take_call(daemon, call) else { return };
        let WatchTarget::Peer(source) = finished.target else { return };
        let now = self.now;
        self.daemons[daemon].selector.peer_answered(&source.daemon, as_of, now);
        if changed && self.daemons[daemon].learned_at.is_none() {
            self.learned(daemon);
        }
        self.schedule(0, Event::Next { daemon });
    }

    fn gave_up(&mut self, daemon: usize, call: u64) {
        let Some((finished, _)) = self.take_call(daemon, call) else { return };
        let now = self.now;
        match finished.target {
            WatchTarget::Peer(source) => self.daemons[daemon].selector.peer_unresponsive(&source.daemon, now),
            WatchTarget::Store => self.daemons[daemon].selector.store_failed(now),
        }
        self.schedule(0, Event::Next { daemon });
    }

    /// The daemon learns the change, and answers the requests that wait for it.
    fn learned(&mut self, daemon: usize) {
        self.daemons[daemon].learned_at = Some(self.now);
        for (by, call) in std::mem::take(&mut self.daemons[daemon].waiting) {
            self.answer(daemon, by, call);
        }
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
    let end = written_at.plus_ms(bound_ms);
    fleet.run_until(end);
    let is_sound = |daemon: &&Daemon| !matches!(daemon.fault, Some(Fault::Frozen | Fault::Killed | Fault::CutOff));
    let missing = fleet.daemons.iter().filter(is_sound).filter(|daemon| daemon.learned_at.is_none()).count();
    if missing > 0 {
        return Err(format!("{missing} daemons do not know the change {bound_ms} ms after it was written"));
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
    for fault in [Fault::Frozen, Fault::Killed, Fault::CutOff, Fault::Slow] {
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
