//! Configuration: in force everywhere within seconds, never reverting; withdrawn keys stop within seconds.

use crate::sequence;
use pimentoslip_kernel::{ConfigRecord, ConfigView, FreshnessTable, RecordEntry, RecordName, SharedName, TimePoint};
use quickcheck::{Arbitrary, Gen};
use std::{collections::BTreeSet, sync::Arc};

const DAEMONS: u8 = 3;
/// The stated target: an accepted change is in force everywhere within this time.
const BOUND_MS: u64 = 5_000;

#[derive(Clone, Debug)]
enum Command {
    /// An operator changes the record through a daemon; the answer of the write may be lost.
    Change {
        daemon: u8,
        record: u8,
        lost: bool,
    },
    /// A daemon asks the service; the answer is made now and arrives later.
    AskService {
        daemon: u8,
    },
    /// A daemon asks a peer; the peer answers at once, and the answer arrives later.
    AskPeer {
        daemon: u8,
        peer: u8,
    },
    /// A daemon asks everyone that it reaches, and all answers arrive at once.
    Round {
        daemon: u8,
        service: bool,
    },
    /// An answer under way arrives, or is lost.
    Arrive {
        answer: u8,
        lost: bool,
    },
    /// The service stops or starts answering a daemon.
    CutService {
        daemon: u8,
        cut: bool,
    },
    /// Two daemons stop or start hearing each other.
    CutPeers {
        a: u8,
        b: u8,
        cut: bool,
    },
    /// A process ends; its peers find its port closed. It starts again knowing nothing.
    Crash {
        daemon: u8,
    },
    Wait {
        ms: u16,
    },
}

impl Arbitrary for Command {
    fn arbitrary(rng: &mut Gen) -> Self {
        let (a, b) = (u8::arbitrary(rng) % DAEMONS, u8::arbitrary(rng));
        let flag = bool::arbitrary(rng);
        match u8::arbitrary(rng) % 22 {
            16..=21 => Self::Round { daemon: a, service: flag },
            0 | 1 => Self::Change { daemon: a, record: b % 2, lost: b % 8 > 5 },
            2..=4 => Self::AskService { daemon: a },
            5..=8 => Self::AskPeer { daemon: a, peer: b % DAEMONS },
            9..=11 => Self::Arrive { answer: b, lost: b % 16 == 0 },
            12 => Self::CutService { daemon: a, cut: flag },
            13 => Self::CutPeers { a, b: b % DAEMONS, cut: flag },
            14 if b % 4 == 0 => Self::Crash { daemon: a },
            _ => Self::Wait { ms: u16::arbitrary(rng) % 2_500 },
        }
    }
}

#[derive(Default)]
struct Daemon {
    process: u32,
    view: ConfigView,
    freshness: FreshnessTable,
    cut: bool,
}

enum Answer {
    Service {
        daemon: usize,
        process: u32,
        asked_at: TimePoint,
        revision: u64,
        entries: Vec<RecordEntry>,
    },
    Peer {
        daemon: usize,
        process: u32,
        peer: usize,
        asked_at: TimePoint,
        complete: u64,
        age_ms: Option<u64>,
        entries: Vec<RecordEntry>,
    },
}

/// A record's accepted changes as the oracle sees them: revision and when its operator was told.
type Accepted = Vec<(u8, u64, TimePoint)>;

#[derive(Default)]
struct World {
    now: TimePoint,
    revision: u64,
    stored: Vec<RecordEntry>,
    daemons: Vec<Daemon>,
    cut_pairs: BTreeSet<(usize, usize)>,
    answers: Vec<Answer>,
    accepted: Accepted,
    /// Changes on record that some daemon has not confirmed. They bind fresh daemons too, as long as no
    /// process has ended since.
    pending: Accepted,
    seen: Vec<[u64; 2]>,
}

fn name(daemon: usize) -> SharedName {
    format!("entry-{daemon}").into()
}

fn record_name(record: u8) -> RecordName {
    RecordName::Weights(format!("r{record}").into())
}

fn pair(a: usize, b: usize) -> (usize, usize) {
    (a.min(b), a.max(b))
}

impl World {
    fn reach(&self, a: usize, b: usize) -> bool {
        !self.cut_pairs.contains(&pair(a, b))
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
        let mut everywhere = true;
        for peer in 0..self.daemons.len() {
            if peer == daemon || self.reach(daemon, peer) {
                self.daemons[peer].view.apply(entry.clone());
            } else {
                everywhere = false;
            }
        }
        let change = (record, self.revision, self.now);
        if everywhere { self.accepted.push(change) } else { self.pending.push(change) }
    }

    fn ask_service(&mut self, daemon: usize) {
        if self.daemons[daemon].cut {
            return;
        }
        let since = self.daemons[daemon].view.complete_revision();
        let entries = self.stored.iter().filter(|entry| entry.revision > since).cloned().collect();
        let process = self.daemons[daemon].process;
        self.answers.push(Answer::Service { daemon, process, asked_at: self.now, revision: self.revision, entries });
    }

    fn ask_peer(&mut self, daemon: usize, peer: usize) {
        if daemon == peer || !self.reach(daemon, peer) {
            return;
        }
        let since = self.daemons[daemon].view.complete_revision();
        let other = &self.daemons[peer];
        self.answers.push(Answer::Peer {
            daemon,
            process: self.daemons[daemon].process,
            peer,
            asked_at: self.now,
            complete: other.view.complete_revision(),
            age_ms: other.freshness.age_ms(self.now),
            entries: other.view.entries_since(since),
        });
    }

    fn arrive(&mut self, at: usize) {
        match self.answers.remove(at) {
            Answer::Service { daemon, process, asked_at, revision, entries } => {
                let state = &mut self.daemons[daemon];
                if state.process != process {
                    return;
                }
                entries.into_iter().for_each(|entry| {
                    state.view.apply(entry);
                });
                state.view.revision_completed(revision);
                state.freshness.service_read(asked_at);
            }
            Answer::Peer { daemon, process, peer, asked_at, complete, age_ms, entries } => {
                let state = &mut self.daemons[daemon];
                if state.process != process {
                    return;
                }
                entries.into_iter().for_each(|entry| {
                    state.view.apply(entry);
                });
                state.view.revision_completed(complete);
                state.freshness.peer_answered(&name(peer), asked_at, age_ms);
                self.hear_all(daemon);
            }
        }
    }

    /// What every daemon does after a round of exchanges.
    fn hear_all(&mut self, daemon: usize) {
        let peers: Vec<SharedName> = (0..self.daemons.len()).filter(|peer| *peer != daemon).map(name).collect();
        let state = &mut self.daemons[daemon];
        if state.view.complete_revision() > 0 {
            state.freshness.update_from_peers(&peers, self.now);
        }
    }

    fn apply(&mut self, command: &Command) {
        match *command {
            Command::Change { daemon, record, lost } => self.change(daemon.into(), record, lost),
            Command::AskService { daemon } => self.ask_service(daemon.into()),
            Command::AskPeer { daemon, peer } => self.ask_peer(daemon.into(), peer.into()),
            Command::Round { daemon, service } => {
                let before = self.answers.len();
                if service {
                    self.ask_service(daemon.into());
                }
                (0..self.daemons.len()).for_each(|peer| self.ask_peer(daemon.into(), peer));
                while self.answers.len() > before {
                    self.arrive(before);
                }
            }
            Command::Arrive { answer, lost } if !self.answers.is_empty() => {
                let at = usize::from(answer) % self.answers.len();
                if lost {
                    self.answers.remove(at);
                } else {
                    self.arrive(at);
                }
            }
            Command::Arrive { .. } => {}
            Command::CutService { daemon, cut } => self.daemons[usize::from(daemon)].cut = cut,
            Command::CutPeers { a, b, cut: true } => {
                self.cut_pairs.insert(pair(a.into(), b.into()));
            }
            Command::CutPeers { a, b, cut: false } => {
                self.cut_pairs.remove(&pair(a.into(), b.into()));
            }
            Command::Crash { daemon } => {
                self.pending.clear();
                let at = usize::from(daemon);
                let old = &self.daemons[at];
                self.daemons[at] = Daemon { process: old.process + 1, cut: old.cut, ..Daemon::default() };
                self.seen[at] = [0, 0];
            }
            Command::Wait { ms } => self.now = self.now.plus_ms(u64::from(ms)),
        }
    }

    fn revision_at(&self, daemon: usize, record: u8) -> u64 {
        self.daemons[daemon].view.get(&record_name(record)).map_or(0, |entry| entry.revision)
    }

    fn check(&mut self) -> Result<(), String> {
        for daemon in 0..self.daemons.len() {
            for record in 0..2 {
                let held = self.revision_at(daemon, record);
                let seen = &mut self.seen[daemon][usize::from(record)];
                if held < *seen {
                    return Err(format!("daemon {daemon} went back from {seen} to {held}"));
                }
                *seen = held;
            }
            if !self.daemons[daemon].freshness.is_fresh(self.now) {
                continue;
            }
            for (record, revision, accepted_at) in self.accepted.iter().chain(&self.pending) {
                let late = self.now.since_ms(*accepted_at) > BOUND_MS;
                if late && self.revision_at(daemon, *record) < *revision {
                    return Err(format!(
                        "daemon {daemon} serves without revision {revision}, accepted {accepted_at:?}, now {:?}",
                        self.now
                    ));
                }
            }
        }
        Ok(())
    }
}

fn in_force_and_never_reverting(commands: Vec<Command>) -> Result<(), String> {
    let mut world = World { now: TimePoint(10_000), revision: 1, ..World::default() };
    world.daemons.resize_with(usize::from(DAEMONS), Daemon::default);
    world.seen.resize(usize::from(DAEMONS), [0, 0]);
    for command in &commands {
        world.apply(command);
        world.check()?;
    }
    Ok(())
}

#[test]
fn accepted_changes_are_in_force_within_the_bound_and_never_revert() {
    sequence::check(0xc0f1, 100, in_force_and_never_reverting);
}

/// While the service is away for all, daemons that hear each other go on serving.
#[test]
fn an_outage_for_all_stops_nobody() {
    let mut world = World { now: TimePoint(10_000), revision: 1, ..World::default() };
    world.daemons.resize_with(usize::from(DAEMONS), Daemon::default);
    for daemon in 0..3 {
        world.apply(&Command::AskService { daemon });
        world.apply(&Command::Arrive { answer: 0, lost: false });
        world.apply(&Command::CutService { daemon, cut: true });
    }
    for _ in 0..100 {
        world.apply(&Command::Wait { ms: 1_000 });
        for (daemon, peer) in [(0, 1), (0, 2), (1, 0), (1, 2), (2, 0), (2, 1)] {
            world.apply(&Command::AskPeer { daemon, peer });
            world.apply(&Command::Arrive { answer: 0, lost: false });
        }
        assert!(world.daemons.iter().all(|daemon| daemon.freshness.is_fresh(world.now)));
    }
    world.apply(&Command::CutPeers { a: 0, b: 1, cut: true });
    for _ in 0..5 {
        world.apply(&Command::Wait { ms: 1_000 });
        world.apply(&Command::AskPeer { daemon: 0, peer: 2 });
        world.apply(&Command::Arrive { answer: 0, lost: false });
    }
    assert!(!world.daemons[0].freshness.is_fresh(world.now), "a daemon that hears only some cannot know");
}
