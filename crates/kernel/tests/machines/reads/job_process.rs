//! A daemon's process in the simulation of reads.

use super::result_store::{CallFate, LEASE_MS, ResultStore, ResultWrite, WriteOutcome};
use pimentoslip_kernel::{
    AbsenceProof, ListingRecord, OwnerRecord, OwnerStanding, OwnerView, OwnershipTable, ReadAnswer, TimePoint,
    WatchStart,
};

pub const JOB: &str = "j";
/// Time after which every daemon may claim a job without an owner.
const CLAIM_DELAY_MS: u64 = 2_000;

/// Where a read is answered if the memory of its daemon is not sure.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ReadPath {
    /// By the owner, or else by a watch.
    Owner,
    StoreRead,
    /// By a watch of the store, or by a read if it is not known where to start.
    Watch,
    /// Like `Watch`, but watches fail.
    CutWatch,
}

/// A read at `daemon` of the results from `position` on.
#[derive(Clone, Copy, Debug)]
pub struct ResultRead {
    pub daemon: usize,
    pub position: usize,
    pub path: ReadPath,
}

/// A daemon's current process.
pub struct JobProcess {
    /// The record of this process as an owner, without a revision.
    pub record: OwnerRecord,
    pub table: OwnershipTable,
    /// Number of changes of the ownership entry that this process has received.
    pub received: usize,
    pub is_ended: bool,
    pub is_draining: bool,
    /// The lease, and the time until which it is valid.
    pub lease: Option<(u64, TimePoint)>,
    /// Ownership revision of the submission that was pushed to this process.
    pub pending: Option<u64>,
    /// Ownership revision and results of the job that is being opened.
    pub opening: Option<(u64, Vec<u8>)>,
    /// Revision of the ownership entry under which the job was last opened or written to.
    pub used_entry: Option<u64>,
    /// What is known of the results of the job that this process runs.
    pub job: Option<ListingRecord>,
    /// The write that was sent, with the answer that is on its way.
    pub sent: Option<(ResultWrite, WriteOutcome)>,
    /// Distinguishes the texts of this run of the job from those of another.
    pub text_seed: u64,
    /// Results that were read or stored by this process as an owner.
    pub cached: Vec<u8>,
    pub watch_start: WatchStart,
}

impl JobProcess {
    /// Starts a process, which obtains a lease and reads the entries of the store.
    pub fn start(record: OwnerRecord, store: &mut ResultStore) -> Self {
        let mut process = Self {
            table: OwnershipTable::new(record.daemon.clone(), record.incarnation),
            record,
            received: 0,
            is_ended: false,
            is_draining: false,
            lease: None,
            pending: None,
            opening: None,
            used_entry: None,
            job: None,
            sent: None,
            text_seed: 0,
            cached: Vec::new(),
            watch_start: WatchStart::default(),
        };
        process.table.job_accepted(JOB.into(), store.now);
        process.renew_lease(store);
        process.receive(store);
        process
    }

    pub fn receive(&mut self, store: &ResultStore) {
        for (revision, owner) in store.owner_history.iter().skip(self.received) {
            match owner {
                Some(owner) => self.table.owner_recorded(JOB.into(), owner.clone(), store.now),
                None => self.table.owner_removed(JOB, *revision, store.now),
            }
        }
        self.received = store.owner_history.len();
        if store.is_ended {
            self.job_ended();
        }
    }

    pub fn job_ended(&mut self) {
        self.table.job_closed(JOB);
        (self.is_ended, self.pending) = (true, None);
    }

    pub fn renew_lease(&mut self, store: &mut ResultStore) {
        let ends_at = store.now.plus_ms(LEASE_MS);
        let lease = match self.lease {
            Some((lease, _)) => Some(lease).filter(|lease| store.leases.contains_key(lease)),
            None => {
                store.revision += 1;
                Some(store.revision)
            }
        };
        self.lease = lease.map(|lease| (lease, ends_at));
        store.leases.extend(self.lease);
    }

    pub fn release_job(&mut self) {
        (self.job, self.opening, self.sent) = (None, None, None);
    }

    /// Takes the next step as an owner: handles the answer to a write, or claims the job, opens it, or sends a write.
    pub fn step(&mut self, store: &mut ResultStore, fate: CallFate) {
        if self.take_answer() {
            return;
        }
        let due_at = store.now.plus_ms(CLAIM_DELAY_MS);
        if let Some(claim) = self.table.due_claims(due_at, None, |_| true, Clone::clone).pop() {
            self.claim(store, claim.replaced_revision, fate);
        }
        if self.is_ended || self.table.is_owned_elsewhere(JOB) {
            self.release_job();
        } else if self.job.is_none() {
            self.open(store);
        } else {
            self.verify_listing(store);
            self.write(store, fate);
        }
    }

    /// Looks for results of others once under each new ownership entry.
    fn verify_listing(&mut self, store: &ResultStore) {
        let Some(own_revision) = self.table.own_revision(JOB) else { return };
        let was_used = self.used_entry.replace(own_revision) == Some(own_revision);
        if !was_used && store.texts(self.cached.len()).is_empty() {
            self.job = Some(ListingRecord::new(own_revision));
        }
    }

    fn claim(&mut self, store: &mut ResultStore, replaced_revision: u64, fate: CallFate) {
        let is_carried_out = matches!(fate, CallFate::Answered | CallFate::AnswerLost) && !store.is_ended;
        let Some((lease, _)) = self.lease.filter(|_| is_carried_out) else { return };
        let stored_owner = store.write_owner(replaced_revision, &self.record, lease);
        if let (Some(owner), CallFate::Answered) = (stored_owner, fate) {
            self.table.job_claimed(JOB.into(), owner, store.now);
        }
    }

    /// Starts or completes the opening of the job.
    fn open(&mut self, store: &mut ResultStore) {
        let Some(own_revision) = self.table.own_revision(JOB) else { return };
        let Some((owner_revision, results)) = self.opening.take() else {
            let is_new = self.pending.take() == Some(own_revision) && self.used_entry != Some(own_revision);
            let is_owner = store.owner_revision() == own_revision;
            store.is_run_again |= is_owner && is_new && !store.results.is_empty();
            self.opening = Some((own_revision, if is_new { Vec::new() } else { store.texts(0) }));
            return;
        };
        let was_used = self.used_entry.replace(owner_revision) == Some(owner_revision);
        let record = if was_used { ListingRecord::unresolved() } else { ListingRecord::new(owner_revision) };
        self.job = Some(record);
        (self.cached, self.text_seed) = (results, store.now.0);
    }

    fn write(&mut self, store: &mut ResultStore, fate: CallFate) {
        let (Some(job), position) = (&mut self.job, self.cached.len()) else { return };
        let Some(owner_revision) = self.table.own_revision(JOB).or(self.used_entry) else { return };
        let text = u8::from((self.text_seed + position as u64).is_multiple_of(2));
        let write = ResultWrite { owner_revision, position, text };
        job.write_sent();
        self.used_entry = Some(write.owner_revision);
        self.sent = Some((write, store.call_write(write, fate)));
    }

    /// Handles the answer to the write that was sent. Returns whether there is one.
    pub fn take_answer(&mut self) -> bool {
        let (Some(job), Some((write, outcome))) = (&mut self.job, self.sent.take()) else { return false };
        if let WriteOutcome::Conflict(false, _) = outcome {
            job.write_superseded();
        }
        match outcome {
            WriteOutcome::Unanswered => job.write_unanswered(),
            WriteOutcome::Conflict(_, None) => job.write_refused(),
            WriteOutcome::Conflict(_, Some(stored)) if stored != write.text => self.release_job(),
            WriteOutcome::Conflict(_, Some(_)) => job.write_found(),
            WriteOutcome::Committed => job.write_stored(write.owner_revision),
        }
        let is_stored = matches!(outcome, WriteOutcome::Committed | WriteOutcome::Conflict(_, Some(_)));
        self.cached.extend(Some(write.text).filter(|_| is_stored && self.job.is_some()));
        true
    }

    /// The answer from the memory of this process to a read. `None` if it is not sure.
    pub fn local_answer(&self, position: usize, now: TimePoint) -> Option<ReadAnswer<u8>> {
        let standing = OwnerStanding {
            owner_revision: self.table.own_revision(JOB),
            presence_revision: self.lease.map(|(lease, _)| lease).filter(|_| !self.is_draining),
            lease_ends_at: self.lease.map_or(TimePoint(0), |(_, ends_at)| ends_at),
        };
        let absence = match self.job.as_ref().map(|job| job.view(&standing, now)) {
            Some(OwnerView::Absent(proof)) => Some(proof),
            Some(OwnerView::WriteInProgress | OwnerView::Unsure) | None => None,
        };
        ReadAnswer::new(self.cached.get(position..).unwrap_or_default().to_vec(), absence)
    }

    /// The answer from the store, as of now, to a read. `None` if the watch fails.
    pub fn store_answer(&mut self, store: &ResultStore, read: ResultRead) -> Option<ReadAnswer<u8>> {
        let waits = !self.is_ended && read.path != ReadPath::StoreRead;
        let watched_after = self.watch_start.revision_for(read.position).filter(|_| waits);
        if watched_after.is_some() && read.path == ReadPath::CutWatch {
            return None;
        }
        // A watch returns what was written after its start; a read returns everything.
        let is_returned = |(_, written_at): &(u8, u64)| watched_after.is_none_or(|revision| *written_at > revision);
        let is_found = store.results.get(read.position).is_some_and(is_returned);
        let texts = if is_found { store.texts(read.position) } else { Vec::new() };
        self.watch_start.absence_observed(read.position + texts.len(), store.revision);
        ReadAnswer::new(texts, AbsenceProof::from_store_call(store.now, store.now, store.revision))
    }
}
