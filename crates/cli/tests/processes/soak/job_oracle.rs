//! Judges the responses to reads of batch jobs by what callers have received before, whichever edge it came from.

use super::{EVENTS, SOFTWARE};
use crate::support::{HttpAnswer, job_item};
use serde_json::Value;
use std::{
    cell::RefCell,
    collections::BTreeMap,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Items of a job.
pub const ITEMS: usize = 6;
/// Events of the items of the second half of a job, during which the job stays open.
const SLOW_EVENTS: u64 = 200;
/// Time after which every edge must know what a caller has received from another one (`settleMs` of the platform).
pub const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Number of events in the text of an item.
fn events_of(item: usize) -> u64 {
    if item < ITEMS / 2 { EVENTS } else { SLOW_EVENTS }
}

/// Items of the job `job`, as they are submitted. Every second one has a scorer.
pub fn job_items(job: &str) -> Vec<Value> {
    (0..ITEMS).map(|item| job_item(&format!("{job}-{item}"), events_of(item), item % 2 == 0)).collect()
}

/// Whether `text` is the whole text of the item `id`, made by one version of the engines' software.
fn is_whole_text(id: &str, events: u64, text: &Value) -> bool {
    SOFTWARE.iter().any(|software| {
        let suffix = if *software == SOFTWARE[0] { String::new() } else { format!("@{software}") };
        *text == (1..=events).map(|number| format!("{id}:{number}{suffix}")).collect::<Vec<_>>().join("\n")
    })
}

/// Request for the results of a job from a position on.
#[derive(Debug)]
pub struct ResultsRead {
    /// Edge that the request is sent to.
    pub edge: usize,
    /// First requested position.
    pub position: usize,
    /// Time that the edge may wait for a result; `None` for a request without the header.
    pub wait_ms: Option<u64>,
    /// Time just before the request was sent.
    pub sent_at: Instant,
}

/// A result that a caller has received.
struct KnownResult {
    content: Value,
    /// Edge of the first response with it.
    edge: usize,
    /// Time just after the first response with it was received.
    received_at: Instant,
}

/// What callers have done with a job and received of it.
struct JobHistory {
    /// Time just after a response that accepted the job was received.
    accepted_at: Instant,
    /// Time of the first request to end the job.
    end_sent_at: Option<Instant>,
    /// Known results by position.
    results: Vec<KnownResult>,
    /// Requests on the job with their responses, for the message of a failure.
    exchanges: Vec<String>,
}

/// Jobs of a seed, with what callers have received of them. A response that contradicts it fails the test. The bound
/// holds from the time at which a request was sent and for every edge, also for one that was suspended or cut off: it
/// may respond with 503 or 504, or not at all.
pub struct JobOracle {
    seed: u64,
    started_at: Instant,
    started_unix_ms: u128,
    jobs: RefCell<BTreeMap<String, JobHistory>>,
}

impl JobOracle {
    /// Creates the oracle of a seed, without jobs.
    pub fn new(seed: u64) -> Self {
        let started_unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis());
        Self { seed, started_at: Instant::now(), started_unix_ms, jobs: RefCell::default() }
    }

    /// Records that a caller has received the acceptance of `job`.
    pub fn job_accepted(&self, job: &str) {
        let history = JobHistory {
            accepted_at: Instant::now(),
            end_sent_at: None,
            results: Vec::new(),
            exchanges: vec![format!("{} accepted", self.offset_ms(Instant::now()))],
        };
        self.jobs.borrow_mut().insert(job.to_owned(), history);
    }

    /// Whether a caller has received the acceptance of `job`.
    pub fn is_accepted(&self, job: &str) -> bool {
        self.jobs.borrow().contains_key(job)
    }

    /// Number of results of `job` that callers have received.
    pub fn known_count(&self, job: &str) -> usize {
        self.jobs.borrow().get(job).map_or(0, |history| history.results.len())
    }

    /// Whether a caller has requested to end `job`.
    pub fn is_end_sent(&self, job: &str) -> bool {
        self.jobs.borrow().get(job).is_some_and(|history| history.end_sent_at.is_some())
    }

    /// Records that a request to end `job` is about to be sent.
    pub fn end_sent(&self, job: &str) {
        if let Some(history) = self.jobs.borrow_mut().get_mut(job) {
            history.end_sent_at.get_or_insert_with(Instant::now);
        }
    }

    /// Counts of what was judged.
    pub fn summary(&self) -> String {
        let jobs = self.jobs.borrow();
        let ended = jobs.values().filter(|history| history.end_sent_at.is_some()).count();
        let results: usize = jobs.values().map(|history| history.results.len()).sum();
        let exchanges: usize = jobs.values().map(|history| history.exchanges.len()).sum();
        format!("{} jobs, {ended} of them ended, {results} results, {exchanges} requests", jobs.len())
    }

    /// Judges the response to a request to end `job`, sent to `edge` at `sent_at`.
    pub fn check_end(&self, job: &str, edge: usize, sent_at: Instant, answer: &HttpAnswer) {
        let line = format!("{} end at edge {edge}: {}", self.span_ms(sent_at), answer.status);
        self.add_exchange(job, line);
        self.check_status(job, sent_at, answer);
    }

    /// Judges the response to a read of the results of `job`.
    pub fn check_results(&self, job: &str, read: &ResultsRead, answer: &HttpAnswer) {
        let page: Value =
            if answer.status == 200 { serde_json::from_str(&answer.body).unwrap_or_default() } else { Value::Null };
        let count = page["results"].as_array().map_or(0, Vec::len);
        let ResultsRead { edge, position, wait_ms, sent_at } = *read;
        let line = format!(
            "{} read at edge {edge} from {position} wait {wait_ms:?}: {} {count}",
            self.span_ms(sent_at),
            answer.status
        );
        self.add_exchange(job, line);
        self.check_status(job, sent_at, answer);
        if answer.status == 200 {
            self.check_page(job, read, &page);
        }
    }

    /// A job that was accepted is never unknown later than [`SETTLE_TIME`] after that.
    fn check_status(&self, job: &str, sent_at: Instant, answer: &HttpAnswer) {
        let accepted_at = self.jobs.borrow()[job].accepted_at;
        let is_allowed = match answer.status {
            0 | 200 | 503 | 504 => true,
            404 => sent_at <= accepted_at + SETTLE_TIME,
            _ => false,
        };
        assert!(is_allowed, "{}", self.failure(job, &format!("got {answer:?}")));
    }

    /// A page has the results from its position on, and each agrees with those received before.
    fn check_page(&self, job: &str, read: &ResultsRead, page: &Value) {
        let results = page["results"].as_array().cloned();
        let next = results.as_ref().map(|results| (read.position + results.len()) as u64);
        let is_counted =
            page["total"].as_u64() == Some(ITEMS as u64) && next.is_some() && page["next"].as_u64() == next;
        assert!(is_counted, "{}", self.failure(job, &format!("wrong counts in {page}")));
        let results = results.unwrap_or_default();
        if results.is_empty() {
            self.check_nothing(job, read);
        }
        self.check_listed(job, read.edge, read.position, results);
    }

    /// Judges results that `edge` listed from `position` on, just now.
    pub fn check_listed(&self, job: &str, edge: usize, position: usize, results: Vec<Value>) {
        let received_at = Instant::now();
        for (position, content) in (position..).zip(results) {
            self.check_result(job, position, &content);
            self.add_result(job, position, KnownResult { content, edge, received_at });
        }
    }

    /// There is never nothing at a position whose result a caller has received more than [`SETTLE_TIME`] before.
    fn check_nothing(&self, job: &str, read: &ResultsRead) {
        let known = self.jobs.borrow()[job].results.get(read.position).map(|known| (known.edge, known.received_at));
        let Some((edge, received_at)) = known else { return };
        let message = format!(
            "nothing at position {} from edge {}, sent at {}; it was read at edge {edge} at {}",
            read.position,
            read.edge,
            self.offset_ms(read.sent_at),
            self.offset_ms(received_at)
        );
        assert!(read.sent_at <= received_at + SETTLE_TIME, "{}", self.failure(job, &message));
    }

    /// A result is of an item of the job and has its whole text. It is terminated only if a caller ends the job: no
    /// upstream answers 500, and no route is removed.
    fn check_result(&self, job: &str, position: usize, result: &Value) {
        let id = result["id"].as_str().unwrap_or_default();
        let item = id.rsplit_once('-').filter(|(prefix, _)| *prefix == job).and_then(|(_, item)| item.parse().ok());
        let is_right = match (item, result["state"].as_str()) {
            (Some(item), Some("completed")) => item < ITEMS && is_whole_text(id, events_of(item), &result["text"]),
            (Some(item), Some("terminated")) => item < ITEMS && self.is_end_sent(job),
            _ => false,
        };
        assert!(is_right, "{}", self.failure(job, &format!("wrong result at position {position}: {result}")));
    }

    /// Adds a result, or compares it with the one that was received before at this position.
    fn add_result(&self, job: &str, position: usize, result: KnownResult) {
        let mut jobs = self.jobs.borrow_mut();
        let Some(history) = jobs.get_mut(job) else { return };
        let known = history.results.get(position).map(|known| (known.content.clone(), known.edge));
        let is_listed = history.results.iter().any(|known| known.content["id"] == result.content["id"]);
        if known.is_none() && !is_listed && position == history.results.len() {
            history.results.push(result);
            return;
        }
        drop(jobs);
        let Some((content, edge)) = known else {
            panic!("{}", self.failure(job, &format!("listed again at position {position}: {}", result.content)));
        };
        let message = format!(
            "position {position} has {} at edge {}, and had {content} at edge {edge}",
            result.content, result.edge
        );
        assert!(content == result.content, "{}", self.failure(job, &message));
    }

    fn add_exchange(&self, job: &str, line: String) {
        if let Some(history) = self.jobs.borrow_mut().get_mut(job) {
            history.exchanges.push(line);
        }
    }

    /// Time from the start of the seed to `instant`, in milliseconds.
    fn offset_ms(&self, instant: Instant) -> u128 {
        instant.saturating_duration_since(self.started_at).as_millis()
    }

    /// Time from `sent_at` to now, both from the start of the seed.
    fn span_ms(&self, sent_at: Instant) -> String {
        format!("{}..{}", self.offset_ms(sent_at), self.offset_ms(Instant::now()))
    }

    /// Message of a failure, with all requests on the job.
    pub fn failure(&self, job: &str, message: &str) -> String {
        let exchanges = self.jobs.borrow()[job].exchanges.join("\n  ");
        let (seed, started) = (self.seed, self.started_unix_ms);
        format!("seed {seed}: {job}: {message}\nall requests, in ms from {started}:\n  {exchanges}")
    }
}
