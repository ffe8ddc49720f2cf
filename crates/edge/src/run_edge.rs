//! Starts the daemon and stops it gracefully.

use crate::{
    duty::{flush_usage, hold_duty, record_usage, report_runs},
    edge_metrics::EdgeMetrics,
    edge_state::{EdgeState, coordination_apply_ms},
    http::{ApiRefusal, configure_control, configure_front, configure_ready},
    job::claim_jobs,
    lease_task::{maintain_lease, revoke_lease},
    limit::request_permits,
    path::watch_paths,
    store::{ChangeFeed, CoordinationKeys, OperatorKeys, PrefixHandler, UpstreamKeys, follow_prefix},
    stream::{keep_software_history, store_streams},
    suspect::store_crash_marks,
    task_supervisor::supervise,
    waiting::hand_over_slots,
    worker_parts::WorkerParts,
};
use actix_rt::{
    Arbiter,
    signal::unix::{SignalKind, signal},
};
use actix_web::{App, HttpResponse, dev::ServerHandle, web};
use anyhow::Context;
use pimentoslip_kernel::WatchTiming;
use pimentoslip_platform::ProcessSettings;
use pimentoslip_server::{HttpListener, LimitObserver, ListenerOptions};
use pimentoslip_telemetry::LogLine;
use std::{
    future::Future,
    net::{SocketAddr, TcpListener},
    sync::Arc,
    time::Duration,
};

/// Result of starting or running a daemon.
pub type Result<T> = anyhow::Result<T>;

/// Time after which idle connections are closed; longer than clients keep them, so that clients close them first.
const KEEP_ALIVE: Duration = Duration::from_secs(75);
/// Time after which idle connections of peers and probes are closed.
const INTERNAL_KEEP_ALIVE: Duration = Duration::from_secs(5);
/// After SIGTERM new connections are accepted for this long, until the load balancer has stopped sending them.
const BALANCER_REACTION_MS: u64 = 3_200;
/// Requests are answered until this long before the end of the grace period, at which the process is killed.
const ANSWER_MARGIN_MS: u64 = 1_000;
/// Usage counts are stored from this long before the end of the grace period on, even if requests are still active.
const USAGE_MARGIN_MS: u64 = 2_000;
/// Time in which the last responses are written when the HTTP server is stopped.
const SHUTDOWN_TIMEOUT_SECONDS: u64 = 1;
/// Interval at which the numbers of requests at upstreams with a limit are logged.
const LIMIT_LOG_INTERVAL: Duration = Duration::from_secs(4);
/// Interval at which the numbers of calls to the store are logged.
const CALL_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Longest time for the handover of all owned jobs; each takes two calls.
const JOB_HANDOVER_MS: u64 = 700;
/// Longest time for the write of the last crash marks.
const CRASH_FLUSH_MS: u64 = 400;
/// Interval at which the conditions for the next step of a shutdown are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs a daemon until SIGTERM. Metrics are served at the control address, and also at `metrics_port` if one is given.
pub async fn run_edge(settings: ProcessSettings, metrics_port: Option<u16>) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let state = EdgeState::new(settings);
    let public_server = serve_public(&state)?;
    serve_internal(&state, state.settings.ready_address, internal_options(&state), configure_ready)?;
    let control_options =
        ListenerOptions { name: "control", connections_max: state.listener_limits.control, ..internal_options(&state) };
    serve_internal(&state, state.settings.control_address, control_options, configure_control)?;
    let metrics_address = metrics_port.and_then(|port| Some(SocketAddr::new(state.settings.ip.parse().ok()?, port)));
    if let Err(error) = serve_internal(&state, metrics_address, internal_options(&state), configure_control) {
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
            _ = hangup.recv() => check_settings_file(&state),
        }
    }
    drain(&state).await;
    state.planned_stop.end();
    // Closes idle connections and lets the last responses be written.
    public_server.stop(true).await;
    let flush_deadline = state.now().plus_ms(CRASH_FLUSH_MS);
    while !state.crash_outbox().is_settled() && state.now() < flush_deadline {
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    LogLine::new("stopped").field("requests", state.active_requests()).info();
    // Gives the log writer thread time to write the last lines.
    actix_rt::time::sleep(POLL_INTERVAL).await;
    Ok(())
}

/// Checks the settings file on SIGHUP and logs the result, so that an operator sees whether the next start would
/// succeed. Nothing is applied, as addresses and identity cannot change while a process runs.
fn check_settings_file(state: &EdgeState) {
    match ProcessSettings::from_env() {
        Ok(settings) => {
            LogLine::new("reload").field("vm", &settings.vm).field("same_vm", settings.vm == state.settings.vm).info()
        }
        Err(error) => LogLine::new("reload_failed").field("reason", error).warn(),
    }
}

/// Starts the background tasks of the daemon.
fn spawn_tasks(state: &Arc<EdgeState>) {
    let parts = WorkerParts::new(state.clone());
    spawn_follower(&parts, "follow_operator", state.settings.operator_apply_ms(), OperatorKeys::new);
    spawn_follower(&parts, "follow_upstreams", state.settings.upstream_drain_ms, UpstreamKeys::new);
    spawn_follower(&parts, "follow_daemons", coordination_apply_ms(&state.settings), CoordinationKeys::new);
    spawn_task(&parts, "lease", |parts| maintain_lease(parts.state, parts.store.with_purpose("lease")));
    spawn_task(&parts, "duty", |parts| hold_duty(parts.state, parts.upstream_client, parts.store.with_purpose("duty")));
    spawn_task(&parts, "report_runs", |parts| report_runs(parts.state, parts.peer_client));
    spawn_task(&parts, "usage", |parts| {
        record_usage(parts.state, parts.store.with_purpose("usage"), parts.peer_client)
    });
    spawn_task(&parts, "permits", |parts| request_permits(parts.state, parts.peer_client));
    spawn_task(&parts, "waiting", |parts| hand_over_slots(parts.state));
    spawn_task(&parts, "paths", |parts| watch_paths(parts.state, parts.peer_client));
    spawn_task(&parts, "software", |parts| keep_software_history(parts.state, parts.store.with_purpose("streams")));
    spawn_task(&parts, "streams", |parts| store_streams(parts.state, parts.store.with_purpose("streams")));
    spawn_task(&parts, "crashes", |parts| {
        store_crash_marks(parts.state, parts.store.with_purpose("crashes"), parts.peer_client)
    });
    actix_rt::spawn(log_store_calls());
    spawn_task(&parts, "log_limits", |parts| log_limited_upstreams(parts.state));
    // Jobs have a thread of their own, so that a large one delays neither the lease nor the changes of the store.
    let job_state = state.clone();
    Arbiter::new().spawn_fn(move || {
        spawn_task(&WorkerParts::new(job_state), "jobs", |parts| {
            claim_jobs(parts.state, parts.upstream_client, parts.store.with_purpose("own_jobs"))
        });
    });
}

/// Starts a task on the current thread, and again after a panic. `start` is passed the clients of the thread, `parts`.
fn spawn_task<F: Future<Output = ()> + 'static>(
    parts: &WorkerParts,
    name: &'static str,
    start: impl Fn(WorkerParts) -> F + 'static,
) {
    let parts = parts.clone();
    actix_rt::spawn(supervise(name, move || start(parts.clone())));
}

/// Starts a task that keeps a handler up to date with its key prefix. Changes must be applied within `bound_ms`.
fn spawn_follower<H: PrefixHandler>(
    parts: &WorkerParts,
    name: &'static str,
    bound_ms: u64,
    create_handler: fn(Arc<EdgeState>) -> H,
) {
    spawn_task(parts, name, move |parts| {
        let WorkerParts { state, store, peer_client, .. } = parts;
        let timing = WatchTiming::new(bound_ms);
        let feed = ChangeFeed::new(state.clone(), store.with_purpose(name), peer_client, H::PREFIX, timing);
        follow_prefix(state.clone(), feed, create_handler(state))
    });
}

/// Logs the number of calls to the store at a fixed interval; the store's operators charge for each call.
async fn log_store_calls() {
    loop {
        actix_rt::time::sleep(CALL_LOG_INTERVAL).await;
        LogLine::new("store_calls").field("by_purpose", EdgeMetrics::global().store_calls_text()).info();
    }
}

/// Logs the number of this daemon's requests at each upstream that names a limit, at a fixed interval.
async fn log_limited_upstreams(state: Arc<EdgeState>) {
    loop {
        actix_rt::time::sleep(LIMIT_LOG_INTERVAL).await;
        let counts = state.upstreams().take_limited_counts();
        for (upstream, limit, sent_count) in counts {
            LogLine::new("limited_requests")
                .field("upstream", upstream)
                .field("limit", limit)
                .field("sent", sent_count)
                .info();
        }
    }
}

/// Starts the public HTTP server, to which callers connect.
fn serve_public(state: &Arc<EdgeState>) -> Result<ServerHandle> {
    let address = state.settings.public_address.context("the settings file has no address for callers; add one")?;
    let options = ListenerOptions {
        name: "callers",
        connections_max: state.listener_limits.callers,
        keep_alive: KEEP_ALIVE,
        ..internal_options(state)
    };
    start_server(state, address, options, configure_front)
}

/// Starts an HTTP server for the readiness probe, or for peers and operators. Without an address it does nothing.
fn serve_internal(
    state: &Arc<EdgeState>,
    address: Option<SocketAddr>,
    options: ListenerOptions,
    configure: fn(&mut web::ServiceConfig),
) -> Result<()> {
    let Some(address) = address else { return Ok(()) };
    start_server(state, address, options, configure).map(|_| ())
}

/// Options of listeners for probes.
fn internal_options(state: &EdgeState) -> ListenerOptions {
    ListenerOptions {
        name: "probes",
        workers: 1,
        connections_max: state.listener_limits.probes,
        keep_alive: INTERNAL_KEEP_ALIVE,
        shutdown_timeout_s: SHUTDOWN_TIMEOUT_SECONDS,
        budget: state.buffers.clone(),
    }
}

/// Counts what the listeners of the daemon refuse.
#[derive(Clone, Copy, Debug)]
struct EdgeObserver;

impl LimitObserver for EdgeObserver {
    fn connection_closed(&self, reason: &'static str) {
        EdgeMetrics::increment(&EdgeMetrics::global().client_closes, reason);
    }

    fn request_refused(&self) -> HttpResponse {
        ApiRefusal::MemoryUsedUp.response()
    }
}

/// Starts an HTTP server.
fn start_server(
    state: &Arc<EdgeState>,
    address: SocketAddr,
    options: ListenerOptions,
    configure: fn(&mut web::ServiceConfig),
) -> Result<ServerHandle> {
    let shared_state = state.clone();
    let server = HttpListener::new(bind(address)?, options, EdgeObserver).serve(move || {
        let parts = WorkerParts::new(shared_state.clone());
        App::new().app_data(web::Data::new(parts)).configure(configure)
    })?;
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(handle)
}

fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).with_context(|| format!("cannot listen on {address}; check the settings file"))
}

/// Drains the daemon: fails the readiness probe, hands over jobs and the duty, waits for active requests, and stores
/// the remaining usage counts.
async fn drain(state: &Arc<EdgeState>) {
    let started_at = state.now();
    LogLine::new("draining").field("requests", state.active_requests()).info();
    let killed_at = started_at.plus_ms(state.settings.shutdown_grace_ms);
    let answers_due = killed_at.minus_ms(ANSWER_MARGIN_MS);
    state.planned_stop.start(started_at, answers_due);
    state.job_changed.notify_waiters();
    let WorkerParts { store, peer_client, .. } = WorkerParts::new(state.clone());
    // Owned jobs are handed over before the lease is revoked, because that deletes their ownership entries.
    let handover_deadline = started_at.plus_ms(JOB_HANDOVER_MS);
    while (state.jobs().running_count() > 0 && state.now() < handover_deadline) || state.pending_duty_calls() > 0 {
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    revoke_lease(state, &store).await;
    let balancer_deadline = started_at.plus_ms(BALANCER_REACTION_MS);
    let usage_deadline = killed_at.minus_ms(USAGE_MARGIN_MS);
    while state.now() < balancer_deadline || (state.active_requests() > 0 && state.now() < usage_deadline) {
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    let store_usage = flush_usage(state, &store, &peer_client);
    let left = Duration::from_millis(answers_due.since_ms(state.now()));
    if actix_rt::time::timeout(left, store_usage).await.is_err() {
        LogLine::new("usage_not_flushed").field("left_ms", left.as_millis()).warn();
    }
    while state.active_requests() > 0 && state.now() < answers_due {
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}
