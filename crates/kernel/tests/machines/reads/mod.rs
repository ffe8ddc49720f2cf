//! Reads of a job's results: a position that was read once is never reported as empty, at any daemon, and its result stays
//! the same.

mod job_process;
mod result_store;

use crate::sequence;
use job_process::{JOB, JobProcess, ReadPath, ResultRead};
use pimentoslip_kernel::{AbsenceProof, OwnerRecord, ProofBasis, ReadAnswer, TimePoint};
use quickcheck::{Arbitrary, Gen};
use result_store::{CallFate, ResultStore};

const DAEMONS: usize = 2;
const SEQUENCES: u64 = 60_000;

/// Input to the simulation.
#[derive(Clone, Debug)]
enum Command {
    /// A daemon takes steps as an owner, the last with `fate`. Unless it is behind, it renews its lease and receives the store's
    /// changes first.
    Run { daemon: usize, is_behind: bool, step_count: usize, fate: CallFate },
    /// A daemon reads results.
    Read(ResultRead),
    /// A daemon renews its lease, notices that it has ended, or obtains a new one.
    RenewLease { daemon: usize },
    /// One of the leases in the store ends, as it was not renewed.
    EndLease { number: usize },
    /// The first owner receives the submission.
    Push,
    /// The store carries out a write whose answer was lost long ago.
    WriteLate,
    /// The task that runs the job ends through a failure.
    FailTask { daemon: usize },
    /// A daemon hands its job over from now on.
    Drain { daemon: usize },
    /// A daemon's process ends, and a new one starts.
    Restart { daemon: usize },
    /// The end of the job is stored through a daemon.
    EndJob { daemon: usize },
}

impl Arbitrary for Command {
    fn arbitrary(rng: &mut Gen) -> Self {
        let (daemon, number) = (usize::from(u8::arbitrary(rng)) % DAEMONS, usize::from(u8::arbitrary(rng)));
        let (flag, is_answered) = (bool::arbitrary(rng), bool::arbitrary(rng));
        let fates = [CallFate::Refused, CallFate::AnswerLost, CallFate::CarriedOutLate];
        let fate = if is_answered { CallFate::Answered } else { fates[number % fates.len()] };
        let paths = [ReadPath::Owner, ReadPath::StoreRead, ReadPath::Watch, ReadPath::CutWatch];
        match u8::arbitrary(rng) % 32 {
            0..=15 => Self::Run { daemon, is_behind: flag, step_count: number / 3 % 7, fate },
            16..=20 => Self::Read(ResultRead { daemon, position: number / 4 % 3, path: paths[number % paths.len()] }),
            21..=22 => Self::RenewLease { daemon },
            23..=25 => Self::EndLease { number: number % 3 },
            26..=27 => Self::WriteLate,
            28..=29 => Self::FailTask { daemon },
            30 if flag => Self::Drain { daemon },
            30 => Self::Restart { daemon },
            _ if number % 8 == 0 => Self::EndJob { daemon },
            _ => Self::Push,
        }
    }
}

/// Daemons that serve reads of a job, and the store.
struct Simulation {
    store: ResultStore,
    processes: Vec<JobProcess>,
    /// The first owner, until it has received the submission.
    push: Option<OwnerRecord>,
}

impl Simulation {
    /// Starts all daemons, and stores the job with the first one as its owner.
    fn new() -> Self {
        let mut store = ResultStore::default();
        let record = |daemon| OwnerRecord { daemon: format!("d{daemon}").into(), incarnation: 1, revision: 0 };
        let processes: Vec<_> = (0..DAEMONS).map(|daemon| JobProcess::start(record(daemon), &mut store)).collect();
        let push = processes[0].lease.and_then(|(lease, _)| store.write_owner(0, &processes[0].record, lease));
        Self { store, processes, push }
    }

    fn push(&mut self) {
        let Some(owner) = self.push.take() else { return };
        let process = &mut self.processes[0];
        if process.job.is_none() && process.opening.is_none() {
            process.pending = Some(owner.revision);
        }
        process.table.owner_recorded(JOB.into(), owner, self.store.now);
    }

    fn run(&mut self, daemon: usize, step_count: usize, fate: CallFate) {
        if self.processes[daemon].is_draining {
            return self.hand_over(daemon);
        }
        for number in 0..=step_count {
            let fate = if number == step_count { fate } else { CallFate::Answered };
            self.processes[daemon].step(&mut self.store, fate);
        }
    }

    /// Makes the other daemon the owner of the job that `daemon` owns.
    fn hand_over(&mut self, daemon: usize) {
        let (process, receiver) = (&self.processes[daemon], &self.processes[(daemon + 1) % DAEMONS]);
        let (Some(own_revision), Some((lease, _))) = (process.table.own_revision(JOB), receiver.lease) else { return };
        self.store.write_owner(own_revision, &receiver.record, lease);
    }

    fn end_job(&mut self, daemon: usize) {
        self.store.set_owner(None);
        self.store.is_ended = true;
        self.processes[daemon].job_ended();
    }

    fn restart(&mut self, daemon: usize) {
        let record = &self.processes[daemon].record;
        let record = OwnerRecord { incarnation: record.incarnation + 1, ..record.clone() };
        self.processes[daemon] = JobProcess::start(record, &mut self.store);
    }

    /// The answer to a read. `None` if its daemon is not sure.
    fn answer(&mut self, read: ResultRead) -> Option<ReadAnswer<u8>> {
        let local_answer = self.processes[read.daemon].local_answer(read.position, self.store.now);
        let answer = local_answer.or_else(|| self.owner_answer(read));
        answer.or_else(|| self.processes[read.daemon].store_answer(&self.store, read))
    }

    fn owner_answer(&self, read: ResultRead) -> Option<ReadAnswer<u8>> {
        let (owner, now) = (self.processes[read.daemon].table.owner(JOB)?, self.store.now);
        let is_owner = |process: &&JobProcess| {
            process.record.daemon == owner.daemon && process.record.incarnation == owner.incarnation
        };
        let process = self.processes.iter().find(is_owner).filter(|_| read.path == ReadPath::Owner)?;
        let answer = process.local_answer(read.position, now)?;
        let absence = answer.absence().and_then(|_| AbsenceProof::from_owner_call(now, now));
        ReadAnswer::new(answer.into_results(), absence)
    }

    /// Compares an answer with the store, whose results no command changes: what a read has returned is there.
    fn check_answer(&self, daemon: usize, position: usize, answer: &ReadAnswer<u8>) -> Result<(), String> {
        let (texts, stored) = (answer.results(), self.store.texts(position));
        if texts.is_empty() == stored.is_empty() && stored.starts_with(texts) {
            return Ok(());
        }
        let proof = answer.absence().map(AbsenceProof::basis);
        Err(format!("daemon {daemon} has {texts:?} from {position} on, by {proof:?}, in place of {stored:?}"))
    }

    /// Reads from the memory of all processes, at the first and the last stored position.
    fn check_memory(&self) -> Result<(), String> {
        let Some(last) = self.store.results.len().checked_sub(1) else { return Ok(()) };
        for (daemon, position) in (0..DAEMONS).flat_map(|daemon| [(daemon, 0), (daemon, last)]) {
            let answer = self.processes[daemon].local_answer(position, self.store.now);
            answer.map_or(Ok(()), |answer| self.check_answer(daemon, position, &answer))?;
        }
        Ok(())
    }

    fn apply(&mut self, command: &Command) -> Result<(), String> {
        self.store.now = self.store.now.plus_ms(1);
        match *command {
            Command::Run { daemon, is_behind, step_count, fate } => {
                if !is_behind {
                    self.processes[daemon].renew_lease(&mut self.store);
                    self.processes[daemon].receive(&self.store);
                }
                self.run(daemon, step_count, fate);
            }
            Command::Read(read) => {
                let answer = self.answer(read);
                answer.map_or(Ok(()), |answer| self.check_answer(read.daemon, read.position, &answer))?;
            }
            Command::RenewLease { daemon } => self.processes[daemon].renew_lease(&mut self.store),
            Command::EndLease { number } => self.store.end_lease(number),
            Command::Push => self.push(),
            Command::WriteLate => _ = self.store.late_writes.pop().map(|write| self.store.write_result(write)),
            Command::FailTask { daemon } => self.processes[daemon].release_job(),
            Command::Drain { daemon } => self.processes[daemon].is_draining = true,
            Command::Restart { daemon } => self.restart(daemon),
            Command::EndJob { daemon } => self.end_job(daemon),
        }
        match &self.store {
            store if store.is_ended && store.owner.is_some() => Err("an ended job has an owner".to_owned()),
            store if store.is_run_again => Err("a job with results is opened as if it had not run".to_owned()),
            _ => self.check_memory(),
        }
    }

    /// Ends all faults, and checks that each daemon returns all results, and knows the end without the store unless the job
    /// has ended.
    fn check_recovery(&mut self) -> Result<(), String> {
        while let Some(write) = self.store.late_writes.pop() {
            self.store.write_result(write);
        }
        for daemon in 0..DAEMONS {
            if self.processes[daemon].is_draining {
                self.restart(daemon);
            }
        }
        // An owner with an earlier memory finds each later result by a write that conflicts with it.
        let step_count = 5 + 2 * self.store.results.len();
        for daemon in (0..6).flat_map(|_| 0..DAEMONS) {
            self.apply(&Command::RenewLease { daemon })?;
            self.apply(&Command::Run { daemon, is_behind: false, step_count, fate: CallFate::Answered })?;
        }
        // An owner stays sure after a refused write, and is sure again after one without an answer that is repeated.
        for fates in [[CallFate::Answered, CallFate::Refused], [CallFate::AnswerLost, CallFate::Answered]] {
            for process in &mut self.processes {
                for fate in fates {
                    process.step(&mut self.store, fate);
                    process.take_answer();
                }
            }
            (0..DAEMONS).try_for_each(|daemon| self.check_all_results(daemon))?;
        }
        Ok(())
    }

    fn check_all_results(&mut self, daemon: usize) -> Result<(), String> {
        for position in [0, self.store.results.len()] {
            let answer = self.answer(ResultRead { daemon, position, path: ReadPath::Owner });
            let answer = answer.ok_or_else(|| format!("daemon {daemon} is not sure of {position} at the end"))?;
            self.check_answer(daemon, position, &answer)?;
            let is_from_store = |proof: &AbsenceProof| matches!(proof.basis(), ProofBasis::StoreCall { .. });
            if answer.absence().is_some_and(is_from_store) && !self.store.is_ended {
                return Err(format!("daemon {daemon} has no owner that knows all results at the end"));
            }
        }
        Ok(())
    }
}

/// Applies `commands`. Fails if an answer differs from the store, or if a daemon is not sure of the results after all faults
/// have ended.
fn what_was_read_is_there(commands: Vec<Command>) -> Result<(), String> {
    let mut simulation = Simulation::new();
    for command in &commands {
        simulation.apply(command)?;
    }
    simulation.check_recovery()
}

#[test]
fn a_position_that_was_read_is_not_reported_as_empty_after_failures() {
    sequence::check_count(0x0e4d, 60, SEQUENCES, what_was_read_is_there);
}

#[test]
fn a_call_that_was_sent_before_a_read_arrived_proves_nothing() {
    let (before, arrived_at) = (TimePoint(1), TimePoint(2));
    assert_eq!(AbsenceProof::from_store_call(arrived_at, before, 3), None);
    assert_eq!(AbsenceProof::from_owner_call(arrived_at, before), None);
    assert!(AbsenceProof::from_store_call(arrived_at, arrived_at, 3).is_some());
    assert!(AbsenceProof::from_owner_call(arrived_at, arrived_at).is_some());
}

#[test]
fn only_positions_after_the_last_item_are_empty_by_the_size_of_the_job() {
    assert_eq!(AbsenceProof::from_job_size(2, 3), None);
    let proof = AbsenceProof::from_job_size(3, 3);
    assert_eq!(proof.map(|proof| proof.basis()), Some(ProofBasis::JobSize));
}
