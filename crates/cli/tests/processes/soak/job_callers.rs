//! Callers that submit batch jobs, read their results at all edges, and end them.

use super::{
    Callers, EDGES,
    job_oracle::{ITEMS, JobOracle, ResultsRead, job_items},
};
use crate::support::{EdgeSite, HOST, HttpAnswer, ROSE_KEY, job_submission};
use futures_util::future;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::{Duration, Instant};

/// Most jobs of a seed.
const JOBS_MAX: usize = 24;
/// Readers of each job; one may wait for the response of a suspended edge.
const READERS: usize = 2;
/// Longest pause of a reader between two reads.
const READ_PAUSE_MS_MAX: u64 = 1_000;
/// Wait for a result that readers request.
const WAIT_MS: u64 = 1_000;
/// Interval at which a caller looks for what it waits for.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Pause before a request without a conclusive response is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Reads of all results of a job after the faults.
const LAST_READS_MAX: usize = 100;

/// When a job is ended before all its results are listed.
enum EndTime {
    Never,
    /// This long after the job was accepted.
    After(Duration),
    /// As soon as callers have received this number of results.
    AtResults(usize),
}

impl EndTime {
    fn random(rng: &mut ChaCha8Rng) -> Self {
        match rng.random_range(0..4) {
            0 => Self::Never,
            1 => Self::After(Duration::from_millis(rng.random_range(0..3_000))),
            _ => Self::AtResults(rng.random_range(1..ITEMS)),
        }
    }

    fn has_come(&self, accepted_at: Instant, known_count: usize) -> bool {
        match self {
            Self::Never => false,
            Self::After(time) => accepted_at.elapsed() >= *time,
            Self::AtResults(count) => known_count >= *count,
        }
    }
}

/// Id of the job with the number `number`.
fn job_id(seed: u64, number: usize) -> String {
    format!("job-{seed}-{number}")
}

impl Callers {
    /// Submits jobs one after the other until the faults are over, each until it is accepted. Returns their ids.
    pub async fn submit_jobs(&self, seed: u64) -> Vec<String> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut jobs = Vec::new();
        while !self.is_calm.get() && jobs.len() < JOBS_MAX {
            let job = job_id(seed, jobs.len());
            let submission = job_submission(1, &job_items(&job));
            let route = {
                let routes = self.routes.borrow();
                routes.get(rng.random_range(0..=routes.len())).cloned().unwrap_or_else(|| "cards".to_owned())
            };
            loop {
                let path = format!("/{route}/{job}");
                let answer = self.send(rng.random_range(0..EDGES), "POST", &path, &job, &submission).await;
                // An edge answers 404 until it must know a new route.
                let is_allowed =
                    matches!(answer.status, 0 | 202 | 502..=504) || (answer.status == 404 && route != "cards");
                assert!(is_allowed, "seed {seed}: {job} got {answer:?}");
                if answer.status == 202 {
                    break;
                }
                actix_rt::time::sleep(RETRY_PAUSE).await;
            }
            self.oracle.job_accepted(&job);
            jobs.push(job);
            actix_rt::time::sleep(Duration::from_millis(rng.random_range(0..600))).await;
        }
        jobs
    }

    /// Reads and ends the jobs that are accepted, until the seed is over.
    pub async fn use_jobs(&self, seed: u64) {
        let readers = (0..JOBS_MAX * READERS).map(|reader| self.read_job(seed, reader / READERS, reader as u64));
        let enders = (0..JOBS_MAX).map(|number| self.end_job(seed, number));
        future::join(future::join_all(readers), future::join_all(enders)).await;
    }

    /// Waits until a job is accepted. False if it is not before the seed is over.
    async fn wait_accepted(&self, job: &str) -> bool {
        while !self.oracle.is_accepted(job) && !self.is_over.get() {
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        self.oracle.is_accepted(job)
    }

    /// Reads results of a job at random edges: from the first position, from a random one, or from the one after the last
    /// known result.
    async fn read_job(&self, seed: u64, number: usize, reader: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed << 16 | reader);
        let job = job_id(seed, number);
        if !self.wait_accepted(&job).await {
            return;
        }
        while !self.is_over.get() {
            let known_count = self.oracle.known_count(&job);
            let position = match rng.random_range(0..4) {
                0 | 1 => 0,
                2 => rng.random_range(0..=known_count),
                _ => known_count,
            };
            let wait_ms = rng.random_bool(0.7).then_some(WAIT_MS);
            self.read_results(&job, rng.random_range(0..EDGES), position, wait_ms).await;
            actix_rt::time::sleep(Duration::from_millis(rng.random_range(0..READ_PAUSE_MS_MAX))).await;
        }
    }

    /// Reads results of a job at an edge and judges the response. Returns the number of results, or `None` without a page.
    async fn read_results(&self, job: &str, edge: usize, position: usize, wait_ms: Option<u64>) -> Option<usize> {
        let read = ResultsRead { edge, position, wait_ms, sent_at: Instant::now() };
        let path = format!("/pimentoslip/lots/{job}?after={position}");
        let answer = self.call_job(edge, "GET", &path, wait_ms).await;
        self.oracle.check_results(job, &read, &answer);
        let page: serde_json::Value = (answer.status == 200).then(|| answer.json())?;
        page["results"].as_array().map(Vec::len)
    }

    /// Ends a job at a random time at a random edge, and sends the end again to another one later.
    async fn end_job(&self, seed: u64, number: usize) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed << 16 | 1 << 12 | number as u64);
        let (job, end_time) = (job_id(seed, number), EndTime::random(&mut rng));
        if !self.wait_accepted(&job).await {
            return;
        }
        let accepted_at = Instant::now();
        while !end_time.has_come(accepted_at, self.oracle.known_count(&job)) {
            if self.is_calm.get() {
                return;
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        let edge = self.send_end(&job, rng.random_range(0..EDGES)).await;
        actix_rt::time::sleep(Duration::from_millis(rng.random_range(200..3_000))).await;
        self.send_end(&job, (edge + rng.random_range(1..EDGES)) % EDGES).await;
    }

    /// Ends a job, beginning at `edge` and going on to the next one after each failure. Returns the edge that confirmed it.
    async fn send_end(&self, job: &str, mut edge: usize) -> usize {
        self.oracle.end_sent(job);
        loop {
            let sent_at = Instant::now();
            let answer = self.call_job(edge, "DELETE", &format!("/pimentoslip/lots/{job}"), None).await;
            self.oracle.check_end(job, edge, sent_at, &answer);
            if answer.status == 200 {
                return edge;
            }
            edge = (edge + 1) % EDGES;
            actix_rt::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Sends a request on a job that was submitted. An answer with the status 0 is one that never came.
    async fn call_job(&self, edge: usize, method: &str, path: &str, wait_ms: Option<u64>) -> HttpAnswer {
        let (bearer, wait_ms) = (format!("Bearer {ROSE_KEY}"), wait_ms.map(|wait_ms| wait_ms.to_string()));
        let mut headers = vec![("host", HOST), ("request-id", "about"), ("authorization", bearer.as_str())];
        headers.extend(wait_ms.as_deref().map(|wait_ms| ("wait-ms", wait_ms)));
        let url = format!("{}{path}", self.edges[edge]);
        let answer = self.http.send_without_body(method, &url, &headers);
        let answer = actix_rt::time::timeout(super::CALLER_TIMEOUT, answer).await;
        answer.unwrap_or_else(|_| HttpAnswer { status: 0, headers: Vec::new(), body: String::new() })
    }

    /// Reads every known result of a job again at every edge, from the first position on.
    pub async fn read_again(&self, job: &str) {
        for edge in 0..EDGES {
            let mut position = 0;
            for _ in 0..LAST_READS_MAX {
                if position >= self.oracle.known_count(job) {
                    break;
                }
                match self.read_results(job, edge, position, None).await {
                    Some(count) => position += count,
                    None => actix_rt::time::sleep(RETRY_PAUSE).await,
                }
            }
            let known_count = self.oracle.known_count(job);
            let message = format!("edge {edge} gave {position} of {known_count} results after the faults");
            assert!(position >= known_count, "{}", self.oracle.failure(job, &message));
        }
    }
}

/// A job that was not ended lists each of its items once, completed, at the same position at every edge.
pub async fn check_complete(site: &EdgeSite, oracle: &JobOracle, job: &str) {
    for edge in 0..EDGES {
        let results = site.all_results(edge, job).await;
        assert_eq!(results.len(), ITEMS, "{job} at edge {edge}");
        oracle.check_listed(job, edge, 0, results);
    }
}
