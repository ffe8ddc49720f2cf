//! Starts the daemon and stops it gracefully.

use crate::{
    client_watch::ClientWatch,
    duty::{hold_duty, record_usage, report_runs},
    edge_metrics::EdgeMetrics,
    edge_state::EdgeState,
    http::{configure_control, configure_front, configure_ready},
    job::claim_jobs,
    lease_task::{maintain_lease, revoke_lease},
    store::{CoordinationKeys, OperatorKeys, UpstreamKeys, follow_prefix},
    worker_parts::WorkerParts,
};
use actix_rt::signal::unix::{SignalKind, signal};
use actix_web::{App, HttpServer, dev::ServerHandle, web};
use anyhow::Context;
use pimentoslip_platform::ProcessSettings;
use pimentoslip_telemetry::LogLine;
use std::{
    net::{SocketAddr, TcpListener},
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

/// Result of running a daemon.
pub type Result<T> = anyhow::Result<T>;

/// Longest time for a request's header; clients send it at once.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);
/// Idle connections are kept longer than clients keep them.
const KEEP_ALIVE: Duration = Duration::from_secs(75);
/// After SIGTERM connections are taken for this long, until the balancer has noticed.
const LEAVE_MS: u64 = 3_200;
/// Requests are waited for until this long before the process would be killed.
const GRACE_MARGIN_MS: u64 = 3_000;
/// Requests that came last have this long, in seconds.
const LAST_REQUESTS_SECONDS: u64 = 2;
/// Time between two lines about calls to the store.
const CALLS_PERIOD: Duration = Duration::from_secs(10);
/// Longest time for handing jobs over, in milliseconds; it takes two calls for each.
const HAND_OVER_MS: u64 = 700;
const POLL: Duration = Duration::from_millis(50);

/// Serves until SIGTERM. Metrics are served at the address for operators, and at `metrics_port` if there is one.
pub async fn run_edge(settings: ProcessSettings, metrics_port: Option<u16>) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let state = EdgeState::new(settings);
    let front = serve_front(&state)?;
    serve_small(&state, state.settings.ready, configure_ready)?;
    serve_small(&state, state.settings.control, configure_control)?;
    let metrics = metrics_port.and_then(|port| Some(SocketAddr::new(state.settings.ip.parse().ok()?, port)));
    if let Err(error) = serve_small(&state, metrics, configure_control) {
        LogLine::new("metrics_not_served").field("reason", format!("{error:#}")).warn();
    }
    spawn_tasks(&state);
    LogLine::new("started")
        .field("daemon", &state.settings.vm)
        .field("failure_domain", &state.settings.failure_domain)
        .field("incarnation", state.incarnation)
        .field("version", env!("CARGO_PKG_VERSION"))
        .info();
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => reload(&state),
        }
    }
    leave(&state).await;
    // Idle connections are closed, and requests that came last are finished.
    front.stop(true).await;
    LogLine::new("stopped").field("requests", state.active_requests()).info();
    // The log's writer needs a moment for the last lines.
    actix_rt::time::sleep(POLL).await;
    Ok(())
}

/// Addresses and identity cannot change while a process runs; the file is checked, so that an operator
/// sees what the next start would find.
fn reload(state: &EdgeState) {
    match ProcessSettings::from_env() {
        Ok(settings) => {
            LogLine::new("reload").field("vm", &settings.vm).field("same_vm", settings.vm == state.settings.vm).info()
        }
        Err(error) => LogLine::new("reload_failed").field("reason", error).warn(),
    }
}

fn spawn_tasks(state: &Arc<EdgeState>) {
    let parts = WorkerParts::new(state.clone());
    let WorkerParts { store, upstream_client, change_feed, peer_client, .. } = parts;
    actix_rt::spawn(follow_prefix(
        state.clone(),
        change_feed.with_purpose("follow_operator"),
        OperatorKeys::new(state.clone()),
    ));
    actix_rt::spawn(follow_prefix(
        state.clone(),
        change_feed.with_purpose("follow_upstreams"),
        UpstreamKeys::new(state.clone()),
    ));
    actix_rt::spawn(follow_prefix(
        state.clone(),
        change_feed.with_purpose("follow_daemons"),
        CoordinationKeys::new(state.clone()),
    ));
    actix_rt::spawn(maintain_lease(state.clone(), store.with_purpose("lease")));
    actix_rt::spawn(claim_jobs(state.clone(), upstream_client.clone(), store.with_purpose("own_jobs")));
    actix_rt::spawn(hold_duty(state.clone(), upstream_client, store.with_purpose("duty")));
    actix_rt::spawn(report_calls());
    actix_rt::spawn(report_runs(state.clone(), peer_client.clone()));
    actix_rt::spawn(record_usage(state.clone(), store.with_purpose("usage"), peer_client));
}

/// Writes how often the store was called, which its operators charge for.
async fn report_calls() {
    loop {
        actix_rt::time::sleep(CALLS_PERIOD).await;
        LogLine::new("store_calls").field("by_purpose", EdgeMetrics::global().store_calls_text()).info();
    }
}

fn serve_front(state: &Arc<EdgeState>) -> Result<ServerHandle> {
    let address = state.settings.public.context("the settings name no address for callers")?;
    let shared = state.clone();
    let server = HttpServer::new(move || {
        let parts = WorkerParts::new(shared.clone());
        App::new().app_data(web::Data::new(parts)).configure(configure_front)
    })
    .workers(1)
    .client_request_timeout(HEADER_TIMEOUT)
    .keep_alive(KEEP_ALIVE)
    .shutdown_timeout(LAST_REQUESTS_SECONDS)
    .on_connect(ClientWatch::on_connect)
    .disable_signals()
    .listen(bind(address)?)?
    .run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(handle)
}

fn serve_small(
    state: &Arc<EdgeState>,
    address: Option<SocketAddr>,
    configure: fn(&mut web::ServiceConfig),
) -> Result<()> {
    let Some(address) = address else { return Ok(()) };
    let shared = state.clone();
    let server = HttpServer::new(move || {
        let parts = WorkerParts::new(shared.clone());
        App::new().app_data(web::Data::new(parts)).configure(configure)
    })
    .workers(1)
    .disable_signals()
    .listen(bind(address)?)?
    .run();
    actix_rt::spawn(server);
    Ok(())
}

fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).with_context(|| format!("cannot listen on {address}; check the settings file"))
}

/// Leaves the balancer, gives jobs and the duty up, and waits for every request.
async fn leave(state: &Arc<EdgeState>) {
    let began = state.now();
    LogLine::new("draining").field("requests", state.active_requests()).info();
    state.draining.store(true, Ordering::SeqCst);
    state.job_changed.notify_waiters();
    let WorkerParts { store, peer_client, .. } = WorkerParts::new(state.clone());
    // Owned jobs are handed over before the lease ends, on which their records hang.
    let handed_by = began.plus_ms(HAND_OVER_MS);
    while (state.jobs().held() > 0 && state.now() < handed_by) || state.pending_duty_calls() > 0 {
        actix_rt::time::sleep(POLL).await;
    }
    revoke_lease(state, &store).await;
    let leave_at = began.plus_ms(LEAVE_MS);
    let last = began.plus_ms(state.settings.grace_ms.saturating_sub(GRACE_MARGIN_MS));
    while state.now() < leave_at || (state.active_requests() > 0 && state.now() < last) {
        actix_rt::time::sleep(POLL).await;
    }
    crate::duty::record_usage_now(state, &store, &peer_client).await;
}
