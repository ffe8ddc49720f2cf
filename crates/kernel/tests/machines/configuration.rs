//! Configuration: an accepted change, such as the withdrawal of a key, is in effect on every daemon within seconds and
//! is never reverted.

use crate::sequence;
use pimentoslip_kernel::{ConfigRecord, ConfigView, FreshnessTable, RecordEntry, RecordName, SharedName, TimePoint};
use quickcheck::{Arbitrary, Gen};
use std::{collections::BTreeSet, sync::Arc};

const DAEMONS: u8 = 3;
/// The service's documented target: an accepted change is in effect on every daemon within this time.
const BOUND_MS: u64 = 5_000;

/// Input to the simulation of a site.
#[derive(Clone, Debug)]
enum Command {
    /// An operator changes a record through a daemon; the answer to the write may be lost.
    Change { daemon: u8, record: u8, lost: bool },
    /// A daemon requests the changes from the key-value service, which answers now; the answer arrives later.
    RequestService { daemon: u8 },
    /// A daemon requests the changes from a peer, which answers now; the answer arrives later.
    RequestPeer { daemon: u8, peer: u8 },
    /// A daemon requests the changes from every peer that it reaches and, if `service` is set, from the service. All
    /// answers arrive at once.
    Exchange { daemon: u8, service: bool },
    /// An answer in flight arrives or is lost.
    DeliverAnswer { answer: u8, lost: bool },
    /// The service becomes unreachable or reachable again for a daemon.
    CutService { daemon: u8, cut: bool },
    /// Two daemons become unreachable or reachable again for each other.
    CutPeers { first: u8, second: u8, cut: bool },
    /// A process ends, and its port refuses the connections of its peers. It restarts without any records.
    Crash { daemon: u8 },
    /// Time passes.
    Wait { ms: u16 },
}

impl Arbitrary for Command {
    fn arbitrary(rng: &mut Gen) -> Self {
        let (first, second) = (u8::arbitrary(rng) % DAEMONS, u8::arbitrary(rng));
        let flag = bool::arbitrary(rng);
        match u8::arbitrary(rng) % 22 {
            16..=21 => Self::Exchange { daemon: first, service: flag },
            0 | 1 => Self::Change { daemon: first, record: second % 2, lost: second % 8 > 5 },
            2..=4 => Self::RequestService { daemon: first },
            5..=8 => Self::RequestPeer { daemon: first, peer: second % DAEMONS },
            9..=11 => Self::DeliverAnswer { answer: second, lost: second % 16 == 0 },
            12 => Self::CutService { daemon: first, cut: flag },
            13 => Self::CutPeers { first, second: second % DAEMONS, cut: flag },
            14 if second % 4 == 0 => Self::Crash { daemon: first },
            _ => Self::Wait { ms: u16::arbitrary(rng) % 2_500 },
        }
    }
}

#[derive(Default)]
struct Daemon {
    /// Incarnation of the process.
    process: u32,
    view: ConfigView,
    freshness: FreshnessTable,
    /// Whether the service is unreachable.
    cut: bool,
}

/// An answer on its way to `daemon`.
enum Answer {
    Service {
        daemon: usize,
        process: u32,
        requested_at: TimePoint,
        revision: u64,
        entries: Vec<RecordEntry>,
    },
    Peer {
        daemon: usize,
        process: u32,
        peer: usize,
        requested_at: TimePoint,
        complete: u64,
        age_ms: Option<u64>,
        entries: Vec<RecordEntry>,
    },
}

/// Changes as the test's oracle sees them: record, revision, and when the operator received the answer.
type AcceptedChanges = Vec<(u8, u64, TimePoint)>;

/// Model of the service, the daemons and the operators' accepted changes.
#[derive(Default)]
struct Simulation {
    now: TimePoint,
    revision: u64,
    stored: Vec<RecordEntry>,
    daemons: Vec<Daemon>,
    /// Pairs of daemons that are unreachable for each other, the lower index first.
    cut_pairs: BTreeSet<(usize, usize)>,
    /// Answers in flight.
    answers: Vec<Answer>,
    accepted: AcceptedChanges,
    /// Stored changes that did not reach every daemon at once. Fresh daemons must have them too, as long as no process
    /// has ended since.
    pending: AcceptedChanges,
    /// Highest revisions observed on each daemon, by record.
    seen: Vec<[u64; 2]>,
}

fn daemon_name(daemon: usize) -> SharedName {
    format!("entry-{daemon}").into()
}

fn record_name(record: u8) -> RecordName {
    RecordName::Weights(format!("r{record}").into())
}

fn sorted_pair(first: usize, second: usize) -> (usize, usize) {
    (first.min(second), first.max(second))
}

impl Simulation {
    fn is_reachable(&self, first: usize, second: usize) -> bool {
        !self.cut_pairs.contains(&sorted_pair(first, second))
    }

    fn change(&mut self, daemon: usize, record: u8, lost: bool) {
        if self.daemons[daemon].cut {
            return;
        }
        self.revision += 1;
        let entry = RecordEntry {
            name: record_name(record),
            revision: self.revision,
            record: Arc::new(ConfigRecord::Weights(self.revision)),
        };
        self.stored.retain(|old| old.name != entry.name);
        self.stored.push(entry.clone());
        if lost {
            return;
        }
        let mut all_reached = true;
        for peer in 0..self.daemons.len() {
            if peer == daemon || self.is_reachable(daemon, peer) {
                self.daemons[peer].view.apply(entry.clone());
            } else {
                all_reached = false;
            }
        }
        let change = (record, self.revision, self.now);
        if all_reached { self.accepted.push(change) } else { self.pending.push(change) }
    }

    fn request_service(&mut self, daemon: usize) {
        if self.daemons[daemon].cut {
            return;
        }
        let since = self.daemons[daemon].view.complete_revision();
        let entries = self.stored.iter().filter(|entry| entry.revision > since).cloned().collect();
        let process = self.daemons[daemon].process;
        self.answers.push(Answer::Service {
            daemon,
            process,
            requested_at: self.now,
            revision: self.revision,
            entries,
        });
    }

    fn request_peer(&mut self, daemon: usize, peer: usize) {
        if daemon == peer || !self.is_reachable(daemon, peer) {
            return;
        }
        let since = self.daemons[daemon].view.complete_revision();
        let other = &self.daemons[peer];
        self.answers.push(Answer::Peer {
            daemon,
            process: self.daemons[daemon].process,
            peer,
            requested_at: self.now,
            complete: other.view.complete_revision(),
            age_ms: other.freshness.age_ms(self.now),
            entries: other.view.entries_since(since),
        });
    }

    fn deliver_answer(&mut self, index: usize) {
        match self.answers.remove(index) {
            Answer::Service { daemon, process, requested_at, revision, entries } => {
                let state = &mut self.daemons[daemon];
                if state.process != process {
                    return;
                }
                entries.into_iter().for_each(|entry| {
                    state.view.apply(entry);
                });
                state.view.revision_completed(revision);
                state.freshness.service_read(requested_at);
            }
            Answer::Peer { daemon, process, peer, requested_at, complete, age_ms, entries } => {
                let state = &mut self.daemons[daemon];
                if state.process != process {
                    return;
                }
                entries.into_iter().for_each(|entry| {
                    state.view.apply(entry);
                });
                state.view.revision_completed(complete);
                state.freshness.peer_answered(&daemon_name(peer), requested_at, age_ms);
                self.update_freshness(daemon);
            }
        }
    }

    /// Updates the freshness from the peers' answers, as a daemon does after each exchange.
    fn update_freshness(&mut self, daemon: usize) {
        let peers: Vec<SharedName> = (0..self.daemons.len()).filter(|peer| *peer != daemon).map(daemon_name).collect();
        let state = &mut self.daemons[daemon];
        if state.view.complete_revision() > 0 {
            state.freshness.update_from_peers(&peers, self.now);
        }
    }

    fn apply(&mut self, command: &Command) {
        match *command {
            Command::Change { daemon, record, lost } => self.change(daemon.into(), record, lost),
            Command::RequestService { daemon } => self.request_service(daemon.into()),
            Command::RequestPeer { daemon, peer } => self.request_peer(daemon.into(), peer.into()),
            Command::Exchange { daemon, service } => {
                let answers_before = self.answers.len();
                if service {
                    self.request_service(daemon.into());
                }
                (0..self.daemons.len()).for_each(|peer| self.request_peer(daemon.into(), peer));
                while self.answers.len() > answers_before {
                    self.deliver_answer(answers_before);
                }
            }
            Command::DeliverAnswer { answer, lost } if !self.answers.is_empty() => {
                let index = usize::from(answer) % self.answers.len();
                if lost {
                    self.answers.remove(index);
                } else {
                    self.deliver_answer(index);
                }
            }
            Command::DeliverAnswer { .. } => {}
            Command::CutService { daemon, cut } => self.daemons[usize::from(daemon)].cut = cut,
            Command::CutPeers { first, second, cut: true } => {
                self.cut_pairs.insert(sorted_pair(first.into(), second.into()));
            }
            Command::CutPeers { first, second, cut: false } => {
                self.cut_pairs.remove(&sorted_pair(first.into(), second.into()));
            }
            Command::Crash { daemon } => {
                self.pending.clear();
                let index = usize::from(daemon);
                let ended = &self.daemons[index];
                self.daemons[index] = Daemon { process: ended.process + 1, cut: ended.cut, ..Daemon::default() };
                self.seen[index] = [0, 0];
            }
            Command::Wait { ms } => self.now = self.now.plus_ms(u64::from(ms)),
        }
    }

    fn revision_at(&self, daemon: usize, record: u8) -> u64 {
        self.daemons[daemon].view.get(&record_name(record)).map_or(0, |entry| entry.revision)
    }

    /// Fails if a daemon reverted a record, or is fresh without a change whose time bound has passed.
    fn check(&mut self) -> Result<(), String> {
        for daemon in 0..self.daemons.len() {
            for record in 0..2 {
                let held = self.revision_at(daemon, record);
                let seen = &mut self.seen[daemon][usize::from(record)];
                if held < *seen {
                    return Err(format!("daemon {daemon} reverted from revision {seen} to {held}"));
                }
                *seen = held;
            }
            if !self.daemons[daemon].freshness.is_fresh(self.now) {
                continue;
            }
            for (record, revision, accepted_at) in self.accepted.iter().chain(&self.pending) {
                let is_overdue = self.now.since_ms(*accepted_at) > BOUND_MS;
                if is_overdue && self.revision_at(daemon, *record) < *revision {
                    return Err(format!(
                        "daemon {daemon} is fresh without revision {revision}, accepted at {accepted_at:?}, now {:?}",
                        self.now
                    ));
                }
            }
        }
        Ok(())
    }
}

fn accepted_changes_take_effect_and_stay(commands: Vec<Command>) -> Result<(), String> {
    let mut simulation = Simulation { now: TimePoint(10_000), revision: 1, ..Simulation::default() };
    simulation.daemons.resize_with(usize::from(DAEMONS), Daemon::default);
    simulation.seen.resize(usize::from(DAEMONS), [0, 0]);
    for command in &commands {
        simulation.apply(command);
        simulation.check()?;
    }
    Ok(())
}

#[test]
fn accepted_changes_take_effect_within_the_bound_and_are_never_reverted() {
    sequence::check(0xc0f1, 100, accepted_changes_take_effect_and_stay);
}

/// While the key-value service is unreachable for all, daemons that reach all their peers stay fresh and keep serving.
/// A daemon that reaches only some of them must not.
#[test]
fn daemons_that_reach_all_peers_stay_fresh_during_an_outage() {
    let mut simulation = Simulation { now: TimePoint(10_000), revision: 1, ..Simulation::default() };
    simulation.daemons.resize_with(usize::from(DAEMONS), Daemon::default);
    for daemon in 0..3 {
        simulation.apply(&Command::RequestService { daemon });
        simulation.apply(&Command::DeliverAnswer { answer: 0, lost: false });
        simulation.apply(&Command::CutService { daemon, cut: true });
    }
    for _ in 0..100 {
        simulation.apply(&Command::Wait { ms: 1_000 });
        for (daemon, peer) in [(0, 1), (0, 2), (1, 0), (1, 2), (2, 0), (2, 1)] {
            simulation.apply(&Command::RequestPeer { daemon, peer });
            simulation.apply(&Command::DeliverAnswer { answer: 0, lost: false });
        }
        assert!(simulation.daemons.iter().all(|daemon| daemon.freshness.is_fresh(simulation.now)));
    }
    simulation.apply(&Command::CutPeers { first: 0, second: 1, cut: true });
    for _ in 0..5 {
        simulation.apply(&Command::Wait { ms: 1_000 });
        simulation.apply(&Command::RequestPeer { daemon: 0, peer: 2 });
        simulation.apply(&Command::DeliverAnswer { answer: 0, lost: false });
    }
    assert!(
        !simulation.daemons[0].freshness.is_fresh(simulation.now),
        "a daemon that reaches only some peers may lack changes"
    );
}
