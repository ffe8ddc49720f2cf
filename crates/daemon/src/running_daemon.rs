//! Starts a daemon and stops it gracefully.

use crate::{
    DaemonSettings,
    claim::ClaimActor,
    http::{WorkerState, configure_control, configure_public},
    peer_client::PeerClient,
    shared_state::SharedState,
    step::StepActor,
    task::{DiscoveryTask, ExchangeTask, OrderTask, PeriodicActor, StopMessage, UsageTask, push_records},
};
use actix::{Actor, Addr};
use actix_web::{App, HttpServer, dev::ServerHandle, web};
use anyhow::Context;
use pimentoslip_client::{EtcdClient, ProviderClient};
use pimentoslip_telemetry::LogLine;
use std::{
    net::{SocketAddr, TcpListener},
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

/// Result of starting a daemon.
pub type Result<T> = anyhow::Result<T>;

const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
const KEEP_ALIVE: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(20);
/// Longest wait for another daemon to take the reporting duty over and gather.
const GATHER_MS: u64 = 15_000;
const SERVER_STOP_SECONDS: u64 = 5;

/// A daemon that serves.
pub struct RunningDaemon {
    shared: Arc<SharedState>,
    public: SocketAddr,
    control: SocketAddr,
    public_server: ServerHandle,
    control_server: ServerHandle,
    orders: Addr<PeriodicActor<OrderTask>>,
    usage: Addr<PeriodicActor<UsageTask>>,
}

/// Binds both listeners and starts all parts on the current system.
pub async fn start(settings: DaemonSettings) -> Result<RunningDaemon> {
    let shared = SharedState::new(settings);
    let settings = &shared.settings;
    let public = bind(settings.listen_address, "--listen")?;
    let control = bind(settings.control_listen_address, "--control-listen")?;
    let (public_address, control_address) = (public.local_addr()?, control.local_addr()?);
    shared.set_control_address(control_address.to_string().into());

    let kv = EtcdClient::new(settings.kv_address.clone(), shared.kv_calls.clone());
    let provider = ProviderClient::new(
        shared.clock.clone(),
        settings.orders_address.clone(),
        settings.usage_address.clone(),
        settings.vm_list_address.clone(),
    );
    let peers = PeerClient::new(settings.cluster_secret.clone());
    let claims = ClaimActor::new(shared.clone(), kv.clone()).start();
    let steps = StepActor::new(shared.clone()).start();
    PeriodicActor::new(DiscoveryTask::new(shared.clone(), provider.clone())).start();
    PeriodicActor::new(ExchangeTask::new(shared.clone(), peers.clone(), kv.clone())).start();
    let orders = PeriodicActor::new(OrderTask::new(shared.clone(), kv.clone(), provider.clone())).start();
    let usage = PeriodicActor::new(UsageTask::new(shared.clone(), kv, peers.clone(), provider)).start();
    actix_rt::spawn(share_suspicions(shared.clone(), peers));

    let state = shared.clone();
    let (claim_actor, step_actor) = (claims.clone(), steps.clone());
    let public_server = HttpServer::new(move || {
        let worker = WorkerState::new(state.clone(), claim_actor.clone(), step_actor.clone());
        App::new().app_data(web::Data::new(worker)).configure(configure_public)
    })
    .workers(settings.workers)
    .max_connections(settings.connections_max)
    .client_request_timeout(HEADER_TIMEOUT)
    .keep_alive(KEEP_ALIVE)
    .shutdown_timeout(SERVER_STOP_SECONDS)
    .disable_signals()
    .listen(public)?
    .run();

    let state = shared.clone();
    let control_server = HttpServer::new(move || {
        let worker = web::Data::new(WorkerState::new(state.clone(), claims.clone(), steps.clone()));
        App::new().app_data(worker.clone()).configure(move |app| configure_control(app, &worker))
    })
    .workers(1)
    .client_request_timeout(HEADER_TIMEOUT)
    .keep_alive(KEEP_ALIVE)
    .shutdown_timeout(SERVER_STOP_SECONDS)
    .disable_signals()
    .listen(control)?
    .run();

    let daemon = RunningDaemon {
        public: public_address,
        control: control_address,
        public_server: public_server.handle(),
        control_server: control_server.handle(),
        orders,
        usage,
        shared,
    };
    actix_rt::spawn(public_server);
    actix_rt::spawn(control_server);
    LogLine::new("started")
        .field("daemon", &daemon.shared.settings.name)
        .field("incarnation", daemon.shared.incarnation)
        .field("public", public_address)
        .field("control", control_address)
        .info();
    Ok(daemon)
}

/// Tells peers of a suspected request before it reaches them.
async fn share_suspicions(shared: Arc<SharedState>, peers: PeerClient) {
    loop {
        shared.suspect_added.notified().await;
        push_records(&shared, &peers, Vec::new()).await;
    }
}

fn bind(address: SocketAddr, flag: &str) -> Result<TcpListener> {
    TcpListener::bind(address).with_context(|| format!("cannot listen on {address}; choose another {flag}"))
}

impl RunningDaemon {
    /// Address for callers.
    #[must_use]
    pub fn public_address(&self) -> SocketAddr {
        self.public
    }

    /// Address for peers and operators.
    #[must_use]
    pub fn control_address(&self) -> SocketAddr {
        self.control
    }

    /// Waits until an operator asks the daemon to leave.
    pub async fn wait_for_drain_request(&self) {
        self.shared.drain_requested.notified().await;
    }

    /// Waits until the reporter has this daemon's last usage counters, as long as there may be a reporter.
    async fn wait_gathered(&self) {
        let counted = self.shared.now();
        let deadline = counted.plus_ms(GATHER_MS);
        let gathered = || self.shared.totals_requested_at_ms.load(Ordering::SeqCst) > counted.0;
        while !gathered() && self.shared.members().active_names().len() > 1 && self.shared.now() < deadline {
            actix_rt::time::sleep(POLL).await;
        }
    }

    /// Leaves the balancer, gives duties up, waits for every request, and stops.
    pub async fn shut_down(self) {
        let settings = &self.shared.settings;
        LogLine::new("draining").field("inflight", self.shared.inflight_count()).info();
        self.shared.draining.store(true, Ordering::SeqCst);
        actix_rt::time::sleep(Duration::from_millis(settings.drain_grace_ms)).await;
        self.shared.refusing_requests.store(true, Ordering::SeqCst);
        // An actor that has gone holds no duty.
        let _ = self.orders.send(StopMessage).await;
        let _ = self.usage.send(StopMessage).await;
        let deadline = self.shared.now().plus_ms(settings.drain_timeout_ms);
        while self.shared.inflight_count() > 0 && self.shared.now() < deadline {
            actix_rt::time::sleep(POLL).await;
        }
        self.wait_gathered().await;
        LogLine::new("stopping").field("inflight", self.shared.inflight_count()).info();
        self.public_server.stop(true).await;
        self.control_server.stop(true).await;
    }
}
