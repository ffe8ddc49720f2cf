//! Reads of a job's results: a position that was read once is never reported as empty, at any daemon, and its result stays
//! the same.

use crate::sequence;
use pimentoslip_kernel::{
    AbsenceProof, ListingRecord, OwnerRecord, OwnerStanding, OwnerView, OwnershipTable, ProofBasis, ReadAnswer,
    SharedName, TimePoint, WatchStart,
};
use quickcheck::{Arbitrary, Gen};
use std::collections::BTreeMap;

const DAEMONS: usize = 3;
const JOB: &str = "j";
const LEASE_MS: u64 = 3_000;
/// Largest number of results that a read returns.
const RESULTS_MAX: usize = 2;
/// Rounds within which the job has an owner again that knows all results, once all faults have ended: a new lease, a claim, the
/// job is opened, and a write.
const RECOVERY_ROUNDS: usize = 10;

/// Input to the simulation. A daemon stands still while time passes and no command names it.
#[derive(Clone, Debug)]
enum Command {
    /// The owner that was stored with the job receives the submission.
    Push,
    /// A daemon takes its next steps as an owner: claims the job, opens it, sends a write, or handles the answer. The calls
    /// before the last one are answered.
    Step { daemon: u8, count: u8, fate: CallFate, text: u8 },
    /// A daemon reads results for a client.
    Read { daemon: u8, position: u8, waits: bool, fault: ReadFault },
    /// A daemon receives the next changes of the store.
    Receive { daemon: u8, count: u8 },
    /// A daemon renews its lease, notices that it has ended, or obtains a new one.
    RenewLease { daemon: u8 },
    /// The oldest lease of a daemon ends, as it was not renewed.
    EndLease { daemon: u8 },
    /// The store carries out a write whose answer was lost long ago.
    WriteLate,
    /// The task that runs the job ends through a failure.
    FailTask { daemon: u8 },
    /// A daemon hands the job over to another one.
    HandOver { daemon: u8, receiver: u8 },
    /// A daemon's process is replaced.
    Restart { daemon: u8 },
    /// All processes are replaced.
    RestartAll,
    /// A daemon ends the job for its submitter.
    EndJob { daemon: u8 },
    /// Time passes.
    Wait { ms: u16 },
}

/// What happens to a call that changes the store.
#[derive(Clone, Copy, Debug, PartialEq)]
enum CallFate {
    /// It is carried out and answered.
    Answered,
    /// The answer says that it was not carried out.
    Refused,
    /// It is carried out without an answer.
    AnswerLost,
    /// It is neither carried out nor answered.
    CallLost,
    /// It is not answered, and carried out later.
    CarriedOutLate,
}

/// What fails during a read. The owner does not answer in any case other than `None`.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ReadFault {
    None,
    OwnerCut,
    StoreCut,
    /// None; but the daemon uses its previous call to the store, if that counts as a proof.
    CallShared,
}

impl Arbitrary for CallFate {
    fn arbitrary(rng: &mut Gen) -> Self {
        match u8::arbitrary(rng) % 10 {
            0 => Self::Refused,
            1 => Self::AnswerLost,
            2 => Self::CallLost,
            3 => Self::CarriedOutLate,
            _ => Self::Answered,
        }
    }
}

impl Arbitrary for ReadFault {
    fn arbitrary(rng: &mut Gen) -> Self {
        match u8::arbitrary(rng) % 8 {
            0..=1 => Self::OwnerCut,
            2 => Self::StoreCut,
            3 => Self::CallShared,
            _ => Self::None,
        }
    }
}

impl Arbitrary for Command {
    fn arbitrary(rng: &mut Gen) -> Self {
        let (daemon, second) = (u8::arbitrary(rng), u8::arbitrary(rng));
        match u8::arbitrary(rng) % 40 {
            0 => Self::Push,
            1..=12 => Self::Step { daemon, count: second / 2 % 4, fate: CallFate::arbitrary(rng), text: second % 2 },
            13..=23 => Self::Read {
                daemon,
                position: second % 4,
                waits: bool::arbitrary(rng),
                fault: ReadFault::arbitrary(rng),
            },
            24..=28 => Self::Receive { daemon, count: second % 4 + 1 },
            29..=31 => Self::RenewLease { daemon },
            32..=33 => Self::EndLease { daemon },
            34 => Self::WriteLate,
            35 if second % 2 == 0 => Self::FailTask { daemon },
            35 => Self::HandOver { daemon, receiver: second },
            36 => Self::Restart { daemon },
            37 if second % 4 == 0 => Self::RestartAll,
            37 if second % 4 == 1 => Self::EndJob { daemon },
            _ => Self::Wait { ms: u16::arbitrary(rng) % 900 },
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
    /// A condition failed; the text that is stored at the position.
    Conflict(Option<u8>),
    Refused,
    Unanswered,
}

/// The key-value store.
#[derive(Default)]
struct Store {
    revision: u64,
    /// Leases, by the revision of the presence that was stored under them, with their daemons and earliest ends.
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
    /// Stores the owner in place of the one of `replaced_revision`, unless another one is stored or the job has ended.
    fn write_owner(&mut self, replaced_revision: u64, daemon: usize, incarnation: u64, lease: u64) -> Option<u64> {
        let stored_revision = self.owner.as_ref().map_or(0, |(owner, _)| owner.revision);
        if self.is_ended || stored_revision != replaced_revision || !self.leases.contains_key(&lease) {
            return None;
        }
        self.revision += 1;
        let owner = OwnerRecord { daemon: daemon_name(daemon), incarnation, revision: self.revision };
        self.history.push(Change::OwnerWritten(owner.clone()));
        self.owner = Some((owner, lease));
        Some(self.revision)
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

    fn end_job(&mut self) {
        self.remove_owner();
        self.is_ended = true;
        self.history.push(Change::JobEnded);
    }

    fn write_result(&mut self, write: ResultWrite) -> WriteOutcome {
        let stored = self.results.get(write.position).map(|(text, _)| *text);
        let is_owner = self.owner.as_ref().is_some_and(|(owner, _)| owner.revision == write.owner_revision);
        if stored.is_some() || !is_owner {
            return WriteOutcome::Conflict(stored);
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

/// The job in the memory of a process that runs it.
#[derive(Clone, Debug)]
struct OwnedJob {
    record: ListingRecord,
    /// Revision of the ownership entry, as last received; the condition of the next write.
    owner_revision: u64,
    results: Vec<u8>,
    /// Text of the next write, which is repeated until it is stored.
    unwritten: Option<u8>,
    /// The write that was sent, with the answer that is on its way.
    sent: Option<(ResultWrite, WriteOutcome)>,
    is_superseded: bool,
}

impl OwnedJob {
    fn new(owner_revision: u64, results: Vec<u8>) -> Self {
        let record = ListingRecord::new(owner_revision);
        Self { record, owner_revision, results, unwritten: None, sent: None, is_superseded: false }
    }

    fn handle_outcome(&mut self, write: ResultWrite, outcome: WriteOutcome) {
        match outcome {
            WriteOutcome::Unanswered => self.record.write_unanswered(),
            WriteOutcome::Refused | WriteOutcome::Conflict(None) => self.record.write_refused(),
            WriteOutcome::Conflict(Some(stored)) if stored != write.text => {
                self.record.write_superseded();
                self.is_superseded = true;
            }
            WriteOutcome::Committed | WriteOutcome::Conflict(Some(_)) => {
                self.record.write_stored(write.owner_revision);
                self.results.push(write.text);
                self.unwritten = None;
            }
        }
    }
}

/// A daemon's current process.
struct Daemon {
    incarnation: u64,
    table: OwnershipTable,
    /// Number of the store's changes that this process has received.
    received: usize,
    is_ended: bool,
    /// Whether the process has handed the job over, and takes no jobs any more.
    is_draining: bool,
    /// The lease, and the time until which it is valid by the process's clock.
    lease: Option<u64>,
    lease_ends_at: TimePoint,
    /// Ownership revision of the submission that was pushed to this process.
    pending: Option<u64>,
    /// The job with what a read of the store has returned, which is still under way.
    opening: Option<OwnedJob>,
    job: Option<OwnedJob>,
    watch_start: WatchStart,
    /// Position, time and revision of the last call to the store that found no result.
    last_call: Option<(usize, TimePoint, u64)>,
}

fn daemon_name(daemon: usize) -> SharedName {
    format!("d{daemon}").into()
}

impl Daemon {
    /// Starts a process, which obtains a lease and reads all entries of the store.
    fn start(daemon: usize, incarnation: u64, store: &mut Store, now: TimePoint) -> Self {
        let mut table = OwnershipTable::new(daemon_name(daemon), incarnation);
        table.job_accepted(JOB.into(), now);
        if let Some((owner, _)) = &store.owner {
            table.owner_recorded(JOB.into(), owner.clone(), now);
        }
        if store.is_ended {
            table.job_closed(JOB);
        }
        Self {
            incarnation,
            table,
            received: store.history.len(),
            is_ended: store.is_ended,
            is_draining: false,
            lease: Some(store.grant_lease(daemon, now)),
            lease_ends_at: now.plus_ms(LEASE_MS),
            pending: None,
            opening: None,
            job: None,
            watch_start: WatchStart::default(),
            last_call: None,
        }
    }

    fn receive(&mut self, store: &Store, count: usize, now: TimePoint) {
        let until = store.history.len().min(self.received + count);
        for change in &store.history[self.received..until] {
            match change {
                Change::OwnerWritten(owner) => self.table.owner_recorded(JOB.into(), owner.clone(), now),
                Change::OwnerRemoved(revision) => self.table.owner_removed(JOB, *revision, now),
                Change::JobEnded => {
                    self.table.job_closed(JOB);
                    self.is_ended = true;
                }
            }
        }
        self.received = until;
    }

    /// Revision of the ownership entry that names this process, as far as it has received the store's changes.
    fn owner_revision(&self) -> Option<u64> {
        self.table.owner(JOB).filter(|_| self.table.is_owned_here(JOB)).map(|owner| owner.revision)
    }

    fn renew_lease(&mut self, daemon: usize, store: &mut Store, now: TimePoint) {
        match self.lease {
            None => self.lease = Some(store.grant_lease(daemon, now)),
            Some(lease) => match store.leases.get_mut(&lease) {
                Some((_, ends_at)) => *ends_at = now.plus_ms(LEASE_MS),
                None => self.lease = None,
            },
        }
        self.lease_ends_at = if self.lease.is_some() { now.plus_ms(LEASE_MS) } else { TimePoint(0) };
    }

    /// Starts or completes the opening of the job.
    fn open(&mut self, store: &Store) {
        let Some(owner_revision) = self.owner_revision() else { return };
        self.job = self.opening.take();
        if self.job.is_some() {
            return;
        }
        if self.pending.take() == Some(owner_revision) {
            self.job = Some(OwnedJob::new(owner_revision, Vec::new()));
        } else {
            self.opening = Some(OwnedJob::new(owner_revision, store.texts()));
        }
    }

    /// Sends a write, or handles its answer.
    fn write(&mut self, store: &mut Store, fate: CallFate, text: u8) {
        let owner_revision = self.owner_revision();
        let Some(job) = &mut self.job else { return };
        if let Some((write, outcome)) = job.sent.take() {
            return job.handle_outcome(write, outcome);
        }
        job.owner_revision = owner_revision.unwrap_or(job.owner_revision);
        let text = *job.unwritten.get_or_insert(text);
        let write = ResultWrite { owner_revision: job.owner_revision, position: job.results.len(), text };
        job.record.write_sent();
        job.sent = Some((write, store.call_write(write, fate)));
    }

    fn has_sent_write(&self) -> bool {
        self.job.as_ref().is_some_and(|job| job.sent.is_some())
    }

    /// The answer from the memory of this process to a read. `None` if it is not sure.
    fn local_answer(&self, position: usize, now: TimePoint) -> Option<ReadAnswer<u8>> {
        let job = self.job.as_ref()?;
        let results = job.results.iter().skip(position).take(RESULTS_MAX).copied().collect();
        let standing = OwnerStanding {
            owner_revision: self.owner_revision(),
            presence_revision: self.lease,
            lease_ends_at: self.lease_ends_at,
        };
        let absence = match job.record.view(&standing, now) {
            OwnerView::Absent(proof) => Some(proof),
            OwnerView::WriteInProgress | OwnerView::Unsure => None,
        };
        ReadAnswer::new(results, absence)
    }
}

/// Daemons that serve reads of a job, and the store.
struct Simulation {
    now: TimePoint,
    store: Store,
    daemons: Vec<Daemon>,
    /// Ownership revision of the job's submission, until its first owner has received that.
    push: Option<u64>,
    /// Texts that reads have returned, by position.
    returned: BTreeMap<usize, u8>,
}

impl Simulation {
    /// Starts all daemons, and stores the job with the first one as its owner.
    fn new() -> Self {
        let (now, mut store) = (TimePoint(1), Store::default());
        let daemons: Vec<Daemon> = (0..DAEMONS).map(|daemon| Daemon::start(daemon, 1, &mut store, now)).collect();
        let push = daemons[0].lease.and_then(|lease| store.write_owner(0, 0, 1, lease));
        Self { now, store, daemons, push, returned: BTreeMap::new() }
    }

    fn push(&mut self) {
        let Some(revision) = self.push.take().filter(|_| self.daemons[0].incarnation == 1) else { return };
        let process = &mut self.daemons[0];
        let owner = OwnerRecord { daemon: daemon_name(0), incarnation: 1, revision };
        process.table.owner_recorded(JOB.into(), owner, self.now);
        if process.job.is_none() && process.opening.is_none() {
            process.pending = Some(revision);
        }
    }

    /// Takes the next step of `daemon` as an owner.
    fn step(&mut self, daemon: usize, fate: CallFate, text: u8) {
        let process = &mut self.daemons[daemon];
        let is_superseded = process.job.as_ref().is_some_and(|job| job.is_superseded);
        if process.is_draining {
            return;
        }
        if let Some(claim) = process.table.due_claims(self.now, None, |_| true, Clone::clone).pop() {
            self.claim(daemon, claim.replaced_revision, fate);
        } else if process.is_ended || process.table.is_owned_elsewhere(JOB) || is_superseded {
            (process.job, process.opening) = (None, None);
        } else if process.job.is_none() {
            process.open(&self.store);
        } else {
            process.write(&mut self.store, fate, text);
        }
    }

    fn claim(&mut self, daemon: usize, replaced_revision: u64, fate: CallFate) {
        let process = &mut self.daemons[daemon];
        let Some(lease) = process.lease.filter(|_| matches!(fate, CallFate::Answered | CallFate::AnswerLost)) else {
            return;
        };
        let revision = self.store.write_owner(replaced_revision, daemon, process.incarnation, lease);
        if let (Some(revision), CallFate::Answered) = (revision, fate) {
            let owner = OwnerRecord { daemon: daemon_name(daemon), incarnation: process.incarnation, revision };
            process.table.job_claimed(JOB.into(), owner, self.now);
        }
    }

    /// Hands the job over to `receiver`. The process that hands it over no longer answers for it from then on.
    fn hand_over(&mut self, daemon: usize, receiver: usize) {
        let receiver = if receiver == daemon { (daemon + 1) % DAEMONS } else { receiver };
        let Some(job) = self.daemons[daemon].job.take() else { return };
        self.daemons[daemon].is_draining = true;
        let Daemon { incarnation, lease: Some(lease), .. } = self.daemons[receiver] else { return };
        self.store.write_owner(job.owner_revision, receiver, incarnation, lease);
    }

    fn end_job(&mut self, daemon: usize) {
        self.store.end_job();
        self.daemons[daemon].table.job_closed(JOB);
        self.daemons[daemon].is_ended = true;
    }

    fn restart(&mut self, daemon: usize) {
        let incarnation = self.daemons[daemon].incarnation + 1;
        self.daemons[daemon] = Daemon::start(daemon, incarnation, &mut self.store, self.now);
    }

    /// The answer to a read at `reader`. `None` if it is not sure.
    fn answer(&mut self, reader: usize, position: usize, waits: bool, fault: ReadFault) -> Option<ReadAnswer<u8>> {
        let arrived_at = self.now;
        self.now = self.now.plus_ms(1);
        let local_answer = self.daemons[reader].local_answer(position, self.now);
        let owner_answer = local_answer.or_else(|| self.owner_answer(reader, position, arrived_at, fault));
        owner_answer.or_else(|| self.store_answer(reader, position, arrived_at, waits, fault))
    }

    fn owner_answer(
        &self,
        reader: usize,
        position: usize,
        arrived_at: TimePoint,
        fault: ReadFault,
    ) -> Option<ReadAnswer<u8>> {
        let owner = self.daemons[reader].table.owner(JOB).filter(|_| fault == ReadFault::None)?;
        let processes = (0..DAEMONS).map(|daemon| (daemon_name(daemon), &self.daemons[daemon]));
        let (_, process) = processes
            .into_iter()
            .find(|(name, process)| *name == owner.daemon && process.incarnation == owner.incarnation)?;
        let answer = process.local_answer(position, self.now)?;
        let absence = answer.absence().and_then(|_| AbsenceProof::from_owner_call(arrived_at, self.now));
        ReadAnswer::new(answer.results().to_vec(), absence)
    }

    fn store_answer(
        &mut self,
        reader: usize,
        position: usize,
        arrived_at: TimePoint,
        waits: bool,
        fault: ReadFault,
    ) -> Option<ReadAnswer<u8>> {
        let process = &mut self.daemons[reader];
        if fault == ReadFault::CallShared
            && let Some((_, sent_at, revision)) = process.last_call.filter(|(called, ..)| *called == position)
            && let Some(proof) = AbsenceProof::from_store_call(arrived_at, sent_at, revision)
        {
            return Some(ReadAnswer::absent(proof));
        }
        if fault == ReadFault::StoreCut {
            return None;
        }
        // A watch returns what was written after its start; a read returns everything.
        let watched_after = process.watch_start.revision_for(position).filter(|_| waits).unwrap_or(0);
        let stored = self.store.results.get(position..).unwrap_or_default();
        let is_returned = stored.first().is_some_and(|(_, written_at)| *written_at > watched_after);
        let limit = if is_returned { RESULTS_MAX } else { 0 };
        let texts: Vec<u8> = stored.iter().take(limit).map(|(text, _)| *text).collect();
        let revision = self.store.revision;
        if texts.len() < RESULTS_MAX {
            process.watch_start.absence_observed(position + texts.len(), revision);
        }
        process.last_call = texts.is_empty().then_some((position, self.now, revision));
        ReadAnswer::new(texts, AbsenceProof::from_store_call(arrived_at, self.now, revision))
    }

    /// Reads at `reader`, and compares the answer with those of earlier reads, and with what was stored before.
    fn read(&mut self, reader: usize, position: usize, waits: bool, fault: ReadFault) -> Result<(), String> {
        let Some(answer) = self.answer(reader, position, waits, fault) else { return Ok(()) };
        if let Some(proof) = answer.absence() {
            let absent = format!("daemon {reader} has nothing at {position}, by {:?}", proof.basis());
            if let Some(text) = self.returned.get(&position) {
                return Err(format!("{absent}, where {text} was read"));
            }
            if let Some(stored) = self.store.results.get(position) {
                return Err(format!("{absent}, where {stored:?} was stored before the read"));
            }
        }
        for (position, text) in (position..).zip(answer.results()) {
            let earlier = *self.returned.entry(position).or_insert(*text);
            if earlier != *text {
                return Err(format!("daemon {reader} has {text} at {position}, where {earlier} was read"));
            }
        }
        Ok(())
    }

    fn apply(&mut self, command: &Command) -> Result<(), String> {
        self.now = self.now.plus_ms(1);
        let index = |daemon: u8| usize::from(daemon) % DAEMONS;
        match *command {
            Command::Push => self.push(),
            Command::Step { daemon, count, fate, text } => {
                (0..count).for_each(|_| self.step(index(daemon), CallFate::Answered, text));
                self.step(index(daemon), fate, text);
            }
            Command::Read { daemon, position, waits, fault } => {
                return self.read(index(daemon), usize::from(position), waits, fault);
            }
            Command::Receive { daemon, count } => {
                self.daemons[index(daemon)].receive(&self.store, usize::from(count), self.now);
            }
            Command::RenewLease { daemon } => {
                self.daemons[index(daemon)].renew_lease(index(daemon), &mut self.store, self.now);
            }
            Command::EndLease { daemon } => {
                self.now = self.store.end_lease(index(daemon)).map_or(self.now, |ends_at| self.now.max(ends_at));
            }
            Command::WriteLate => _ = self.store.late_writes.pop().map(|write| self.store.write_result(write)),
            Command::FailTask { daemon } => {
                let process = &mut self.daemons[index(daemon)];
                (process.job, process.opening) = (None, None);
            }
            Command::HandOver { daemon, receiver } => self.hand_over(index(daemon), index(receiver)),
            Command::Restart { daemon } => self.restart(index(daemon)),
            Command::RestartAll => (0..DAEMONS).for_each(|daemon| self.restart(daemon)),
            Command::EndJob { daemon } => self.end_job(index(daemon)),
            Command::Wait { ms } => self.now = self.now.plus_ms(u64::from(ms)),
        }
        Ok(())
    }

    /// Lets all daemons recover, and checks that each knows all results, and the owner without the store.
    fn check_recovery(&mut self) -> Result<(), String> {
        for write in std::mem::take(&mut self.store.late_writes) {
            let _ = self.store.write_result(write);
        }
        let draining: Vec<usize> = (0..DAEMONS).filter(|daemon| self.daemons[*daemon].is_draining).collect();
        draining.into_iter().for_each(|daemon| self.restart(daemon));
        // An owner with an earlier memory finds each later result by a write that conflicts with it.
        let round_count = RECOVERY_ROUNDS + 2 * self.store.results.len();
        for daemon in (0..round_count).flat_map(|_| 0..DAEMONS) {
            self.now = self.now.plus_ms(1);
            let process = &mut self.daemons[daemon];
            process.renew_lease(daemon, &mut self.store, self.now);
            process.receive(&self.store, usize::MAX / 2, self.now);
            self.step(daemon, CallFate::Answered, 0);
        }
        let writing = (0..DAEMONS).filter(|daemon| self.daemons[*daemon].has_sent_write());
        writing.collect::<Vec<_>>().into_iter().for_each(|daemon| self.step(daemon, CallFate::Answered, 0));
        (0..DAEMONS).try_for_each(|daemon| self.check_all_results(daemon))
    }

    /// Reads all results at `daemon`, one read after the other. Until the job has ended, the owner must know that there are no more.
    fn check_all_results(&mut self, daemon: usize) -> Result<(), String> {
        let mut texts = Vec::new();
        let proof = loop {
            let answer = self.answer(daemon, texts.len(), false, ReadFault::None);
            let answer = answer.ok_or_else(|| format!("daemon {daemon} is not sure of {} at the end", texts.len()))?;
            texts.extend_from_slice(answer.results());
            if let Some(proof) = answer.absence() {
                break *proof;
            }
        };
        let is_from_owner = matches!(proof.basis(), ProofBasis::OwnMemory | ProofBasis::OwnerCall);
        if texts != self.store.texts() || !is_from_owner && !self.store.is_ended {
            return Err(format!("daemon {daemon} has {texts:?} at the end, by {proof:?}: {:?}", self.store.texts()));
        }
        Ok(())
    }
}

/// Applies `commands`. Fails if a position that was read is reported as empty or with another result, or if a daemon is not
/// sure of the results after all faults have ended.
fn what_was_read_is_there(commands: Vec<Command>) -> Result<(), String> {
    let mut simulation = Simulation::new();
    for command in &commands {
        simulation.apply(command)?;
    }
    simulation.check_recovery()
}

#[test]
fn a_position_that_was_read_is_not_reported_as_empty_after_failures() {
    sequence::check(0x0e4d, 60, what_was_read_is_there);
}

#[test]
fn only_positions_after_the_last_item_are_empty_by_the_size_of_the_job() {
    assert_eq!(AbsenceProof::from_job_size(2, 3), None);
    let proof = AbsenceProof::from_job_size(3, 3);
    assert_eq!(proof.map(|proof| proof.basis()), Some(ProofBasis::JobSize));
}
