//! Stand-in for the platform's key-value store, served over HTTP.

use super::{StoreContents, StoreView};
use crate::{Result, RunningStandin, running::start_server};
use actix_web::{App, HttpResponse, web};
use serde_json::{Value, json};
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

const MAX_COMMIT_BYTES: usize = 16 << 20;
/// Interval at which a watch checks for changes.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Faults that the store simulates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreFault {
    /// Rejects every call with status 503.
    pub down: bool,
    /// Number of upcoming commits that take effect but are answered with status 504.
    pub lose_commits: u32,
    /// Key whose next writes, so many, take effect but are answered with status 504.
    pub lost_writes: Option<(&'static str, u32)>,
    /// Key whose next write is answered with status 504, and takes effect only after [`LATE_COMMIT_DELAY`].
    pub late_key: Option<&'static str>,
}

/// Delay of a commit that takes effect late.
const LATE_COMMIT_DELAY: Duration = Duration::from_millis(1_500);

/// State shared by the request handlers.
#[derive(Default)]
pub(super) struct StoreState {
    contents: Mutex<StoreContents>,
    fault: Mutex<StoreFault>,
}

/// A running stand-in for the platform's store.
#[derive(Clone)]
pub struct PlatformStore {
    /// Address that the store listens on.
    pub address: SocketAddr,
    state: Arc<StoreState>,
}

impl PlatformStore {
    /// Starts a store on the current runtime, at a free loopback port.
    pub fn start() -> Result<Self> {
        let state = Arc::new(StoreState::default());
        let (address, _) = Self::serve(&state)?;
        Ok(Self { address, state })
    }

    /// Opens another address of the store, at which upstreams can be listed with other addresses.
    pub fn open_view(&self) -> Result<(SocketAddr, Arc<StoreView>)> {
        Self::serve(&self.state)
    }

    /// Serves `state` at a free loopback port.
    fn serve(state: &Arc<StoreState>) -> Result<(SocketAddr, Arc<StoreView>)> {
        let view = Arc::new(StoreView::new(state.clone()));
        let data = web::Data::from(view.clone());
        let running: Result<RunningStandin> = start_server!("127.0.0.1:0", move || {
            App::new().app_data(data.clone()).app_data(web::JsonConfig::default().limit(MAX_COMMIT_BYTES)).service(
                web::scope("/pimentoslip")
                    .route("/kv-key", web::get().to(get))
                    .route("/kv-range", web::get().to(range))
                    .route("/kv-watch", web::get().to(watch))
                    .route("/kv-txn", web::post().to(commit))
                    .route("/kv-lease", web::post().to(grant_lease))
                    .route("/kv-keep/{lease}", web::post().to(renew_lease))
                    .route("/kv-lease-end/{lease}", web::delete().to(end_lease)),
            )
        });
        let (address, _) = running?.spawn();
        Ok((address, view))
    }

    /// Locks and returns the contents of the store, with expired leases removed.
    pub fn contents(&self) -> MutexGuard<'_, StoreContents> {
        self.state.contents()
    }

    /// Writes an entry without a lease, as another client of the store would.
    pub fn put(&self, key: &str, value: &Value) {
        self.contents().put(key, value.to_string().into_bytes(), 0);
    }

    /// Sets the faults to simulate from now on.
    pub fn set_fault(&self, fault: StoreFault) {
        *self.state.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }
}

impl StoreState {
    fn contents(&self) -> MutexGuard<'_, StoreContents> {
        let mut contents = self.contents.lock().unwrap_or_else(PoisonError::into_inner);
        contents.expire_leases(Instant::now());
        contents
    }

    fn is_down(&self) -> bool {
        self.fault.lock().unwrap_or_else(PoisonError::into_inner).down
    }

    /// Whether the current commit takes effect late; only one does.
    fn take_late_commit(&self, commit: &Value) -> bool {
        let mut fault = self.fault.lock().unwrap_or_else(PoisonError::into_inner);
        let is_late = fault.late_key.is_some_and(|key| writes(commit, key));
        if is_late {
            fault.late_key = None;
        }
        is_late
    }

    /// Whether the response to the current commit is to be lost; decrements the number of responses to lose.
    fn take_lost_commit(&self, commit: &Value) -> bool {
        let mut fault = self.fault.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((key, count)) = &mut fault.lost_writes
            && *count > 0
            && writes(commit, key)
        {
            *count -= 1;
            return true;
        }
        let is_lost = fault.lose_commits > 0;
        fault.lose_commits = fault.lose_commits.saturating_sub(1);
        is_lost
    }
}

/// Whether `commit` writes the key `key`.
fn writes(commit: &Value, key: &str) -> bool {
    commit["puts"].as_array().is_some_and(|puts| puts.iter().any(|put| put["key"] == key))
}

/// Parameters of the query string by name.
type Query = web::Query<HashMap<String, String>>;

/// Response of a store that is simulated to be down.
fn unavailable() -> HttpResponse {
    HttpResponse::ServiceUnavailable().finish()
}

/// Value of a query parameter, or an empty text if it is missing.
fn parameter<'a>(query: &'a Query, name: &str) -> &'a str {
    query.get(name).map_or("", String::as_str)
}

async fn get(view: web::Data<StoreView>, query: Query) -> HttpResponse {
    let state = &view.state;
    if state.is_down() {
        return unavailable();
    }
    let contents = state.contents();
    match contents.get(parameter(&query, "key")) {
        Some(item) => HttpResponse::Ok().json(view.translated(item)),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn range(view: web::Data<StoreView>, query: Query) -> HttpResponse {
    let state = &view.state;
    if state.is_down() {
        return unavailable();
    }
    while view.is_held(parameter(&query, "pathPrefix")) {
        actix_rt::time::sleep(WATCH_POLL_INTERVAL).await;
    }
    let contents = state.contents();
    let items = contents.range(parameter(&query, "pathPrefix"), parameter(&query, "after"));
    let items: Vec<Value> = items.into_iter().map(|item| view.translated(item)).collect();
    HttpResponse::Ok().json(json!({ "items": items, "morePages": false, "asOf": contents.revision() }))
}

/// Returns the changes below a prefix after a revision. Waits for a change until the requested time has passed. Refuses
/// if the history of these changes was discarded.
async fn watch(view: web::Data<StoreView>, query: Query) -> HttpResponse {
    let state = &view.state;
    let after = parameter(&query, "after").parse().unwrap_or(0);
    let wait_ms = parameter(&query, "waitMs").parse().unwrap_or(0);
    let deadline = Instant::now() + Duration::from_millis(wait_ms);
    loop {
        if state.is_down() {
            return unavailable();
        }
        let (events, revision) = {
            let contents = state.contents();
            if !contents.has_changes_after(after) {
                return HttpResponse::Gone().finish();
            }
            (contents.changes_after(parameter(&query, "pathPrefix"), after), contents.revision())
        };
        if !events.is_empty() || Instant::now() >= deadline {
            let events: Vec<Value> = events.into_iter().map(|event| view.translated(event)).collect();
            return HttpResponse::Ok().json(json!({ "events": events, "asOf": revision }));
        }
        actix_rt::time::sleep(WATCH_POLL_INTERVAL).await;
    }
}

async fn commit(view: web::Data<StoreView>, body: web::Json<Value>) -> HttpResponse {
    let state = &view.state;
    if state.is_down() {
        return unavailable();
    }
    if state.take_late_commit(&body) {
        let state = state.clone();
        actix_rt::spawn(async move {
            actix_rt::time::sleep(LATE_COMMIT_DELAY).await;
            let mut contents = state.contents();
            if contents.has_leases(&body) {
                // A condition that does not hold any more is no failure of the stand-in.
                let _ = contents.commit(&body);
            }
        });
        return HttpResponse::GatewayTimeout().finish();
    }
    let result = {
        let mut contents = state.contents();
        if !contents.has_leases(&body) {
            return HttpResponse::NotFound().finish();
        }
        contents.commit(&body)
    };
    if state.take_lost_commit(&body) {
        return HttpResponse::GatewayTimeout().finish();
    }
    match result {
        Ok(revision) => HttpResponse::Ok().json(json!({ "revision": revision })),
        Err(items) => HttpResponse::PreconditionFailed().json(json!({ "items": items })),
    }
}

async fn grant_lease(view: web::Data<StoreView>, body: web::Json<Value>) -> HttpResponse {
    let state = &view.state;
    if state.is_down() {
        return unavailable();
    }
    let ttl_ms = body["ttlMs"].as_u64().unwrap_or(0);
    let lease = state.contents().grant_lease(Duration::from_millis(ttl_ms), Instant::now());
    HttpResponse::Ok().json(json!({ "lease": lease, "ttlMs": ttl_ms }))
}

async fn renew_lease(view: web::Data<StoreView>, lease: web::Path<u64>) -> HttpResponse {
    let state = &view.state;
    if state.is_down() {
        return unavailable();
    }
    let is_renewed = state.contents().renew_lease(*lease, Instant::now());
    if is_renewed { HttpResponse::Ok().json(json!({})) } else { HttpResponse::NotFound().finish() }
}

async fn end_lease(view: web::Data<StoreView>, lease: web::Path<u64>) -> HttpResponse {
    let state = &view.state;
    if state.is_down() {
        return unavailable();
    }
    state.contents().end_lease(*lease);
    HttpResponse::Ok().json(json!({}))
}
