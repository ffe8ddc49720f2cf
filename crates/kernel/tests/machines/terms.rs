//! Terms of a duty: two holders never alternate within the handover time, the fencing token of their actions never decreases,
//! and with a sound store some daemon acts.

use crate::sequence;
use pimentoslip_kernel::{DutyClaim, DutyHistory, DutyTerm, LeaseStatus, OwnerRecord, SharedName, TimePoint};
use quickcheck::{Arbitrary, Gen};

const DAEMONS: usize = 3;
const LEASE_MS: u64 = 3_000;
const HANDOVER_MS: u64 = 3_000;
/// Wall clock time at the start of the simulation.
const START_UNIX_MS: u64 = 1_700_000_000_000;
/// Longest duration of an action of the holder.
const CALL_MS: u64 = 800;
/// Time within which some daemon acts once the store and all daemons are sound: an unrenewed lease ends, the duty is acquired, the
/// new holder waits, and the daemons take turns in between.
const RECOVERY_MS: u64 = LEASE_MS + HANDOVER_MS + 4 * TURN_MS;
/// Time between two turns of the daemons.
const TURN_MS: u64 = 500;

/// Input to the simulation of a duty.
#[derive(Clone, Debug)]
enum Command {
    /// A daemon renews its lease; the answer may be lost.
    RenewLease { daemon: u8, answer_lost: bool },
    /// A daemon obtains a new lease unless it believes that it has one.
    GrantLease { daemon: u8 },
    /// A daemon observes the duty's entry in the store.
    ObserveEntry { daemon: u8 },
    /// A daemon acquires the duty if it may by what it has observed; the answer may be lost.
    AcquireDuty { daemon: u8, answer_lost: bool },
    /// The duty's task of a daemon panics, or its process is replaced by another one.
    Restart { daemon: u8, whole_process: bool },
    /// A holder gives up the duty; the answer may be lost.
    GiveUp { daemon: u8, answer_lost: bool },
    /// A daemon acts if its term allows it. Unless `refreshed`, it was delayed after the last refresh of its term.
    Act { daemon: u8, refreshed: bool },
    /// Time passes.
    Wait { ms: u16 },
}

impl Arbitrary for Command {
    fn arbitrary(rng: &mut Gen) -> Self {
        let (first, second) = (u8::arbitrary(rng), u8::arbitrary(rng));
        match u8::arbitrary(rng) % 18 {
            0..=3 => Self::RenewLease { daemon: first, answer_lost: second % 4 == 0 },
            4..=5 => Self::GrantLease { daemon: first },
            6..=7 => Self::ObserveEntry { daemon: first },
            8..=9 => Self::AcquireDuty { daemon: first, answer_lost: second % 3 == 0 },
            17 => Self::Restart { daemon: first, whole_process: second % 2 == 0 },
            16 => Self::GiveUp { daemon: first, answer_lost: second % 4 == 0 },
            10..=12 => Self::Act { daemon: first, refreshed: second % 3 > 0 },
            _ => Self::Wait { ms: u16::arbitrary(rng) % 1_500 },
        }
    }
}

/// State of a daemon, which may lag behind the store.
#[derive(Default)]
struct Daemon {
    incarnation: u64,
    lease: Option<u64>,
    lease_ends_at: TimePoint,
    /// The duty's entry, as last observed.
    observed: Option<OwnerRecord>,
    term: Option<DutyTerm>,
}

/// Daemons that compete for a duty, and the store.
#[derive(Default)]
struct Simulation {
    now: TimePoint,
    /// Last revision of the store.
    revision: u64,
    /// Leases in the store with their ends.
    leases: Vec<(u64, TimePoint)>,
    /// The duty's entry in the store, and its lease.
    duty_entry: Option<(OwnerRecord, u64)>,
    history: DutyHistory,
    /// Milliseconds by which the wall clock of each VM is ahead.
    clock_offsets_ms: [u64; DAEMONS],
    daemons: Vec<Daemon>,
    /// Time, daemon and fencing token of each action.
    actions: Vec<(TimePoint, usize, u64)>,
}

fn daemon_name(daemon: usize) -> SharedName {
    format!("d{daemon}").into()
}

impl Simulation {
    /// End of a lease; `None` if it has ended.
    fn lease_end(&self, lease: u64) -> Option<TimePoint> {
        self.leases.iter().find(|(id, ends_at)| *id == lease && *ends_at > self.now).map(|(_, ends_at)| *ends_at)
    }

    /// Deletes the duty's entry if its lease has ended.
    fn expire_entry(&mut self) {
        if self.duty_entry.as_ref().is_some_and(|(_, lease)| self.lease_end(*lease).is_none()) {
            self.duty_entry = None;
        }
    }

    /// Lets a daemon act if its term allows it, and checks the order of all actions.
    fn act(&mut self, position: usize, refreshed: bool) -> Result<(), String> {
        let now = self.now;
        let daemon = &mut self.daemons[position];
        let duty_revision = daemon.observed.as_ref().map(|entry| entry.revision);
        let status = LeaseStatus { lease: daemon.lease, expires_at: daemon.lease_ends_at, duty_revision };
        if refreshed && daemon.term.as_mut().is_some_and(|term| !term.refresh(status)) {
            daemon.term = None;
        }
        let Some(term) = daemon.term.filter(|term| term.may_act(now, CALL_MS)) else { return Ok(()) };
        let token = term.fencing_token;
        if let Some((_, holder, highest)) = self.actions.iter().find(|(_, _, other)| *other > token) {
            return Err(format!("daemon {position} acts with token {token} after daemon {holder} with {highest}"));
        }
        let previous = self.actions.iter().rposition(|(_, holder, _)| *holder == position);
        let actions_since = previous.map_or(&[][..], |previous| &self.actions[previous + 1..]);
        if let (Some(previous), Some(_)) = (previous, actions_since.first())
            && now.since_ms(self.actions[previous].0) < HANDOVER_MS
        {
            return Err(format!(
                "daemon {position} alternates with another within {} ms",
                now.since_ms(self.actions[previous].0)
            ));
        }
        self.actions.push((now, position, token));
        Ok(())
    }

    /// Lets a daemon acquire the duty if it may by what it has observed. The write may have another result than it learns.
    fn acquire(&mut self, position: usize, answer_lost: bool) {
        let daemon = &self.daemons[position];
        let claim = DutyClaim::of(daemon.observed.as_ref(), &daemon_name(position), daemon.incarnation);
        let lease = daemon.lease.filter(|lease| self.lease_end(*lease).is_some());
        let (Some(claim), Some(lease), None) = (claim, lease, daemon.term) else { return };
        let stored_revision = self.duty_entry.as_ref().map_or(0, |(entry, _)| entry.revision);
        let unix_ms = START_UNIX_MS + self.now.0 + self.clock_offsets_ms[position];
        let wait_ms = self.history.handover_wait_ms(&daemon_name(position), unix_ms, HANDOVER_MS);
        if stored_revision == claim.replaced_revision {
            self.revision += 1;
            let (daemon, incarnation) = (daemon_name(position), daemon.incarnation);
            self.duty_entry = Some((OwnerRecord { daemon, incarnation, revision: self.revision }, lease));
            self.history = std::mem::take(&mut self.history).with_acquisition(daemon_name(position), unix_ms);
        }
        let daemon = &mut self.daemons[position];
        let is_own =
            |entry: &OwnerRecord| entry.daemon == daemon_name(position) && entry.incarnation == daemon.incarnation;
        let own_entry =
            self.duty_entry.as_ref().filter(|(entry, stored_lease)| is_own(entry) && *stored_lease == lease);
        let (Some((entry, _)), false) = (own_entry, answer_lost) else { return };
        daemon.term = Some(DutyTerm::start(entry.revision, lease, self.now, daemon.lease_ends_at, wait_ms));
        daemon.observed = Some(entry.clone());
    }

    /// Lets all daemons take turns without any fault, and checks that one of them acts in time.
    fn recover(&mut self) -> Result<(), String> {
        let (action_count, fault_ended_at) = (self.actions.len(), self.now);
        while self.now.since_ms(fault_ended_at) <= RECOVERY_MS {
            for daemon in 0..DAEMONS as u8 {
                let is_ending = self.daemons[usize::from(daemon)].term.is_some_and(|term| term.is_ending());
                if is_ending {
                    self.apply(&Command::GiveUp { daemon, answer_lost: false })?;
                }
                self.apply(&Command::RenewLease { daemon, answer_lost: false })?;
                self.apply(&Command::GrantLease { daemon })?;
                self.apply(&Command::ObserveEntry { daemon })?;
                self.apply(&Command::Act { daemon, refreshed: true })?;
                self.apply(&Command::AcquireDuty { daemon, answer_lost: false })?;
            }
            self.apply(&Command::Wait { ms: TURN_MS as u16 })?;
        }
        if self.actions.len() == action_count {
            return Err(format!("nobody acts; the store's entry is {:?}", self.duty_entry));
        }
        Ok(())
    }

    fn apply(&mut self, command: &Command) -> Result<(), String> {
        self.expire_entry();
        match *command {
            Command::RenewLease { daemon, answer_lost } => {
                let position = usize::from(daemon) % DAEMONS;
                let Some(lease) = self.daemons[position].lease else { return Ok(()) };
                let is_live = self.lease_end(lease).is_some();
                if is_live {
                    let ends_at = self.now.plus_ms(LEASE_MS);
                    self.leases.iter_mut().filter(|(id, _)| *id == lease).for_each(|entry| entry.1 = ends_at);
                }
                if answer_lost {
                    return Ok(());
                }
                let daemon = &mut self.daemons[position];
                if is_live {
                    daemon.lease_ends_at = self.now.plus_ms(LEASE_MS);
                } else {
                    (daemon.lease, daemon.lease_ends_at) = (None, TimePoint(0));
                }
            }
            Command::GrantLease { daemon } => {
                let daemon = &mut self.daemons[usize::from(daemon) % DAEMONS];
                if daemon.lease.is_none() {
                    self.revision += 1;
                    let ends_at = self.now.plus_ms(LEASE_MS);
                    self.leases.push((self.revision, ends_at));
                    (daemon.lease, daemon.lease_ends_at) = (Some(self.revision), ends_at);
                }
            }
            Command::ObserveEntry { daemon } => {
                let observed = self.duty_entry.as_ref().map(|(entry, _)| entry.clone());
                self.daemons[usize::from(daemon) % DAEMONS].observed = observed;
            }
            Command::AcquireDuty { daemon, answer_lost } => self.acquire(usize::from(daemon) % DAEMONS, answer_lost),
            Command::Restart { daemon, whole_process } => {
                let daemon = &mut self.daemons[usize::from(daemon) % DAEMONS];
                daemon.term = None;
                if whole_process {
                    *daemon = Daemon { incarnation: daemon.incarnation + 1, ..Daemon::default() };
                }
            }
            Command::GiveUp { daemon, answer_lost } => {
                let daemon = &mut self.daemons[usize::from(daemon) % DAEMONS];
                let Some(term) = &mut daemon.term else { return Ok(()) };
                let token = term.fencing_token;
                term.end();
                self.duty_entry = self.duty_entry.take().filter(|(entry, _)| entry.revision != token);
                if !answer_lost {
                    daemon.term = None;
                    daemon.observed = daemon.observed.take().filter(|entry| entry.revision > token);
                }
            }
            Command::Act { daemon, refreshed } => self.act(usize::from(daemon) % DAEMONS, refreshed)?,
            Command::Wait { ms } => self.now = self.now.plus_ms(u64::from(ms)),
        }
        Ok(())
    }
}

impl Simulation {
    fn new() -> Self {
        let daemons = (0..DAEMONS).map(|_| Daemon::default()).collect();
        let clock_offsets_ms = [0, 4_000, 9_000];
        Self { now: TimePoint(10_000), daemons, clock_offsets_ms, ..Self::default() }
    }
}

#[test]
fn holders_never_alternate_and_fencing_tokens_never_decrease() {
    sequence::check(0x7e31, 80, |commands: Vec<Command>| {
        let mut simulation = Simulation::new();
        commands.iter().try_for_each(|command| simulation.apply(command))
    });
}

/// Guards against a duty that nobody performs although the store is sound, after answers of the store were lost.
#[test]
fn some_daemon_acts_after_lost_answers_once_the_store_is_sound() {
    sequence::check(0x105e, 40, |commands: Vec<Command>| {
        let mut simulation = Simulation::new();
        commands.iter().try_for_each(|command| simulation.apply(command))?;
        simulation.recover()
    });
}

#[test]
fn a_term_ends_when_its_process_obtains_a_new_lease() {
    let mut term = DutyTerm::start(5, 1, TimePoint(0), TimePoint(3_000), 0);
    let renewed = LeaseStatus { lease: Some(1), expires_at: TimePoint(4_000), duty_revision: Some(5) };
    assert!(term.refresh(renewed));
    let replaced = LeaseStatus { lease: Some(2), expires_at: TimePoint(9_000), duty_revision: Some(5) };
    assert!(!term.refresh(replaced));
}

#[test]
fn a_term_pauses_until_a_late_renewal_succeeds() {
    let mut term = DutyTerm::start(5, 1, TimePoint(0), TimePoint(3_000), 0);
    let unrenewed = LeaseStatus { lease: Some(1), expires_at: TimePoint(3_000), duty_revision: Some(5) };
    assert!(term.refresh(unrenewed), "the lease that the entry depends on may not have ended");
    assert!(!term.may_act(TimePoint(2_500), CALL_MS));
    assert!(!term.may_act(TimePoint(9_000), CALL_MS));
    let renewed = LeaseStatus { lease: Some(1), expires_at: TimePoint(12_000), duty_revision: Some(5) };
    assert!(term.refresh(renewed));
    assert!(term.may_act(TimePoint(9_500), CALL_MS));
}

#[test]
fn a_new_holder_waits_only_if_it_held_the_duty_recently() {
    // Previous holders with the second of their acquisition, the daemon that acquires the duty at second 100, and its
    // wait in milliseconds.
    type Holders = &'static [(&'static str, u64)];
    let cases: [(Holders, &str, u64); 9] = [
        (&[], "a", 0),
        (&[("b", 99)], "a", 0),
        (&[("a", 99)], "a", 0),
        (&[("a", 90), ("b", 99)], "a", HANDOVER_MS),
        (&[("a", 10), ("b", 50)], "a", 0),
        (&[("a", 10), ("b", 50), ("a", 60), ("c", 95)], "a", HANDOVER_MS),
        (&[("a", 10), ("b", 104)], "a", HANDOVER_MS),
        (&[("a", 90), ("b", 95), ("a", 99)], "a", HANDOVER_MS),
        (&[("a", 98), ("a", 99)], "a", 0),
    ];
    for (holders, daemon, wait_ms) in cases {
        let seconds = |second: u64| START_UNIX_MS + second * 1_000;
        let history = holders.iter().fold(DutyHistory::default(), |history, (holder, second)| {
            history.with_acquisition((*holder).into(), seconds(*second))
        });
        assert_eq!(history.handover_wait_ms(daemon, seconds(100), HANDOVER_MS), wait_ms, "{holders:?}");
    }
}
