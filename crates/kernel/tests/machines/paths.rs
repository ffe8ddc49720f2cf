//! Tests of paths to upstreams: daemons that lose direct paths, in part or all of them, relay through each other, and return
//! to the direct paths.

use crate::sequence;
use pimentoslip_kernel::{
    ConnectOutcome, DirectLoss, PEERS_ASKED, PathQuery, PathTable, PathVerdict, RelayFailure, RelayPeer, ReplayWindow,
    ServicePath, SharedName, TimePoint,
};
use quickcheck::{Arbitrary, Gen};
use std::collections::{BTreeMap, BTreeSet};

const DAEMONS: usize = 4;
const UPSTREAMS: usize = 3;
/// Failure domain of each daemon and upstream.
const DOMAINS: [&str; DAEMONS] = ["a", "a", "b", "b"];
/// Time between two requests of a daemon.
const TICK_MS: u64 = 50;
/// Time that an attempt to connect takes if nothing responds.
const SILENCE_MS: u64 = 300;
/// Time after which callers of a daemon that has lost paths must be served like others; the shortest of the platform's sites.
const UNDISTURBED_MS: u64 = 3_000;
/// Time after which a direct path that has returned must be in use again.
const HEAL_MS: u64 = 2_000;
/// Paths that one request tries.
const PATHS_MAX: usize = 5;

/// Input to the simulation.
#[derive(Clone, Debug)]
enum Command {
    /// A daemon loses its path to an upstream, or to all; connections are refused, or not responded to.
    Cut { daemon: usize, upstream: Option<usize>, is_silent: bool },
    /// All paths of a daemon return.
    Heal { daemon: usize },
    /// An upstream ends or starts again.
    Switch { upstream: usize },
    /// A daemon stops relaying and sending requests, or starts again.
    Restart { daemon: usize },
    /// Requests are sent for a while.
    Run { ticks: u8 },
}

impl Arbitrary for Command {
    fn arbitrary(rng: &mut Gen) -> Self {
        let (daemon, upstream) = (usize::arbitrary(rng) % DAEMONS, usize::arbitrary(rng) % UPSTREAMS);
        match u8::arbitrary(rng) % 10 {
            0 => Self::Cut { daemon, upstream: Some(upstream), is_silent: bool::arbitrary(rng) },
            1 | 2 => Self::Cut { daemon, upstream: None, is_silent: bool::arbitrary(rng) },
            3 | 4 => Self::Heal { daemon },
            5 => Self::Switch { upstream },
            6 => Self::Restart { daemon },
            _ => Self::Run { ticks: u8::arbitrary(rng) },
        }
    }
}

/// Something that happens after a delay.
enum Event {
    /// A direct attempt ends without a connection; its caller tries other paths.
    DirectFailed { daemon: usize, upstream: usize, started_at: TimePoint },
    /// A check of a path ends.
    Checked { daemon: usize, upstream: usize, started_at: TimePoint },
    /// A probe ends.
    Probed { daemon: usize, upstream: usize, started_at: TimePoint },
}

struct Fleet {
    now: TimePoint,
    tables: Vec<PathTable>,
    /// How connections fail, by daemon and upstream; those that are missing work.
    cuts: BTreeMap<(usize, usize), bool>,
    down: BTreeSet<usize>,
    /// When anything that concerns a daemon, or an upstream, changed last.
    changed_at: Vec<TimePoint>,
    events: Vec<(TimePoint, Event)>,
    /// Daemons that look for due probes: those that had lost paths when they last did, or have been notified since.
    awake: [bool; DAEMONS],
    tick: usize,
}

fn address(upstream: usize) -> SharedName {
    format!("u{upstream}:1").into()
}

fn name(daemon: usize) -> SharedName {
    format!("d{daemon}").into()
}

impl Fleet {
    fn new() -> Self {
        Self {
            now: TimePoint(100_000),
            tables: (0..DAEMONS).map(|_| PathTable::default()).collect(),
            cuts: BTreeMap::new(),
            down: BTreeSet::new(),
            changed_at: vec![TimePoint(0); DAEMONS],
            events: Vec::new(),
            awake: [false; DAEMONS],
            tick: 0,
        }
    }

    fn connect(&self, daemon: usize, upstream: usize) -> ConnectOutcome {
        match self.cuts.get(&(daemon, upstream)) {
            Some(true) => ConnectOutcome::Silent,
            Some(false) => ConnectOutcome::Refused,
            None if self.down.contains(&upstream) => ConnectOutcome::Refused,
            None => ConnectOutcome::Accepted,
        }
    }

    /// Time after which an attempt to connect ends.
    fn connect_ms(&self, daemon: usize, upstream: usize) -> u64 {
        if self.connect(daemon, upstream) == ConnectOutcome::Silent { SILENCE_MS } else { 1 }
    }

    fn is_quiet(&self, daemon: usize, ms: u64) -> bool {
        self.now.since_ms(self.changed_at[daemon]) >= ms
    }

    fn everything_changed(&mut self) {
        self.changed_at.fill(self.now);
    }

    fn peers(daemon: usize) -> Vec<RelayPeer> {
        let others = (0..DAEMONS).filter(|other| *other != daemon);
        others.map(|other| RelayPeer { name: name(other), failure_domain: DOMAINS[other].into() }).collect()
    }

    fn direct_failed(&mut self, daemon: usize, upstream: usize, started_at: TimePoint) {
        let loss = self.tables[daemon].direct_failed(&address(upstream), started_at, self.now);
        self.awake[daemon] |= loss != DirectLoss::Known;
        if matches!(loss, DirectLoss::Doubted | DirectLoss::Cut) {
            let ends_at = self.now.plus_ms(self.connect_ms(daemon, upstream));
            self.events.push((ends_at, Event::Checked { daemon, upstream, started_at: self.now }));
        }
    }

    /// Sends a request of `daemon`. Returns the path on which it was served, `None` if it was not or is not yet.
    fn request(&mut self, daemon: usize, upstream: usize, prefers_relay: bool) -> Result<Option<ServicePath>, String> {
        for _ in 0..PATHS_MAX {
            let address = address(upstream);
            let query = PathQuery {
                address: &address,
                upstream_domain: DOMAINS[upstream],
                own_domain: DOMAINS[daemon],
                affinity: &format!("r{}", self.tick),
                prefers_relay,
            };
            let path = self.tables[daemon].next_path(&query, self.now, || Self::peers(daemon));
            match path {
                None => return Ok(None),
                Some(ServicePath::Direct) => match self.connect(daemon, upstream) {
                    ConnectOutcome::Accepted => {
                        self.tables[daemon].direct_succeeded(&address, self.now, self.now);
                        return Ok(path);
                    }
                    ConnectOutcome::Refused => self.direct_failed(daemon, upstream, self.now),
                    ConnectOutcome::Silent => {
                        let event = Event::DirectFailed { daemon, upstream, started_at: self.now };
                        self.events.push((self.now.plus_ms(SILENCE_MS), event));
                        return Ok(None);
                    }
                },
                Some(ServicePath::Relay(ref peer)) => {
                    let other = (0..DAEMONS).find(|other| name(*other) == *peer).ok_or("an unknown peer relays")?;
                    if other == daemon {
                        return Err("a daemon relays for itself".to_owned());
                    }
                    if self.relay(daemon, other, upstream) {
                        return Ok(path);
                    }
                }
            }
        }
        Ok(None)
    }

    /// Lets `other` send a request on its direct path. Returns whether it was served.
    fn relay(&mut self, daemon: usize, other: usize, upstream: usize) -> bool {
        let (now, peer) = (self.now, RelayPeer { name: name(other), failure_domain: DOMAINS[other].into() });
        let failure = if self.tables[other].is_cut() {
            RelayFailure::Peer
        } else if !self.tables[other].may_relay(&address(upstream)) {
            RelayFailure::Upstream
        } else if self.connect(other, upstream) == ConnectOutcome::Accepted {
            self.tables[other].direct_succeeded(&address(upstream), now, now);
            self.tables[daemon].relay_succeeded(&peer.name, &address(upstream), now);
            return true;
        } else {
            self.direct_failed(other, upstream, now);
            RelayFailure::Upstream
        };
        self.tables[daemon].relay_failed(&peer, &address(upstream), failure, now);
        false
    }

    /// Results of the peers that are asked whether they reach an upstream: the first two; two others if these have lost
    /// all paths themselves.
    fn ask_peers(&self, daemon: usize, upstream: usize) -> Vec<ConnectOutcome> {
        let mut ranked: Vec<SharedName> = Self::peers(daemon).into_iter().map(|peer| peer.name).collect();
        ranked.rotate_left(upstream);
        let peers = self.tables[daemon].asking_order(&address(upstream), ranked, self.now);
        let connect = |peer: &SharedName| {
            let peer = (0..DAEMONS).find(|daemon| name(*daemon) == *peer)?;
            let has_paths = (0..UPSTREAMS).any(|other| self.connect(peer, other) == ConnectOutcome::Accepted);
            has_paths.then(|| self.connect(peer, upstream))
        };
        let mut answers = peers.chunks(PEERS_ASKED).map(|asked| asked.iter().filter_map(connect).collect());
        answers.find(|outcomes: &Vec<ConnectOutcome>| !outcomes.is_empty()).unwrap_or_default()
    }

    fn handle(&mut self, event: Event) -> Result<(), String> {
        match event {
            Event::DirectFailed { daemon, upstream, started_at } => {
                self.direct_failed(daemon, upstream, started_at);
                self.request(daemon, (upstream + 1) % UPSTREAMS, true)?;
            }
            Event::Checked { daemon, upstream, started_at } => {
                let others = self.ask_peers(daemon, upstream);
                let verdict = PathVerdict::judge(self.connect(daemon, upstream), &others);
                self.tables[daemon].path_checked(&address(upstream), verdict, started_at, self.now);
                self.awake[daemon] = true;
            }
            Event::Probed { daemon, upstream, started_at } => {
                let outcome = self.connect(daemon, upstream);
                self.tables[daemon].probe_ended(&address(upstream), outcome, started_at, self.now);
            }
        }
        Ok(())
    }

    /// Sends a request of each daemon, and checks it.
    fn run_tick(&mut self) -> Result<(), String> {
        self.tick += 1;
        self.now = self.now.plus_ms(TICK_MS);
        while let Some(index) = self.events.iter().position(|(at, _)| *at <= self.now) {
            let (_, event) = self.events.swap_remove(index);
            self.handle(event)?;
        }
        let listed: Vec<SharedName> = (0..UPSTREAMS).map(address).collect();
        for daemon in 0..DAEMONS {
            let due = if self.awake[daemon] { self.tables[daemon].due_probes(self.now, &listed) } else { Vec::new() };
            self.awake[daemon] = self.tables[daemon].has_lost_paths() && self.awake[daemon];
            for probe in due {
                let upstream = (0..UPSTREAMS).find(|upstream| address(*upstream) == probe.address);
                let (upstream, started_at) = (upstream.ok_or("an unknown address is probed")?, self.now);
                let ends_at = self.now.plus_ms(self.connect_ms(daemon, upstream));
                let event = if probe.asks_peers {
                    Event::Checked { daemon, upstream, started_at }
                } else {
                    Event::Probed { daemon, upstream, started_at }
                };
                self.events.push((ends_at, event));
            }
            let upstream = (self.tick + daemon) % UPSTREAMS;
            let path = self.request(daemon, upstream, false)?;
            self.check(daemon, upstream, path)?;
        }
        Ok(())
    }

    fn check(&self, daemon: usize, upstream: usize, path: Option<ServicePath>) -> Result<(), String> {
        let at = format!("at {} daemon {daemon}, upstream {upstream}: {path:?}", self.now.0);
        if self.down.contains(&upstream) {
            return if path.is_some() { Err(format!("{at}: served by an upstream that is down")) } else { Ok(()) };
        }
        let has_path = !self.cuts.contains_key(&(daemon, upstream));
        if has_path && self.is_quiet(daemon, HEAL_MS + 2 * TICK_MS * UPSTREAMS as u64) {
            return if path == Some(ServicePath::Direct) { Ok(()) } else { Err(format!("{at}: not direct")) };
        }
        let is_carried = |other: usize| {
            other != daemon && !self.cuts.contains_key(&(other, upstream)) && self.is_quiet(other, UNDISTURBED_MS)
        };
        let is_due = !has_path && self.is_quiet(daemon, UNDISTURBED_MS) && (0..DAEMONS).any(is_carried);
        if is_due && path.is_none() { Err(format!("{at}: not served")) } else { Ok(()) }
    }
}

fn check_service(commands: Vec<Command>) -> Result<(), String> {
    let mut fleet = Fleet::new();
    for command in commands {
        match command {
            Command::Cut { daemon, upstream, is_silent } => {
                for index in (0..UPSTREAMS).filter(|index| upstream.is_none_or(|only| only == *index)) {
                    fleet.cuts.insert((daemon, index), is_silent);
                }
                fleet.changed_at[daemon] = fleet.now;
            }
            Command::Heal { daemon } => {
                fleet.cuts.retain(|(of, _), _| *of != daemon);
                fleet.changed_at[daemon] = fleet.now;
            }
            Command::Switch { upstream } => {
                if !fleet.down.insert(upstream) {
                    fleet.down.remove(&upstream);
                }
                fleet.everything_changed();
            }
            Command::Restart { daemon } => {
                fleet.tables[daemon] = PathTable::default();
                fleet.awake[daemon] = false;
                fleet.changed_at[daemon] = fleet.now;
            }
            Command::Run { ticks } => {
                for _ in 0..ticks {
                    fleet.run_tick()?;
                }
            }
        }
    }
    Ok(())
}

/// Guards against callers that are not served although a peer reaches the upstream, requests that take more than one
/// peer, and direct paths that are not used again after they have returned.
#[test]
fn daemons_without_direct_paths_serve_through_peers_and_return_to_the_direct_paths() {
    sequence::check_count(0x9a74, 40, 400, check_service);
}

/// Guards against a call that is relayed twice because it is received twice.
#[test]
fn a_call_that_was_received_before_is_not_accepted_again() {
    let mut window = ReplayWindow::default();
    // Calls overtake each other.
    for number in [0, 3, 1, 2, 7] {
        assert!(window.accept(number), "{number}");
        assert!(!window.accept(number), "{number}");
    }
    (10..20_000).for_each(|number| assert!(window.accept(number)));
    assert!((0..20_000).filter(|number| window.accept(*number)).count() == 0, "forgotten numbers count as received");
}

/// Guards against callers who wait for the next check of an upstream that counted as down before its path was on trial.
#[test]
fn a_path_that_fails_on_trial_is_checked_at_once_if_its_upstream_counted_as_down() {
    let (mut table, at) = (PathTable::default(), |ms: u64| TimePoint(100_000 + ms));
    assert_eq!(table.direct_failed(&address(0), at(0), at(1)), DirectLoss::Doubted);
    assert_eq!(table.direct_failed(&address(1), at(2), at(3)), DirectLoss::Cut);
    table.relay_succeeded(&name(1), &address(1), at(4));
    table.path_checked(&address(0), PathVerdict::UpstreamDown, at(1), at(5));
    table.probe_ended(&address(1), ConnectOutcome::Accepted, at(500), at(501));
    assert_eq!(table.direct_failed(&address(0), at(502), at(503)), DirectLoss::Doubted);
}

/// Guards against a daemon that loses its path just as an upstream returns, and asks the only peer that reaches it too late.
#[test]
fn a_path_lost_as_its_upstream_returns_is_found_through_the_last_peer_in_time() {
    let cut = |daemon, upstream| Command::Cut { daemon, upstream, is_silent: false };
    let result = check_service(vec![
        cut(0, Some(1)),
        cut(3, None),
        Command::Switch { upstream: 1 },
        Command::Run { ticks: 191 },
        Command::Switch { upstream: 1 },
        cut(1, Some(1)),
        Command::Run { ticks: 239 },
    ]);
    assert_eq!(result, Ok(()));
}
