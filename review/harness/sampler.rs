//! Stand-ins for samplers: model engines that generate streams, and plain services that score texts.

use crate::{
    http::{Action, Handler, Reply, Request, serve_connection},
    json::{Json, map, number, text},
    record::Record,
    store::Store,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

const LOAD_TIME: Duration = Duration::from_millis(900);
/// Size of a piece of an endless answer.
const LINE_FEEDS: usize = 64 << 10;
/// A link of 1,000 Mbit/s.
const LINK_BYTES_PER_S: f64 = 125_000_000.0;
/// A sampler that crashed is back after this time.
const RESTART_TIME: Duration = Duration::from_secs(2);
const ACCEPT_INTERVAL: Duration = Duration::from_millis(1);
const SCORE_TIME: Duration = Duration::from_millis(10);

pub struct SamplerSettings {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: usize,
    /// Model and the version that the sampler starts with; `None` for a plain service.
    pub model: Option<(String, u64)>,
    pub event_time: Duration,
}

/// How a sampler spoils its answer to one request.
#[derive(Clone, Copy)]
pub enum Spoilage {
    /// After this many events, sends two more and bytes that are no event in one piece, and nothing else.
    Garbage { after: u64 },
    /// Sends line feeds without end, until the caller closes.
    Endless,
}

/// What samplers have seen of the items, for the checks.
#[derive(Default)]
pub struct ItemLog {
    /// Spoilage of the next answer to a request, by its id.
    pub spoilt: BTreeMap<String, Spoilage>,
    /// Times at which a sampler began to run an item, by the item's id.
    pub begun: BTreeMap<String, Vec<Instant>>,
    /// Items whose whole output was sent.
    pub finished: BTreeSet<String>,
    /// Number of answers of 500, by item.
    pub failed: BTreeMap<String, usize>,
    /// Holder named in the last order.
    pub last_holder: String,
    /// Items that crash each sampler that begins to run them.
    pub deadly: BTreeSet<String>,
    /// Times of the crashes.
    pub crashes: Vec<Instant>,
    /// Items whose first runs fail, with the number of answers of 500 that are left.
    pub failures_left: BTreeMap<String, usize>,
    /// Requests that run now.
    pub running: usize,
}

pub type SharedLog = Arc<Mutex<ItemLog>>;

struct Sampler {
    settings: SamplerSettings,
    address: SocketAddr,
    store: Arc<Store>,
    log: SharedLog,
    record: Arc<Record>,
    state: Mutex<SamplerState>,
}

#[derive(Default)]
struct SamplerState {
    version: u64,
    running: usize,
    orders: u64,
    is_loading: bool,
    /// Number of the process, which its id bears, and its start in Unix milliseconds.
    process: u64,
    born: u64,
    has_crashed: bool,
    /// Open connections of the process.
    streams: Vec<TcpStream>,
}

fn unix_ms() -> u64 {
    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_millis() as u64
}

/// Starts a sampler and lists it in the store.
pub fn start(settings: SamplerSettings, store: &Arc<Store>, log: &SharedLog, record: &Arc<Record>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let version = settings.model.as_ref().map_or(0, |(_, version)| *version);
    let sampler = Arc::new(Sampler {
        address: listener.local_addr().unwrap(),
        settings,
        store: store.clone(),
        log: log.clone(),
        record: record.clone(),
        state: Mutex::new(SamplerState { version, process: 1, born: unix_ms(), ..SamplerState::default() }),
    });
    sampler.list();
    thread::spawn(move || sampler.live(listener));
}

impl Sampler {
    fn id(&self) -> String {
        format!("{}-{}", self.settings.id, self.state.lock().unwrap().process)
    }

    /// Serves, crashes and starts again.
    fn live(self: Arc<Self>, listener: TcpListener) {
        let mut listener = listener;
        let serving = self.clone();
        let handler: Arc<Handler> = Arc::new(move |request, stream| serving.answer(request, stream));
        loop {
            listener.set_nonblocking(true).expect("a listener that does not wait");
            while !self.state.lock().unwrap().has_crashed {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(ACCEPT_INTERVAL);
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                if let Ok(handle) = stream.try_clone() {
                    self.state.lock().unwrap().streams.push(handle);
                }
                let handler = handler.clone();
                thread::spawn(move || {
                    // A connection that its peer closes ends its thread.
                    let _ = serve_connection(stream, &handler);
                });
            }
            drop(listener);
            for stream in self.state.lock().unwrap().streams.drain(..) {
                let _ = stream.shutdown(std::net::Shutdown::Both);
            }
            thread::sleep(RESTART_TIME);
            // The next process has another id, at the same address.
            self.store.delete(&format!("servers/{}", self.id()));
            listener = TcpListener::bind(self.address).expect("the sampler's port");
            {
                let mut state = self.state.lock().unwrap();
                state.process += 1;
                state.born = unix_ms();
                state.orders = 0;
                state.has_crashed = false;
            }
            self.list();
            self.record.line(&format!("sampler {} is back", self.id()));
        }
    }

    /// Whether the item crashes the process; if so, it does.
    fn crashes_under(&self, id: &str) -> bool {
        let mut log = self.log.lock().unwrap();
        if !log.deadly.contains(id) {
            return false;
        }
        log.crashes.push(Instant::now());
        self.state.lock().unwrap().has_crashed = true;
        true
    }

    fn list(&self) {
        let (version, orders, born) = {
            let state = self.state.lock().unwrap();
            (state.version, state.orders, state.born)
        };
        let models = match &self.settings.model {
            Some((name, _)) => {
                vec![map([("name", text(&**name)), ("version", number(version)), ("adapters", Json::List(Vec::new()))])]
            }
            None => Vec::new(),
        };
        let entry = map([
            ("service", text(&*self.settings.service)),
            ("address", text(self.address.to_string())),
            ("zone", text(&*self.settings.zone)),
            ("version", text("v1")),
            ("slots", number(self.settings.slots as u64)),
            ("state", text("ready")),
            ("coldRemainingMs", number(0)),
            ("models", Json::List(models)),
            ("stage", text("both")),
            ("sequence", number(orders + 1)),
            ("born", number(born)),
        ]);
        self.store.write(&format!("servers/{}", self.id()), &entry);
    }

    fn answer(self: &Arc<Self>, request: &Request, stream: &mut TcpStream) -> Action {
        let expected = request.header("Expect-Instance");
        if !expected.is_empty() && expected != self.id() {
            let reply = Reply::new(421).header("Not-Executed", "1").header("Request-Id", request.header("Request-Id"));
            return Action::Reply(reply);
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/health") => Action::Reply(Reply::new(200).header("Instance-Id", self.id())),
            ("GET", "/pimentoslip/report") => Action::Reply(self.report(request)),
            ("POST", "/pimentoslip/order") => Action::Reply(self.order(request)),
            _ => self.run(request, stream),
        }
    }

    fn report(&self, request: &Request) -> Reply {
        let state = self.state.lock().unwrap();
        let models = self.settings.model.as_ref().map(|(name, _)| {
            map([("name", text(&**name)), ("version", number(state.version)), ("adapters", Json::List(Vec::new()))])
        });
        let body = map([
            ("stage", text("both")),
            ("models", Json::List(models.into_iter().collect())),
            ("busy", Json::Bool(state.is_loading)),
            ("sequence", number(state.orders)),
            ("numWaiting", number(0)),
            ("numRunning", number(state.running as u64)),
            ("kvUsed", number(0)),
            ("kvTotal", number(45_902)),
            ("handles", number(0)),
        ]);
        let reply = Reply::new(200).header("Content-Type", "application/json");
        let id = request.header("Request-Id");
        let reply = if id.is_empty() { reply } else { reply.header("Request-Id", id) };
        reply.body(body.encode())
    }

    fn order(self: &Arc<Self>, request: &Request) -> Reply {
        let reply = |status: u16| Reply::new(status).header("Request-Id", request.header("Request-Id"));
        let Some(order) = Json::parse(&request.text()) else { return reply(400) };
        let (Some(version), false) = (order.get("version").number(), order.get("holder").text().is_empty()) else {
            return reply(400);
        };
        let mut state = self.state.lock().unwrap();
        if state.is_loading || order.get("expected").number().is_some_and(|expected| expected != state.orders) {
            return reply(409);
        }
        self.log.lock().unwrap().last_holder = order.get("holder").text().to_owned();
        if state.version == version {
            return reply(200);
        }
        state.orders += 1;
        state.is_loading = true;
        drop(state);
        self.record.line(&format!(
            "order sampler={} version={version} holder={} token={:?}",
            self.id(),
            order.get("holder").text(),
            order.get("fencingToken").number()
        ));
        let sampler = self.clone();
        thread::spawn(move || {
            thread::sleep(LOAD_TIME);
            {
                let mut state = sampler.state.lock().unwrap();
                state.version = version;
                state.is_loading = false;
            }
            sampler.list();
        });
        reply(202)
    }

    fn run(self: &Arc<Self>, request: &Request, stream: &mut TcpStream) -> Action {
        let id = request.header("Request-Id").to_owned();
        let refusal =
            |status: u16| Action::Reply(Reply::new(status).header("Request-Id", &id).header("Not-Executed", "1"));
        let version = {
            let mut state = self.state.lock().unwrap();
            let wanted = request.header("Expect-Version");
            if !wanted.is_empty() && wanted.parse() != Ok(state.version) {
                return refusal(421);
            }
            if state.is_loading || state.running >= self.settings.slots {
                return refusal(503);
            }
            state.running += 1;
            state.version
        };
        let is_engine = self.settings.model.is_some();
        if is_engine {
            self.log.lock().unwrap().running += 1;
        }
        let action = if is_engine { self.generate(request, stream, &id, version) } else { self.score(&id) };
        self.state.lock().unwrap().running -= 1;
        if is_engine {
            self.log.lock().unwrap().running -= 1;
        }
        action
    }

    fn score(&self, id: &str) -> Action {
        thread::sleep(SCORE_TIME);
        let reply = Reply::new(200).header("Request-Id", id).header("Server-Signature", format!("signed.{id}"));
        Action::Reply(reply.body("scored"))
    }

    /// Sends chunks of line feeds at the rate of the sampler's link, until the caller closes.
    fn send_line_feeds(&self, stream: &mut TcpStream) -> Action {
        let mut chunk = format!("{LINE_FEEDS:x}\r\n").into_bytes();
        chunk.resize(chunk.len() + LINE_FEEDS, b'\n');
        chunk.extend_from_slice(b"\r\n");
        let started_at = Instant::now();
        let mut sent = 0;
        while stream.write_all(&chunk).is_ok() {
            sent += LINE_FEEDS;
            thread::sleep(Duration::from_secs_f64(sent as f64 / LINK_BYTES_PER_S).saturating_sub(started_at.elapsed()));
        }
        Action::Written(false)
    }

    /// Streams the events of an item; the last segment of its path is their number.
    fn generate(&self, request: &Request, stream: &mut TcpStream, id: &str, version: u64) -> Action {
        let fails = {
            let mut log = self.log.lock().unwrap();
            log.begun.entry(id.to_owned()).or_default().push(Instant::now());
            let fails = log.failures_left.get(id).is_some_and(|left| *left > 0);
            if fails {
                *log.failures_left.get_mut(id).unwrap() -= 1;
                *log.failed.entry(id.to_owned()).or_default() += 1;
            }
            fails
        };
        let resumed = request.header("Last-Event-Id").parse::<u64>().ok();
        self.record
            .line(&format!("run sampler={} item={id} version={version} resumes={resumed:?} fails={fails}", self.id()));
        if fails {
            thread::sleep(self.settings.event_time);
            return Action::Reply(Reply::new(500).header("Request-Id", id).body("failed"));
        }
        let events: u64 = request.path.rsplit('/').next().and_then(|word| word.parse().ok()).unwrap_or(1);
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Signature: signed.{id}\r\nContent-Type: text/event-stream\r\n\
             Weight-Versions: {version}\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        if stream.write_all(head.as_bytes()).is_err() {
            return Action::Written(false);
        }
        if self.crashes_under(id) {
            self.record.line(&format!("sampler {} crashes under {id}", self.id()));
            return Action::Written(false);
        }
        let spoilage = self.log.lock().unwrap().spoilt.remove(id);
        if spoilage.is_some() {
            self.record.line(&format!("sampler {} spoils its answer to {id}", self.id()));
        }
        if matches!(spoilage, Some(Spoilage::Endless)) {
            return self.send_line_feeds(stream);
        }
        let mut last_version = version;
        for event in resumed.map_or(1, |last| last + 1)..=events {
            thread::sleep(self.settings.event_time);
            let version = self.state.lock().unwrap().version;
            let version_line =
                if version == last_version { String::new() } else { format!("weight-versions: {version}\n") };
            last_version = version;
            let mut data = format!("{version_line}id: {event}\ndata: {id}:{event}\n\n");
            let is_spoilt = matches!(spoilage, Some(Spoilage::Garbage { after }) if event > after);
            if is_spoilt {
                let next = event + 1;
                data.push_str(&format!("id: {next}\ndata: {id}:{next}\n\n<<$ no event >>\n\n"));
            }
            let chunk = format!("{:x}\r\n{data}\r\n", data.len());
            if is_closed(stream) || stream.write_all(chunk.as_bytes()).is_err() {
                return Action::Written(false);
            }
            if is_spoilt {
                return Action::Written(false);
            }
        }
        self.log.lock().unwrap().finished.insert(id.to_owned());
        Action::Written(stream.write_all(b"0\r\n\r\n").is_ok())
    }
}

/// Whether the sender has closed the connection, upon which a sampler drops the request.
fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let closed = matches!(stream.peek(&mut [0]), Ok(0));
    let _ = stream.set_nonblocking(false);
    closed
}
