//! Case: a model sampler repeats a refusal where the next response on its connection is expected, and the request that follows there
//! is an item of a batch job.

use crate::{
    engine::event_data,
    http::{Client, listen, read_request, response_bytes, serve},
    jobs::{read_results, submission, submit},
    site::{Folder, HOST, KEY, Options, Record, register, route, start_edges, write_config},
    store::Store,
};
use std::{
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const MODEL: &str = "daka510000";
const DISRUPTION: Duration = Duration::from_secs(5);
/// Of a hundred answers of the faulty sampler, so many are sent twice at most; the site file has 3.
const REPEATED_PERCENT: u64 = 3;
/// Time for an event of an item, or for a short answer.
const EVENT_MS: u64 = 60;
/// Callers that ask short questions.
const ASKERS: usize = 6;
/// Time for which the sampler before may still work on a request that goes on elsewhere.
const OVERLAP: Duration = Duration::from_millis(400);
/// Time after which a sampler that was full gets items again, and time without other items after a long one.
const AFTER_REFUSAL: Duration = Duration::from_millis(300);
const QUIET: Duration = Duration::from_millis(600);
/// About the rest of a round.
const ROUND: Duration = Duration::from_millis(1_100);
const NO_SAMPLER: usize = usize::MAX;

/// One run of an item.
struct Run {
    item: String,
    sampler: String,
    from: Instant,
    /// When the sampler stopped working on it; `None` while it works.
    to: Option<Instant>,
}

struct Shared {
    record: Arc<Record>,
    runs: Mutex<Vec<Run>>,
    is_disrupted: AtomicBool,
    /// The faulty sampler.
    faulty: AtomicUsize,
    answers: AtomicU64,
    repeated: AtomicU64,
}

struct Sampler {
    index: usize,
    id: String,
    shared: Arc<Shared>,
}

impl Sampler {
    fn is_faulty(&self) -> bool {
        self.shared.faulty.load(Ordering::SeqCst) == self.index && self.shared.is_disrupted.load(Ordering::SeqCst)
    }

    /// Counts an answer of the faulty sampler. Returns whether a refusal is sent once more.
    fn repeats(&self, is_refusal: bool) -> bool {
        if !self.is_faulty() {
            return false;
        }
        let answers = self.shared.answers.fetch_add(1, Ordering::SeqCst) + 1;
        let is_allowed = (self.shared.repeated.load(Ordering::SeqCst) + 1) * 100 <= answers * REPEATED_PERCENT;
        if is_refusal && is_allowed {
            self.shared.repeated.fetch_add(1, Ordering::SeqCst);
        }
        is_refusal && is_allowed
    }

    fn serve_connection(&self, mut stream: &TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(stream);
        let mut late_copy: Option<Vec<u8>> = None;
        loop {
            let request = read_request(&mut reader)?;
            let id = request.header("request-id").to_owned();
            if let Some(copy) = late_copy.take() {
                let text = format!("sampler {}: sends the earlier refusal once more, as {id} arrives", self.id);
                self.shared.record.line(text);
                stream.write_all(&copy)?;
            }
            let expected = request.header("expect-instance");
            if !expected.is_empty() && expected != self.id {
                stream.write_all(&response_bytes(421, &[("Request-Id", &id), ("Instance-Id", &self.id)], b""))?;
                continue;
            }
            if request.path().starts_with("/asks/") {
                thread::sleep(Duration::from_millis(EVENT_MS));
                self.repeats(false);
                let headers = [("Request-Id", id.as_str()), ("Server-Signature", "signed")];
                stream.write_all(&response_bytes(200, &headers, b"not long"))?;
                continue;
            }
            if !request.path().starts_with("/cards/") {
                stream.write_all(&response_bytes(200, &[("Instance-Id", &self.id)], b"{}"))?;
                continue;
            }
            // Its slots are taken by other callers at that moment.
            let is_full = id.starts_with("full") && self.shared.faulty.load(Ordering::SeqCst) == self.index;
            if is_full {
                let refusal = response_bytes(503, &[("Request-Id", id.as_str()), ("Not-Executed", "1")], b"");
                self.shared.record.line(format!("sampler {}: refuses {id}, full", self.id));
                if self.repeats(true) {
                    late_copy = Some(refusal.clone());
                }
                stream.write_all(&refusal)?;
                continue;
            }
            self.repeats(false);
            self.run_item(stream, &id, request.header("last-event-id").parse().unwrap_or(0))?;
        }
    }

    fn run_item(&self, mut stream: &TcpStream, id: &str, after: u64) -> io::Result<()> {
        let events = if id.starts_with("long") { 21 } else { 1 };
        let run = Run { item: id.to_owned(), sampler: self.id.clone(), from: Instant::now(), to: None };
        let index = {
            let mut runs = self.shared.runs.lock().expect("runs");
            runs.push(run);
            runs.len() - 1
        };
        let is_logged = id.starts_with("long");
        if is_logged {
            self.shared.record.line(format!("sampler {}: runs {id} after event {after}", self.id));
        }
        let mut send = || -> io::Result<()> {
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: {id}\r\nServer-Signature: signed-{id}\r\nWeight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
            );
            stream.write_all(head.as_bytes())?;
            for event in after + 1..=events {
                thread::sleep(Duration::from_millis(EVENT_MS));
                // A sampler drops a request when its connection closes.
                let mut byte = [0];
                stream.set_nonblocking(true)?;
                let closed = matches!(stream.peek(&mut byte), Ok(0));
                stream.set_nonblocking(false)?;
                if closed {
                    return Err(io::ErrorKind::ConnectionAborted.into());
                }
                let block = format!("id: {event}\ndata: {}\n\n", event_data(id, event));
                stream.write_all(format!("{:x}\r\n{block}\r\n", block.len()).as_bytes())?;
            }
            stream.write_all(b"0\r\n\r\n")
        };
        let sent = send();
        self.shared.runs.lock().expect("runs")[index].to = Some(Instant::now());
        if is_logged {
            let end = if sent.is_ok() { "has completed" } else { "has dropped" };
            self.shared.record.line(format!("sampler {}: {end} {id}", self.id));
        }
        sent
    }
}

/// Asks short questions of the samplers, which are answered at once, until `is_over`.
fn ask_steadily(asker: usize, address: SocketAddr, is_over: Arc<AtomicBool>) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        let (key, mut client) = (format!("Bearer {KEY}"), None);
        for number in 0.. {
            if is_over.load(Ordering::SeqCst) {
                return;
            }
            let id = format!("ask-{asker}-{number}");
            let headers =
                [("Host", HOST), ("Request-Id", id.as_str()), ("Deadline-Ms", "2000"), ("Authorization", key.as_str())];
            if client.is_none() {
                client = Client::connect(address, Duration::from_secs(3)).ok();
            }
            let answer = client.as_mut().map(|client| client.call("POST", "/asks/short", &headers, b"how long"));
            if !matches!(answer, Some(Ok(_))) {
                client = None;
            }
            thread::sleep(Duration::from_millis(40));
        }
    })
}

/// Submits a batch job and reads its results.
fn play_job(addresses: &[SocketAddr], record: &Record, job: &str, items: &[String]) -> io::Result<()> {
    record.line(format!("trainer: submits {job} with {} items", items.len()));
    submit(addresses, KEY, "cards", job, &submission(items, MODEL))?;
    let rows = read_results(addresses, KEY, job, items.len(), Duration::from_secs(8));
    record.line(format!("trainer: has read {} of {} results of {job}", rows.len(), items.len()));
    Ok(())
}

pub fn run(record: &Arc<Record>, has_trouble: bool) -> io::Result<bool> {
    let folder = Folder::create()?;
    let store = Store::start()?;
    let shared = Arc::new(Shared {
        record: record.clone(),
        runs: Mutex::default(),
        is_disrupted: AtomicBool::new(false),
        faulty: AtomicUsize::new(NO_SAMPLER),
        answers: AtomicU64::new(0),
        repeated: AtomicU64::new(0),
    });
    let zones: &'static [&'static str] = &["huamanga", "carmen-alto", "san-juan"];
    for (index, zone) in zones.iter().enumerate() {
        let (listener, address) = listen()?;
        let sampler = Sampler { index, id: format!("i-{index}"), shared: shared.clone() };
        register(&store, &sampler.id, "rollout-llm", address, zone, 12, Some(MODEL));
        serve(listener, move |stream| sampler.serve_connection(&stream).unwrap_or_default());
    }
    let service = format!(
        "{{\"name\":\"rollout-llm\",\"healthPath\":\"/health\",\"maxConnections\":150,\"engine\":{{\"slots\":12,\"models\":[{{\"name\":\"{MODEL}\"}}]}}}}"
    );
    write_config(
        &store,
        2,
        &[
            route("cards", "rollout", "rollout-llm", 10_000, 500, 3),
            route("asks", "safe", "rollout-llm", 2_000, 500, 2),
        ],
        &[service],
    );
    let names = [("edge-huamanga-1", zones[0]), ("edge-carmen-alto-1", zones[1]), ("edge-san-juan-1", zones[2])];
    let edges = start_edges(&folder, &names, &store, &Options { zones, provider: None, memory_mb: 260 })?;
    let addresses: Vec<SocketAddr> = edges.iter().map(|edge| edge.front).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let askers: Vec<_> =
        (0..ASKERS).map(|asker| ask_steadily(asker, addresses[asker % addresses.len()], is_over.clone())).collect();
    // A first job shows which sampler gets an item while all are idle.
    play_job(&addresses, record, "job-0-long", &["long-0".to_owned()])?;
    let first =
        shared.runs.lock().expect("runs").iter().find(|run| run.item == "long-0").map(|run| run.sampler.clone());
    let faulty = first.and_then(|id| id.strip_prefix("i-")?.parse().ok()).ok_or(io::ErrorKind::NotFound)?;
    if has_trouble {
        shared.faulty.store(faulty, Ordering::SeqCst);
    }
    shared.is_disrupted.store(true, Ordering::SeqCst);
    record.line(format!(
        "disruption begins: {}",
        if has_trouble { format!("i-{faulty} repeats answers late") } else { "none".to_owned() }
    ));
    let disrupted_at = Instant::now();
    let mut jobs = Vec::new();
    for round in 1..=5 {
        if disrupted_at.elapsed() + ROUND >= DISRUPTION {
            break;
        }
        play_job(&addresses, record, &format!("job-{round}-full"), &[format!("full-{round}")])?;
        thread::sleep(AFTER_REFUSAL);
        let (addresses, record) = (addresses.clone(), record.clone());
        jobs.push(thread::spawn(move || {
            play_job(&addresses, &record, &format!("job-{round}-long"), &[format!("long-{round}")])
        }));
        thread::sleep(QUIET);
    }
    thread::sleep(DISRUPTION.saturating_sub(disrupted_at.elapsed()));
    shared.is_disrupted.store(false, Ordering::SeqCst);
    is_over.store(true, Ordering::SeqCst);
    jobs.into_iter().for_each(|job| drop(job.join()));
    askers.into_iter().for_each(|asker| drop(asker.join()));
    thread::sleep(Duration::from_secs(2));
    let (repeated, answers) = (shared.repeated.load(Ordering::SeqCst), shared.answers.load(Ordering::SeqCst));
    record.say(format!("i-{faulty} sent {repeated} of its {answers} answers twice in the disruption"));
    let runs = shared.runs.lock().expect("runs");
    let mut is_kept = true;
    for run in runs.iter() {
        let later =
            runs.iter().find(|next| next.item == run.item && next.sampler != run.sampler && next.from > run.from);
        let Some(later) = later else { continue };
        let overlap = run.to.unwrap_or_else(Instant::now).saturating_duration_since(later.from);
        if overlap > OVERLAP {
            record.say(format!(
                "BROKEN: {} went on at {} while {} worked on it for {} ms more",
                run.item,
                later.sampler,
                run.sampler,
                overlap.as_millis()
            ));
            is_kept = false;
        }
    }
    record.say(format!("{} runs of items", runs.len()));
    Ok(is_kept)
}
