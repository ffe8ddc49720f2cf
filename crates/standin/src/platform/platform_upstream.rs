//! An upstream of the platform: a plain service or a model engine that registers itself in the store.

use super::PlatformStore;
use crate::{Result, RunningStandin, running::start};
use actix_web::{App, HttpRequest, HttpResponse, http::StatusCode, web};
use bytes::Bytes;
use futures_util::{StreamExt, stream};
use serde_json::{Value, json};
use std::{
    collections::{BTreeMap, VecDeque},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

/// Number of a text's first event.
const FIRST_EVENT: u64 = 1;

/// Time between two bytes of an answer that never ends.
const HANG_PERIOD: Duration = Duration::from_millis(20);

/// What an upstream does wrong with one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamFault {
    /// Refuses it without running it.
    Refuse,
    /// Runs it and answers with this status.
    Status(u16),
    /// Runs it and cuts the connection before an answer.
    LoseAnswer,
    /// Cuts the stream after so many events, in the middle of the next one.
    CutAfter(u64),
    /// Cuts the stream after its last event, without its end.
    CutAtEnd,
    /// Answers under another request's id.
    WrongId,
    /// Promises more bytes than it sends.
    Truncate,
    /// Never ends its answer, which it goes on sending.
    Hang,
}

/// A request as it came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedCall {
    /// Id.
    pub id: String,
    /// Path with query.
    pub path: String,
    /// Organisation that the sender named.
    pub organisation: String,
    /// Whether a caller's key came with it.
    pub has_key: bool,
    /// Last event that the sender has.
    pub last_event_id: Option<u64>,
    /// Milliseconds that the sender waits.
    pub deadline_ms: u64,
    /// Body.
    pub body: Vec<u8>,
}

/// What an upstream is.
#[derive(Clone, Debug)]
pub struct UpstreamSettings {
    /// Its id.
    pub id: String,
    /// Service.
    pub service: String,
    /// Failure domain.
    pub failure_domain: String,
    /// Requests at a time, as it says.
    pub slots: u64,
    /// Models, all at version 1; none for a plain service.
    pub models: Vec<String>,
    /// Time of an event in milliseconds.
    pub event_ms: u64,
}

struct Shared {
    shape: UpstreamSettings,
    store: PlatformStore,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    address: String,
    versions: BTreeMap<String, u64>,
    orders: Vec<Value>,
    faults: VecDeque<UpstreamFault>,
    seen: Vec<RecordedCall>,
    working: usize,
}

/// A running upstream.
#[derive(Clone)]
pub struct PlatformUpstream {
    /// Bound address.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl PlatformUpstream {
    /// Starts an upstream on a port picked by the kernel, on the current runtime, and registers it.
    pub fn start(shape: UpstreamSettings, store: &PlatformStore) -> Result<Self> {
        let versions = shape.models.iter().map(|model| (model.clone(), 1)).collect();
        let state = Mutex::new(State { versions, ..State::default() });
        let shared = Arc::new(Shared { shape, store: store.clone(), state });
        let data = web::Data::from(shared.clone());
        let running: Result<RunningStandin> = start!("127.0.0.1:0", move || {
            App::new()
                .app_data(data.clone())
                .route("/pimentoslip/order", web::post().to(order))
                .route("/pimentoslip/report", web::get().to(report))
                .default_service(web::to(serve))
        });
        let (address, _) = running?.spawn();
        shared.state().address = address.to_string();
        shared.register("ready");
        Ok(Self { address, shared })
    }

    /// Faults of the next requests, one each.
    pub fn set_faults(&self, faults: impl IntoIterator<Item = UpstreamFault>) {
        self.shared.state().faults = faults.into_iter().collect();
    }

    /// Requests so far.
    #[must_use]
    pub fn recorded_calls(&self) -> Vec<RecordedCall> {
        self.shared.state().seen.clone()
    }

    /// Orders accepted so far.
    #[must_use]
    pub fn weight_orders(&self) -> Vec<Value> {
        self.shared.state().orders.clone()
    }

    /// Requests that it works on now.
    #[must_use]
    pub fn running_requests(&self) -> usize {
        self.shared.state().working
    }

    /// Says that it leaves.
    pub fn start_draining(&self) {
        self.shared.register("draining");
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn register(&self, standing: &str) {
        let (address, versions) = {
            let state = self.state();
            (state.address.clone(), state.versions.clone())
        };
        let models: Vec<Value> = versions
            .iter()
            .map(|(name, version)| json!({ "name": name, "version": version, "adapters": [] }))
            .collect();
        let entry = json!({
            "service": self.shape.service, "address": address, "zone": self.shape.failure_domain, "version": "v1",
            "slots": self.shape.slots, "state": standing, "coldRemainingMs": 0, "models": models, "sequence": 1, "born": 1,
        });
        self.store.put(&format!("servers/{}", self.shape.id), &entry);
    }
}

/// Counts a request while its answer is being made.
struct Working(Arc<Shared>);

impl Drop for Working {
    fn drop(&mut self) {
        self.0.state().working -= 1;
    }
}

fn header(request: &HttpRequest, name: &str) -> String {
    request.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
}

async fn serve(shared: web::Data<Shared>, request: HttpRequest, body: Bytes) -> HttpResponse {
    let shared = shared.into_inner();
    let id = header(&request, "request-id");
    if header(&request, "expect-instance") != shared.shape.id {
        return HttpResponse::MisdirectedRequest().insert_header(("request-id", id)).finish();
    }
    let fault = shared.state().faults.pop_front();
    if fault == Some(UpstreamFault::Refuse) {
        let mut refusal = HttpResponse::ServiceUnavailable();
        return refusal.insert_header(("request-id", id)).insert_header(("not-executed", "1")).finish();
    }
    let last_event_id = header(&request, "last-event-id").parse().ok();
    let seen = RecordedCall {
        id: id.clone(),
        path: request.uri().to_string(),
        organisation: header(&request, "tenant"),
        has_key: request.headers().contains_key("authorization"),
        last_event_id,
        deadline_ms: header(&request, "deadline-ms").parse().unwrap_or(0),
        body: body.to_vec(),
    };
    {
        let mut state = shared.state();
        state.seen.push(seen);
        state.working += 1;
    }
    let working = Working(shared.clone());
    let id = if fault == Some(UpstreamFault::WrongId) { "another".to_owned() } else { id };
    match fault {
        Some(UpstreamFault::Hang) => {
            // A closed connection shows when something is written to it.
            let drops = stream::unfold(working, |working| async move {
                actix_rt::time::sleep(HANG_PERIOD).await;
                Some((Ok::<_, io::Error>(Bytes::from_static(b".")), working))
            });
            answer(StatusCode::OK, &id).streaming(drops.boxed_local())
        }
        Some(UpstreamFault::LoseAnswer) => cut(stream::empty().boxed_local()),
        Some(UpstreamFault::Status(status)) => {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
            answer(status, &id).body("failed")
        }
        Some(UpstreamFault::Truncate) => {
            let first = stream::iter([Ok(Bytes::from_static(b"half"))]).boxed_local();
            let mut response = answer(StatusCode::OK, &id);
            response.no_chunking(100).streaming(first.chain(broken()))
        }
        _ if shared.shape.models.is_empty() => {
            actix_rt::time::sleep(Duration::from_millis(shared.shape.event_ms)).await;
            answer(StatusCode::OK, &id).body(format!("answer to {id}"))
        }
        _ => generate(&shared, &request, &id, last_event_id, fault, working),
    }
}

fn answer(status: StatusCode, id: &str) -> actix_web::HttpResponseBuilder {
    let mut response = HttpResponse::build(status);
    response.insert_header(("request-id", id)).insert_header(("server-signature", format!("signed {id}")));
    response
}

type Chunks = stream::LocalBoxStream<'static, io::Result<Bytes>>;

/// The end of a connection in the middle of an answer.
fn broken() -> Chunks {
    stream::iter([Err(io::ErrorKind::ConnectionReset.into())]).boxed_local()
}

fn cut(chunks: Chunks) -> HttpResponse {
    HttpResponse::Ok().no_chunking(1).streaming(chunks.chain(broken()))
}

/// Streams the events of an item; `length-hint` says how many there are.
fn generate(
    shared: &Arc<Shared>,
    request: &HttpRequest,
    id: &str,
    last_event_id: Option<u64>,
    fault: Option<UpstreamFault>,
    working: Working,
) -> HttpResponse {
    let count: u64 = header(request, "length-hint").parse().unwrap_or(1);
    let model = header(request, "model");
    let version = shared.state().versions.get(&model).copied().unwrap_or(0);
    let first = last_event_id.map_or(FIRST_EVENT, |last| last + 1);
    let end = FIRST_EVENT + count;
    let mut response = answer(StatusCode::OK, id);
    response.insert_header(("content-type", "text/event-stream"));
    if first >= end {
        return response.streaming(stream::empty::<io::Result<Bytes>>());
    }
    response.insert_header(("weight-versions", version.to_string()));
    let stop = match fault {
        Some(UpstreamFault::CutAfter(events)) => (first + events).min(end),
        _ => end,
    };
    let (shared, id) = (shared.clone(), id.to_owned());
    let events = stream::unfold((first, version, working), move |(number, before, working)| {
        let (shared, model, id) = (shared.clone(), model.clone(), id.clone());
        async move {
            if number >= stop {
                return None;
            }
            actix_rt::time::sleep(Duration::from_millis(shared.shape.event_ms)).await;
            let version = shared.state().versions.get(&model).copied().unwrap_or(0);
            let change = if version == before { String::new() } else { format!("weight-versions: {version}\n") };
            let event = format!("{change}id: {number}\ndata: {id}:{number}\n\n");
            Some((Ok(Bytes::from(event)), (number + 1, version, working)))
        }
    })
    .boxed_local();
    match fault {
        Some(UpstreamFault::CutAfter(_)) => {
            let torn = stream::iter([Ok(Bytes::from(format!("id: {stop}\ndata: to")))]).boxed_local();
            response.streaming(events.chain(torn).chain(broken()))
        }
        Some(UpstreamFault::CutAtEnd) => response.streaming(events.chain(broken())),
        _ => response.streaming(events),
    }
}

async fn order(shared: web::Data<Shared>, body: web::Json<Value>) -> HttpResponse {
    {
        let mut state = shared.state();
        let expected = body["expected"].as_u64();
        if expected.is_some_and(|expected| expected != state.orders.len() as u64) {
            return HttpResponse::Conflict().finish();
        }
        let (model, version) = (body["model"].as_str().unwrap_or_default(), body["version"].as_u64().unwrap_or(0));
        if state.versions.get(model) == Some(&version) {
            return HttpResponse::Ok().finish();
        }
        state.versions.insert(model.to_owned(), version);
        state.orders.push(body.0.clone());
    }
    shared.register("ready");
    HttpResponse::Accepted().finish()
}

async fn report(shared: web::Data<Shared>) -> HttpResponse {
    let accepted = shared.state().orders.len();
    HttpResponse::Ok().json(json!({
        "stage": "both", "models": [], "busy": false, "sequence": accepted, "numWaiting": 0, "numRunning": 0,
        "kvUsed": 0, "kvTotal": 1, "handles": 0,
    }))
}
