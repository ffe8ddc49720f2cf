//! The platform's store over HTTP.

use super::StoreContents;
use crate::{Result, RunningStandin, running::start};
use actix_web::{App, HttpResponse, web};
use serde_json::{Value, json};
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

const WRITE_BYTES_MAX: usize = 16 << 20;
const WATCH_POLL: Duration = Duration::from_millis(10);

/// What the store does wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreFault {
    /// Every call is rejected.
    pub down: bool,
    /// So many commits are done without an answer.
    pub lose_commits: u32,
}

#[derive(Default)]
struct Shared {
    contents: Mutex<StoreContents>,
    fault: Mutex<StoreFault>,
}

/// A running store.
#[derive(Clone)]
pub struct PlatformStore {
    /// Bound address.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl PlatformStore {
    /// Starts a store on a port picked by the kernel, on the current runtime.
    pub fn start() -> Result<Self> {
        let shared = Arc::new(Shared::default());
        let data = web::Data::from(shared.clone());
        let running: Result<RunningStandin> = start!("127.0.0.1:0", move || {
            App::new().app_data(data.clone()).app_data(web::JsonConfig::default().limit(WRITE_BYTES_MAX)).service(
                web::scope("/pimentoslip")
                    .route("/kv-key", web::get().to(get))
                    .route("/kv-range", web::get().to(range))
                    .route("/kv-watch", web::get().to(watch))
                    .route("/kv-txn", web::post().to(commit))
                    .route("/kv-lease", web::post().to(grant))
                    .route("/kv-keep/{lease}", web::post().to(keep))
                    .route("/kv-lease-end/{lease}", web::delete().to(end)),
            )
        });
        let (address, _) = running?.spawn();
        Ok(Self { address, shared })
    }

    /// The entries.
    pub fn contents(&self) -> MutexGuard<'_, StoreContents> {
        self.shared.contents()
    }

    /// Writes an entry as another writer does.
    pub fn put(&self, key: &str, value: &Value) {
        self.contents().put(key, value.to_string().into_bytes(), 0);
    }

    /// Sets what the store does wrong from now on.
    pub fn set_fault(&self, fault: StoreFault) {
        *self.shared.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }
}

impl Shared {
    fn contents(&self) -> MutexGuard<'_, StoreContents> {
        let mut contents = self.contents.lock().unwrap_or_else(PoisonError::into_inner);
        contents.expire_leases(Instant::now());
        contents
    }

    fn is_down(&self) -> bool {
        self.fault.lock().unwrap_or_else(PoisonError::into_inner).down
    }

    fn loses_commit(&self) -> bool {
        let mut fault = self.fault.lock().unwrap_or_else(PoisonError::into_inner);
        let loses = fault.lose_commits > 0;
        fault.lose_commits = fault.lose_commits.saturating_sub(1);
        loses
    }
}

type Query = web::Query<HashMap<String, String>>;

fn down() -> HttpResponse {
    HttpResponse::ServiceUnavailable().finish()
}

fn parameter<'a>(query: &'a Query, name: &str) -> &'a str {
    query.get(name).map_or("", String::as_str)
}

async fn get(shared: web::Data<Shared>, query: Query) -> HttpResponse {
    if shared.is_down() {
        return down();
    }
    let contents = shared.contents();
    match contents.get(parameter(&query, "key")) {
        Some(item) => HttpResponse::Ok().json(item),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn range(shared: web::Data<Shared>, query: Query) -> HttpResponse {
    if shared.is_down() {
        return down();
    }
    let contents = shared.contents();
    let items = contents.range(parameter(&query, "pathPrefix"), parameter(&query, "after"));
    HttpResponse::Ok().json(json!({ "items": items, "morePages": false, "asOf": contents.revision() }))
}

async fn watch(shared: web::Data<Shared>, query: Query) -> HttpResponse {
    let after = parameter(&query, "after").parse().unwrap_or(0);
    let wait_ms = parameter(&query, "waitMs").parse().unwrap_or(0);
    let until = Instant::now() + Duration::from_millis(wait_ms);
    loop {
        if shared.is_down() {
            return down();
        }
        let (events, revision) = {
            let contents = shared.contents();
            (contents.changes_after(parameter(&query, "pathPrefix"), after), contents.revision())
        };
        if !events.is_empty() || Instant::now() >= until {
            return HttpResponse::Ok().json(json!({ "events": events, "asOf": revision }));
        }
        actix_rt::time::sleep(WATCH_POLL).await;
    }
}

async fn commit(shared: web::Data<Shared>, body: web::Json<Value>) -> HttpResponse {
    if shared.is_down() {
        return down();
    }
    let result = {
        let mut contents = shared.contents();
        if !contents.has_leases(&body) {
            return HttpResponse::NotFound().finish();
        }
        contents.commit(&body)
    };
    if shared.loses_commit() {
        return HttpResponse::GatewayTimeout().finish();
    }
    match result {
        Ok(revision) => HttpResponse::Ok().json(json!({ "revision": revision })),
        Err(items) => HttpResponse::PreconditionFailed().json(json!({ "items": items })),
    }
}

async fn grant(shared: web::Data<Shared>, body: web::Json<Value>) -> HttpResponse {
    if shared.is_down() {
        return down();
    }
    let ttl_ms = body["ttlMs"].as_u64().unwrap_or(0);
    let lease = shared.contents().grant_lease(Duration::from_millis(ttl_ms), Instant::now());
    HttpResponse::Ok().json(json!({ "lease": lease, "ttlMs": ttl_ms }))
}

async fn keep(shared: web::Data<Shared>, lease: web::Path<u64>) -> HttpResponse {
    if shared.is_down() {
        return down();
    }
    let held = shared.contents().renew_lease(*lease, Instant::now());
    if held { HttpResponse::Ok().json(json!({})) } else { HttpResponse::NotFound().finish() }
}

async fn end(shared: web::Data<Shared>, lease: web::Path<u64>) -> HttpResponse {
    if shared.is_down() {
        return down();
    }
    shared.contents().end_lease(*lease);
    HttpResponse::Ok().json(json!({}))
}
