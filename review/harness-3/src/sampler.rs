//! Samplers of a plain service, which can lose power: a sampler without power answers nothing and accepts no connection.

use crate::handover::FAILING_ID;
use pimentoslip_standin::PlatformStore;
use serde_json::json;
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    sync::watch,
};

/// Time of a rejection on the platform's network, which loopback does not take: a new connection within a zone and the request on
/// it are two round trips of 0.4 ms each, and the handshake of a sampler takes 1 ms.
const REJECTION_DELAY: Duration = Duration::from_millis(2);

/// Bytes of the data of an event, as on the sheets.
const EVENT_BYTES: usize = 310;

/// Time after which a failing item is answered 500.
const FAILURE_TIME: Duration = Duration::from_millis(550);

/// A request that a sampler began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub at: Instant,
    /// When it stopped to work on it; `None` while it does.
    pub ended_at: Option<Instant>,
    /// Whether it sent the whole answer.
    pub is_complete: bool,
}

/// Shared list of all runs.
pub type Runs = Rc<RefCell<Vec<Run>>>;

/// One sampler, at one address through all its incarnations.
pub struct Sampler {
    pub id: String,
    service: String,
    zone: String,
    slots: u64,
    pub address: SocketAddr,
    store: PlatformStore,
    runs: Runs,
    work_ms: u64,
    /// Tokens that fit into the memory of a model sampler; `None` for a plain service.
    kv_tokens: Option<u64>,
    /// Requests that it works on.
    running: Rc<Cell<usize>>,
    /// Incarnation; the connections of an earlier one are closed.
    incarnation: watch::Sender<u64>,
    is_dark: Rc<Cell<bool>>,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock after 1970").as_millis() as u64
}

/// Listens at `address` with the shortest queue of new connections.
fn listen(address: SocketAddr, backlog: u32) -> TcpListener {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_reuseaddr(true).expect("reuse the address");
    socket.bind(address).expect("bind the address");
    socket.listen(backlog).expect("listen")
}

/// A run in progress; it ends when this is dropped.
struct RunGuard {
    runs: Runs,
    index: usize,
    running: Rc<Cell<usize>>,
}

impl RunGuard {
    fn end(self, is_complete: bool) {
        self.runs.borrow_mut()[self.index].is_complete = is_complete;
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.running.set(self.running.get() - 1);
        self.runs.borrow_mut()[self.index].ended_at = Some(Instant::now());
    }
}

impl Sampler {
    /// Starts a sampler, and lists it in the store.
    pub fn start(
        store: &PlatformStore,
        runs: &Runs,
        service: &str,
        zone: &str,
        id: &str,
        slots: u64,
        work_ms: u64,
    ) -> Rc<Self> {
        Self::start_with(store, runs, service, zone, id, slots, work_ms, None)
    }

    /// Starts a model sampler, which makes an event each `event_ms` and rejects requests of more than `kv_tokens` tokens.
    #[allow(clippy::too_many_arguments)]
    pub fn start_engine(
        store: &PlatformStore,
        runs: &Runs,
        service: &str,
        zone: &str,
        id: &str,
        slots: u64,
        event_ms: u64,
        kv_tokens: u64,
    ) -> Rc<Self> {
        Self::start_with(store, runs, service, zone, id, slots, event_ms, Some(kv_tokens))
    }

    #[allow(clippy::too_many_arguments)]
    fn start_with(
        store: &PlatformStore,
        runs: &Runs,
        service: &str,
        zone: &str,
        id: &str,
        slots: u64,
        work_ms: u64,
        kv_tokens: Option<u64>,
    ) -> Rc<Self> {
        let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0)), 256);
        let address = listener.local_addr().expect("its address");
        let sampler = Rc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            slots,
            address,
            store: store.clone(),
            runs: runs.clone(),
            work_ms,
            kv_tokens,
            running: Rc::default(),
            incarnation: watch::channel(0).0,
            is_dark: Rc::default(),
        });
        sampler.list();
        sampler.accept(listener);
        sampler
    }

    /// Writes the entry of the sampler, of a process that starts now.
    fn list(&self) {
        let models = if self.kv_tokens.is_some() {
            json!([{ "name": "verse", "version": 1, "adapters": [] }, { "name": "tag", "version": 1, "adapters": [] }])
        } else {
            json!([])
        };
        self.store.put(
            &format!("servers/{}", self.id),
            &json!({
                "service": self.service, "address": self.address.to_string(), "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": "ready", "coldRemainingMs": 0, "models": models, "sequence": 1,
                "born": unix_ms(),
            }),
        );
    }

    fn accept(self: &Rc<Self>, listener: TcpListener) {
        let sampler = self.clone();
        let mut incarnation = self.incarnation.subscribe();
        actix_rt::spawn(async move {
            loop {
                tokio::select! {
                    _ = incarnation.changed() => return,
                    accepted = listener.accept() => {
                        if let Ok((stream, _)) = accepted {
                            actix_rt::spawn(sampler.clone().serve(stream));
                        }
                    }
                }
            }
        });
    }

    /// Loses power for `dark`: it answers nothing on its connections, and packets that open new ones are dropped. Its entry is
    /// removed after three intervals of its heartbeat. Then a new process starts under the same id and address.
    pub async fn lose_power(self: Rc<Self>, dark: Duration, heartbeat: Duration) {
        self.is_dark.set(true);
        self.incarnation.send_modify(|incarnation| *incarnation += 1);
        // The task that accepts ends and drops its listener.
        actix_rt::time::sleep(Duration::from_millis(1)).await;
        let closed = listen(self.address, 0);
        // Fills the queue of new connections, so that further ones are dropped.
        let mut fillers = Vec::new();
        for _ in 0..2 {
            let connect = TcpStream::connect(self.address);
            if let Ok(Ok(stream)) = actix_rt::time::timeout(Duration::from_millis(20), connect).await {
                fillers.push(stream);
            }
        }
        let lapse = heartbeat * 3;
        if lapse < dark {
            actix_rt::time::sleep(lapse).await;
            self.store.contents().remove(&format!("servers/{}", self.id));
        }
        actix_rt::time::sleep(dark.saturating_sub(lapse)).await;
        drop((closed, fillers));
        let listener = listen(self.address, 256);
        self.is_dark.set(false);
        self.incarnation.send_modify(|incarnation| *incarnation += 1);
        actix_rt::time::sleep(Duration::from_millis(1)).await;
        self.accept(listener);
        self.list();
    }

    /// Ends for good: its connections are closed, its port refuses new ones, and its entry is removed after three intervals of its
    /// heartbeat.
    pub async fn end(self: Rc<Self>, heartbeat: Duration) {
        self.incarnation.send_modify(|incarnation| *incarnation += 1);
        actix_rt::time::sleep(heartbeat * 3).await;
        self.store.contents().remove(&format!("servers/{}", self.id));
    }

    /// Serves one connection until the process that accepted it has ended.
    async fn serve(self: Rc<Self>, mut stream: TcpStream) {
        let mut incarnation = self.incarnation.subscribe();
        incarnation.borrow_and_update();
        tokio::select! {
            () = self.answer_requests(&mut stream) => {}
            _ = incarnation.changed() => {
                // A machine without power sends nothing, and its next process knows nothing of the connection.
                if self.is_dark.get() {
                    std::future::pending::<()>().await;
                }
            }
        }
    }

    async fn answer_requests(&self, stream: &mut TcpStream) {
        let mut received = Vec::new();
        loop {
            let head_end = loop {
                if let Some(position) = received.windows(4).position(|window| window == b"\r\n\r\n") {
                    break position + 4;
                }
                let mut block = [0; 4096];
                match stream.read(&mut block).await {
                    Ok(count) if count > 0 => received.extend_from_slice(&block[..count]),
                    _ => return,
                }
            };
            let head = String::from_utf8_lossy(&received[..head_end]).into_owned();
            let header = |name: &str| {
                head.lines().skip(1).find_map(|line| {
                    let (key, value) = line.split_once(':')?;
                    key.eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
                })
            };
            let length: usize = header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
            while received.len() < head_end + length {
                let mut block = [0; 4096];
                match stream.read(&mut block).await {
                    Ok(count) if count > 0 => received.extend_from_slice(&block[..count]),
                    _ => return,
                }
            }
            received.drain(..head_end + length);
            let id = header("request-id").unwrap_or_default();
            let response = if header("expect-instance").is_some_and(|expected| expected != self.id) {
                format!(
                    "HTTP/1.1 421 Misdirected Request\r\nrequest-id: {id}\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n"
                )
            } else if let (Some(kv_tokens), true) = (self.kv_tokens, header("token-count").is_some()) {
                let tokens: u64 = header("token-count")
                    .unwrap_or_default()
                    .split(',')
                    .filter_map(|text| text.trim().parse::<u64>().ok())
                    .sum();
                if tokens > kv_tokens || self.running.get() as u64 >= self.slots {
                    actix_rt::time::sleep(REJECTION_DELAY).await;
                    format!(
                        "HTTP/1.1 503 Service Unavailable\r\nrequest-id: {id}\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n"
                    )
                } else {
                    let run = self.run_begun(&id);
                    if id.starts_with(FAILING_ID) {
                        actix_rt::time::sleep(FAILURE_TIME).await;
                        let head = format!(
                            "HTTP/1.1 500 Internal Server Error\r\nrequest-id: {id}\r\nserver-signature: signed {id}\r\ncontent-length: 0\r\n\r\n"
                        );
                        run.end(true);
                        if stream.write_all(head.as_bytes()).await.is_err() {
                            return;
                        }
                        continue;
                    }
                    let count: u64 = header("length-hint").and_then(|text| text.parse().ok()).unwrap_or(1);
                    let first: u64 =
                        header("last-event-id").and_then(|text| text.parse::<u64>().ok()).map_or(1, |last| last + 1);
                    let is_sent = self.stream_events(stream, &id, first, count).await;
                    run.end(is_sent);
                    if !is_sent {
                        return;
                    }
                    continue;
                }
            } else {
                let run = self.run_begun(&id);
                actix_rt::time::sleep(Duration::from_millis(self.work_ms)).await;
                run.end(true);
                let body = format!("answer to {id}");
                format!(
                    "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nserver-signature: signed {id}\r\nserver-load: 1,0,{}\r\ncontent-length: {}\r\n\r\n{body}",
                    self.slots,
                    body.len()
                )
            };
            if stream.write_all(response.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    fn run_begun(&self, id: &str) -> RunGuard {
        let mut runs = self.runs.borrow_mut();
        runs.push(Run { id: id.to_owned(), at: Instant::now(), ended_at: None, is_complete: false });
        self.running.set(self.running.get() + 1);
        RunGuard { runs: self.runs.clone(), index: runs.len() - 1, running: self.running.clone() }
    }

    /// Number of requests that it works on.
    pub fn running(&self) -> usize {
        self.running.get()
    }

    /// Streams the events `first..=count` of a text. Returns false if the connection is closed.
    async fn stream_events(&self, stream: &mut TcpStream, id: &str, first: u64, count: u64) -> bool {
        let head = format!(
            "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nserver-signature: signed {id}\r\nweight-versions: 1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
        );
        if stream.write_all(head.as_bytes()).await.is_err() {
            return false;
        }
        for number in first..=count {
            actix_rt::time::sleep(Duration::from_millis(self.work_ms)).await;
            let event = format!("id: {number}\ndata: {id}:{number}:{:x<EVENT_BYTES$}\n\n", "");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if stream.write_all(chunk.as_bytes()).await.is_err() {
                return false;
            }
        }
        stream.write_all(b"0\r\n\r\n").await.is_ok()
    }
}
