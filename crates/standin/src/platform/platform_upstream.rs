//! Stand-in for an upstream of the platform: a plain service or a model engine that registers itself in the store.

use super::PlatformStore;
use crate::{Result, RunningStandin, running::start_server};
use actix_web::{App, HttpRequest, HttpResponse, dev::ServerHandle, http::StatusCode, web};
use bytes::Bytes;
use futures_util::{StreamExt, stream};
use serde_json::{Value, json};
use std::{
    collections::{BTreeMap, VecDeque},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// Size of the blocks of a response without end.
const ENDLESS_BLOCK_BYTES: usize = 16 << 10;
/// Number of the first event of a streamed answer.
const FIRST_EVENT: u64 = 1;

/// Header of the responses of an upstream that is about to end.
const LEAVING: (&str, &str) = ("server-leaving", "1");

/// Interval between the bytes of an answer that never ends.
const HANG_BYTE_INTERVAL: Duration = Duration::from_millis(20);

/// Fault that an upstream simulates for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamFault {
    /// Refuses the request without running it.
    Refuse,
    /// Runs the request and answers with this HTTP status.
    Status(u16),
    /// Runs the request for so many milliseconds and answers with this HTTP status.
    StatusAfter(u16, u64),
    /// Runs the request and closes the connection before any byte of the body.
    LoseAnswer,
    /// Closes the connection after this number of events, in the middle of the next one. Ignored by a plain service.
    CutAfter(u64),
    /// Sends this many events, and then in one piece two more and a line that is no event.
    SpoilAfter(u64),
    /// Sends this many events, and then line feeds until the connection is closed.
    EndlessAfter(u64),
    /// Closes the connection after the last event, without ending the stream. Ignored by a plain service.
    CutAtEnd,
    /// Answers with the id of another request.
    WrongId,
    /// Sends fewer bytes than the content length announces.
    Truncate,
    /// Sends an answer that never ends.
    Hang,
}

/// A request that an upstream ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedCall {
    /// Id of the request.
    pub id: String,
    /// Path and query of the request.
    pub path: String,
    /// Organisation, as named by the sender.
    pub organisation: String,
    /// Whether the request had an `authorization` header, which would leak a caller's API key.
    pub has_key: bool,
    /// Last event that the sender has received; `None` for a request from the start.
    pub last_event_id: Option<u64>,
    /// Time that the sender waits for the answer, in milliseconds.
    pub deadline_ms: u64,
    /// Body of the request.
    pub body: Vec<u8>,
}

/// Settings of an upstream stand-in.
#[derive(Clone, Debug)]
pub struct UpstreamSettings {
    /// Id of the upstream.
    pub id: String,
    /// Service that the upstream serves.
    pub service: String,
    /// Failure domain of the upstream.
    pub failure_domain: String,
    /// Version of the upstream's software; the data of its events ends with it, unless it is [`Self::BASE_SOFTWARE`].
    pub software: String,
    /// Number of concurrent requests that the upstream registers as its capacity; not enforced.
    pub slots: u64,
    /// Models that the upstream serves, all at version 1 initially; empty for a plain service.
    pub models: Vec<String>,
    /// Time to generate one event of a stream, or the answer of a plain service, in milliseconds.
    pub event_ms: u64,
}

impl UpstreamSettings {
    /// Version of the software that leaves no trace in the events.
    pub const BASE_SOFTWARE: &'static str = "v1";

    /// End of the data of each event.
    fn event_suffix(&self) -> String {
        if self.software == Self::BASE_SOFTWARE { String::new() } else { format!("@{}", self.software) }
    }
}

/// Settings and state of an upstream, shared by its request handlers.
struct UpstreamInner {
    settings: UpstreamSettings,
    store: PlatformStore,
    state: Mutex<UpstreamState>,
}

/// State that changes while the upstream runs.
#[derive(Default)]
struct UpstreamState {
    address: String,
    /// Weight version of each model.
    versions: BTreeMap<String, u64>,
    weight_orders: Vec<Value>,
    /// Faults of the next requests, at most one per request.
    faults: VecDeque<UpstreamFault>,
    calls: Vec<RecordedCall>,
    /// Value of the limit header in each response; `None` for responses without one.
    named_limit: Option<String>,
    /// Whether each response says that the upstream is about to end.
    is_leaving: bool,
    /// Arrivals of requests, also of refused ones.
    arrivals: Vec<Instant>,
    running_requests: usize,
    /// Bodies of the requests that crash the upstream.
    crash_bodies: Vec<Bytes>,
    /// Stops the server; `None` once the upstream has crashed.
    server: Option<ServerHandle>,
}

/// A running upstream stand-in.
#[derive(Clone)]
pub struct PlatformUpstream {
    /// Address that the upstream listens on.
    pub address: SocketAddr,
    inner: Arc<UpstreamInner>,
}

impl PlatformUpstream {
    /// Starts an upstream on the current runtime, at a free loopback port, and registers it in `store`.
    pub fn start(settings: UpstreamSettings, store: &PlatformStore) -> Result<Self> {
        let versions = settings.models.iter().map(|model| (model.clone(), 1)).collect();
        let state = Mutex::new(UpstreamState { versions, ..UpstreamState::default() });
        let inner = Arc::new(UpstreamInner { settings, store: store.clone(), state });
        let data = web::Data::from(inner.clone());
        let running: Result<RunningStandin> = start_server!("127.0.0.1:0", move || {
            App::new()
                .app_data(data.clone())
                .route("/pimentoslip/order", web::post().to(load_weights))
                .route("/pimentoslip/report", web::get().to(report_load))
                .default_service(web::to(serve))
        });
        let (address, server) = running?.spawn();
        {
            let mut state = inner.state();
            state.address = address.to_string();
            state.server = Some(server);
        }
        inner.register("ready");
        Ok(Self { address, inner })
    }

    /// Sets the faults to simulate for the next requests, one for each.
    pub fn set_faults(&self, faults: impl IntoIterator<Item = UpstreamFault>) {
        self.inner.state().faults = faults.into_iter().collect();
    }

    /// Makes the upstream crash when it runs a request with the body `body`: its connections are closed, its address
    /// refuses new ones, and its entry stays in the store.
    pub fn crash_on(&self, body: &'static [u8]) {
        self.crash_on_any(&[body]);
    }

    /// Makes the upstream crash on several bodies; see [`Self::crash_on`].
    pub fn crash_on_any(&self, bodies: &[&'static [u8]]) {
        self.inner.state().crash_bodies = bodies.iter().map(|body| Bytes::from_static(body)).collect();
    }

    /// Names `limit` in the responses from now on; `None` for responses without a limit. The limit is not enforced.
    pub fn name_limit(&self, limit: Option<&str>) {
        self.inner.state().named_limit = limit.map(str::to_owned);
    }

    /// Says in each response from now on whether the upstream is about to end. Its entry in the store stays as it is.
    pub fn announce_leaving(&self, is_leaving: bool) {
        self.inner.state().is_leaving = is_leaving;
    }

    /// Arrivals of requests so far, also of refused ones, in order.
    #[must_use]
    pub fn arrivals(&self) -> Vec<Instant> {
        self.inner.state().arrivals.clone()
    }

    /// Whether the upstream has crashed.
    #[must_use]
    pub fn has_crashed(&self) -> bool {
        self.inner.state().server.is_none()
    }

    /// Requests run so far, in order.
    #[must_use]
    pub fn recorded_calls(&self) -> Vec<RecordedCall> {
        self.inner.state().calls.clone()
    }

    /// Orders to load weights that were accepted so far, in order.
    #[must_use]
    pub fn weight_orders(&self) -> Vec<Value> {
        self.inner.state().weight_orders.clone()
    }

    /// Number of requests whose answer is being generated.
    #[must_use]
    pub fn running_requests(&self) -> usize {
        self.inner.state().running_requests
    }

    /// Ends the upstream: it closes its connections, and its entry is removed from the store.
    pub async fn stop(&self) {
        self.inner.unregister();
        let server = self.inner.state().server.take();
        if let Some(server) = server {
            server.stop(false).await;
        }
    }

    /// Removes the entry of the upstream, which continues to serve.
    pub fn leave_list(&self) {
        self.inner.unregister();
    }

    /// Writes the entry of the upstream again.
    pub fn list_again(&self) {
        self.inner.register("ready");
    }

    /// Registers the upstream as draining.
    pub fn start_draining(&self) {
        self.inner.register("draining");
    }
}

impl UpstreamInner {
    fn state(&self) -> MutexGuard<'_, UpstreamState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Removes the entry of the upstream from the store.
    fn unregister(&self) {
        self.store.contents().remove(&format!("servers/{}", self.settings.id));
    }

    /// Writes the entry of the upstream to the store, with `status` as its state.
    fn register(&self, status: &str) {
        let (address, versions) = {
            let state = self.state();
            (state.address.clone(), state.versions.clone())
        };
        let models: Vec<Value> = versions
            .iter()
            .map(|(name, version)| json!({ "name": name, "version": version, "adapters": [] }))
            .collect();
        let entry = json!({
            "service": self.settings.service, "address": address, "zone": self.settings.failure_domain, "version": self.settings.software,
            "slots": self.settings.slots, "state": status, "coldRemainingMs": 0, "models": models, "sequence": 1,
            "born": 1,
        });
        self.store.put(&format!("servers/{}", self.settings.id), &entry);
    }
}

/// Counts a request as running until dropped.
struct RunningGuard(Arc<UpstreamInner>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.state().running_requests -= 1;
    }
}

/// Value of a request header, or an empty text if it is missing.
fn header(request: &HttpRequest, name: &str) -> String {
    request.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
}

/// Runs a request, or simulates the next fault.
async fn serve(upstream: web::Data<UpstreamInner>, request: HttpRequest, body: Bytes) -> HttpResponse {
    let upstream = upstream.into_inner();
    let id = header(&request, "request-id");
    if header(&request, "expect-instance") != upstream.settings.id {
        return HttpResponse::MisdirectedRequest().insert_header(("request-id", id)).finish();
    }
    let fault = {
        let mut state = upstream.state();
        state.arrivals.push(Instant::now());
        state.faults.pop_front()
    };
    if fault == Some(UpstreamFault::Refuse) {
        let mut refusal = response_builder(&upstream, StatusCode::SERVICE_UNAVAILABLE, &id);
        return refusal.insert_header(("not-executed", "1")).finish();
    }
    let last_event_id = header(&request, "last-event-id").parse().ok();
    let call = RecordedCall {
        id: id.clone(),
        path: request.uri().to_string(),
        organisation: header(&request, "tenant"),
        has_key: request.headers().contains_key("authorization"),
        last_event_id,
        deadline_ms: header(&request, "deadline-ms").parse().unwrap_or(0),
        body: body.to_vec(),
    };
    let crashed_server = {
        let mut state = upstream.state();
        state.calls.push(call);
        state.running_requests += 1;
        if state.crash_bodies.contains(&body) { state.server.take() } else { None }
    };
    if let Some(server) = crashed_server {
        // Ends this request too, with its connection.
        actix_rt::spawn(server.stop(false));
        std::future::pending::<()>().await;
    }
    let guard = RunningGuard(upstream.clone());
    let id = if fault == Some(UpstreamFault::WrongId) { "another".to_owned() } else { id };
    match fault {
        Some(UpstreamFault::Hang) => {
            // The server notices a closed connection only when it writes to it.
            let bytes = stream::unfold(guard, |guard| async move {
                actix_rt::time::sleep(HANG_BYTE_INTERVAL).await;
                Some((Ok::<_, io::Error>(Bytes::from_static(b".")), guard))
            });
            answer_builder(&upstream, StatusCode::OK, &id).streaming(bytes.boxed_local())
        }
        Some(UpstreamFault::LoseAnswer) => truncated_response(stream::empty().boxed_local()),
        Some(UpstreamFault::Status(status) | UpstreamFault::StatusAfter(status, _)) => {
            if let Some(UpstreamFault::StatusAfter(_, ms)) = fault {
                actix_rt::time::sleep(Duration::from_millis(ms)).await;
            }
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
            answer_builder(&upstream, status, &id).body("failed")
        }
        Some(UpstreamFault::Truncate) => {
            let partial_body = stream::iter([Ok(Bytes::from_static(b"half"))]).boxed_local();
            let mut response = answer_builder(&upstream, StatusCode::OK, &id);
            response.no_chunking(100).streaming(partial_body.chain(connection_reset()))
        }
        _ if upstream.settings.models.is_empty() => {
            actix_rt::time::sleep(Duration::from_millis(upstream.settings.event_ms)).await;
            answer_builder(&upstream, StatusCode::OK, &id).body(format!("answer to {id}"))
        }
        _ => generate(&upstream, &request, &id, last_event_id, fault, guard),
    }
}

/// Response with the headers that refusals and answers have.
fn response_builder(upstream: &UpstreamInner, status: StatusCode, id: &str) -> actix_web::HttpResponseBuilder {
    let mut response = HttpResponse::build(status);
    response.insert_header(("request-id", id));
    if let Some(limit) = &upstream.state().named_limit {
        response.insert_header(("server-limit", limit.as_str()));
    }
    if upstream.state().is_leaving {
        response.insert_header(LEAVING);
    }
    response
}

/// Response with the headers that every answer has.
fn answer_builder(upstream: &UpstreamInner, status: StatusCode, id: &str) -> actix_web::HttpResponseBuilder {
    let mut response = response_builder(upstream, status, id);
    response.insert_header(("server-signature", format!("signed {id}")));
    response
}

/// Body of a streamed response.
type ChunkStream = stream::LocalBoxStream<'static, io::Result<Bytes>>;

/// Body that closes the connection in the middle of the answer.
fn connection_reset() -> ChunkStream {
    stream::iter([Err(io::ErrorKind::ConnectionReset.into())]).boxed_local()
}

/// Response that announces one byte, sends `chunks` and closes the connection.
fn truncated_response(chunks: ChunkStream) -> HttpResponse {
    HttpResponse::Ok().no_chunking(1).streaming(chunks.chain(connection_reset()))
}

/// Streams the events of an item. The `length-hint` header of the request gives their number.
fn generate(
    upstream: &Arc<UpstreamInner>,
    request: &HttpRequest,
    id: &str,
    last_event_id: Option<u64>,
    fault: Option<UpstreamFault>,
    guard: RunningGuard,
) -> HttpResponse {
    let event_count: u64 = header(request, "length-hint").parse().unwrap_or(1);
    let model = header(request, "model");
    let version = upstream.state().versions.get(&model).copied().unwrap_or(0);
    let first_event = last_event_id.map_or(FIRST_EVENT, |last| last + 1);
    let end = FIRST_EVENT + event_count;
    let mut response = answer_builder(upstream, StatusCode::OK, id);
    response.insert_header(("content-type", "text/event-stream"));
    if first_event >= end {
        return response.streaming(stream::empty::<io::Result<Bytes>>());
    }
    response.insert_header(("weight-versions", version.to_string()));
    // Number of the first event that is not sent in full.
    let stop = match fault {
        Some(
            UpstreamFault::CutAfter(events) | UpstreamFault::SpoilAfter(events) | UpstreamFault::EndlessAfter(events),
        ) => (first_event + events).min(end),
        _ => end,
    };
    let (upstream, id) = (upstream.clone(), id.to_owned());
    let event_text = {
        let (id, suffix) = (id.clone(), upstream.settings.event_suffix());
        move |number: u64| format!("id: {number}\ndata: {id}:{number}{suffix}\n\n")
    };
    let spoilt: String = (stop..end.min(stop + 2)).map(&event_text).chain(["<<no event>>\n".to_owned()]).collect();
    let events = stream::unfold((first_event, version, guard), move |(number, last_version, guard)| {
        let (upstream, model, event) = (upstream.clone(), model.clone(), event_text(number));
        async move {
            if number >= stop {
                return None;
            }
            actix_rt::time::sleep(Duration::from_millis(upstream.settings.event_ms)).await;
            let version = upstream.state().versions.get(&model).copied().unwrap_or(0);
            let version_line =
                if version == last_version { String::new() } else { format!("weight-versions: {version}\n") };
            Some((Ok(Bytes::from(version_line + &event)), (number + 1, version, guard)))
        }
    })
    .boxed_local();
    match fault {
        Some(UpstreamFault::CutAfter(_)) => {
            let partial_event = stream::iter([Ok(Bytes::from(format!("id: {stop}\ndata: to")))]).boxed_local();
            response.streaming(events.chain(partial_event).chain(connection_reset()))
        }
        Some(UpstreamFault::SpoilAfter(_)) => response.streaming(events.chain(stream::iter([Ok(Bytes::from(spoilt))]))),
        Some(UpstreamFault::EndlessAfter(_)) => {
            let line_feeds = stream::repeat_with(|| Ok(Bytes::from_static(&[b'\n'; ENDLESS_BLOCK_BYTES])));
            response.streaming(events.chain(line_feeds))
        }
        Some(UpstreamFault::CutAtEnd) => response.streaming(events.chain(connection_reset())),
        _ => response.streaming(events),
    }
}

/// Accepts an order to load weights, unless the sender expects another number of accepted orders.
async fn load_weights(upstream: web::Data<UpstreamInner>, body: web::Json<Value>) -> HttpResponse {
    let is_leaving = {
        let mut state = upstream.state();
        let expected = body["expected"].as_u64();
        if expected.is_some_and(|expected| expected != state.weight_orders.len() as u64) {
            return HttpResponse::Conflict().finish();
        }
        let (model, version) = (body["model"].as_str().unwrap_or_default(), body["version"].as_u64().unwrap_or(0));
        if state.versions.get(model) == Some(&version) {
            return HttpResponse::Ok().finish();
        }
        state.versions.insert(model.to_owned(), version);
        state.weight_orders.push(body.0.clone());
        state.is_leaving
    };
    upstream.register("ready");
    let mut response = HttpResponse::Accepted();
    if is_leaving {
        response.insert_header(LEAVING);
    }
    response.finish()
}

/// Returns the load report of the upstream.
async fn report_load(upstream: web::Data<UpstreamInner>) -> HttpResponse {
    let accepted = upstream.state().weight_orders.len();
    HttpResponse::Ok().json(json!({
        "stage": "both", "models": [], "busy": false, "sequence": accepted, "numWaiting": 0, "numRunning": 0,
        "kvUsed": 0, "kvTotal": 1, "handles": 0,
    }))
}
