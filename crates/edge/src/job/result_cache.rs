//! In-memory cache of stored results, for reads that need not call the store.

use pimentoslip_kernel::SharedName;
use pimentoslip_wire::stored::ResultEntry;
use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};

/// Estimated size of a result without its text.
const RESULT_OVERHEAD_BYTES: usize = 300;

/// Cached results of one job, from position 0 on.
#[derive(Debug, Default)]
struct CachedJob {
    results: Vec<Arc<ResultEntry>>,
    /// Estimated size of the results.
    bytes: usize,
}

/// Results of jobs that this process runs or ran, each from position 0 on without a gap. When the cache is full, the
/// job that was inserted first is removed.
#[derive(Debug)]
pub struct ResultCache {
    bytes_max: usize,
    /// Estimated size of all cached results.
    bytes: usize,
    jobs: HashMap<SharedName, CachedJob>,
    /// Cached jobs, in the order in which they were inserted.
    insertion_order: VecDeque<SharedName>,
}

impl ResultCache {
    /// Creates an empty cache of up to `bytes_max` bytes.
    #[must_use]
    pub fn new(bytes_max: usize) -> Self {
        Self { bytes_max, bytes: 0, jobs: HashMap::new(), insertion_order: VecDeque::new() }
    }

    /// Adds a job whose stored results are `results`. They replace the results of the job that were cached before.
    pub fn insert(&mut self, job: SharedName, results: Vec<ResultEntry>) {
        self.remove(&job);
        self.insertion_order.push_back(job.clone());
        self.jobs.insert(job.clone(), CachedJob::default());
        self.append(&job, 0, &results);
    }

    /// Appends results that were stored from position `first` on. Ignored if the job is not cached.
    pub fn append(&mut self, job: &str, first: usize, results: &[ResultEntry]) {
        let Some(cached) = self.jobs.get_mut(job) else { return };
        if cached.results.len() != first {
            // The results must have no gap. Those of a removed job are read from the store, which has all of them.
            self.remove(job);
            return;
        }
        let bytes: usize = results.iter().map(|result| result.text.len() + RESULT_OVERHEAD_BYTES).sum();
        cached.results.extend(results.iter().cloned().map(Arc::new));
        cached.bytes += bytes;
        self.bytes += bytes;
        while self.bytes > self.bytes_max {
            let Some(oldest_job) = self.insertion_order.front().cloned() else { return };
            self.remove(&oldest_job);
        }
    }

    /// Results from `position` on, up to about `bytes_max` bytes, but at least one if there is any. `None` if the job
    /// is not cached.
    #[must_use]
    pub fn read(&self, job: &str, position: usize, bytes_max: usize) -> Option<Vec<Arc<ResultEntry>>> {
        let cached = self.jobs.get(job)?;
        let mut bytes = 0;
        let fitting_results = cached.results.iter().skip(position).take_while(|result| {
            let is_first = bytes == 0;
            bytes += result.text.len() + RESULT_OVERHEAD_BYTES;
            is_first || bytes <= bytes_max
        });
        Some(fitting_results.cloned().collect())
    }

    /// Removes a job and its results.
    pub fn remove(&mut self, job: &str) {
        if let Some(cached) = self.jobs.remove(job) {
            self.bytes -= cached.bytes;
            self.insertion_order.retain(|cached_job| **cached_job != *job);
        }
    }
}
