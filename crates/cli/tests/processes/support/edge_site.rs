//! A small site on the users' platform: edges as processes, everything else as stand-ins of this process.

use super::{ChildProcess, Workdir, wait_for};
use awc::{Client, http::Method};
use pimentoslip_standin::{PlatformProvider, PlatformStore, PlatformUpstream, UpstreamSettings};
use serde_json::{Value, json};
use std::{net::SocketAddr, time::Duration};

/// Key of the organisation `rose`.
pub const ROSE_KEY: &str = "key-of-rose";
/// Key of the organisation `tray`.
pub const TRAY_KEY: &str = "key-of-tray";
const HOST: &str = "desk.example";
const TIMEOUT: Duration = Duration::from_secs(30);
const ANSWER_BYTES_MAX: usize = 16 << 20;

/// An answer; status 0 if none came whole.
#[derive(Clone, Debug)]
pub struct EdgeReply {
    /// Status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: String,
}

impl EdgeReply {
    /// The parsed body.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_else(|error| panic!("{error} in {self:?}"))
    }

    /// Value of a header, empty when it is missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(key, _)| key == name).map_or("", |(_, value)| value)
    }
}

/// One edge daemon.
pub struct EdgeProcess {
    /// Its process.
    pub process: ChildProcess,
    /// Name of its VM.
    pub vm: String,
    frontend_address: SocketAddr,
    readiness_address: SocketAddr,
    settings: String,
}

/// The site.
pub struct EdgeSite {
    /// Store.
    pub store: PlatformStore,
    /// Interface for usage reports.
    pub provider: PlatformProvider,
    /// Plain upstreams of `desk`.
    pub desks: Vec<PlatformUpstream>,
    /// Model engines of `engine`.
    pub engines: Vec<PlatformUpstream>,
    /// Edges.
    pub edges: Vec<EdgeProcess>,
    workdir: Workdir,
}

/// An address that nobody listens at right now.
fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("its address")
}

impl EdgeSite {
    /// Starts the site with `edges` edges, whose store is the site's.
    pub async fn start(edges: usize) -> Self {
        let mut site = Self::without_edges();
        site.write_config(2, &[("rose", ROSE_KEY), ("tray", TRAY_KEY)]);
        for _ in 0..edges {
            let store = site.store.address;
            site.start_edge(store);
        }
        site.wait_ready().await;
        site
    }

    /// Everything but edges and a configuration.
    pub fn without_edges() -> Self {
        let store = PlatformStore::start().expect("a store");
        let provider = PlatformProvider::start().expect("an interface for usage reports");
        let shape = |id: &str, service: &str, models: &[&str], event_ms| UpstreamSettings {
            id: id.to_owned(),
            service: service.to_owned(),
            failure_domain: "north".to_owned(),
            slots: 8,
            models: models.iter().map(ToString::to_string).collect(),
            event_ms,
        };
        let start = |shape| PlatformUpstream::start(shape, &store).expect("an upstream");
        let desks = ["desk-1", "desk-2"].map(|id| start(shape(id, "desk", &[], 5)));
        let engines = ["engine-1", "engine-2"].map(|id| start(shape(id, "engine", &["verse"], 10)));
        Self {
            desks: desks.into(),
            engines: engines.into(),
            store,
            provider,
            edges: Vec::new(),
            workdir: Workdir::new(),
        }
    }

    /// Writes a configuration.
    pub fn write_config(&self, version: u64, keys: &[(&str, &str)]) {
        let tenants: Vec<Value> =
            keys.iter().map(|(name, key)| json!({ "name": name, "apiKeys": [key], "priority": 1 })).collect();
        let route = |name: &str, prefix: &str, kind: &str, service: &str| {
            json!({
                "name": name, "host": HOST, "pathPrefix": prefix, "type": kind, "timeoutMs": 1_500, "targetLatencyMs": 400,
                "priority": 1, "service": service, "maxAttempts": 2, "public": name == "score",
                "runTargetMs": 7_500, "retentionS": 60,
            })
        };
        let config = json!({
            "version": version,
            "routes": [
                route("quote", "/quote/", "safe", "desk"), route("score", "/score/", "safe", "desk"),
                route("once", "/once/", "unsafe", "desk"), route("cards", "/cards/", "rollout", "engine"),
            ],
            "services": [
                { "name": "desk", "healthPath": "/health", "maxConnections": 100 },
                { "name": "engine", "healthPath": "/health", "maxConnections": 100, "engine": { "models": [{ "name": "verse" }] },
                  "scaling": { "min": 1, "max": 6, "startupS": 1, "spotPrice": 0.15, "zonePrices": { "north": 1.0 } } },
            ],
            "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 1_000_000, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000 },
            "tenants": tenants,
        });
        self.store.put("op/config", &config);
    }

    /// Starts one more edge, whose store is at `store`.
    pub fn start_edge(&mut self, store: SocketAddr) {
        // Between the choice of a free port and its use another test may take it.
        let mut edge = self.try_start_edge(store);
        while edge.process.failed_to_listen() {
            edge = self.try_start_edge(store);
        }
        self.edges.push(edge);
    }

    fn try_start_edge(&self, store: SocketAddr) -> EdgeProcess {
        let vm = format!("edge-{}", self.edges.len());
        let (frontend_address, readiness_address, control) = (free_address(), free_address(), free_address());
        let settings = json!({
            "nodeName": vm, "ip": "127.0.0.1", "zone": "north", "zones": { "north": "land" },
            "listenAddrs": { "frontend": frontend_address, "ready": readiness_address }, "internalPorts": [control.port(), control.port()],
            "platform": { "address": store, "valueBytes": 1_048_576, "minTtlMs": 1000 },
            "cloudApi": { "address": self.provider.address },
            "bounds": { "leaseMs": 1000, "graceS": 8, "reportWindowS": 1, "statusS": 120 },
        });
        let settings = self.workdir.write(&format!("{vm}.json"), &settings.to_string());
        let process = self.spawn_edge(&vm, &settings);
        EdgeProcess { process, vm, frontend_address, readiness_address, settings }
    }

    fn spawn_edge(&self, vm: &str, settings: &str) -> ChildProcess {
        let program = env!("CARGO_BIN_EXE_pimentoslipd");
        let log = self.workdir.path(&format!("{vm}.log"));
        ChildProcess::start_logged(program, &["edge"], ("PIMENTOSLIP_BOOT", settings), log)
    }

    /// Starts the process of an edge again.
    pub fn restart_edge(&mut self, edge: usize) {
        let (vm, settings) = (self.edges[edge].vm.clone(), self.edges[edge].settings.clone());
        self.edges[edge].process = self.spawn_edge(&vm, &settings);
    }

    /// Status of an edge's readiness.
    pub async fn readiness_status(&self, edge: usize) -> u16 {
        let url = format!("http://{}/pimentoslip/ready", self.edges[edge].readiness_address);
        Client::default().get(url).send().await.map_or(0, |answer| answer.status().as_u16())
    }

    /// Waits until every edge is ready and has heard of all others.
    pub async fn wait_ready(&self) {
        for edge in 0..self.edges.len() {
            wait_for("an edge is ready", || async { (self.readiness_status(edge).await == 200).then_some(()) }).await;
        }
        let all = self.edges.len();
        wait_for("all edges are present", || async {
            (self.store.contents().range("p/w/vm/", "").len() == all).then_some(())
        })
        .await;
        // Each edge hears of the others with its next watch.
        actix_rt::time::sleep(Duration::from_millis(700)).await;
    }

    /// Sends a request to an edge.
    pub async fn send(&self, edge: usize, method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> EdgeReply {
        let method = Method::from_bytes(method.as_bytes()).expect("a method");
        let client = Client::builder().disable_timeout().finish();
        let mut request = client
            .request(method, format!("http://{}{path}", self.edges[edge].frontend_address))
            .timeout(TIMEOUT)
            .force_close()
            .insert_header(("host", HOST));
        for (name, value) in headers {
            request = request.insert_header((*name, *value));
        }
        let Ok(mut answer) = request.send_body(body.to_owned()).await else {
            return EdgeReply { status: 0, headers: Vec::new(), body: String::new() };
        };
        let headers = answer.headers().iter();
        let headers = headers.map(|(name, value)| (name.to_string(), value.to_str().unwrap_or_default().to_owned()));
        let (status, headers) = (answer.status().as_u16(), headers.collect());
        match answer.body().limit(ANSWER_BYTES_MAX).await {
            Ok(body) => EdgeReply { status, headers, body: String::from_utf8_lossy(&body).into_owned() },
            Err(_) => EdgeReply { status: 0, headers, body: String::new() },
        }
    }

    /// Asks for a quote.
    pub async fn send_quote(&self, edge: usize, id: &str) -> EdgeReply {
        let key = format!("Bearer {ROSE_KEY}");
        let headers = [("request-id", id), ("deadline-ms", "2000"), ("authorization", key.as_str())];
        self.send(edge, "POST", "/quote/roses", &headers, "how much").await
    }

    /// Submits a batch job.
    pub async fn submit_job(&self, edge: usize, job: &str, body: &Value) -> EdgeReply {
        let key = format!("Bearer {ROSE_KEY}");
        let headers = [("request-id", job), ("authorization", key.as_str()), ("deadline-ms", "5000")];
        self.send(edge, "POST", &format!("/cards/{job}"), &headers, &body.to_string()).await
    }

    /// Calls about a batch job.
    pub async fn send_job_request(&self, edge: usize, method: &str, path: &str) -> EdgeReply {
        let key = format!("Bearer {ROSE_KEY}");
        let headers = [("request-id", "about"), ("authorization", key.as_str()), ("wait-ms", "500")];
        self.send(edge, method, path, &headers, "").await
    }

    /// All results of a job, once there are as many as items, read at `edge` in pieces.
    pub async fn all_results(&self, edge: usize, job: &str) -> Vec<Value> {
        let mut results: Vec<Value> = Vec::new();
        loop {
            let path = format!("/pimentoslip/lots/{job}?after={}", results.len());
            let reply = self.send_job_request(edge, "GET", &path).await;
            if reply.status != 200 {
                actix_rt::time::sleep(Duration::from_millis(100)).await;
                continue;
            }
            let page = reply.json();
            results.extend(page["results"].as_array().cloned().unwrap_or_default());
            assert_eq!(page["next"].as_u64(), Some(results.len() as u64), "{page}");
            if page["total"].as_u64() == Some(results.len() as u64) {
                return results;
            }
        }
    }

    /// Requests that upstreams of `engine` ran, with this id.
    pub fn engine_calls(&self, id: &str) -> Vec<pimentoslip_standin::RecordedCall> {
        self.engines.iter().flat_map(PlatformUpstream::recorded_calls).filter(|call| call.id == id).collect()
    }
}

/// An item whose text has `events` events.
pub fn job_item(id: &str, events: u64, scored: bool) -> Value {
    let mut item = json!({
        "id": id, "path": format!("/cards/x/{id}"), "body": "q83v", "tokens": 100, "group": "g",
        "headers": { "Model": "verse", "Length-Hint": events.to_string(), "Token-Count": "10,90" },
    });
    if scored {
        item["scorer"] = json!({ "id": format!("score-{id}"), "host": HOST, "path": "/score/it", "body": "3q2+" });
    }
    item
}

/// A submission of `items`.
pub fn job_submission(oldest_version: u64, items: &[Value]) -> Value {
    json!({ "step": 0, "model": "verse", "minVersion": oldest_version, "desired": 1, "items": items })
}
