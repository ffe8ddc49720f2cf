//! Duty leases: a receiver never receives orders from two processes that both believe that they hold the duty.

use crate::sequence;
use pimentoslip_kernel::{HolderEvidence, LeaseHolder, TimePoint};
use quickcheck::{Arbitrary, Gen};

const DAEMONS: u8 = 3;
/// The guard of the lease: the longest time for which messages of a dead process may still arrive.
const LEASE_GUARD_MS: u64 = 2_000;

/// Input to the simulation of a duty.
#[derive(Clone, Debug)]
enum Command {
    /// A daemon requests the lease. The key-value service grants it now, and the answer arrives later.
    Acquire { daemon: u8 },
    /// A daemon renews its lease. The service renews it now, and the answer arrives later.
    Renew { daemon: u8 },
    /// An answer arrives or is lost.
    DeliverAnswer { answer: u8, lost: bool },
    /// A daemon requests the lease and receives the answer at once.
    AcquireAtOnce { daemon: u8 },
    /// A daemon checks its authority and sends an order at once.
    SendAtOnce { daemon: u8 },
    /// A daemon checks its authority before an order. Its process may be frozen afterwards.
    Check { daemon: u8 },
    /// A daemon sends the order for which it checked its authority, however long ago.
    Send { daemon: u8 },
    /// A daemon updates its evidence on the previous holders.
    UpdateEvidence { daemon: u8 },
    /// A process ends and restarts. The order that it sent last may still arrive within the guard.
    Crash { daemon: u8 },
    /// Time passes.
    Wait { ms: u16 },
}

impl Arbitrary for Command {
    fn arbitrary(rng: &mut Gen) -> Self {
        let (first, second) = (u8::arbitrary(rng) % DAEMONS, u8::arbitrary(rng));
        match u8::arbitrary(rng) % 20 {
            16 | 17 => Self::AcquireAtOnce { daemon: first },
            18 | 19 => Self::SendAtOnce { daemon: first },
            0..=2 => Self::Acquire { daemon: first },
            3 | 4 => Self::Renew { daemon: first },
            5..=7 => Self::DeliverAnswer { answer: second, lost: second % 8 == 0 },
            8 | 9 => Self::Check { daemon: first },
            10 | 11 => Self::Send { daemon: first },
            12 => Self::UpdateEvidence { daemon: first },
            13 if second % 3 == 0 => Self::Crash { daemon: first },
            _ => Self::Wait { ms: u16::arbitrary(rng) % 4_000 },
        }
    }
}

/// A daemon with its current process.
struct Daemon {
    /// Incarnation of the process.
    process: u32,
    holder: LeaseHolder,
    /// Fencing number of the last check, until the order is sent.
    checked: Option<u64>,
}

/// The lease as stored in the service: daemon, process, fencing number and end.
type Lease = (usize, u32, u64, TimePoint);

/// An answer of the service on its way to a daemon.
enum Answer {
    Acquired { daemon: usize, process: u32, fencing_number: u64, requested_at: TimePoint, previous: Vec<(usize, u32)> },
    Renewed { daemon: usize, process: u32, fencing_number: u64, requested_at: TimePoint },
}

/// Model of the service, the daemons and the receiver of their orders.
struct Simulation {
    /// Whether the receiver checks fencing numbers.
    checks_fencing: bool,
    now: TimePoint,
    revision: u64,
    lease: Option<Lease>,
    /// Previous holders stored in the service: daemon and process.
    previous: Vec<(usize, u32)>,
    daemons: Vec<Daemon>,
    /// Previous holders that each daemon read when it acquired the lease.
    observed_holders: Vec<Vec<(usize, u32)>>,
    answers: Vec<Answer>,
    /// Orders of dead processes in flight: fencing number and latest time of arrival.
    in_flight: Vec<(u64, TimePoint)>,
    /// Fencing numbers of the orders that the receiver accepted.
    received: Vec<u64>,
}

impl Simulation {
    fn new(checks_fencing: bool) -> Self {
        let daemon = || Daemon { process: 0, holder: LeaseHolder::new(checks_fencing), checked: None };
        Self {
            checks_fencing,
            now: TimePoint(1_000),
            revision: 0,
            lease: None,
            previous: Vec::new(),
            daemons: (0..DAEMONS).map(|_| daemon()).collect(),
            observed_holders: vec![Vec::new(); DAEMONS.into()],
            answers: Vec::new(),
            in_flight: Vec::new(),
            received: Vec::new(),
        }
    }

    /// Evidence of `daemon` on whether the holders `previous` have ended.
    fn evidence(&self, daemon: usize, previous: &[(usize, u32)]) -> HolderEvidence {
        let evidence_of = |(other, process): &(usize, u32)| match self.daemons[*other].process {
            current if *other == daemon && current == *process => HolderEvidence::Clear,
            current if current > *process => HolderEvidence::Ended,
            _ => HolderEvidence::Silent,
        };
        previous.iter().map(evidence_of).max().unwrap_or(HolderEvidence::Clear)
    }

    /// Deletes the previous holders, which have been proved to have ended, if `daemon` still holds the lease.
    fn delete_previous(&mut self, daemon: usize) {
        let process = self.daemons[daemon].process;
        let fencing_number = self.daemons[daemon].holder.authority(self.now).map(|(fencing_number, _)| fencing_number);
        let is_own = |lease: &Lease| lease.0 == daemon && Some(lease.2) == fencing_number && lease.3 > self.now;
        if self.lease.as_ref().is_some_and(is_own) {
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
        self.answers.push(Answer::Acquired {
            daemon,
            process,
            fencing_number: self.revision,
            requested_at: self.now,
            previous,
        });
    }

    fn renew(&mut self, daemon: usize) {
        let process = self.daemons[daemon].process;
        let Some((holder, held_by, fencing_number, end)) = &mut self.lease else { return };
        if *holder != daemon || *held_by != process || *end <= self.now {
            return;
        }
        *end = self.now.plus_ms(self.daemons[daemon].holder.ttl_ms());
        let fencing_number = *fencing_number;
        self.answers.push(Answer::Renewed { daemon, process, fencing_number, requested_at: self.now });
    }

    fn deliver_answer(&mut self, index: usize) {
        match self.answers.remove(index) {
            Answer::Acquired { daemon, process, fencing_number, requested_at, previous } => {
                if self.daemons[daemon].process == process {
                    let evidence = self.evidence(daemon, &previous);
                    self.observed_holders[daemon] = previous;
                    self.daemons[daemon].holder.lease_acquired(fencing_number, requested_at, evidence, self.now);
                }
            }
            Answer::Renewed { daemon, process, fencing_number, requested_at } => {
                if self.daemons[daemon].process == process {
                    self.daemons[daemon].holder.lease_renewed(fencing_number, requested_at);
                }
            }
        }
    }

    /// Receives an order. One that was sent immediately after the check (not `delayed`) must never be refused.
    fn receive_order(&mut self, fencing_number: u64, delayed: bool) -> Result<(), String> {
        let newest = self.received.iter().copied().max().unwrap_or(0);
        if fencing_number < newest {
            if self.checks_fencing && delayed {
                return Ok(());
            }
            return Err(format!("an order with fencing number {fencing_number} arrived after one with {newest}"));
        }
        self.received.push(fencing_number);
        Ok(())
    }

    fn apply(&mut self, command: &Command) -> Result<(), String> {
        match *command {
            Command::Acquire { daemon } => self.acquire(daemon.into()),
            Command::Renew { daemon } => self.renew(daemon.into()),
            Command::DeliverAnswer { answer, lost } if !self.answers.is_empty() => {
                let index = usize::from(answer) % self.answers.len();
                if lost {
                    self.answers.remove(index);
                } else {
                    self.deliver_answer(index);
                }
            }
            Command::DeliverAnswer { .. } => {}
            Command::AcquireAtOnce { daemon } => {
                let answers_before = self.answers.len();
                self.acquire(daemon.into());
                if self.answers.len() > answers_before {
                    self.deliver_answer(answers_before);
                }
            }
            Command::SendAtOnce { daemon } => {
                self.apply(&Command::UpdateEvidence { daemon })?;
                self.apply(&Command::Check { daemon })?;
                self.delete_previous(daemon.into());
                if let Some(fencing_number) = self.daemons[usize::from(daemon)].checked.take() {
                    self.receive_order(fencing_number, false)?;
                }
            }
            Command::Check { daemon } => {
                let now = self.now;
                let daemon = &mut self.daemons[usize::from(daemon)];
                daemon.holder.expire(now);
                daemon.checked = daemon.holder.authority(now).map(|(fencing_number, _)| fencing_number);
            }
            Command::Send { daemon } => {
                if let Some(fencing_number) = self.daemons[usize::from(daemon)].checked.take() {
                    self.receive_order(fencing_number, true)?;
                }
            }
            Command::UpdateEvidence { daemon } => {
                let index = usize::from(daemon);
                let evidence = self.evidence(index, &self.observed_holders[index]);
                let now = self.now;
                self.daemons[index].holder.evidence_updated(evidence, now);
            }
            Command::Crash { daemon } => {
                let index = usize::from(daemon);
                let ended = &mut self.daemons[index];
                if let Some(fencing_number) = ended.checked.take() {
                    self.in_flight.push((fencing_number, self.now.plus_ms(LEASE_GUARD_MS)));
                }
                *ended =
                    Daemon { process: ended.process + 1, holder: LeaseHolder::new(self.checks_fencing), checked: None };
            }
            Command::Wait { ms } => {
                self.now = self.now.plus_ms(u64::from(ms));
                // Orders of dead processes arrive at the latest possible time.
                let (arrived, waiting): (Vec<_>, Vec<_>) = self.in_flight.iter().partition(|(_, end)| *end <= self.now);
                self.in_flight = waiting;
                for (fencing_number, _) in arrived {
                    self.receive_order(fencing_number, true)?;
                }
            }
        }
        Ok(())
    }
}

/// Applies `commands`. Fails if orders of two holders arrive in alternation.
fn check_commands(checks_fencing: bool, commands: &[Command]) -> Result<(), String> {
    let mut simulation = Simulation::new(checks_fencing);
    commands.iter().try_for_each(|command| simulation.apply(command))
}

#[test]
fn receivers_without_fencing_checks_get_orders_from_one_holder_at_a_time() {
    sequence::check(0xd071, 100, |commands| check_commands(false, &commands));
}

#[test]
fn receivers_with_fencing_checks_get_orders_from_one_holder_at_a_time() {
    sequence::check(0xd072, 100, |commands| check_commands(true, &commands));
}

/// Without failures of the key-value service, both the first holder and its successor can send orders.
#[test]
fn a_successor_sends_orders_once_its_predecessor_has_ended() {
    for checks_fencing in [false, true] {
        let mut simulation = Simulation::new(checks_fencing);
        let commands = [
            Command::Acquire { daemon: 0 },
            Command::DeliverAnswer { answer: 0, lost: false },
            Command::Check { daemon: 0 },
            Command::Send { daemon: 0 },
            Command::Crash { daemon: 0 },
            Command::Wait { ms: 6_000 },
            Command::Acquire { daemon: 1 },
            Command::DeliverAnswer { answer: 0, lost: false },
            Command::Wait { ms: 2_000 },
            Command::UpdateEvidence { daemon: 1 },
            Command::Check { daemon: 1 },
            Command::Send { daemon: 1 },
        ];
        commands.iter().try_for_each(|command| simulation.apply(command)).expect("one holder at a time");
        assert_eq!(simulation.received.len(), 2, "receiver checks fencing numbers: {checks_fencing}");
    }
}

/// A holder stops answering but is not proved to have ended, so it may still send orders. If the receiver doesn't
/// check fencing numbers, no successor may act.
#[test]
fn an_unresponsive_predecessor_without_fencing_checks_blocks_its_successor() {
    let mut simulation = Simulation::new(false);
    for command in [
        Command::Acquire { daemon: 0 },
        Command::DeliverAnswer { answer: 0, lost: false },
        Command::Wait { ms: 60_000 },
        Command::Acquire { daemon: 1 },
        Command::DeliverAnswer { answer: 0, lost: false },
        Command::UpdateEvidence { daemon: 1 },
        Command::Check { daemon: 1 },
    ] {
        simulation.apply(&command).expect("one holder at a time");
    }
    assert!(simulation.daemons[1].checked.is_none());
}

/// A holder checks its authority, is frozen past the end of its lease, sends the order when it resumes, and dies. The
/// order may arrive within the guard, so the successor must wait that long after the proof of the holder's end.
#[test]
fn a_successor_waits_for_the_last_order_of_a_predecessor_that_was_frozen() {
    let commands = [
        Command::AcquireAtOnce { daemon: 0 },
        Command::Check { daemon: 0 },
        Command::Wait { ms: 10_000 },
        Command::AcquireAtOnce { daemon: 1 },
        Command::Crash { daemon: 0 },
        Command::SendAtOnce { daemon: 1 },
        Command::Wait { ms: 2_000 },
        Command::SendAtOnce { daemon: 1 },
    ];
    let mut simulation = Simulation::new(false);
    commands.iter().try_for_each(|command| simulation.apply(command)).expect("one holder at a time");
    assert_eq!(simulation.received, [1, 2]);
}

/// A successor that lost its own lease and acquires it again must still wait for the unresponsive holder before it.
#[test]
fn an_unresponsive_holder_stays_stored_across_another_holder_in_between() {
    let commands = [
        Command::AcquireAtOnce { daemon: 2 },
        Command::Check { daemon: 2 },
        Command::Wait { ms: 7_000 },
        Command::Acquire { daemon: 1 },
        Command::Wait { ms: 7_000 },
        Command::AcquireAtOnce { daemon: 1 },
        Command::SendAtOnce { daemon: 1 },
        Command::Send { daemon: 2 },
    ];
    let mut simulation = Simulation::new(false);
    commands.iter().try_for_each(|command| simulation.apply(command)).expect("one holder at a time");
}

/// Answers may arrive out of order: that of an older grant must not replace a newer grant.
#[test]
fn a_late_answer_of_an_older_grant_is_ignored() {
    let mut holder = LeaseHolder::new(true);
    holder.lease_acquired(2, TimePoint(8_000), HolderEvidence::Clear, TimePoint(8_000));
    holder.lease_acquired(1, TimePoint(7_000), HolderEvidence::Clear, TimePoint(8_100));
    assert_eq!(holder.authority(TimePoint(8_200)), Some((2, TimePoint(12_000))));
    holder.lease_renewed(1, TimePoint(9_000));
    assert_eq!(
        holder.authority(TimePoint(8_200)),
        Some((2, TimePoint(12_000))),
        "the renewal of the older grant is ignored too"
    );
}
