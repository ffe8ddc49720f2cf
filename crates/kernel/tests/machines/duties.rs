//! Duties: a receiver never gets orders from two processes that both believe they are in charge.

use crate::sequence;
use pimentoslip_kernel::{HolderEvidence, LeaseHolder, TimePoint};
use quickcheck::{Arbitrary, Gen};

const DAEMONS: u8 = 3;
/// The lease guard, in which bytes of a dead process may still arrive.
const GUARD_MS: u64 = 2_000;

#[derive(Clone, Debug)]
enum Command {
    /// A daemon asks for the lease; the service answers now, and the answer arrives later.
    Acquire {
        daemon: u8,
    },
    /// A daemon renews; as above.
    Renew {
        daemon: u8,
    },
    /// An answer arrives, or is lost.
    Arrive {
        answer: u8,
        lost: bool,
    },
    /// An acquisition that nothing disturbs.
    Hold {
        daemon: u8,
    },
    /// A check and a write with nothing between them.
    Act {
        daemon: u8,
    },
    /// A daemon checks its authority before an order, and may then be frozen.
    Check {
        daemon: u8,
    },
    /// A daemon writes the order that it checked for, however long ago.
    Write {
        daemon: u8,
    },
    /// A daemon learns about the previous holder.
    Learn {
        daemon: u8,
    },
    /// A process ends; what it wrote last may still arrive within the guard.
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
        match u8::arbitrary(rng) % 20 {
            16 | 17 => Self::Hold { daemon: a },
            18 | 19 => Self::Act { daemon: a },
            0..=2 => Self::Acquire { daemon: a },
            3 | 4 => Self::Renew { daemon: a },
            5..=7 => Self::Arrive { answer: b, lost: b % 8 == 0 },
            8 | 9 => Self::Check { daemon: a },
            10 | 11 => Self::Write { daemon: a },
            12 => Self::Learn { daemon: a },
            13 if b % 3 == 0 => Self::Crash { daemon: a },
            _ => Self::Wait { ms: u16::arbitrary(rng) % 4_000 },
        }
    }
}

struct Daemon {
    process: u32,
    holder: LeaseHolder,
    checked: Option<u64>,
}

/// The service's lease: daemon, process, fencing number and end.
type Lease = (usize, u32, u64, TimePoint);

enum Answer {
    Acquired { daemon: usize, process: u32, fencing: u64, asked_at: TimePoint, previous: Vec<(usize, u32)> },
    Renewed { daemon: usize, process: u32, fencing: u64, asked_at: TimePoint },
}

struct World {
    checks: bool,
    now: TimePoint,
    revision: u64,
    lease: Option<Lease>,
    previous: Vec<(usize, u32)>,
    daemons: Vec<Daemon>,
    learned: Vec<Vec<(usize, u32)>>,
    answers: Vec<Answer>,
    /// Orders on the wire of dead processes: fencing number and last moment of arrival.
    late: Vec<(u64, TimePoint)>,
    received: Vec<u64>,
}

impl World {
    fn new(checks: bool) -> Self {
        let daemon = || Daemon { process: 0, holder: LeaseHolder::new(checks), checked: None };
        Self {
            checks,
            now: TimePoint(1_000),
            revision: 0,
            lease: None,
            previous: Vec::new(),
            daemons: (0..DAEMONS).map(|_| daemon()).collect(),
            learned: vec![Vec::new(); DAEMONS.into()],
            answers: Vec::new(),
            late: Vec::new(),
            received: Vec::new(),
        }
    }

    fn evidence(&self, daemon: usize, previous: &[(usize, u32)]) -> HolderEvidence {
        let of = |(other, process): &(usize, u32)| match self.daemons[*other].process {
            now if *other == daemon && now == *process => HolderEvidence::Clear,
            now if now > *process => HolderEvidence::Ended,
            _ => HolderEvidence::Silent,
        };
        previous.iter().map(of).max().unwrap_or(HolderEvidence::Clear)
    }

    /// A holder takes proved former holders off the record, if the lease is still its own.
    fn trim(&mut self, daemon: usize) {
        let process = self.daemons[daemon].process;
        let held = self.daemons[daemon].holder.authority(self.now).map(|(fencing, _)| fencing);
        let own = |lease: &Lease| lease.0 == daemon && Some(lease.2) == held && lease.3 > self.now;
        if self.lease.as_ref().is_some_and(own) {
            self.previous = vec![(daemon, process)];
        }
    }

    fn acquire(&mut self, daemon: usize) {
        if self.lease.is_some_and(|(_, _, _, end)| end > self.now) {
            return;
        }
        self.revision += 1;
        let process = self.daemons[daemon].process;
        let end = self.now.plus_ms(self.daemons[daemon].holder.ttl_ms());
        self.lease = Some((daemon, process, self.revision, end));
        let previous = self.previous.clone();
        self.previous.retain(|holder| *holder != (daemon, process));
        self.previous.push((daemon, process));
        self.answers.push(Answer::Acquired { daemon, process, fencing: self.revision, asked_at: self.now, previous });
    }

    fn renew(&mut self, daemon: usize) {
        let process = self.daemons[daemon].process;
        let Some((holder, held_by, fencing, end)) = &mut self.lease else { return };
        if *holder != daemon || *held_by != process || *end <= self.now {
            return;
        }
        *end = self.now.plus_ms(self.daemons[daemon].holder.ttl_ms());
        let fencing = *fencing;
        self.answers.push(Answer::Renewed { daemon, process, fencing, asked_at: self.now });
    }

    fn arrive(&mut self, at: usize) {
        match self.answers.remove(at) {
            Answer::Acquired { daemon, process, fencing, asked_at, previous } => {
                if self.daemons[daemon].process == process {
                    let evidence = self.evidence(daemon, &previous);
                    self.learned[daemon] = previous;
                    self.daemons[daemon].holder.lease_acquired(fencing, asked_at, evidence, self.now);
                }
            }
            Answer::Renewed { daemon, process, fencing, asked_at } => {
                if self.daemons[daemon].process == process {
                    self.daemons[daemon].holder.lease_renewed(fencing, asked_at);
                }
            }
        }
    }

    /// An order arrives. One that was checked and written without a pause is never refused.
    fn receive(&mut self, fencing: u64, paused: bool) -> Result<(), String> {
        let newest = self.received.iter().copied().max().unwrap_or(0);
        if fencing < newest {
            if self.checks && paused {
                return Ok(());
            }
            return Err(format!("an order under {fencing} arrived after one under {newest}"));
        }
        self.received.push(fencing);
        Ok(())
    }

    fn apply(&mut self, command: &Command) -> Result<(), String> {
        match *command {
            Command::Acquire { daemon } => self.acquire(daemon.into()),
            Command::Renew { daemon } => self.renew(daemon.into()),
            Command::Arrive { answer, lost } if !self.answers.is_empty() => {
                let at = usize::from(answer) % self.answers.len();
                if lost {
                    self.answers.remove(at);
                } else {
                    self.arrive(at);
                }
            }
            Command::Arrive { .. } => {}
            Command::Hold { daemon } => {
                let before = self.answers.len();
                self.acquire(daemon.into());
                if self.answers.len() > before {
                    self.arrive(before);
                }
            }
            Command::Act { daemon } => {
                self.apply(&Command::Learn { daemon })?;
                self.apply(&Command::Check { daemon })?;
                self.trim(daemon.into());
                if let Some(fencing) = self.daemons[usize::from(daemon)].checked.take() {
                    self.receive(fencing, false)?;
                }
            }
            Command::Check { daemon } => {
                let now = self.now;
                let daemon = &mut self.daemons[usize::from(daemon)];
                daemon.holder.expire(now);
                daemon.checked = daemon.holder.authority(now).map(|(fencing, _)| fencing);
            }
            Command::Write { daemon } => {
                if let Some(fencing) = self.daemons[usize::from(daemon)].checked.take() {
                    self.receive(fencing, true)?;
                }
            }
            Command::Learn { daemon } => {
                let at = usize::from(daemon);
                let evidence = self.evidence(at, &self.learned[at]);
                let now = self.now;
                self.daemons[at].holder.evidence_updated(evidence, now);
            }
            Command::Crash { daemon } => {
                let at = usize::from(daemon);
                let old = &mut self.daemons[at];
                if let Some(fencing) = old.checked.take() {
                    self.late.push((fencing, self.now.plus_ms(GUARD_MS)));
                }
                *old = Daemon { process: old.process + 1, holder: LeaseHolder::new(self.checks), checked: None };
            }
            Command::Wait { ms } => {
                self.now = self.now.plus_ms(u64::from(ms));
                // Bytes of dead processes arrive at the last moment at which they can.
                let (over, waiting): (Vec<_>, Vec<_>) = self.late.iter().partition(|(_, end)| *end <= self.now);
                self.late = waiting;
                for (fencing, _) in over {
                    self.receive(fencing, true)?;
                }
            }
        }
        Ok(())
    }
}

fn run(checks: bool, commands: &[Command]) -> Result<(), String> {
    let mut world = World::new(checks);
    commands.iter().try_for_each(|command| world.apply(command))
}

#[test]
fn receivers_that_check_nothing_get_orders_from_one_holder_at_a_time() {
    sequence::check(0xd071, 100, |commands| run(false, &commands));
}

#[test]
fn receivers_that_check_get_orders_from_one_holder_at_a_time() {
    sequence::check(0xd072, 100, |commands| run(true, &commands));
}

/// Without any failure of the service, orders are given at all.
#[test]
fn a_successor_acts_once_its_predecessor_has_ended() {
    for checks in [false, true] {
        let mut world = World::new(checks);
        let commands = [
            Command::Acquire { daemon: 0 },
            Command::Arrive { answer: 0, lost: false },
            Command::Check { daemon: 0 },
            Command::Write { daemon: 0 },
            Command::Crash { daemon: 0 },
            Command::Wait { ms: 6_000 },
            Command::Acquire { daemon: 1 },
            Command::Arrive { answer: 0, lost: false },
            Command::Wait { ms: 2_000 },
            Command::Learn { daemon: 1 },
            Command::Check { daemon: 1 },
            Command::Write { daemon: 1 },
        ];
        commands.iter().try_for_each(|command| world.apply(command)).expect("one holder at a time");
        assert_eq!(world.received.len(), 2, "checks {checks}");
    }
}

/// A holder that never answered any more, but was not proved to have ended, is not succeeded where the
/// receiver checks nothing.
#[test]
fn a_silent_predecessor_is_not_succeeded_without_fencing() {
    let mut world = World::new(false);
    for command in [
        Command::Acquire { daemon: 0 },
        Command::Arrive { answer: 0, lost: false },
        Command::Wait { ms: 60_000 },
        Command::Acquire { daemon: 1 },
        Command::Arrive { answer: 0, lost: false },
        Command::Learn { daemon: 1 },
        Command::Check { daemon: 1 },
    ] {
        world.apply(&command).expect("one holder at a time");
    }
    assert!(world.daemons[1].checked.is_none());
}

/// A holder checks, is frozen past its lease, writes when it wakes, and dies: its last bytes may arrive
/// within the guard, so its successor waits that long after the proof of its end.
#[test]
fn a_successor_waits_for_the_last_bytes_of_a_thawed_predecessor() {
    let commands = [
        Command::Hold { daemon: 0 },
        Command::Check { daemon: 0 },
        Command::Wait { ms: 10_000 },
        Command::Hold { daemon: 1 },
        Command::Crash { daemon: 0 },
        Command::Act { daemon: 1 },
        Command::Wait { ms: 2_000 },
        Command::Act { daemon: 1 },
    ];
    let mut world = World::new(false);
    commands.iter().try_for_each(|command| world.apply(command)).expect("one holder at a time");
    assert_eq!(world.received, [1, 2]);
}

/// A successor that lost its own lease and took it again must still know of the silent holder before it.
#[test]
fn a_silent_holder_is_not_forgotten_when_another_came_between() {
    let commands = [
        Command::Hold { daemon: 2 },
        Command::Check { daemon: 2 },
        Command::Wait { ms: 7_000 },
        Command::Acquire { daemon: 1 },
        Command::Wait { ms: 7_000 },
        Command::Hold { daemon: 1 },
        Command::Act { daemon: 1 },
        Command::Write { daemon: 2 },
    ];
    let mut world = World::new(false);
    commands.iter().try_for_each(|command| world.apply(command)).expect("one holder at a time");
}

/// The late answer of an older grant must not take a newer one's place.
#[test]
fn a_late_answer_of_an_older_grant_is_ignored() {
    let mut holder = LeaseHolder::new(true);
    holder.lease_acquired(2, TimePoint(8_000), HolderEvidence::Clear, TimePoint(8_000));
    holder.lease_acquired(1, TimePoint(7_000), HolderEvidence::Clear, TimePoint(8_100));
    assert_eq!(holder.authority(TimePoint(8_200)), Some((2, TimePoint(12_000))));
    holder.lease_renewed(1, TimePoint(9_000));
    assert_eq!(holder.authority(TimePoint(8_200)), Some((2, TimePoint(12_000))), "nor its renewal");
}
