//! A site on the users' platform for tests: edge daemons as child processes, and a stand-in inside the test process for
//! each service that they use.

use super::{ChildProcess, Workdir, wait_for};
use awc::{Client, ClientResponse, error::SendRequestError, http::Method};
use pimentoslip_standin::{PlatformProvider, PlatformStore, PlatformUpstream, TcpRelay, UpstreamSettings};
use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};
use std::{
    fs,
    net::SocketAddr,
    time::{Duration, Instant},
};

/// API key of the organisation `rose`.
pub const ROSE_KEY: &str = "key-of-rose";
/// API key of the organisation `tray`.
pub const TRAY_KEY: &str = "key-of-tray";
/// Host name that the routes of the configuration match.
pub const HOST: &str = "desk.example";
const BASE_SOFTWARE: &str = UpstreamSettings::BASE_SOFTWARE;
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Reads of a job's results, each of which waits up to half a second.
const PAGES_MAX: usize = 400;
const ANSWER_BODY_MAX_BYTES: usize = 16 << 20;

/// HTTP answer of an edge.
#[derive(Clone, Debug)]
pub struct EdgeReply {
    /// HTTP status; 0 if no complete answer was received.
    pub status: u16,
    /// Names and values of the headers; empty if no header was received.
    pub headers: Vec<(String, String)>,
    /// Complete body; empty if the status is 0.
    pub body: String,
}

impl EdgeReply {
    /// Body parsed as JSON. Panics if it is malformed.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_else(|error| panic!("{error} in {self:?}"))
    }

    /// Value of the header `name`; empty if it is missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(header, _)| header == name).map_or("", |(_, value)| value)
    }
}

/// Running edge daemon of a site.
pub struct EdgeProcess {
    /// Process of the edge.
    pub process: ChildProcess,
    /// Name of its VM.
    pub vm: String,
    /// Address that callers send requests to.
    frontend_address: SocketAddr,
    /// Address of the readiness check.
    readiness_address: SocketAddr,
    /// Address for calls from other edges.
    pub control_address: SocketAddr,
    /// Path of its settings file.
    settings_path: String,
    /// Sockets that reserve the addresses.
    _placeholders: [Socket; 3],
}

/// Place of an edge.
#[derive(Clone, Debug)]
pub struct EdgeOptions {
    /// Address at which the edge calls the store.
    pub store_address: SocketAddr,
    /// Failure domain of its VM.
    pub failure_domain: String,
    /// Region of its VM.
    pub region: String,
}

/// Site of edges, with a stand-in for each service of the users' platform that they use.
pub struct EdgeSite {
    /// Key-value store.
    pub store: PlatformStore,
    /// Cloud interface, which accepts usage reports and orders for VMs.
    pub provider: PlatformProvider,
    /// Upstreams of the plain service `desk`.
    pub desks: Vec<PlatformUpstream>,
    /// Upstreams of the service `engine`, which serve a model.
    pub engines: Vec<PlatformUpstream>,
    /// Edges, in the order of their start. Methods take an edge as its index in this list.
    pub edges: Vec<EdgeProcess>,
    /// Times at which a process of an edge was started again.
    pub restarts: Vec<Instant>,
    /// Length of a usage window, for edges that are started later.
    pub usage_window_s: u64,
    /// Limits of the VM, for edges that are started later; null if their settings name none.
    pub limits: Value,
    /// Directory with the settings and logs of the edges.
    workdir: Workdir,
}

/// Local address for an edge, and a socket that reserves it: bound without listening, the socket keeps the port from being
/// chosen for other processes, also while the edge is down, and lets the edge bind it.
fn reserve_address() -> (SocketAddr, Socket) {
    let placeholder = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    placeholder.set_reuse_address(true).expect("a socket that shares its address");
    placeholder.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a free port");
    let address = placeholder.local_addr().expect("the address of the socket");
    (address.as_socket().expect("an address with a port"), placeholder)
}

/// Starts an upstream of `service` with the version `software` of its software. One of the service `engine` serves a
/// model.
fn start_upstream(store: &PlatformStore, id: &str, service: &str, software: &str) -> PlatformUpstream {
    start_upstream_in("north", store, id, service, software)
}

/// Starts an upstream like [`start_upstream`], in the failure domain `failure_domain`.
fn start_upstream_in(
    failure_domain: &str,
    store: &PlatformStore,
    id: &str,
    service: &str,
    software: &str,
) -> PlatformUpstream {
    let models: &[&str] = if service == "engine" { &["verse"] } else { &[] };
    let settings = UpstreamSettings {
        id: id.to_owned(),
        service: service.to_owned(),
        failure_domain: failure_domain.to_owned(),
        software: software.to_owned(),
        slots: 8,
        models: models.iter().map(ToString::to_string).collect(),
        event_ms: if models.is_empty() { 5 } else { 10 },
    };
    PlatformUpstream::start(settings, store).expect("start an upstream")
}

impl EdgeSite {
    /// Starts the stand-ins, stores a configuration with two organisations, starts `edges` edges and waits until they
    /// are ready.
    pub async fn start(edges: usize) -> Self {
        Self::start_with_usage_window(edges, 1).await
    }

    /// Starts a site like [`Self::start`], whose usage windows are `usage_window_s` seconds long.
    pub async fn start_with_usage_window(edges: usize, usage_window_s: u64) -> Self {
        let mut site = Self { usage_window_s, ..Self::without_edges() };
        site.write_default_config();
        for _ in 0..edges {
            let store_address = site.store.address;
            site.start_edge(store_address);
        }
        site.wait_ready().await;
        site
    }

    /// Starts a site like [`Self::start`], whose edges reach the store through a relay each.
    pub async fn start_with_relays(edges: usize) -> (Self, Vec<TcpRelay>) {
        let mut site = Self::without_edges();
        site.write_default_config();
        let mut relays = Vec::new();
        for _ in 0..edges {
            let relay = TcpRelay::start(site.store.address).await.expect("start a relay");
            site.start_edge(relay.address);
            relays.push(relay);
        }
        site.wait_ready().await;
        (site, relays)
    }

    /// Starts the stand-ins, without any edge and without a configuration.
    pub fn without_edges() -> Self {
        let store = PlatformStore::start().expect("start the store");
        let provider = PlatformProvider::start().expect("start the cloud interface");
        let desks = ["desk-1", "desk-2"].map(|id| start_upstream(&store, id, "desk", BASE_SOFTWARE));
        let engines = ["engine-1", "engine-2"].map(|id| start_upstream(&store, id, "engine", BASE_SOFTWARE));
        Self {
            desks: desks.into(),
            engines: engines.into(),
            store,
            provider,
            edges: Vec::new(),
            restarts: Vec::new(),
            usage_window_s: 1,
            limits: Value::Null,
            workdir: Workdir::new(),
        }
    }

    /// Stores the first configuration, with two organisations.
    pub fn write_default_config(&self) {
        self.write_config(2, &[("rose", ROSE_KEY), ("tray", TRAY_KEY)]);
    }

    /// Starts one more upstream of the plain service `desk`.
    pub fn start_desk(&mut self, id: &str) {
        self.desks.push(start_upstream(&self.store, id, "desk", BASE_SOFTWARE));
    }

    /// Starts one more upstream of the plain service `desk`, in the failure domain `south`.
    pub fn start_southern_desk(&mut self, id: &str) {
        self.desks.push(start_upstream_in("south", &self.store, id, "desk", BASE_SOFTWARE));
    }

    /// Starts one more upstream of the plain service `desk`, which lists `slots` slots and takes `run_ms` for an answer.
    pub fn start_small_desk(&mut self, id: &str, slots: u64, run_ms: u64) {
        let settings = UpstreamSettings {
            id: id.to_owned(),
            service: "desk".to_owned(),
            failure_domain: "north".to_owned(),
            software: BASE_SOFTWARE.to_owned(),
            slots,
            models: Vec::new(),
            event_ms: run_ms,
        };
        self.desks.push(PlatformUpstream::start(settings, &self.store).expect("start an upstream"));
    }

    /// Starts one more upstream of the service `engine`.
    pub fn start_engine(&mut self, id: &str) {
        self.start_engine_with(id, BASE_SOFTWARE);
    }

    /// Starts one more upstream of the service `engine`, with the version `software` of its software.
    pub fn start_engine_with(&mut self, id: &str, software: &str) {
        self.engines.push(start_upstream(&self.store, id, "engine", software));
    }

    /// Writes the entry of an upstream that is no stand-in, in the state `state`. Its process has started at
    /// `started_unix_ms`. One of the service `engine` serves the model.
    pub fn register(&self, id: &str, service: &str, address: SocketAddr, state: &str, started_unix_ms: u64) {
        let models =
            if service == "engine" { json!([{ "name": "verse", "version": 1, "adapters": [] }]) } else { json!([]) };
        let entry = json!({
            "service": service, "address": address.to_string(), "zone": "north", "version": BASE_SOFTWARE, "slots": 8,
            "state": state, "coldRemainingMs": 0, "models": models, "sequence": 1, "born": started_unix_ms,
        });
        self.store.put(&format!("servers/{id}"), &entry);
    }

    /// Stores a configuration with the version `version` and the organisations in `keys` (name, API key).
    pub fn write_config(&self, version: u64, keys: &[(&str, &str)]) {
        self.write_config_with(version, keys, &[]);
    }

    /// Stores a configuration like [`Self::write_config`], with one more batch route for each name in `batch_routes`, whose
    /// prefix is the name. One whose name starts with `open` needs no key.
    pub fn write_config_with(&self, version: u64, keys: &[(&str, &str)], batch_routes: &[String]) {
        self.store.put("op/config", &Self::config_with(version, keys, batch_routes));
    }

    /// The configuration that [`Self::write_config_with`] stores.
    pub fn config_with(version: u64, keys: &[(&str, &str)], batch_routes: &[String]) -> Value {
        let tenants: Vec<Value> =
            keys.iter().map(|(name, key)| json!({ "name": name, "apiKeys": [key], "priority": 1 })).collect();
        let route = |name: &str, prefix: &str, route_type: &str, service: &str| {
            let timeout_ms = if name.starts_with("slow") { 12_000 } else { 1_500 };
            json!({
                "name": name, "host": HOST, "pathPrefix": prefix, "type": route_type, "timeoutMs": timeout_ms,
                "targetLatencyMs": 400, "priority": 1, "service": service, "maxAttempts": 2, "public": name == "score" || name.starts_with("open"),
                "runTargetMs": 7_500, "retentionS": 60, "resumable": name == "talk",
            })
        };
        let mut config = json!({
            "version": version,
            "routes": [
                route("quote", "/quote/", "safe", "desk"), route("score", "/score/", "safe", "desk"),
                route("once", "/once/", "unsafe", "desk"), route("cards", "/cards/", "rollout", "engine"),
                route("talk", "/talk/", "streaming", "engine"), route("slow", "/slow/", "safe", "desk"),
                route("slow-once", "/slow-once/", "unsafe", "desk"),
                route("slow-talk", "/slow-talk/", "streaming", "engine"),
            ],
            "services": [
                { "name": "desk", "healthPath": "/health", "maxConnections": 100 },
                { "name": "engine", "healthPath": "/health", "maxConnections": 100,
                  "engine": { "models": [{ "name": "verse" }] },
                  "scaling": { "min": 1, "max": 6, "startupS": 1, "spotPrice": 0.15, "zonePrices": { "north": 1.0 } } },
            ],
            "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 1_000_000,
                "headerTimeoutMs": 3000, "idleTimeoutMs": 15000 },
            "tenants": tenants,
        });
        let routes = config["routes"].as_array_mut().expect("a list of routes");
        routes.extend(batch_routes.iter().map(|name| route(name, &format!("/{name}/"), "rollout", "engine")));
        config
    }

    /// Starts one more edge, which connects to the store at `store_address`.
    pub fn start_edge(&mut self, store_address: SocketAddr) {
        self.start_edge_with(&EdgeOptions {
            store_address,
            failure_domain: "north".to_owned(),
            region: "land".to_owned(),
        });
    }

    /// Starts one more edge at the given place.
    pub fn start_edge_with(&mut self, options: &EdgeOptions) {
        let mut edge = self.spawn_new_edge(options);
        assert!(!edge.process.failed_to_listen(), "{}", edge.process.log());
        self.edges.push(edge);
    }

    /// Starts the process of a new edge.
    fn spawn_new_edge(&self, options: &EdgeOptions) -> EdgeProcess {
        let vm = format!("edge-{}", self.edges.len());
        let [frontend, readiness, control] = std::array::from_fn(|_| reserve_address());
        let (frontend_address, readiness_address, control_address) = (frontend.0, readiness.0, control.0);
        let mut settings = json!({
            "nodeName": vm, "ip": "127.0.0.1", "zone": options.failure_domain, "region": options.region,
            "zones": { "north": "land", "south": "island" },
            "listenAddrs": { "frontend": frontend_address, "ready": readiness_address },
            "internalPorts": [control_address.port(), control_address.port()],
            "platform": { "address": options.store_address, "valueBytes": 1_048_576, "minTtlMs": 1000 },
            "cloudApi": { "address": self.provider.address },
            "bounds": { "leaseMs": 1000, "graceS": 8, "reportWindowS": self.usage_window_s, "statusS": 120 },
        });
        if !self.limits.is_null() {
            settings["limits"] = self.limits.clone();
        }
        let settings_path = self.workdir.write(&format!("{vm}.json"), &settings.to_string());
        let process = self.spawn_edge(&vm, &settings_path);
        let _placeholders = [frontend.1, readiness.1, control.1];
        EdgeProcess { process, vm, frontend_address, readiness_address, control_address, settings_path, _placeholders }
    }

    /// Starts the process of an edge with the settings file at `settings_path`.
    fn spawn_edge(&self, vm: &str, settings_path: &str) -> ChildProcess {
        let program = env!("CARGO_BIN_EXE_pimentoslipd");
        let log_path = self.workdir.path(&format!("{vm}.log"));
        ChildProcess::start_logged(program, &["edge"], ("PIMENTOSLIP_BOOT", settings_path), log_path)
    }

    /// Starts the process of an edge again, with the same settings. The previous process must have exited, since both
    /// listen on the same addresses. Its log is kept under another name.
    pub fn restart_edge(&mut self, edge: usize) {
        let (vm, settings_path) = (self.edges[edge].vm.clone(), self.edges[edge].settings_path.clone());
        let mut paths = (1..).map(|number| self.workdir.path(&format!("{vm}.{number}.log")));
        let kept_log = paths.find(|path| !path.exists()).expect("a free name");
        fs::rename(self.workdir.path(&format!("{vm}.log")), kept_log).expect("keep the log of the previous process");
        self.edges[edge].process = self.spawn_edge(&vm, &settings_path);
        self.restarts.push(Instant::now());
    }

    /// Starts the processes of `edges` again, like [`Self::restart_edge`].
    pub fn restart_edges(&mut self, edges: &[usize]) {
        edges.iter().for_each(|edge| self.restart_edge(*edge));
    }

    /// HTTP status of an edge's readiness check; 0 if the edge does not answer.
    pub async fn readiness_status(&self, edge: usize) -> u16 {
        let url = format!("http://{}/pimentoslip/ready", self.ready_address(edge));
        Client::default().get(url).send().await.map_or(0, |answer| answer.status().as_u16())
    }

    /// Waits until every edge is ready and has had time to receive the entries of all other edges.
    pub async fn wait_ready(&self) {
        for edge in 0..self.edges.len() {
            wait_for("the edge is ready", || async { (self.readiness_status(edge).await == 200).then_some(()) }).await;
        }
        let edge_count = self.edges.len();
        wait_for("every edge has stored its entry", || async {
            (self.store.contents().range("p/w/vm/", "").len() == edge_count).then_some(())
        })
        .await;
        // Each edge receives the entries of the other edges from its next watch of the store.
        actix_rt::time::sleep(Duration::from_millis(700)).await;
    }

    /// Address of an edge for callers.
    pub fn public_address(&self, edge: usize) -> SocketAddr {
        self.edges[edge].frontend_address
    }

    /// Address of an edge for readiness checks.
    pub fn ready_address(&self, edge: usize) -> SocketAddr {
        self.edges[edge].readiness_address
    }

    /// URL of `path` at an edge.
    pub fn url(&self, edge: usize, path: &str) -> String {
        format!("http://{}{path}", self.public_address(edge))
    }

    /// Sends a caller's request to an edge and reads the complete answer.
    pub async fn send(&self, edge: usize, method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> EdgeReply {
        let method = Method::from_bytes(method.as_bytes()).expect("a valid HTTP method");
        // This client reports a truncated answer as an error.
        let client = pimentoslip_client::plain_client();
        let mut request = client
            .request(method, self.url(edge, path))
            .timeout(REQUEST_TIMEOUT)
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
        match answer.body().limit(ANSWER_BODY_MAX_BYTES).await {
            Ok(body) => EdgeReply { status, headers, body: String::from_utf8_lossy(&body).into_owned() },
            Err(_) => EdgeReply { status: 0, headers, body: String::new() },
        }
    }

    /// Sends an idempotent request to the route `quote`, as `rose`, with `id` as its request id.
    pub async fn send_quote(&self, edge: usize, id: &str) -> EdgeReply {
        self.send_quote_for(edge, id, "how much").await
    }

    /// Sends an idempotent request with the body `body`, like [`Self::send_quote`].
    pub async fn send_quote_for(&self, edge: usize, id: &str, body: &str) -> EdgeReply {
        let bearer = format!("Bearer {ROSE_KEY}");
        let headers = [("request-id", id), ("deadline-ms", "2000"), ("authorization", bearer.as_str())];
        self.send(edge, "POST", "/quote/roses", &headers, body).await
    }

    /// Sends a request that may run only once, as `rose`, with `id` as its request id.
    pub async fn send_order(&self, edge: usize, id: &str) -> EdgeReply {
        let bearer = format!("Bearer {ROSE_KEY}");
        let headers = [("request-id", id), ("deadline-ms", "2000"), ("authorization", bearer.as_str())];
        self.send(edge, "POST", "/once/order", &headers, "one wreath").await
    }

    /// Starts a request for a stream of `events` events, as `rose`, with `id` as its request id. The caller reads the body,
    /// which fails if it breaks off.
    pub async fn open_talk(&self, edge: usize, id: &str, events: u64) -> Result<ClientResponse, SendRequestError> {
        let (bearer, events) = (format!("Bearer {ROSE_KEY}"), events.to_string());
        let headers = [
            ("host", HOST),
            ("request-id", id),
            ("deadline-ms", "60000"),
            ("model", "verse"),
            ("length-hint", events.as_str()),
            ("authorization", bearer.as_str()),
        ];
        let request = pimentoslip_client::plain_client().post(self.url(edge, "/talk/verse")).force_close();
        let request = headers.into_iter().fold(request, |request, header| request.insert_header(header));
        request.send_body("how sad").await
    }

    /// Sends a request for a stream of `events` events, with `id` as its request id and more headers in `headers`, and
    /// reads the complete answer. As `rose`, unless the headers have another key.
    pub async fn send_talk(&self, edge: usize, id: &str, events: u64, headers: &[(&str, &str)]) -> EdgeReply {
        let (bearer, events) = (format!("Bearer {ROSE_KEY}"), events.to_string());
        let mut all_headers = vec![("request-id", id), ("deadline-ms", "8000"), ("model", "verse")];
        all_headers.push(("length-hint", events.as_str()));
        if !headers.iter().any(|(name, _)| *name == "authorization") {
            all_headers.push(("authorization", bearer.as_str()));
        }
        all_headers.extend_from_slice(headers);
        self.send(edge, "POST", "/talk/verse", &all_headers, "how sad").await
    }

    /// Submits the batch job `job`, as `rose`.
    pub async fn submit_job(&self, edge: usize, job: &str, body: &Value) -> EdgeReply {
        self.submit_job_on(edge, "cards", job, body).await
    }

    /// Submits the batch job `job` on the batch route whose prefix is `route`, as `rose`.
    pub async fn submit_job_on(&self, edge: usize, route: &str, job: &str, body: &Value) -> EdgeReply {
        let bearer = format!("Bearer {ROSE_KEY}");
        let headers = [("request-id", job), ("authorization", bearer.as_str()), ("deadline-ms", "5000")];
        self.send(edge, "POST", &format!("/{route}/{job}"), &headers, &body.to_string()).await
    }

    /// Sends a request to the batch job API, as `rose`.
    pub async fn send_job_request(&self, edge: usize, method: &str, path: &str) -> EdgeReply {
        let bearer = format!("Bearer {ROSE_KEY}");
        let headers = [("request-id", "about"), ("authorization", bearer.as_str()), ("wait-ms", "500")];
        self.send(edge, method, path, &headers, "").await
    }

    /// All results of a job, read page by page from `edge`, once every item of the job has one. Panics after
    /// [`PAGES_MAX`] reads.
    pub async fn all_results(&self, edge: usize, job: &str) -> Vec<Value> {
        let mut results: Vec<Value> = Vec::new();
        for _ in 0..PAGES_MAX {
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
        panic!("{} results of {job} after {PAGES_MAX} reads: {}", results.len(), self.edges[edge].process.log());
    }

    /// Requests with the id `id` that upstreams of the service `engine` have run.
    pub fn engine_calls(&self, id: &str) -> Vec<pimentoslip_standin::RecordedCall> {
        self.engines.iter().flat_map(PlatformUpstream::recorded_calls).filter(|call| call.id == id).collect()
    }
}

/// Numbers of the events in the body of a stream.
pub fn event_numbers(body: &str) -> Vec<u64> {
    body.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect()
}

/// Item of a batch job. Its text consists of `events` events; a `scored` item has a scorer on the route `score`.
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

/// Body of the submission of a batch job whose items run on weights of version `oldest_version` or newer.
pub fn job_submission(oldest_version: u64, items: &[Value]) -> Value {
    json!({ "step": 0, "model": "verse", "minVersion": oldest_version, "desired": 1, "items": items })
}
