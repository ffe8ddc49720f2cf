//! Listed results in memory, to be read without the store.

use pimentoslip_kernel::SharedName;
use pimentoslip_wire::stored::ResultEntry;
use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};

/// Bytes of a result beyond its text.
const FIELDS_BYTES: usize = 300;

#[derive(Debug, Default)]
struct ListedJob {
    results: Vec<Arc<ResultEntry>>,
    bytes: usize,
}

/// Results of jobs that this process runs or ran, each from the first position on. The jobs that were begun first are
/// dropped when memory is short.
#[derive(Debug)]
pub struct ResultCache {
    bytes_max: usize,
    bytes: usize,
    jobs: HashMap<SharedName, ListedJob>,
    order: VecDeque<SharedName>,
}

impl ResultCache {
    /// Creates a cache of up to `bytes_max`.
    #[must_use]
    pub fn new(bytes_max: usize) -> Self {
        Self { bytes_max, bytes: 0, jobs: HashMap::new(), order: VecDeque::new() }
    }

    /// Begins a job whose results on record are `results`.
    pub fn insert(&mut self, job: SharedName, results: Vec<ResultEntry>) {
        self.remove(&job);
        self.order.push_back(job.clone());
        self.jobs.insert(job.clone(), ListedJob::default());
        self.append(&job, 0, &results);
    }

    /// `results` are on record from position `first` on.
    pub fn append(&mut self, job: &str, first: usize, results: &[ResultEntry]) {
        let Some(listed) = self.jobs.get_mut(job) else { return };
        if listed.results.len() != first {
            // Without a gap only: the store has the rest.
            self.remove(job);
            return;
        }
        let bytes: usize = results.iter().map(|result| result.text.len() + FIELDS_BYTES).sum();
        listed.results.extend(results.iter().cloned().map(Arc::new));
        listed.bytes += bytes;
        self.bytes += bytes;
        while self.bytes > self.bytes_max {
            let Some(oldest) = self.order.front().cloned() else { return };
            self.remove(&oldest);
        }
    }

    /// Results from `position` on, texts of about `bytes_max` together at most, but one at least. None if this cache
    /// does not hold the job.
    #[must_use]
    pub fn read(&self, job: &str, position: usize, bytes_max: usize) -> Option<Vec<Arc<ResultEntry>>> {
        let listed = self.jobs.get(job)?;
        let mut bytes = 0;
        let fits = listed.results.iter().skip(position).take_while(|result| {
            let first = bytes == 0;
            bytes += result.text.len() + FIELDS_BYTES;
            first || bytes <= bytes_max
        });
        Some(fits.cloned().collect())
    }

    /// Drops a job.
    pub fn remove(&mut self, job: &str) {
        if let Some(listed) = self.jobs.remove(job) {
            self.bytes -= listed.bytes;
            self.order.retain(|known| **known != *job);
        }
    }
}
