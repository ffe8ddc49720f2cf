//! Batch jobs that the daemon knows of.

use pimentoslip_kernel::SharedName;
use pimentoslip_platform::BatchSubmission;
use pimentoslip_wire::stored::JobEntry;
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
    pub chunks: BTreeMap<usize, usize>,
    /// Number of results that were listed at a revision of the store.
    pub tail: Option<(usize, u64)>,
}

/// Batch jobs by id.
#[derive(Debug, Default)]
pub struct JobIndex {
    jobs: HashMap<SharedName, JobView>,
    /// Ended jobs, also those whose record has not been seen yet.
    ended: HashSet<SharedName>,
    /// Submissions accepted here that are not being run yet.
    submissions: HashMap<SharedName, Arc<BatchSubmission>>,
    /// Jobs whose state is in this process.
    held: HashSet<SharedName>,
}

impl JobIndex {
    /// A job is on record.
    pub fn accepted(&mut self, job: SharedName, entry: JobEntry) {
        let ended = self.ended.contains(&job);
        self.jobs.entry(job).or_insert_with(|| JobView {
            entry,
            ended,
            settled: false,
            chunks: BTreeMap::new(),
            tail: None,
        });
    }

    /// A job was ended by its submitter.
    pub fn ended(&mut self, job: &str) {
        self.ended.insert(job.into());
        self.submissions.remove(job);
        if let Some(view) = self.jobs.get_mut(job) {
            view.ended = true;
        }
    }

    /// All results of a job are listed.
    pub fn settled(&mut self, job: &str) {
        if let Some(view) = self.jobs.get_mut(job) {
            view.settled = true;
        }
    }

    /// A job is off record.
    pub fn forgotten(&mut self, job: &str) {
        self.jobs.remove(job);
        self.ended.remove(job);
        self.submissions.remove(job);
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
    pub fn chunk_known(&mut self, job: &str, first: usize, next: usize) {
        if let Some(view) = self.jobs.get_mut(job) {
            view.chunks.insert(first, next);
        }
    }

    /// At `revision` just the first `listed` results of `job` were listed.
    pub fn tail_known(&mut self, job: &str, listed: usize, revision: u64) {
        if let Some(view) = self.jobs.get_mut(job)
            && view.tail.is_none_or(|(_, known)| known < revision)
        {
            view.tail = Some((listed, revision));
        }
    }

    /// Keeps a submission for the task that will run it.
    pub fn keep_submission(&mut self, job: SharedName, submission: Arc<BatchSubmission>) {
        self.submissions.insert(job, submission);
    }

    /// The kept submission of `job`, if there is one.
    pub fn take_submission(&mut self, job: &str) -> Option<Arc<BatchSubmission>> {
        self.submissions.remove(job)
    }

    /// Marks `job` as run by this process.
    pub fn hold(&mut self, job: SharedName) -> bool {
        self.held.insert(job)
    }

    /// `job` is no longer run by this process.
    pub fn release(&mut self, job: &str) {
        self.held.remove(job);
    }

    /// Whether this process has the state of `job`.
    #[must_use]
    pub fn is_held(&self, job: &str) -> bool {
        self.held.contains(job) || self.submissions.contains_key(job)
    }
}
