//! Batch jobs that the daemon knows of.

use super::result_cache::ResultCache;
use bytes::Bytes;
use pimentoslip_kernel::{LedgerState, SharedName, TimePoint};
use pimentoslip_platform::BatchSubmission;
use pimentoslip_wire::stored::{JobEntry, ResultEntry};
use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::Arc,
};

/// One batch job.
#[derive(Clone, Debug)]
pub struct JobView {
    /// Its record.
    pub entry: JobEntry,
    /// Whether its submitter ended it.
    pub ended: bool,
    /// Whether all its results are listed.
    pub settled: bool,
    /// Known groups of results: the positions after them by the positions at which they begin.
    pub chunk_ends: BTreeMap<usize, usize>,
    /// Number of results that were listed at a revision of the store.
    pub results_end: Option<(usize, u64)>,
}

/// What this process has of a job that it does not run yet.
#[derive(Clone, Debug)]
pub struct PendingJob {
    /// What was submitted.
    pub submission: Arc<BatchSubmission>,
    /// The submission's body.
    pub body: Bytes,
    /// What a former owner knew, if the job has run before.
    pub ledger: Option<LedgerState>,
}

/// Batch jobs by id.
#[derive(Debug)]
pub struct JobIndex {
    jobs: HashMap<SharedName, JobView>,
    /// Ended jobs, also those whose record has not been seen yet.
    ended: HashSet<SharedName>,
    /// Submissions accepted here that are not being run yet.
    submissions: HashMap<SharedName, PendingJob>,
    /// Jobs whose state is in this process, with what was submitted once that is known.
    held: HashMap<SharedName, Option<Arc<BatchSubmission>>>,
    /// Results that can be read without the store.
    listed: ResultCache,
    /// Jobs with waiting items, by route: when they were submitted.
    waiting: BTreeMap<(SharedName, SharedName), TimePoint>,
}

impl JobIndex {
    /// Creates an index that keeps up to `results_bytes_max` of results in memory.
    #[must_use]
    pub fn new(results_bytes_max: usize) -> Self {
        Self {
            jobs: HashMap::new(),
            ended: HashSet::new(),
            submissions: HashMap::new(),
            held: HashMap::new(),
            listed: ResultCache::new(results_bytes_max),
            waiting: BTreeMap::new(),
        }
    }

    /// A job is on record.
    pub fn job_accepted(&mut self, job: SharedName, entry: JobEntry) {
        let ended = self.ended.contains(&job);
        self.jobs.entry(job).or_insert_with(|| JobView {
            entry,
            ended,
            settled: false,
            chunk_ends: BTreeMap::new(),
            results_end: None,
        });
    }

    /// A job was ended by its submitter.
    pub fn job_ended(&mut self, job: &str) {
        self.ended.insert(job.into());
        self.submissions.remove(job);
        if let Some(view) = self.jobs.get_mut(job) {
            view.ended = true;
        }
    }

    /// All results of a job are listed.
    pub fn job_settled(&mut self, job: &str) {
        if let Some(view) = self.jobs.get_mut(job) {
            view.settled = true;
        }
    }

    /// A job is off record.
    pub fn job_deleted(&mut self, job: &str) {
        self.jobs.remove(job);
        self.ended.remove(job);
        self.submissions.remove(job);
        self.listed.remove(job);
    }

    /// The job `job`.
    #[must_use]
    pub fn get(&self, job: &str) -> Option<&JobView> {
        self.jobs.get(job)
    }

    /// All jobs.
    pub fn iter(&self) -> impl Iterator<Item = (&SharedName, &JobView)> {
        self.jobs.iter()
    }

    /// Whether `job` was ended.
    #[must_use]
    pub fn is_ended(&self, job: &str) -> bool {
        self.ended.contains(job)
    }

    /// Results of `job` stand at the positions from `first` to before `next`.
    pub fn chunk_stored(&mut self, job: &str, first: usize, next: usize) {
        if let Some(view) = self.jobs.get_mut(job) {
            view.chunk_ends.insert(first, next);
        }
    }

    /// At `revision` just the first `listed` results of `job` were listed.
    pub fn results_end_observed(&mut self, job: &str, listed: usize, revision: u64) {
        if let Some(view) = self.jobs.get_mut(job)
            && view.results_end.is_none_or(|(_, known)| known < revision)
        {
            view.results_end = Some((listed, revision));
        }
    }

    /// Keeps a submission for the task that will run it.
    pub fn add_pending(&mut self, job: SharedName, kept: PendingJob) {
        self.submissions.insert(job, kept);
    }

    /// Whether a submission of `job` is kept.
    #[must_use]
    pub fn is_pending(&self, job: &str) -> bool {
        self.submissions.contains_key(job)
    }

    /// The kept submission of `job`, if there is one.
    pub fn take_pending(&mut self, job: &str) -> Option<PendingJob> {
        self.submissions.remove(job)
    }

    /// Marks `job` as run by this process.
    pub fn try_mark_running(&mut self, job: SharedName) -> bool {
        if self.held.contains_key(&job) {
            return false;
        }
        self.held.insert(job, None);
        true
    }

    /// A held job begins: what was submitted, and its results on record.
    pub fn job_opened(&mut self, job: &SharedName, submission: Arc<BatchSubmission>, results: Vec<ResultEntry>) {
        self.held.insert(job.clone(), Some(submission));
        self.listed.insert(job.clone(), results);
    }

    /// Results of a held job are on record from `first` on.
    pub fn append_results(&mut self, job: &str, first: usize, results: &[ResultEntry]) {
        self.listed.append(job, first, results);
    }

    /// Listed results of `job` from `position` on, as far as they are in memory. None if the job's are not.
    #[must_use]
    pub fn cached_results(&self, job: &str, position: usize, bytes_max: usize) -> Option<Vec<Arc<ResultEntry>>> {
        self.listed.read(job, position, bytes_max)
    }

    /// What was submitted as `job`, if this process runs it.
    #[must_use]
    pub fn running_submission(&self, job: &str) -> Option<Arc<BatchSubmission>> {
        self.held.get(job).cloned().flatten()
    }

    /// `job` is no longer run by this process.
    pub fn job_released(&mut self, job: &str) {
        self.held.remove(job);
        self.waiting.retain(|(_, waiting), _| **waiting != *job);
    }

    /// Whether items of `job`, a job of `route` that was submitted at `submitted`, may be run now: those of older jobs
    /// of the route go first.
    #[must_use]
    pub fn is_oldest_waiting(&self, route: &str, job: &str, submitted: TimePoint) -> bool {
        let others = self.waiting.iter().filter(|((kind, other), _)| **kind == *route && **other != *job);
        !others.into_iter().any(|((_, other), since)| (*since, &**other) < (submitted, job))
    }

    /// Notes whether items of `job` wait to be run.
    pub fn set_waiting(&mut self, route: SharedName, job: SharedName, submitted: Option<TimePoint>) {
        match submitted {
            Some(submitted) => self.waiting.insert((route, job), submitted),
            None => self.waiting.remove(&(route, job)),
        };
    }

    /// Jobs that this process runs.
    #[must_use]
    pub fn running_count(&self) -> usize {
        self.held.len()
    }

    /// Whether this process has the state of `job`.
    #[must_use]
    pub fn has_state(&self, job: &str) -> bool {
        self.held.contains_key(job) || self.submissions.contains_key(job)
    }
}
