//! Stand-in for the key-value service: an in-memory store that serves the JSON form of the etcd v3 protocol.

use crate::{KvFault, KvStore, Result, RunningStandin, running::start_server};
use actix_web::{App, HttpResponse, web};
use bytes::Bytes;
use pimentoslip_wire::kv::{
    KeepAliveResponse, KeepAliveResult, LeaseGrantRequest, LeaseGrantResponse, LeaseId, RangeRequest, RangeResponse,
    ResponseHeader, TxnRequest, TxnResponse, WatchEvent, WatchRequest, WatchResponse, WatchResult,
};
use std::{
    collections::BTreeMap,
    io,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};
use tokio::sync::watch;

const MAX_REQUEST_BYTES: usize = 2 << 20;

/// State shared by the request handlers.
struct KvState {
    store: Mutex<KvStore>,
    fault: Mutex<KvFault>,
    /// Number of calls by operation.
    calls: Mutex<BTreeMap<&'static str, u64>>,
    /// Publishes the newest revision to watchers.
    revision: watch::Sender<u64>,
}

impl KvState {
    /// Runs `operation` on the store after expiring leases, and notifies watchers if the revision changed.
    fn with_store<R>(&self, operation: impl FnOnce(&mut KvStore) -> R) -> R {
        let mut store = self.store.lock().unwrap_or_else(PoisonError::into_inner);
        store.expire_leases(Instant::now());
        let result = operation(&mut store);
        let revision = store.revision();
        self.revision.send_if_modified(|published| std::mem::replace(published, revision) != revision);
        result
    }

    /// Counts a call of `operation` and applies the simulated delay. Returns false if the service is simulated to be
    /// down.
    async fn start_call(&self, operation: &'static str) -> bool {
        *self.calls.lock().unwrap_or_else(PoisonError::into_inner).entry(operation).or_default() += 1;
        let fault = *self.fault.lock().unwrap_or_else(PoisonError::into_inner);
        if fault.slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(fault.slow_ms)).await;
        }
        !fault.down
    }

    /// Whether the response to the current write is to be lost; decrements the number of responses to lose.
    fn take_lost_answer(&self) -> bool {
        let mut fault = self.fault.lock().unwrap_or_else(PoisonError::into_inner);
        let is_lost = fault.lose_answers > 0;
        fault.lose_answers = fault.lose_answers.saturating_sub(1);
        is_lost
    }
}

/// Starts the stand-in at the address `listen` (`ip:port`).
pub fn start_kv(listen: &str) -> Result<RunningStandin> {
    let state = web::Data::from(Arc::new(KvState {
        store: Mutex::default(),
        fault: Mutex::default(),
        calls: Mutex::default(),
        revision: watch::Sender::new(0),
    }));
    start_server!(listen, move || {
        App::new()
            .app_data(state.clone())
            .app_data(web::JsonConfig::default().limit(MAX_REQUEST_BYTES))
            .route("/v3/kv/range", web::post().to(range))
            .route("/v3/kv/txn", web::post().to(txn))
            .route("/v3/lease/grant", web::post().to(grant))
            .route("/v3/lease/keepalive", web::post().to(keep_alive))
            .route("/v3/lease/revoke", web::post().to(revoke))
            .route("/v3/watch", web::post().to(watch_changes))
            .route("/standin/fault", web::put().to(set_fault))
            .route("/standin/calls", web::get().to(list_calls))
    })
}

/// Response of a service that is simulated to be down.
fn unavailable() -> HttpResponse {
    HttpResponse::ServiceUnavailable().finish()
}

async fn range(state: web::Data<KvState>, request: web::Json<RangeRequest>) -> HttpResponse {
    if !state.start_call("range").await {
        return unavailable();
    }
    let response = state.with_store(|store| RangeResponse {
        header: ResponseHeader { revision: store.revision() },
        kvs: store.range(&request),
    });
    HttpResponse::Ok().json(response)
}

async fn txn(state: web::Data<KvState>, request: web::Json<TxnRequest>) -> HttpResponse {
    if !state.start_call("txn").await {
        return unavailable();
    }
    let response = state.with_store(|store| {
        let succeeded = store.commit(&request);
        TxnResponse { header: ResponseHeader { revision: store.revision() }, succeeded }
    });
    if state.take_lost_answer() {
        return HttpResponse::GatewayTimeout().finish();
    }
    HttpResponse::Ok().json(response)
}

async fn grant(state: web::Data<KvState>, request: web::Json<LeaseGrantRequest>) -> HttpResponse {
    if !state.start_call("grant").await {
        return unavailable();
    }
    let ttl = Duration::from_secs(request.ttl_seconds);
    let response = state.with_store(|store| LeaseGrantResponse {
        id: store.grant(ttl, Instant::now()),
        header: ResponseHeader { revision: store.revision() },
        ttl_seconds: request.ttl_seconds,
    });
    HttpResponse::Ok().json(response)
}

async fn keep_alive(state: web::Data<KvState>, request: web::Json<LeaseId>) -> HttpResponse {
    if !state.start_call("keepalive").await {
        return unavailable();
    }
    let ttl = state.with_store(|store| store.keep_alive(request.id, Instant::now()));
    if state.take_lost_answer() {
        return HttpResponse::GatewayTimeout().finish();
    }
    let result = KeepAliveResult { ttl_seconds: ttl.map_or(0, |ttl| ttl.as_secs()) };
    HttpResponse::Ok().json(KeepAliveResponse { result })
}

async fn revoke(state: web::Data<KvState>, request: web::Json<LeaseId>) -> HttpResponse {
    if !state.start_call("revoke").await {
        return unavailable();
    }
    let header = state.with_store(|store| {
        store.revoke(request.id);
        ResponseHeader { revision: store.revision() }
    });
    HttpResponse::Ok().json(serde_json::json!({ "header": header }))
}

/// Streams the entries of a range that are written, one JSON document per line. Deletions are not reported.
async fn watch_changes(state: web::Data<KvState>, request: web::Json<WatchRequest>) -> HttpResponse {
    if !state.start_call("watch").await {
        return unavailable();
    }
    let create_request = request.into_inner().create_request;
    let revisions = state.revision.subscribe();
    let lines = futures_util::stream::unfold(
        (state, revisions, create_request),
        |(state, mut revisions, mut create_request)| async move {
            loop {
                let request = RangeRequest {
                    key: create_request.key.clone(),
                    range_end: create_request.range_end.clone(),
                    min_mod_revision: create_request.start_revision,
                };
                let (revision, kvs) = state.with_store(|store| (store.revision(), store.range(&request)));
                if !kvs.is_empty() {
                    create_request.start_revision = revision + 1;
                    let events = kvs.into_iter().map(|kv| WatchEvent { kv }).collect();
                    let result = WatchResult { header: ResponseHeader { revision }, events };
                    let mut line = serde_json::to_vec(&WatchResponse { result }).ok()?;
                    line.push(b'\n');
                    return Some((Ok::<_, io::Error>(Bytes::from(line)), (state, revisions, create_request)));
                }
                revisions.changed().await.ok()?;
            }
        },
    );
    HttpResponse::Ok().content_type("application/json").streaming(lines)
}

async fn set_fault(state: web::Data<KvState>, fault: web::Json<KvFault>) -> HttpResponse {
    *state.fault.lock().unwrap_or_else(PoisonError::into_inner) = *fault;
    HttpResponse::NoContent().finish()
}

async fn list_calls(state: web::Data<KvState>) -> HttpResponse {
    HttpResponse::Ok().json(&*state.calls.lock().unwrap_or_else(PoisonError::into_inner))
}
