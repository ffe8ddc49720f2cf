//! Tests of trials: a harmless request that was taken for the cause of crashes is served again, and one that crashes its upstreams
//! reaches only a few more.

use crate::sequence;
use pimentoslip_kernel::{SharedName, SuspectTable, SuspectVerdict, TimePoint};
use quickcheck::{Arbitrary, Gen};
use std::collections::{BTreeMap, BTreeSet};

const DAEMONS: usize = 3;
const CRASHER: u64 = 0;
const HARMLESS: u64 = 1;
/// Runs of a request that crashes each upstream, after it is quarantined, that a rule of the users allows.
const TRIALS_MAX: usize = 3;
/// Time within which a trial of a settled request must be allowed, in milliseconds.
const SETTLED_MS: u64 = 31_000;

/// Input to the simulation of daemons that share marks and trials through a store.
#[derive(Clone, Debug)]
enum Command {
    /// A caller sends a request to a daemon.
    Send { daemon: usize, request: u64 },
    /// Upstreams end while they run the harmless request of a daemon.
    Outage { daemon: usize, count: u64 },
    /// A daemon reads the store.
    Read { daemon: usize },
    /// A daemon starts again.
    Restart { daemon: usize },
    /// Time passes.
    Wait { ms: u64 },
}

impl Arbitrary for Command {
    fn arbitrary(rng: &mut Gen) -> Self {
        let daemon = usize::arbitrary(rng) % DAEMONS;
        match u8::arbitrary(rng) % 16 {
            0..=5 => Self::Send { daemon, request: u64::arbitrary(rng) % 2 },
            6 => Self::Outage { daemon, count: 1 + u64::arbitrary(rng) % 5 },
            7..=10 => Self::Read { daemon },
            11 => Self::Restart { daemon },
            _ => Self::Wait { ms: u64::from(u16::arbitrary(rng)) / 5 },
        }
    }
}

struct Simulation {
    tables: Vec<SuspectTable>,
    /// Marks in the store, and whether they were inferred.
    marks: BTreeMap<(u64, SharedName), bool>,
    /// Trials in the store.
    trials: BTreeSet<(u64, u32)>,
    processes: u64,
    /// Whether crashes are found by connections.
    is_found: bool,
    crasher_trials: usize,
    now: TimePoint,
}

impl Simulation {
    fn new(is_found: bool) -> Self {
        Self {
            tables: vec![SuspectTable::default(); DAEMONS],
            marks: BTreeMap::new(),
            trials: BTreeSet::new(),
            processes: 0,
            is_found,
            crasher_trials: 0,
            now: TimePoint(1_000),
        }
    }

    fn crash(&mut self, daemon: usize, request: u64) {
        self.processes += 1;
        let process = SharedName::from(format!("p{}", self.processes));
        let sent_unix_ms = Some(self.now.0 + 1);
        let is_inferred = !self.is_found;
        let table = &mut self.tables[daemon];
        if table.process_crashed(request, process.clone(), sent_unix_ms, is_inferred, self.now).is_some() {
            self.marks.insert((request, process), is_inferred);
        }
    }

    /// Sends a request; returns whether it was run.
    fn send(&mut self, daemon: usize, request: u64) -> bool {
        let mut trial = None;
        if let SuspectVerdict::Quarantined { .. } = self.tables[daemon].verdict(request, self.now) {
            let Some(number) = self.tables[daemon].next_trial(request, self.now) else { return false };
            self.tables[daemon].trial_known(request, number, self.now);
            if !self.trials.insert((request, number)) {
                return false;
            }
            trial = Some(number);
        }
        if request == CRASHER {
            self.crasher_trials += usize::from(trial.is_some());
            self.crash(daemon, request);
            return true;
        }
        let table = &mut self.tables[daemon];
        for mark in table.request_completed(request, self.now.0 + 1, self.now) {
            table.remove(request, &mark.process);
            self.marks.remove(&(request, mark.process));
        }
        if let Some(number) = trial {
            table.trial_removed(request, number);
            self.trials.remove(&(request, number));
        }
        true
    }

    fn read(&mut self, daemon: usize) {
        let table = &mut self.tables[daemon];
        for mark in table.active_marks(self.now) {
            if !self.marks.contains_key(&(mark.fingerprint, mark.process.clone())) {
                table.remove(mark.fingerprint, &mark.process);
            }
        }
        for ((request, process), is_inferred) in &self.marks {
            table.process_crashed(*request, process.clone(), None, *is_inferred, self.now);
        }
        for (request, number) in &self.trials {
            table.trial_known(*request, *number, self.now);
        }
    }

    fn apply(&mut self, command: &Command) -> Result<(), String> {
        match *command {
            Command::Send { daemon, request } => {
                self.send(daemon, request);
            }
            Command::Outage { daemon, count } => (0..count).for_each(|_| self.crash(daemon, HARMLESS)),
            Command::Read { daemon } => self.read(daemon),
            Command::Restart { daemon } => {
                self.tables[daemon] = SuspectTable::default();
                self.read(daemon);
            }
            // No mark expires.
            Command::Wait { ms } if self.now.0 < SuspectTable::MARK_TTL_MS / 2 => self.now = self.now.plus_ms(ms),
            Command::Wait { .. } => {}
        }
        if self.crasher_trials > TRIALS_MAX {
            return Err(format!("{} trials of a request that crashes its upstreams", self.crasher_trials));
        }
        Ok(())
    }
}

/// Guards against a harmless request that stays refused after an outage of all its upstreams, and against trials that let a request
/// crash one upstream after the other.
#[test]
fn a_harmless_request_is_served_again_and_a_crashing_one_gets_few_trials() {
    sequence::check(0x11a1, 60, |commands| check_commands(true, commands));
    sequence::check(0x11a2, 60, |commands| check_commands(false, commands));
}

/// Applies `commands`, then checks that the harmless request is served soon.
fn check_commands(is_found: bool, commands: Vec<Command>) -> Result<(), String> {
    let mut simulation = Simulation::new(is_found);
    for command in &commands {
        simulation.apply(command)?;
    }
    (0..DAEMONS).for_each(|daemon| simulation.read(daemon));
    let mut is_served = false;
    for _ in 0..8 {
        simulation.now = simulation.now.plus_ms(SETTLED_MS);
        for daemon in 0..DAEMONS {
            simulation.apply(&Command::Read { daemon })?;
            simulation.apply(&Command::Send { daemon, request: CRASHER })?;
            is_served |= simulation.send(daemon, HARMLESS);
        }
        if !is_served {
            return Err("the harmless request is refused although its marks are settled".to_owned());
        }
    }
    Ok(())
}

/// Guards against a request that is tried again before the crash of its last trial can be known, or after it is known.
#[test]
fn a_trial_waits_for_the_known_crashes_and_is_the_last_one_if_an_upstream_crashed_in_it() {
    for (is_inferred, delay_ms) in [(true, 2_000), (false, 30_000)] {
        let mut suspects = SuspectTable::default();
        for process in ["a", "b", "c"] {
            suspects.process_crashed(1, process.into(), None, is_inferred, TimePoint(0));
        }
        assert_eq!(suspects.next_trial(1, TimePoint(delay_ms - 1)), None, "inferred: {is_inferred}");
        let tried_at = TimePoint(delay_ms);
        assert_eq!(suspects.next_trial(1, tried_at), Some(0), "inferred: {is_inferred}");
        suspects.trial_known(1, 0, tried_at);
        assert_eq!(suspects.next_trial(1, tried_at.plus_ms(29_999)), None);
        assert_eq!(suspects.next_trial(1, tried_at.plus_ms(30_000)), Some(1), "no crash is known");
        suspects.process_crashed(1, "d".into(), None, is_inferred, tried_at.plus_ms(15_000));
        assert_eq!(suspects.next_trial(1, tried_at.plus_ms(120_000)), None, "an upstream crashed");
    }
}
