//! The duty's term: no two holders act in turn within the handover time, and tokens never fall.

use crate::sequence;
use pimentoslip_kernel::{DutyHistory, DutyTerm, LeaseStatus, SharedName, TimePoint};
use quickcheck::{Arbitrary, Gen};

const DAEMONS: usize = 3;
const LEASE_MS: u64 = 3_000;
const HANDOVER_MS: u64 = 3_000;
/// True time at the start.
const UNIX_MS: u64 = 1_700_000_000_000;
/// Longest life of a call.
const CALL_MS: u64 = 800;

#[derive(Clone, Debug)]
enum Command {
    /// A daemon renews its lease; the answer may be lost.
    Renew {
        daemon: u8,
        lost: bool,
    },
    /// A daemon takes a new lease, unless it has one that it knows of.
    Grant {
        daemon: u8,
    },
    /// A daemon hears who holds the duty.
    Hear {
        daemon: u8,
    },
    /// A daemon takes the duty if the store has no holder.
    Take {
        daemon: u8,
    },
    /// A daemon acts if it may. Its round may have waited since its last look at the lease.
    Act {
        daemon: u8,
        fresh: bool,
    },
    Wait {
        ms: u16,
    },
}

impl Arbitrary for Command {
    fn arbitrary(rng: &mut Gen) -> Self {
        let (a, b) = (u8::arbitrary(rng), u8::arbitrary(rng));
        match u8::arbitrary(rng) % 16 {
            0..=3 => Self::Renew { daemon: a, lost: b % 4 == 0 },
            4..=5 => Self::Grant { daemon: a },
            6..=7 => Self::Hear { daemon: a },
            8..=9 => Self::Take { daemon: a },
            10..=12 => Self::Act { daemon: a, fresh: b % 3 > 0 },
            _ => Self::Wait { ms: u16::arbitrary(rng) % 1_500 },
        }
    }
}

#[derive(Default)]
struct Daemon {
    lease: Option<u64>,
    ends_at: TimePoint,
    recorded: Option<u64>,
    term: Option<DutyTerm>,
}

#[derive(Default)]
struct World {
    now: TimePoint,
    revision: u64,
    /// Leases that the store keeps, with their ends.
    leases: Vec<(u64, TimePoint)>,
    /// Token and lease of the duty's record.
    duty: Option<(u64, u64)>,
    history: DutyHistory,
    /// How far the clock of each VM is ahead of true time.
    clocks_ahead_ms: [u64; DAEMONS],
    daemons: Vec<Daemon>,
    acts: Vec<(TimePoint, usize, u64)>,
}

fn name(daemon: usize) -> SharedName {
    format!("d{daemon}").into()
}

impl World {
    fn lease_ends(&self, lease: u64) -> Option<TimePoint> {
        self.leases.iter().find(|(known, ends)| *known == lease && *ends > self.now).map(|(_, ends)| *ends)
    }

    fn settle(&mut self) {
        if self.duty.is_some_and(|(_, lease)| self.lease_ends(lease).is_none()) {
            self.duty = None;
        }
    }

    fn act(&mut self, at: usize, fresh: bool) -> Result<(), String> {
        let now = self.now;
        let daemon = &mut self.daemons[at];
        let standing = LeaseStatus { lease: daemon.lease, expires_at: daemon.ends_at, duty_revision: daemon.recorded };
        if fresh && daemon.term.as_mut().is_some_and(|term| !term.refresh(standing)) {
            daemon.term = None;
        }
        let Some(term) = daemon.term.filter(|term| term.may_act(now, CALL_MS)) else { return Ok(()) };
        let token = term.fencing_token;
        if let Some((_, holder, highest)) = self.acts.iter().find(|(_, _, other)| *other > token) {
            return Err(format!("daemon {at} acts under {token} after daemon {holder} under {highest}"));
        }
        let turn = self.acts.iter().rposition(|(_, holder, _)| *holder == at);
        let between = turn.map_or(&[][..], |turn| &self.acts[turn + 1..]);
        if let (Some(turn), Some(_)) = (turn, between.first())
            && now.since_ms(self.acts[turn].0) < HANDOVER_MS
        {
            return Err(format!("daemon {at} takes turns within {} ms", now.since_ms(self.acts[turn].0)));
        }
        self.acts.push((now, at, token));
        Ok(())
    }

    fn step(&mut self, command: &Command) -> Result<(), String> {
        self.settle();
        match *command {
            Command::Renew { daemon, lost } => {
                let at = usize::from(daemon) % DAEMONS;
                let Some(lease) = self.daemons[at].lease else { return Ok(()) };
                let held = self.lease_ends(lease).is_some();
                if held {
                    let ends = self.now.plus_ms(LEASE_MS);
                    self.leases.iter_mut().filter(|(known, _)| *known == lease).for_each(|entry| entry.1 = ends);
                }
                if lost {
                    return Ok(());
                }
                let daemon = &mut self.daemons[at];
                if held {
                    daemon.ends_at = self.now.plus_ms(LEASE_MS);
                } else {
                    (daemon.lease, daemon.ends_at) = (None, TimePoint(0));
                }
            }
            Command::Grant { daemon } => {
                let daemon = &mut self.daemons[usize::from(daemon) % DAEMONS];
                if daemon.lease.is_none() {
                    self.revision += 1;
                    let ends = self.now.plus_ms(LEASE_MS);
                    self.leases.push((self.revision, ends));
                    (daemon.lease, daemon.ends_at) = (Some(self.revision), ends);
                }
            }
            Command::Hear { daemon } => {
                self.daemons[usize::from(daemon) % DAEMONS].recorded = self.duty.map(|(token, _)| token);
            }
            Command::Take { daemon } => {
                let at = usize::from(daemon) % DAEMONS;
                let Some(lease) = self.daemons[at].lease.filter(|lease| self.lease_ends(*lease).is_some()) else {
                    return Ok(());
                };
                if self.duty.is_none() {
                    self.revision += 1;
                    self.duty = Some((self.revision, lease));
                    let unix_ms = UNIX_MS + self.now.0 + self.clocks_ahead_ms[at];
                    let wait_ms = self.history.handover_wait_ms(&name(at), unix_ms, HANDOVER_MS);
                    self.history = std::mem::take(&mut self.history).with_acquisition(name(at), unix_ms);
                    let daemon = &mut self.daemons[at];
                    daemon.recorded = Some(self.revision);
                    daemon.term = Some(DutyTerm::start(self.revision, lease, self.now, daemon.ends_at, wait_ms));
                }
            }
            Command::Act { daemon, fresh } => self.act(usize::from(daemon) % DAEMONS, fresh)?,
            Command::Wait { ms } => self.now = self.now.plus_ms(u64::from(ms)),
        }
        Ok(())
    }
}

#[test]
fn holders_never_act_in_turn_and_tokens_never_fall() {
    sequence::check(0x7e31, 80, |commands: Vec<Command>| {
        let daemons = (0..DAEMONS).map(|_| Daemon::default()).collect();
        let clocks_ahead_ms = [0, 4_000, 9_000];
        let mut world = World { now: TimePoint(10_000), daemons, clocks_ahead_ms, ..World::default() };
        commands.iter().try_for_each(|command| world.step(command))
    });
}

#[test]
fn a_new_lease_of_the_same_process_is_no_part_of_the_term() {
    let mut term = DutyTerm::start(5, 1, TimePoint(0), TimePoint(3_000), 0);
    let renewed = LeaseStatus { lease: Some(1), expires_at: TimePoint(4_000), duty_revision: Some(5) };
    assert!(term.refresh(renewed));
    let replaced = LeaseStatus { lease: Some(2), expires_at: TimePoint(9_000), duty_revision: Some(5) };
    assert!(!term.refresh(replaced));
}

#[test]
fn a_holder_whose_renewal_came_late_goes_on_and_no_other_takes_turns_with_it() {
    let mut term = DutyTerm::start(5, 1, TimePoint(0), TimePoint(3_000), 0);
    let unrenewed = LeaseStatus { lease: Some(1), expires_at: TimePoint(3_000), duty_revision: Some(5) };
    assert!(term.refresh(unrenewed), "the record still hangs on a lease that may live");
    assert!(!term.may_act(TimePoint(2_500), CALL_MS));
    assert!(!term.may_act(TimePoint(9_000), CALL_MS));
    let renewed = LeaseStatus { lease: Some(1), expires_at: TimePoint(12_000), duty_revision: Some(5) };
    assert!(term.refresh(renewed));
    assert!(term.may_act(TimePoint(9_500), CALL_MS));
}

#[test]
fn a_successor_waits_only_where_it_would_take_turns() {
    // holders with the seconds at which they took the duty, who takes it at second 100, the wait in milliseconds
    type Holders = &'static [(&'static str, u64)];
    let cases: [(Holders, &str, u64); 7] = [
        (&[], "a", 0),
        (&[("b", 99)], "a", 0),
        (&[("a", 99)], "a", 0),
        (&[("a", 90), ("b", 99)], "a", HANDOVER_MS),
        (&[("a", 10), ("b", 50)], "a", 0),
        (&[("a", 10), ("b", 50), ("a", 60), ("c", 95)], "a", HANDOVER_MS),
        (&[("a", 10), ("b", 104)], "a", HANDOVER_MS),
    ];
    for (holders, taker, wait_ms) in cases {
        let seconds = |second: u64| UNIX_MS + second * 1_000;
        let history = holders.iter().fold(DutyHistory::default(), |history, (daemon, second)| {
            history.with_acquisition((*daemon).into(), seconds(*second))
        });
        assert_eq!(history.handover_wait_ms(taker, seconds(100), HANDOVER_MS), wait_ms, "{holders:?}");
    }
}
