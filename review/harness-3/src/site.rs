//! A small site: edges as processes of their own, and the stand-ins that they use.

use crate::paged_store;
use base64::{Engine, engine::general_purpose::STANDARD};
use pimentoslip_standin::{PlatformProvider, PlatformStore};
use serde_json::{Value, json};
use std::{
    fs::{self, File},
    io::Write,
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};
use tokio::net::TcpSocket;

/// API key of the only organisation.
pub const KEY: &str = "key-of-rose";
/// Host of all routes.
pub const HOST: &str = "desk.example";

/// One edge: its settings and its process.
pub struct Edge {
    pub name: String,
    pub frontend: SocketAddr,
    pub ready: SocketAddr,
    settings_path: PathBuf,
    log_path: PathBuf,
    metrics_port: u16,
    pub process: Option<Child>,
    /// Sockets that reserve the ports.
    _reserved: [(u16, TcpSocket); 4],
}

/// What was sent, answered and run, with the time since the start.
pub struct Record {
    file: File,
    started_at: Instant,
}

impl Record {
    pub fn create() -> Self {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
        Self { file: File::create(path).expect("create the record"), started_at: Instant::now() }
    }

    pub fn line(&mut self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.started_at.elapsed().as_secs_f64());
        print!("{line}");
        let _ = self.file.write_all(line.as_bytes());
    }

    pub fn elapsed(&self) -> Duration {
        self.started_at.elapsed()
    }
}

/// The site.
pub struct Site {
    pub store: PlatformStore,
    pub provider: PlatformProvider,
    /// Address at which the edges call the store.
    store_address: SocketAddr,
    pub edges: Vec<Edge>,
    folder: PathBuf,
}

impl Drop for Site {
    fn drop(&mut self) {
        for edge in &mut self.edges {
            if let Some(mut process) = edge.process.take() {
                let _ = process.kill();
                let _ = process.wait();
            }
        }
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// A free loopback port, and a socket that reserves it: bound without listening, it lets an edge bind the port as well.
fn reserve_port() -> (u16, TcpSocket) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_reuseaddr(true).expect("share the port");
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a free port");
    (socket.local_addr().expect("its address").port(), socket)
}

/// A route of the configuration.
pub fn route(name: &str, kind: &str, service: &str) -> Value {
    json!({
        "name": name, "host": HOST, "pathPrefix": format!("/{name}/"), "type": kind, "timeoutMs": 10_000,
        "targetLatencyMs": 500, "priority": 1, "service": service, "maxAttempts": 3, "public": name == "score",
        "runTargetMs": 7_500, "retentionS": 40, "resumable": false,
    })
}

impl Site {
    /// Starts the store and the cloud interface.
    pub fn prepare() -> Self {
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("create the folder");
        let store = PlatformStore::start().expect("start the store");
        let provider = PlatformProvider::start().expect("start the provider");
        let store_address = paged_store::start(store.address);
        Self { store, provider, store_address, edges: Vec::new(), folder }
    }

    /// A configuration with one organisation.
    pub fn config(version: u64, routes: Vec<Value>, services: Vec<Value>) -> Value {
        json!({
            "version": version, "routes": routes, "services": services,
            "limits": { "maxHeaderBytes": 16_384, "maxBodyBytes": 33_554_432,
                "headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000 },
            "tenants": [{ "name": "rose", "apiKeys": [KEY], "priority": 1 }],
        })
    }

    /// Waits until all edges are ready and know each other.
    pub async fn wait_all_ready(&self) {
        for number in 0..self.edges.len() {
            self.wait_ready(number).await;
        }
        actix_rt::time::sleep(Duration::from_millis(1_500)).await;
    }

    /// The edge whose log has the latest line with `text`.
    pub fn last_edge_with(&self, text: &str) -> Option<usize> {
        let last_time = |edge: &Edge| {
            let log = fs::read_to_string(&edge.log_path).unwrap_or_default();
            log.lines().rfind(|line| line.contains(text)).map(|line| line.chars().take(26).collect::<String>())
        };
        (0..self.edges.len())
            .filter_map(|number| Some((last_time(&self.edges[number])?, number)))
            .max()
            .map(|(_, number)| number)
    }

    /// Sends SIGTERM to the process of an edge.
    pub fn terminate(&mut self, number: usize) {
        if let Some(process) = &self.edges[number].process {
            let _ = Command::new("kill").args(["-TERM", &process.id().to_string()]).status();
        }
    }

    /// Whether the process of an edge has ended by now.
    pub fn has_ended(&mut self, number: usize) -> bool {
        let process = self.edges[number].process.as_mut();
        process.is_some_and(|process| matches!(process.try_wait(), Ok(Some(_))))
    }

    /// Records how many crashes the edges know of each request, from their logs.
    pub fn print_marks(&self, record: &mut Record) {
        for edge in &self.edges {
            let log = fs::read_to_string(&edge.log_path).unwrap_or_default();
            for line in
                log.lines().filter(|line| line.contains("event=upstream_crashed") || line.contains("event=crash_known"))
            {
                record.line(&format!("log of {}: {line}", edge.name));
            }
        }
    }

    pub fn add_edge(&mut self, number: usize, zone: &str, memory_mb: u64) {
        let name = format!("edge-{number}");
        let reserved: [(u16, TcpSocket); 4] = std::array::from_fn(|_| reserve_port());
        let [frontend, ready, control, metrics_port] = std::array::from_fn(|index| reserved[index].0);
        let settings = json!({
            "nodeName": name, "role": "edge", "machineClass": "edge", "serves": ["edge"],
            "ip": "127.0.0.1", "zone": zone, "region": "viti-levu",
            "zones": { zone: "viti-levu" },
            "listenAddrs": { "frontend": format!("127.0.0.1:{frontend}"), "ready": format!("127.0.0.1:{ready}") },
            "internalPorts": [control, control], "heartbeatMs": 1_200,
            "limits": { "cpuShare": 0.25, "cpuCores": 1, "memoryMb": memory_mb, "maxFds": 4_100 },
            "platform": { "address": self.store_address, "form": "kv", "writesPerS": 400, "readsPerS": 2_000,
                "historyS": 20, "valueBytes": 1_048_576, "minTtlMs": 1_000 },
            "cloudApi": { "address": self.provider.address, "ratePerS": 50.0, "dutyPerS": 50.0 },
            "bounds": { "contactMs": 3_000, "ackMs": 4_000, "drainMs": 2_000, "graceS": 8, "configApplyMs": 2_000,
                "leaseMs": 3_000, "reportWindowS": 5, "statusS": 120, "recoveryS": 12, "cancelMs": 3_000,
                "settleMs": 1_000, "finishS": 10 },
        });
        let settings_path = self.folder.join(format!("{name}.json"));
        fs::write(&settings_path, settings.to_string()).expect("write the settings");
        self.edges.push(Edge {
            frontend: SocketAddr::from(([127, 0, 0, 1], frontend)),
            ready: SocketAddr::from(([127, 0, 0, 1], ready)),
            log_path: self.folder.join(format!("{name}.log")),
            name,
            settings_path,
            metrics_port,
            process: None,
            _reserved: reserved,
        });
    }

    /// Starts the process of an edge, with the command of the deploy file.
    pub fn start_edge(&mut self, number: usize) {
        let edge = &mut self.edges[number];
        let log = File::options().create(true).append(true).open(&edge.log_path).expect("open the log");
        let program = std::env::var("PIMENTOSLIPD").unwrap_or_else(|_| "target/release/pimentoslipd".to_owned());
        let process = Command::new(program)
            .args(["edge", "--metrics-port", &edge.metrics_port.to_string()])
            .env("PIMENTOSLIP_BOOT", &edge.settings_path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("share the log"))
            .stderr(log)
            .spawn()
            .expect("start an edge");
        edge.process = Some(process);
    }

    /// Waits until an edge counts as ready.
    pub async fn wait_ready(&self, number: usize) {
        let deadline = Instant::now() + Duration::from_secs(15);
        let url = format!("http://{}/pimentoslip/ready", self.edges[number].ready);
        while Instant::now() < deadline {
            let answer = awc::Client::default().get(&url).timeout(Duration::from_millis(500)).send().await;
            if answer.is_ok_and(|answer| answer.status().is_success()) {
                return;
            }
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("{} is not ready", self.edges[number].name);
    }

    /// Resident memory of an edge's process in bytes, without that of its program's file; `None` if it does not run.
    pub fn resident_bytes(&mut self, number: usize) -> Option<u64> {
        let process = self.edges[number].process.as_mut()?;
        if process.try_wait().ok()?.is_some() {
            return None;
        }
        let text = fs::read_to_string(format!("/proc/{}/statm", process.id())).ok()?;
        let pages: Vec<u64> = text.split_whitespace().filter_map(|field| field.parse().ok()).collect();
        Some(pages.get(1)?.saturating_sub(*pages.get(2)?) * 4_096)
    }
}

/// HTTP answer; status 0 if there was none.
pub struct Reply {
    pub status: u16,
    pub body: Vec<u8>,
}

/// Sends a request on a new connection.
pub async fn send(
    edge: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    headers: &[(&str, String)],
    body: Vec<u8>,
    timeout_ms: u64,
) -> Reply {
    let method = awc::http::Method::from_bytes(method.as_bytes()).expect("a method");
    let mut request = awc::Client::default()
        .request(method, format!("http://{edge}{path}"))
        .timeout(Duration::from_millis(timeout_ms))
        .force_close()
        .insert_header(("host", HOST))
        .insert_header(("request-id", id))
        .insert_header(("authorization", format!("Bearer {KEY}")));
    for (name, value) in headers {
        request = request.insert_header((*name, value.as_str()));
    }
    match request.send_body(body).await {
        Ok(mut answer) => {
            let status = answer.status().as_u16();
            match answer.body().limit(64 << 20).await {
                Ok(body) => Reply { status, body: body.to_vec() },
                Err(_) => Reply { status: 0, body: Vec::new() },
            }
        }
        Err(_) => Reply { status: 0, body: Vec::new() },
    }
}

/// An item of a batch job whose request body has `body_bytes` bytes.
pub fn item(id: &str, group: &str, events: u64, body_bytes: usize) -> Value {
    json!({
        "id": id, "path": format!("/cards/x/{id}"), "body": STANDARD.encode(vec![b'p'; body_bytes]), "tokens": 300,
        "group": group,
        "headers": { "Model": "verse", "Length-Hint": events.to_string(), "Token-Count": "271,29" },
        "scorer": { "id": format!("s-{id}"), "host": HOST, "path": "/score/it", "body": "3q2+" },
    })
}
