//! Reads of a job's results: a position that was read once is never reported as empty, at any daemon, and its result stays
//! the same.

use crate::sequence;
use pimentoslip_kernel::{
    AbsenceProof, ListingRecord, OwnerRecord, OwnerStanding, OwnerView, OwnershipTable, ProofBasis, ReadAnswer,
    SharedName, TimePoint, WatchStart,
};
use quickcheck::{Arbitrary, Gen};
use std::collections::BTreeMap;

const DAEMONS: usize = 2;
const JOB: &str = "j";
const LEASE_MS: u64 = 3_000;
/// Time after which every daemon may claim a job without an owner.
const CLAIM_DELAY_MS: u64 = 2_000;
const SEQUENCES: u64 = 28_000;

/// Input to the simulation.
#[derive(Clone, Debug)]
enum Command {
    /// A daemon takes steps as an owner, after it has received the store's changes unless it is behind. The last call has
    /// `fate`.
    Run {
        daemon: usize,
        is_behind: bool,
        step_count: usize,
        fate: CallFate,
        text: u8,
    },
    Read {
        daemon: usize,
        position: usize,
        waits: bool,
        fault: ReadFault,
    },
    Receive {
        daemon: usize,
        count: usize,
    },
    /// A daemon renews its lease, notices that it has ended, or obtains a new one.
    RenewLease {
        daemon: usize,
    },
    /// The oldest lease of a daemon ends, as it was not renewed.
    EndLease {
        daemon: usize,
    },
    /// The first owner receives the submission.
    Push,
    /// The store carries out a write whose answer was lost long ago.
    WriteLate,
    /// The task that runs the job ends through a failure.
    FailTask {
        daemon: usize,
    },
    Drain {
        daemon: usize,
    },
    Restart {
        daemon: usize,
    },
    EndJob {
        daemon: usize,
    },
}

/// What happens to a call that changes the store.
#[derive(Clone, Copy, Debug, PartialEq)]
enum CallFate {
    Answered,
    /// The answer says that it was not carried out.
    Refused,
    AnswerLost,
    CallLost,
    /// It is not answered, and carried out later.
    CarriedOutLate,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum ReadFault {
    None,
    OwnerCut,
    /// The owner and the store's watches are cut, its reads are not.
    WatchCut,
    /// The owner is cut, and the daemon uses its previous call to the store if that counts as a proof.
    CallShared,
}

impl Arbitrary for CallFate {
    fn arbitrary(rng: &mut Gen) -> Self {
        let fates = [Self::Refused, Self::AnswerLost, Self::CallLost, Self::CarriedOutLate];
        *rng.choose(&fates).filter(|_| bool::arbitrary(rng)).unwrap_or(&Self::Answered)
    }
}

impl Arbitrary for Command {
    fn arbitrary(rng: &mut Gen) -> Self {
        let (daemon, number) = (usize::from(u8::arbitrary(rng)) % DAEMONS, usize::from(u8::arbitrary(rng)));
        let (flag, fate) = (bool::arbitrary(rng), CallFate::arbitrary(rng));
        let faults = [ReadFault::None, ReadFault::OwnerCut, ReadFault::WatchCut, ReadFault::CallShared];
        match u8::arbitrary(rng) % 32 {
            0..=12 => Self::Run { daemon, is_behind: flag, step_count: number / 2 % 6, fate, text: (number % 2) as u8 },
            13..=17 => Self::Read { daemon, position: number / 4 % 3, waits: flag, fault: faults[number % 4] },
            18..=19 => Self::Receive { daemon, count: number % 3 + 1 },
            20..=21 => Self::RenewLease { daemon },
            22..=24 => Self::EndLease { daemon },
            25 => Self::Push,
            26..=27 => Self::WriteLate,
            28..=29 => Self::FailTask { daemon },
            30 if flag => Self::Drain { daemon },
            30 => Self::Restart { daemon },
            _ if number % 4 == 0 => Self::EndJob { daemon },
            _ => Self::RenewLease { daemon },
        }
    }
}

/// A change in the store that daemons receive.
#[derive(Clone, Debug)]
enum Change {
    OwnerWritten(OwnerRecord),
    OwnerRemoved(u64),
    JobEnded,
}

/// A write of the result at `position`, on the condition that none is stored there and the ownership entry is unchanged.
#[derive(Clone, Copy, Debug)]
struct ResultWrite {
    owner_revision: u64,
    position: usize,
    text: u8,
}

/// What an owner learns of its write.
#[derive(Clone, Copy, Debug)]
enum WriteOutcome {
    Committed,
    /// A condition failed: whether the ownership entry is unchanged, and the text that is stored at the position.
    Conflict(bool, Option<u8>),
    Refused,
    Unanswered,
}

/// The key-value store.
#[derive(Default)]
struct Store {
    revision: u64,
    /// Leases by the revision of the presence that was stored under them: daemon, and time before which they do not expire.
    leases: BTreeMap<u64, (usize, TimePoint)>,
    /// The ownership entry and its lease.
    owner: Option<(OwnerRecord, u64)>,
    is_ended: bool,
    /// Texts by position, with the revisions of their writes.
    results: Vec<(u8, u64)>,
    late_writes: Vec<ResultWrite>,
    history: Vec<Change>,
}

impl Store {
    fn owner_revision(&self) -> u64 {
        self.owner.as_ref().map_or(0, |(owner, _)| owner.revision)
    }

    /// Stores the owner in place of the one of `replaced_revision`.
    fn write_owner(&mut self, replaced_revision: u64, mut owner: OwnerRecord, lease: u64) -> Option<OwnerRecord> {
        if self.owner_revision() != replaced_revision || !self.leases.contains_key(&lease) {
            return None;
        }
        self.revision += 1;
        owner.revision = self.revision;
        self.history.push(Change::OwnerWritten(owner.clone()));
        self.owner = Some((owner.clone(), lease));
        Some(owner)
    }

    fn remove_owner(&mut self) {
        self.revision += 1;
        if self.owner.take().is_some() {
            self.history.push(Change::OwnerRemoved(self.revision));
        }
    }

    fn grant_lease(&mut self, daemon: usize, now: TimePoint) -> u64 {
        self.revision += 1;
        self.leases.insert(self.revision, (daemon, now.plus_ms(LEASE_MS)));
        self.revision
    }

    /// Ends the oldest lease of `daemon`, and returns a time at which it may have expired.
    fn end_lease(&mut self, daemon: usize) -> Option<TimePoint> {
        let (lease, ends_at) = self
            .leases
            .iter()
            .find(|(_, (holder, _))| *holder == daemon)
            .map(|(lease, (_, ends_at))| (*lease, *ends_at))?;
        self.leases.remove(&lease);
        if self.owner.as_ref().is_some_and(|(_, owner_lease)| *owner_lease == lease) {
            self.remove_owner();
        }
        Some(ends_at)
    }

    fn write_result(&mut self, write: ResultWrite) -> WriteOutcome {
        let stored = self.results.get(write.position).map(|(text, _)| *text);
        let is_owner = self.owner_revision() == write.owner_revision;
        if stored.is_some() || !is_owner {
            return WriteOutcome::Conflict(is_owner, stored);
        }
        assert_eq!(write.position, self.results.len(), "the results have a gap");
        self.revision += 1;
        self.results.push((write.text, self.revision));
        WriteOutcome::Committed
    }

    fn call_write(&mut self, write: ResultWrite, fate: CallFate) -> WriteOutcome {
        match fate {
            CallFate::Answered => return self.write_result(write),
            CallFate::Refused => return WriteOutcome::Refused,
            CallFate::AnswerLost => _ = self.write_result(write),
            CallFate::CarriedOutLate => self.late_writes.push(write),
            CallFate::CallLost => {}
        }
        WriteOutcome::Unanswered
    }

    fn texts(&self) -> Vec<u8> {
        self.results.iter().map(|(text, _)| *text).collect()
    }
}

/// The job in the memory of the process that runs it.
#[derive(Debug)]
struct RunningJob {
    record: ListingRecord,
    /// Revision of the ownership entry, as last received; the condition of the next write.
    owner_revision: u64,
    /// Text of the next write, which is repeated until it is stored.
    unwritten: Option<u8>,
    /// The write that was sent, with the answer that is on its way.
    sent: Option<(ResultWrite, WriteOutcome)>,
}

/// A daemon's current process.
struct Process {
    daemon: usize,
    incarnation: u64,
    table: OwnershipTable,
    /// Number of the store's changes that this process has received.
    received: usize,
    is_ended: bool,
    is_draining: bool,
    /// The lease, and the time until which it is valid by the process's clock.
    lease: Option<u64>,
    lease_ends_at: TimePoint,
    /// Ownership revision of the submission that was pushed to this process.
    pending: Option<u64>,
    /// Ownership revision and results of the job that is being opened.
    opening: Option<(u64, Vec<u8>)>,
    /// Revision of the ownership entry under which the job was last opened or written to.
    used_under: Option<u64>,
    job: Option<RunningJob>,
    /// Results that were read or stored by this process as an owner.
    cached: Vec<u8>,
    watch_start: WatchStart,
    /// Position, time and revision of the last call to the store that found no result.
    last_call: Option<(usize, TimePoint, u64)>,
}

impl Process {
    /// Starts a process, which obtains a lease and reads all entries of the store.
    fn start(daemon: usize, incarnation: u64, store: &mut Store, now: TimePoint) -> Self {
        let mut table = OwnershipTable::new(format!("d{daemon}").into(), incarnation);
        table.job_accepted(JOB.into(), now);
        let mut process = Self {
            daemon,
            incarnation,
            table,
            received: 0,
            is_ended: false,
            is_draining: false,
            lease: Some(store.grant_lease(daemon, now)),
            lease_ends_at: now.plus_ms(LEASE_MS),
            pending: None,
            opening: None,
            used_under: None,
            job: None,
            cached: Vec::new(),
            watch_start: WatchStart::default(),
            last_call: None,
        };
        process.receive(store, usize::MAX, now);
        process
    }

    /// The record of this process as an owner, which has no revision yet.
    fn owner_record(&self) -> OwnerRecord {
        let daemon: SharedName = format!("d{}", self.daemon).into();
        OwnerRecord { daemon, incarnation: self.incarnation, revision: 0 }
    }

    fn receive(&mut self, store: &Store, count: usize, now: TimePoint) {
        for change in store.history.iter().skip(self.received).take(count) {
            self.received += 1;
            match change {
                Change::OwnerWritten(owner) => self.table.owner_recorded(JOB.into(), owner.clone(), now),
                Change::OwnerRemoved(revision) => self.table.owner_removed(JOB, *revision, now),
                Change::JobEnded => self.job_ended(),
            }
        }
    }

    fn job_ended(&mut self) {
        self.table.job_closed(JOB);
        self.is_ended = true;
        self.pending = None;
    }

    fn renew_lease(&mut self, store: &mut Store, now: TimePoint) {
        match self.lease {
            None => self.lease = Some(store.grant_lease(self.daemon, now)),
            Some(lease) => match store.leases.get_mut(&lease) {
                Some((_, ends_at)) => *ends_at = now.plus_ms(LEASE_MS),
                None => self.lease = None,
            },
        }
        self.lease_ends_at = if self.lease.is_some() { now.plus_ms(LEASE_MS) } else { TimePoint(0) };
    }

    fn release_job(&mut self) {
        (self.job, self.opening) = (None, None);
    }

    /// Takes the next step as an owner: claims the job, opens it, sends a write, handles the answer, or hands the job over to
    /// `receiver`, a process and its lease.
    fn step(
        &mut self,
        store: &mut Store,
        receiver: (OwnerRecord, Option<u64>),
        now: TimePoint,
        fate: CallFate,
        text: u8,
    ) {
        let due_at = now.plus_ms(CLAIM_DELAY_MS);
        if let Some((write, outcome)) = self.job.as_mut().and_then(|job| job.sent.take()) {
            self.handle_outcome(write, outcome);
        } else if self.is_draining {
            let (Some(job), (owner, Some(lease))) = (&self.job, receiver) else { return };
            store.write_owner(job.owner_revision, owner, lease);
        } else if let Some(claim) = self.table.due_claims(due_at, None, |_| true, Clone::clone).pop() {
            self.claim(store, claim.replaced_revision, now, fate);
        } else if self.is_ended || self.table.is_owned_elsewhere(JOB) {
            self.release_job();
        } else if self.job.is_none() {
            self.open(store);
        } else {
            self.write(store, fate, text);
        }
    }

    fn claim(&mut self, store: &mut Store, replaced_revision: u64, now: TimePoint, fate: CallFate) {
        let is_carried_out = matches!(fate, CallFate::Answered | CallFate::AnswerLost) && !store.is_ended;
        let Some(lease) = self.lease.filter(|_| is_carried_out) else { return };
        let stored_owner = store.write_owner(replaced_revision, self.owner_record(), lease);
        if let (Some(owner), CallFate::Answered) = (stored_owner, fate) {
            self.table.job_claimed(JOB.into(), owner, now);
        }
    }

    /// Starts or completes the opening of the job.
    fn open(&mut self, store: &Store) {
        let Some(own_revision) = self.table.own_revision(JOB) else { return };
        let Some((owner_revision, results)) = self.opening.take() else {
            let is_new = self.pending.take() == Some(own_revision) && self.used_under != Some(own_revision);
            self.opening = Some((own_revision, if is_new { Vec::new() } else { store.texts() }));
            return;
        };
        let was_used = self.used_under.replace(owner_revision) == Some(owner_revision);
        let record = if was_used { ListingRecord::unresolved() } else { ListingRecord::new(owner_revision) };
        self.job = Some(RunningJob { record, owner_revision, unwritten: None, sent: None });
        self.cached = results;
    }

    fn write(&mut self, store: &mut Store, fate: CallFate, text: u8) {
        let Some(job) = &mut self.job else { return };
        job.owner_revision = self.table.owner(JOB).map_or(job.owner_revision, |owner| owner.revision);
        let text = *job.unwritten.get_or_insert(text);
        let write = ResultWrite { owner_revision: job.owner_revision, position: self.cached.len(), text };
        job.record.write_sent();
        self.used_under = Some(write.owner_revision);
        job.sent = Some((write, store.call_write(write, fate)));
    }

    fn handle_outcome(&mut self, write: ResultWrite, outcome: WriteOutcome) {
        let Some(job) = &mut self.job else { return };
        if let WriteOutcome::Conflict(false, _) = outcome {
            job.record.write_superseded();
        }
        match outcome {
            WriteOutcome::Unanswered => return job.record.write_unanswered(),
            WriteOutcome::Refused | WriteOutcome::Conflict(_, None) => return job.record.write_refused(),
            WriteOutcome::Conflict(_, Some(stored)) if stored != write.text => return self.release_job(),
            WriteOutcome::Conflict(_, Some(_)) => job.record.write_found(),
            WriteOutcome::Committed => job.record.write_stored(write.owner_revision),
        }
        job.unwritten = None;
        self.cached.push(write.text);
    }

    /// The answer from the memory of this process to a read. `None` if it is not sure.
    fn local_answer(&self, position: usize, now: TimePoint) -> Option<ReadAnswer<u8>> {
        let standing = OwnerStanding {
            owner_revision: self.table.own_revision(JOB),
            presence_revision: self.lease.filter(|_| !self.is_draining),
            lease_ends_at: self.lease_ends_at,
        };
        let view = self.job.as_ref().map_or(OwnerView::Unsure, |job| job.record.view(&standing, now));
        let absence = match view {
            OwnerView::Absent(proof) => Some(proof),
            OwnerView::WriteInProgress | OwnerView::Unsure => None,
        };
        ReadAnswer::new(self.cached.get(position..).unwrap_or_default().to_vec(), absence)
    }

    /// The answer from the store to a read that arrived at `arrived_at`. `None` if a call failed.
    fn store_answer(
        &mut self,
        store: &Store,
        position: usize,
        (arrived_at, now): (TimePoint, TimePoint),
        waits: bool,
        fault: ReadFault,
    ) -> Option<ReadAnswer<u8>> {
        if fault == ReadFault::CallShared
            && let Some((_, sent_at, revision)) = self.last_call.filter(|(called, ..)| *called == position)
            && let Some(proof) = AbsenceProof::from_store_call(arrived_at, sent_at, revision)
        {
            return Some(ReadAnswer::absent(proof));
        }
        // A watch returns what was written after its start; a read returns everything.
        let watched_after = self.watch_start.revision_for(position).filter(|_| waits && !self.is_ended);
        if watched_after.is_some() && fault == ReadFault::WatchCut {
            return None;
        }
        let stored = store.results.get(position..).unwrap_or_default();
        let is_returned = stored.first().is_some_and(|(_, written_at)| *written_at > watched_after.unwrap_or(0));
        let texts: Vec<u8> = stored.iter().filter(|_| is_returned).map(|(text, _)| *text).collect();
        self.watch_start.absence_observed(position + texts.len(), store.revision);
        self.last_call = texts.is_empty().then_some((position, now, store.revision));
        ReadAnswer::new(texts, AbsenceProof::from_store_call(arrived_at, now, store.revision))
    }
}

/// Daemons that serve reads of a job, and the store.
struct Simulation {
    now: TimePoint,
    store: Store,
    processes: Vec<Process>,
    /// The first owner, until it has received the submission.
    push: Option<OwnerRecord>,
}

impl Simulation {
    /// Starts all daemons, and stores the job with the first one as its owner.
    fn new() -> Self {
        let (now, mut store) = (TimePoint(1), Store::default());
        let processes: Vec<Process> = (0..DAEMONS).map(|daemon| Process::start(daemon, 1, &mut store, now)).collect();
        let push = processes[0].lease.and_then(|lease| store.write_owner(0, processes[0].owner_record(), lease));
        Self { now, store, processes, push }
    }

    fn push(&mut self) {
        let process = &mut self.processes[0];
        let Some(owner) = self.push.take().filter(|owner| owner.incarnation == process.incarnation) else { return };
        if process.job.is_none() && process.opening.is_none() {
            process.pending = Some(owner.revision);
        }
        process.table.owner_recorded(JOB.into(), owner, self.now);
    }

    fn run(&mut self, daemon: usize, step_count: usize, fate: CallFate, text: u8) {
        let receiver = &self.processes[(daemon + 1) % DAEMONS];
        let receiver = (receiver.owner_record(), receiver.lease);
        for number in 0..=step_count {
            let fate = if number == step_count { fate } else { CallFate::Answered };
            self.processes[daemon].step(&mut self.store, receiver.clone(), self.now, fate, text);
        }
    }

    /// Ends a lease of `daemon`; the other daemons renew theirs meanwhile.
    fn end_lease(&mut self, daemon: usize) {
        let Some(ends_at) = self.store.end_lease(daemon) else { return };
        self.now = self.now.max(ends_at);
        let (store, now) = (&mut self.store, self.now);
        let others = self.processes.iter_mut().filter(|process| process.daemon != daemon && process.lease.is_some());
        others.for_each(|process| process.renew_lease(store, now));
    }

    fn end_job(&mut self, daemon: usize) {
        self.store.remove_owner();
        self.store.is_ended = true;
        self.store.history.push(Change::JobEnded);
        self.processes[daemon].job_ended();
    }

    fn restart(&mut self, daemon: usize) {
        let incarnation = self.processes[daemon].incarnation + 1;
        self.processes[daemon] = Process::start(daemon, incarnation, &mut self.store, self.now);
    }

    /// The answer to a read at `reader`. `None` if it is not sure.
    fn answer(&mut self, reader: usize, position: usize, waits: bool, fault: ReadFault) -> Option<ReadAnswer<u8>> {
        let arrived_at = self.now;
        self.now = self.now.plus_ms(1);
        let local_answer = self.processes[reader].local_answer(position, self.now);
        let owner_answer = local_answer.or_else(|| {
            let owner = self.processes[reader].table.owner(JOB).filter(|_| fault == ReadFault::None)?;
            let is_owner =
                |process: &&Process| OwnerRecord { revision: owner.revision, ..process.owner_record() } == *owner;
            let answer = self.processes.iter().find(is_owner)?.local_answer(position, self.now)?;
            let absence = answer.absence().and_then(|_| AbsenceProof::from_owner_call(arrived_at, self.now));
            ReadAnswer::new(answer.into_results(), absence)
        });
        let times = (arrived_at, self.now);
        owner_answer.or_else(|| self.processes[reader].store_answer(&self.store, position, times, waits, fault))
    }

    /// Compares an answer with the store, whose results no command changes: what a read has returned is there.
    fn check_answer(&self, reader: usize, position: usize, answer: &ReadAnswer<u8>) -> Result<(), String> {
        let (texts, stored) = (answer.results(), self.store.texts());
        let stored = stored.get(position..).unwrap_or_default();
        if texts.is_empty() != stored.is_empty() || !stored.starts_with(texts) {
            let proof = answer.absence().map(AbsenceProof::basis);
            return Err(format!(
                "daemon {reader} has {texts:?} from {position} on, by {proof:?}, in place of {stored:?}"
            ));
        }
        Ok(())
    }

    /// Reads from the memory of all processes, at the first and the last stored position.
    fn check_memory(&self) -> Result<(), String> {
        let Some(last) = self.store.results.len().checked_sub(1) else { return Ok(()) };
        for (reader, position) in (0..DAEMONS).flat_map(|reader| [(reader, 0), (reader, last)]) {
            if let Some(answer) = self.processes[reader].local_answer(position, self.now) {
                self.check_answer(reader, position, &answer)?;
            }
        }
        if self.store.is_ended && self.store.owner.is_some() {
            return Err("an ended job has an owner".to_owned());
        }
        Ok(())
    }

    fn apply(&mut self, command: &Command) -> Result<(), String> {
        self.now = self.now.plus_ms(1);
        match *command {
            Command::Run { daemon, is_behind, step_count, fate, text } => {
                if !is_behind {
                    self.processes[daemon].receive(&self.store, usize::MAX, self.now);
                }
                self.run(daemon, step_count, fate, text);
            }
            Command::Read { daemon, position, waits, fault } => {
                if let Some(answer) = self.answer(daemon, position, waits, fault) {
                    self.check_answer(daemon, position, &answer)?;
                }
            }
            Command::Receive { daemon, count } => self.processes[daemon].receive(&self.store, count, self.now),
            Command::RenewLease { daemon } => self.processes[daemon].renew_lease(&mut self.store, self.now),
            Command::EndLease { daemon } => self.end_lease(daemon),
            Command::Push => self.push(),
            Command::WriteLate => _ = self.store.late_writes.pop().map(|write| self.store.write_result(write)),
            Command::FailTask { daemon } => self.processes[daemon].release_job(),
            Command::Drain { daemon } => self.processes[daemon].is_draining = true,
            Command::Restart { daemon } => self.restart(daemon),
            Command::EndJob { daemon } => self.end_job(daemon),
        }
        self.check_memory()
    }

    /// Ends all faults, and checks that each daemon returns all results, and knows the end without the store unless the job
    /// has ended.
    fn check_recovery(&mut self) -> Result<(), String> {
        for write in std::mem::take(&mut self.store.late_writes) {
            let _ = self.store.write_result(write);
        }
        (0..DAEMONS)
            .filter(|daemon| self.processes[*daemon].is_draining)
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|daemon| self.restart(daemon));
        // An owner with an earlier memory finds each later result by a write that conflicts with it.
        for daemon in (0..6).flat_map(|_| 0..DAEMONS) {
            self.now = self.now.plus_ms(1);
            self.processes[daemon].renew_lease(&mut self.store, self.now);
            self.processes[daemon].receive(&self.store, usize::MAX, self.now);
            let step_count = 4 + 2 * self.store.results.len();
            self.run(daemon, step_count, CallFate::Answered, 0);
            self.check_memory()?;
        }
        for daemon in 0..DAEMONS {
            if self.processes[daemon].job.as_ref().is_some_and(|job| job.sent.is_some()) {
                self.run(daemon, 0, CallFate::Answered, 0);
            }
        }
        (0..DAEMONS).try_for_each(|daemon| self.check_all_results(daemon))
    }

    fn check_all_results(&mut self, reader: usize) -> Result<(), String> {
        for position in [0, self.store.results.len()] {
            let answer = self.answer(reader, position, false, ReadFault::None);
            let answer = answer.ok_or_else(|| format!("daemon {reader} is not sure of {position} at the end"))?;
            self.check_answer(reader, position, &answer)?;
            let is_from_store = |proof: &AbsenceProof| matches!(proof.basis(), ProofBasis::StoreCall { .. });
            if answer.absence().is_some_and(is_from_store) && !self.store.is_ended {
                return Err(format!("daemon {reader} has no owner that knows all results at the end"));
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
fn only_positions_after_the_last_item_are_empty_by_the_size_of_the_job() {
    assert_eq!(AbsenceProof::from_job_size(2, 3), None);
    let proof = AbsenceProof::from_job_size(3, 3);
    assert_eq!(proof.map(|proof| proof.basis()), Some(ProofBasis::JobSize));
}
