//! In-memory index of the stored batch jobs and of the jobs that this process runs.

use super::{result_cache::ResultCache, waiting_pools::WaitingPools};
use bytes::Bytes;
use pimentoslip_kernel::{
    ItemPool, LedgerState, ListingRecord, OwnerStanding, OwnerView, SharedName, TimePoint, WatchStart,
};
use pimentoslip_platform::BatchSubmission;
use pimentoslip_wire::stored::{JobEntry, ResultEntry};
use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::Arc,
};

/// Stored state of a batch job, as far as this process has read it.
#[derive(Clone, Debug)]
pub struct JobView {
    /// Stored entry, which describes the job without its items.
    pub entry: JobEntry,
    /// Whether the submitter ended the job, so that no more of its items are run.
    pub ended: bool,
    /// Whether the results of all its items are stored.
    pub settled: bool,
    /// Stored chunks of results that have been read: the position after the last result of a chunk, by the position of
    /// its first.
    pub chunk_ends: BTreeMap<usize, usize>,
    /// Where a watch for further results can start.
    pub watch_start: WatchStart,
    /// Revision of the last ownership entry under which this process opened the job or wrote its results; `None` if it has not.
    pub used_entry: Option<u64>,
}

/// A job that was submitted or handed over to this process, which does not run it yet.
#[derive(Clone, Debug)]
pub struct PendingJob {
    /// Decoded submission.
    pub submission: Arc<BatchSubmission>,
    /// Encoded submission, as received.
    pub body: Bytes,
    /// The previous owner's state of the job; `None` if the job has not run before.
    pub ledger: Option<LedgerState>,
    /// Revision of the ownership entry with which the job was submitted or handed over; `None` if it had no owner.
    pub owner_revision: Option<u64>,
}

/// A running job whose submission and stored results have been read.
#[derive(Debug)]
struct OpenedJob {
    submission: Arc<BatchSubmission>,
    listing: ListingRecord,
}

/// Batch jobs by id, with the submissions and results that this process holds in memory.
#[derive(Debug)]
pub struct JobIndex {
    /// Stored jobs whose entry has been read.
    jobs: HashMap<SharedName, JobView>,
    /// Jobs ended by their submitter, including jobs whose entry has not been read yet.
    ended: HashSet<SharedName>,
    /// Jobs that were submitted or handed over to this process and are not running yet.
    pending: HashMap<SharedName, PendingJob>,
    /// Jobs that this process runs; `None` until they are opened.
    running: HashMap<SharedName, Option<OpenedJob>>,
    /// Results of jobs that this process runs or ran, readable without the store.
    results: ResultCache,
    /// What the running jobs that have waiting items wait for, by route and job.
    waiting: BTreeMap<(SharedName, SharedName), WaitingPools>,
}

impl JobIndex {
    /// Creates an empty index that caches up to `results_bytes_max` bytes of results.
    #[must_use]
    pub fn new(results_bytes_max: usize) -> Self {
        Self {
            jobs: HashMap::new(),
            ended: HashSet::new(),
            pending: HashMap::new(),
            running: HashMap::new(),
            results: ResultCache::new(results_bytes_max),
            waiting: BTreeMap::new(),
        }
    }

    /// Adds a stored job, unless the index contains it already.
    pub fn job_accepted(&mut self, job: SharedName, entry: JobEntry) {
        let ended = self.ended.contains(&job);
        self.jobs.entry(job).or_insert_with(|| JobView {
            entry: entry.limited(),
            ended,
            settled: false,
            chunk_ends: BTreeMap::new(),
            watch_start: WatchStart::default(),
            used_entry: None,
        });
    }

    /// Marks a job as ended by its submitter, also if the job is not in the index yet.
    pub fn job_ended(&mut self, job: &str) {
        self.ended.insert(job.into());
        self.pending.remove(job);
        if let Some(view) = self.jobs.get_mut(job) {
            view.ended = true;
        }
    }

    /// Marks a job as settled: the results of all its items are stored.
    pub fn job_settled(&mut self, job: &str) {
        if let Some(view) = self.jobs.get_mut(job) {
            view.settled = true;
        }
    }

    /// Removes a job that was deleted from the store, with its cached results.
    pub fn job_deleted(&mut self, job: &str) {
        self.jobs.remove(job);
        self.ended.remove(job);
        self.pending.remove(job);
        self.results.remove(job);
    }

    /// The stored state of `job`, or `None` if the index does not contain it.
    #[must_use]
    pub fn get(&self, job: &str) -> Option<&JobView> {
        self.jobs.get(job)
    }

    /// Iterates over all stored jobs in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (&SharedName, &JobView)> {
        self.jobs.iter()
    }

    /// Whether `job` was ended by its submitter.
    #[must_use]
    pub fn is_ended(&self, job: &str) -> bool {
        self.ended.contains(job)
    }

    /// Records that a chunk with the results of `job` at the positions `first..next` is stored.
    pub fn chunk_stored(&mut self, job: &str, first: usize, next: usize) {
        if let Some(view) = self.jobs.get_mut(job) {
            view.chunk_ends.insert(first, next);
        }
    }

    /// Records that no result of `job` was stored at `position` as of `revision` of the store.
    pub fn absence_observed(&mut self, job: &str, position: usize, revision: u64) {
        if let Some(view) = self.jobs.get_mut(job) {
            view.watch_start.absence_observed(position, revision);
        }
    }

    /// Adds a job that was submitted or handed over to this process.
    pub fn add_pending(&mut self, job: SharedName, pending_job: PendingJob) {
        self.pending.insert(job, pending_job);
    }

    /// Whether `job` was submitted or handed over to this process and is not running yet.
    #[must_use]
    pub fn is_pending(&self, job: &str) -> bool {
        self.pending.contains_key(job)
    }

    /// Removes and returns the pending job `job`, if there is one.
    pub fn take_pending(&mut self, job: &str) -> Option<PendingJob> {
        self.pending.remove(job)
    }

    /// Marks `job` as running in this process. Returns false if it was running already.
    pub fn try_mark_running(&mut self, job: SharedName) -> bool {
        if self.running.contains_key(&job) {
            return false;
        }
        self.running.insert(job, None);
        true
    }

    /// Sets the submission of a running job, and caches its stored `results`, which were read after this process had learned of
    /// the ownership entry of `owner_revision`.
    pub fn job_opened(
        &mut self,
        job: &SharedName,
        submission: Arc<BatchSubmission>,
        results: Vec<ResultEntry>,
        owner_revision: u64,
    ) {
        let was_used = self.is_entry_used(job, owner_revision);
        // A write that was sent under the same entry before may still be carried out.
        let listing = if was_used { ListingRecord::unresolved() } else { ListingRecord::new(owner_revision) };
        self.set_used_entry(job, owner_revision);
        self.running.insert(job.clone(), Some(OpenedJob { submission, listing }));
        self.results.insert(job.clone(), results);
    }

    /// Whether this process has opened `job` or written its results under the ownership entry of `owner_revision` before.
    #[must_use]
    pub fn is_entry_used(&self, job: &str, owner_revision: u64) -> bool {
        self.jobs.get(job).is_some_and(|view| view.used_entry == Some(owner_revision))
    }

    fn set_used_entry(&mut self, job: &str, owner_revision: u64) {
        if let Some(view) = self.jobs.get_mut(job) {
            view.used_entry = Some(owner_revision);
        }
    }

    /// Records that a write of results of `job` is sent under the ownership entry of `owner_revision`.
    pub fn write_sent(&mut self, job: &str, owner_revision: u64) {
        self.set_used_entry(job, owner_revision);
        if let Some(listing) = self.listing_mut(job) {
            listing.write_sent();
        }
    }

    /// What this process knows of the stored results of a job that it runs; `None` if it does not run the job.
    pub fn listing_mut(&mut self, job: &str) -> Option<&mut ListingRecord> {
        self.running.get_mut(job)?.as_mut().map(|opened| &mut opened.listing)
    }

    /// Records whether the results of `job` in memory were all that are stored once the ownership entry of `owner_revision` was.
    pub fn listing_verified(&mut self, job: &str, owner_revision: u64, is_complete: bool) {
        self.set_used_entry(job, owner_revision);
        if let Some(listing) = self.listing_mut(job).filter(|_| is_complete) {
            *listing = ListingRecord::new(owner_revision);
        }
    }

    /// Caches further `results` of a running job, which are stored from position `first` on: just written under the ownership
    /// entry of `written_under`, or, with `None`, found in the store.
    pub fn results_stored(&mut self, job: &str, first: usize, results: &[ResultEntry], written_under: Option<u64>) {
        self.chunk_stored(job, first, first + results.len());
        self.results.append(job, first, results);
        let Some(listing) = self.listing_mut(job) else { return };
        match written_under {
            Some(owner_revision) => listing.write_stored(owner_revision),
            None => listing.write_found(),
        }
    }

    /// What this process can say, with `standing`, of a position of `job` at which it holds no result.
    #[must_use]
    pub fn owner_view(&self, job: &str, standing: &OwnerStanding, now: TimePoint) -> OwnerView {
        let opened = self.running.get(job).and_then(Option::as_ref);
        opened.map_or(OwnerView::Unsure, |opened| opened.listing.view(standing, now))
    }

    /// Cached results of `job` from `position` on, up to `bytes_max` bytes, but at least one if there is any. `None` if
    /// the results of this job are not cached.
    #[must_use]
    pub fn cached_results(&self, job: &str, position: usize, bytes_max: usize) -> Option<Vec<Arc<ResultEntry>>> {
        self.results.read(job, position, bytes_max)
    }

    /// The submission of `job`, if this process runs the job and has read it.
    #[must_use]
    pub fn running_submission(&self, job: &str) -> Option<Arc<BatchSubmission>> {
        self.running.get(job)?.as_ref().map(|opened| opened.submission.clone())
    }

    /// Removes `job`, which this process no longer runs, from the running and the waiting jobs.
    pub fn job_released(&mut self, job: &str) {
        self.running.remove(job);
        self.waiting.retain(|(_, waiting_job), _| **waiting_job != *job);
    }

    /// Whether items of `job` may be dispatched to upstreams of `pool` now: no older job of `route` has items that wait for
    /// them. `submitted_at` is when `job` was submitted; jobs submitted at the same time are ordered by id.
    #[must_use]
    pub fn is_oldest_waiting(&self, route: &str, job: &str, submitted_at: TimePoint, pool: &ItemPool) -> bool {
        let others =
            self.waiting.iter().filter(|((other_route, other_job), _)| **other_route == *route && **other_job != *job);
        !others.into_iter().any(|((_, other_job), wait)| {
            (wait.submitted_at, &**other_job) < (submitted_at, job) && wait.contains(pool)
        })
    }

    /// Records what the waiting items of `job` of `route` wait for; `None` if it has none.
    pub fn set_waiting(&mut self, route: SharedName, job: SharedName, wait: Option<WaitingPools>) {
        match wait {
            Some(wait) => self.waiting.insert((route, job), wait),
            None => self.waiting.remove(&(route, job)),
        };
    }

    /// Number of jobs that this process runs.
    #[must_use]
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Whether this process holds state of `job` in memory: the job is running or pending.
    #[must_use]
    pub fn has_state(&self, job: &str) -> bool {
        self.running.contains_key(job) || self.pending.contains_key(job)
    }
}
