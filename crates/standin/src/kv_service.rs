//! The key-value stand-in: the JSON form of the etcd v3 protocol, in memory.

use crate::{KvFault, KvStore, Result, RunningStandin, running::start};
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

const WRITE_BYTES_MAX: usize = 2 << 20;

struct KvState {
    store: Mutex<KvStore>,
    fault: Mutex<KvFault>,
    calls: Mutex<BTreeMap<&'static str, u64>>,
    changed: watch::Sender<u64>,
}

impl KvState {
    fn store<R>(&self, act: impl FnOnce(&mut KvStore) -> R) -> R {
        let mut store = self.store.lock().unwrap_or_else(PoisonError::into_inner);
        store.expire_leases(Instant::now());
        let answer = act(&mut store);
        let revision = store.revision();
        self.changed.send_if_modified(|known| std::mem::replace(known, revision) != revision);
        answer
    }

    /// Counts the call and applies the faults that come before it. False when the service is down.
    async fn enter(&self, call: &'static str) -> bool {
        *self.calls.lock().unwrap_or_else(PoisonError::into_inner).entry(call).or_default() += 1;
        let fault = *self.fault.lock().unwrap_or_else(PoisonError::into_inner);
        if fault.slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(fault.slow_ms)).await;
        }
        !fault.down
    }

    /// Whether the answer of the write just made is to be lost.
    fn loses_answer(&self) -> bool {
        let mut fault = self.fault.lock().unwrap_or_else(PoisonError::into_inner);
        let loses = fault.lose_answers > 0;
        fault.lose_answers = fault.lose_answers.saturating_sub(1);
        loses
    }
}

/// Starts the stand-in on `listen`.
pub fn start_kv(listen: &str) -> Result<RunningStandin> {
    let state = web::Data::from(Arc::new(KvState {
        store: Mutex::default(),
        fault: Mutex::default(),
        calls: Mutex::default(),
        changed: watch::Sender::new(0),
    }));
    start!(listen, move || {
        App::new()
            .app_data(state.clone())
            .app_data(web::JsonConfig::default().limit(WRITE_BYTES_MAX))
            .route("/v3/kv/range", web::post().to(range))
            .route("/v3/kv/txn", web::post().to(txn))
            .route("/v3/lease/grant", web::post().to(grant))
            .route("/v3/lease/keepalive", web::post().to(keep_alive))
            .route("/v3/lease/revoke", web::post().to(revoke))
            .route("/v3/watch", web::post().to(watch_changes))
            .route("/standin/fault", web::put().to(set_fault))
            .route("/standin/calls", web::get().to(calls))
    })
}

fn down() -> HttpResponse {
    HttpResponse::ServiceUnavailable().finish()
}

async fn range(state: web::Data<KvState>, question: web::Json<RangeRequest>) -> HttpResponse {
    if !state.enter("range").await {
        return down();
    }
    let answer = state.store(|store| RangeResponse {
        header: ResponseHeader { revision: store.revision() },
        kvs: store.range(&question),
    });
    HttpResponse::Ok().json(answer)
}

async fn txn(state: web::Data<KvState>, question: web::Json<TxnRequest>) -> HttpResponse {
    if !state.enter("txn").await {
        return down();
    }
    let answer = state.store(|store| {
        let succeeded = store.commit(&question);
        TxnResponse { header: ResponseHeader { revision: store.revision() }, succeeded }
    });
    if state.loses_answer() {
        return HttpResponse::GatewayTimeout().finish();
    }
    HttpResponse::Ok().json(answer)
}

async fn grant(state: web::Data<KvState>, question: web::Json<LeaseGrantRequest>) -> HttpResponse {
    if !state.enter("grant").await {
        return down();
    }
    let ttl = Duration::from_secs(question.ttl_seconds);
    let answer = state.store(|store| LeaseGrantResponse {
        id: store.grant(ttl, Instant::now()),
        header: ResponseHeader { revision: store.revision() },
        ttl_seconds: question.ttl_seconds,
    });
    HttpResponse::Ok().json(answer)
}

async fn keep_alive(state: web::Data<KvState>, question: web::Json<LeaseId>) -> HttpResponse {
    if !state.enter("keepalive").await {
        return down();
    }
    let ttl = state.store(|store| store.keep_alive(question.id, Instant::now()));
    if state.loses_answer() {
        return HttpResponse::GatewayTimeout().finish();
    }
    let result = KeepAliveResult { ttl_seconds: ttl.map_or(0, |ttl| ttl.as_secs()) };
    HttpResponse::Ok().json(KeepAliveResponse { result })
}

async fn revoke(state: web::Data<KvState>, question: web::Json<LeaseId>) -> HttpResponse {
    if !state.enter("revoke").await {
        return down();
    }
    let header = state.store(|store| {
        store.revoke(question.id);
        ResponseHeader { revision: store.revision() }
    });
    HttpResponse::Ok().json(serde_json::json!({ "header": header }))
}

async fn watch_changes(state: web::Data<KvState>, question: web::Json<WatchRequest>) -> HttpResponse {
    if !state.enter("watch").await {
        return down();
    }
    let create = question.into_inner().create_request;
    let changed = state.changed.subscribe();
    let lines = futures_util::stream::unfold((state, changed, create), |(state, mut changed, mut create)| async move {
        loop {
            let question = RangeRequest {
                key: create.key.clone(),
                range_end: create.range_end.clone(),
                min_mod_revision: create.start_revision,
            };
            let (revision, kvs) = state.store(|store| (store.revision(), store.range(&question)));
            if !kvs.is_empty() {
                create.start_revision = revision + 1;
                let events = kvs.into_iter().map(|kv| WatchEvent { kv }).collect();
                let result = WatchResult { header: ResponseHeader { revision }, events };
                let mut line = serde_json::to_vec(&WatchResponse { result }).ok()?;
                line.push(b'\n');
                return Some((Ok::<_, io::Error>(Bytes::from(line)), (state, changed, create)));
            }
            changed.changed().await.ok()?;
        }
    });
    HttpResponse::Ok().content_type("application/json").streaming(lines)
}

async fn set_fault(state: web::Data<KvState>, fault: web::Json<KvFault>) -> HttpResponse {
    *state.fault.lock().unwrap_or_else(PoisonError::into_inner) = *fault;
    HttpResponse::NoContent().finish()
}

async fn calls(state: web::Data<KvState>) -> HttpResponse {
    HttpResponse::Ok().json(&*state.calls.lock().unwrap_or_else(PoisonError::into_inner))
}
