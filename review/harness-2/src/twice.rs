//! Case: a sampler repeats a refusal where the next response on its connection is expected.
//!
//! Three samplers of a plain service are full for a moment each half second, as other callers use them too. One of them sends some of
//! its answers twice, the second time late, as the users' pages describe. Orders, which may run once, are sent one after the other: first
//! orders with a long latency objective while refusals bear the id of the request, and then, with a short one, while they bear none.

use crate::{
    http::{Client, call, listen, read_request, response_bytes, serve},
    site::{Folder, HOST, KEY, Options, Record, register, route, start_edges, write_config},
    store::Store,
};
use std::{
    collections::BTreeMap,
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Time between two moments at which the samplers are full, and how long each lasts.
const BUSY_INTERVAL_MS: u128 = 500;
const BUSY_MS: u128 = 150;
/// Length of the disruption; the site file has 5 s.
const DISRUPTION: Duration = Duration::from_secs(5);
/// Of a hundred answers of a faulty sampler, so many are sent twice at most; the site file has 3.
const REPEATED_PERCENT: u64 = 3;
const WORK: Duration = Duration::from_millis(25);
/// A kind of order, and the refusals that it meets.
struct Kind {
    route: &'static str,
    objective_ms: u64,
    /// Whether refusals bear the id of the request, as other answers do.
    are_refusals_named: bool,
    /// Times after the moment at which the samplers become full at which the orders are sent in turn.
    phases_ms: &'static [u128],
}

/// The pages say that samplers echo the id; the example of a refusal there has none.
const KINDS: [Kind; 2] = [
    Kind { route: "orders", objective_ms: 1_000, are_refusals_named: true, phases_ms: &[20] },
    Kind { route: "orders-now", objective_ms: 150, are_refusals_named: false, phases_ms: &[20, 270] },
];

/// What all samplers share.
struct Shared {
    record: Arc<Record>,
    started: Instant,
    /// Runs by request id: the samplers that ran it.
    runs: Mutex<BTreeMap<String, Vec<String>>>,
    is_disrupted: AtomicBool,
    are_refusals_named: AtomicBool,
}

struct Sampler {
    id: String,
    address: SocketAddr,
    shared: Arc<Shared>,
    is_faulty: bool,
    /// Answers during the disruption, and those that were sent twice.
    answers: AtomicU64,
    repeated: AtomicU64,
}

impl Sampler {
    fn is_full(&self) -> bool {
        self.shared.started.elapsed().as_millis() % BUSY_INTERVAL_MS < BUSY_MS
    }

    /// Whether this answer is sent once more.
    fn repeats(&self, path: &str) -> bool {
        if !self.is_faulty || !self.shared.is_disrupted.load(Ordering::SeqCst) {
            return false;
        }
        let answers = self.answers.fetch_add(1, Ordering::SeqCst) + 1;
        let is_allowed = (self.repeated.load(Ordering::SeqCst) + 1) * 100 <= answers * REPEATED_PERCENT;
        if is_allowed && path.starts_with("/orders") {
            self.repeated.fetch_add(1, Ordering::SeqCst);
            return true;
        }
        false
    }

    fn serve_connection(&self, mut stream: &TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(stream);
        let mut late_copy: Option<Vec<u8>> = None;
        loop {
            let request = read_request(&mut reader)?;
            let id = request.header("request-id").to_owned();
            if let Some(copy) = late_copy.take() {
                self.shared
                    .record
                    .line(format!("sampler {}: sends the earlier answer once more, as {id} arrives", self.id));
                stream.write_all(&copy)?;
            }
            if !request.header("expect-instance").is_empty() && request.header("expect-instance") != self.id {
                stream.write_all(&response_bytes(421, &[("Request-Id", &id), ("Instance-Id", &self.id)], b""))?;
                continue;
            }
            let is_order = request.path().starts_with("/orders");
            if request.path() == "/health" || !self.is_full() {
                if is_order {
                    self.shared.record.line(format!("sampler {}: runs {id}", self.id));
                }
                self.shared.runs.lock().expect("runs").entry(id.clone()).or_default().push(self.id.clone());
                thread::sleep(WORK);
                let signature = format!("signed-{}-{id}", self.id);
                let body = format!("answer of {} to {id}", self.id);
                let headers = [("Request-Id", id.as_str()), ("Server-Signature", signature.as_str())];
                self.repeats("");
                stream.write_all(&response_bytes(200, &headers, body.as_bytes()))?;
            } else {
                let headers = [("Not-Executed", "1"), ("Request-Id", id.as_str())];
                let is_named = self.shared.are_refusals_named.load(Ordering::SeqCst);
                let refusal = response_bytes(503, &headers[..if is_named { 2 } else { 1 }], b"");
                if is_order {
                    self.shared.record.line(format!("sampler {}: refuses {id}, full", self.id));
                }
                if self.repeats(request.path()) {
                    late_copy = Some(refusal.clone());
                }
                stream.write_all(&refusal)?;
            }
        }
    }
}

/// Sends orders of one kind for the time of a disruption, one after the other. Returns their ids and the statuses of the answers.
fn send_orders(record: &Record, kind: &Kind, front: SocketAddr, started: Instant) -> Vec<(String, u16)> {
    let (began, mut statuses) = (Instant::now(), Vec::new());
    for number in 0.. {
        let phase = started.elapsed().as_millis() % BUSY_INTERVAL_MS;
        let aim = kind.phases_ms[number % kind.phases_ms.len()];
        thread::sleep(Duration::from_millis(((BUSY_INTERVAL_MS + aim - phase) % BUSY_INTERVAL_MS) as u64));
        if began.elapsed() >= DISRUPTION {
            break;
        }
        let (id, key) = (format!("{}-{number}", kind.route), format!("Bearer {KEY}"));
        let headers =
            [("Host", HOST), ("Request-Id", id.as_str()), ("Deadline-Ms", "2000"), ("Authorization", key.as_str())];
        record.line(format!("client: sends {id}"));
        let path = format!("/{}/tray", kind.route);
        let answer = call(front, "POST", &path, &headers, b"one tray", Duration::from_secs(3));
        let status = answer.as_ref().map_or(0, |answer| answer.status);
        let text = answer.map(|answer| answer.text()).unwrap_or_default();
        record.line(format!("client: {id} is answered {status} {text:?}"));
        statuses.push((id, status));
    }
    statuses
}

/// Runs the case. Returns whether the rule was kept.
pub fn run(record: &Arc<Record>, has_trouble: bool) -> io::Result<bool> {
    let folder = Folder::create()?;
    let store = Store::start()?;
    let shared = Arc::new(Shared {
        record: record.clone(),
        started: Instant::now(),
        runs: Mutex::default(),
        is_disrupted: AtomicBool::new(false),
        are_refusals_named: AtomicBool::new(true),
    });
    let zones: &[&str] = &["huamanga", "carmen-alto", "san-juan"];
    let mut samplers = Vec::new();
    for (index, zone) in zones.iter().enumerate() {
        let (listener, address) = listen()?;
        let sampler = Arc::new(Sampler {
            id: format!("i-{index}"),
            address,
            shared: shared.clone(),
            is_faulty: has_trouble && index == 0,
            answers: AtomicU64::new(0),
            repeated: AtomicU64::new(0),
        });
        let served = sampler.clone();
        serve(listener, move |stream| served.serve_connection(&stream).unwrap_or_default());
        register(&store, &sampler.id, "order-desk", sampler.address, zone, 6, None);
        samplers.push(sampler);
    }
    let mut routes = KINDS.map(|kind| route(kind.route, "unsafe", "order-desk", 2_000, kind.objective_ms, 2)).to_vec();
    routes.push(route("quotes", "safe", "order-desk", 2_000, 1_000, 2));
    let service = "{\"name\":\"order-desk\",\"healthPath\":\"/health\",\"maxConnections\":100}".to_owned();
    write_config(&store, 2, &routes, &[service]);
    let names = [("edge-huamanga-1", zones[0]), ("edge-carmen-alto-1", zones[1]), ("edge-san-juan-1", zones[2])];
    let edges = start_edges(&folder, &names, &store, &Options { zones, provider: None, memory_mb: 260 })?;
    // Other callers ask for quotes all the time, at the other two daemons.
    let is_over = Arc::new(AtomicBool::new(false));
    let (mut callers, front) = (Vec::new(), edges[0].front);
    for caller in 0..8 {
        let (is_over, address) = (is_over.clone(), edges[1 + caller % 2].front);
        callers.push(thread::spawn(move || {
            let mut client = None;
            for number in 0.. {
                if is_over.load(Ordering::SeqCst) {
                    return;
                }
                let (id, key) = (format!("quote-{caller}-{number}"), format!("Bearer {KEY}"));
                let headers = [
                    ("Host", HOST),
                    ("Request-Id", id.as_str()),
                    ("Deadline-Ms", "2000"),
                    ("Authorization", key.as_str()),
                ];
                if client.is_none() {
                    client = Client::connect(address, Duration::from_secs(3)).ok();
                }
                let answer = client.as_mut().map(|client| client.call("POST", "/quotes/tray", &headers, b"how much"));
                if !matches!(answer, Some(Ok(_))) {
                    client = None;
                }
                thread::sleep(Duration::from_millis(30));
            }
        }));
    }
    thread::sleep(Duration::from_secs(1));
    let mut statuses = Vec::new();
    for kind in &KINDS {
        for sampler in &samplers {
            sampler.answers.store(0, Ordering::SeqCst);
            sampler.repeated.store(0, Ordering::SeqCst);
        }
        shared.are_refusals_named.store(kind.are_refusals_named, Ordering::SeqCst);
        shared.is_disrupted.store(true, Ordering::SeqCst);
        record.line(format!("disruption begins: {}", if has_trouble { "i-0 repeats answers late" } else { "none" }));
        statuses.extend(send_orders(record, kind, front, shared.started));
        shared.is_disrupted.store(false, Ordering::SeqCst);
        record.say(format!(
            "{}: i-0 sent {} of its {} answers twice in the disruption",
            kind.route,
            samplers[0].repeated.load(Ordering::SeqCst),
            samplers[0].answers.load(Ordering::SeqCst)
        ));
        thread::sleep(Duration::from_secs(1));
    }
    is_over.store(true, Ordering::SeqCst);
    callers.into_iter().for_each(|caller| caller.join().unwrap_or_default());
    let runs = shared.runs.lock().expect("runs");
    let mut is_kept = true;
    for (id, status) in &statuses {
        let ran_at = runs.get(id).cloned().unwrap_or_default();
        let is_promise = [408, 421, 429, 503].contains(status);
        if ran_at.len() > 1 || (is_promise && !ran_at.is_empty()) {
            record.say(format!("BROKEN: {id} was answered {status} and ran at {}", ran_at.join(" and ")));
            is_kept = false;
        }
    }
    let served = statuses.iter().filter(|(_, status)| *status == 200).count();
    record.say(format!("{served} of {} orders were served", statuses.len()));
    if served == 0 {
        return Err(io::Error::other("no order was served"));
    }
    Ok(is_kept)
}
