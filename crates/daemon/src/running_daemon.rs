//! Starts a daemon and shuts it down gracefully.

use crate::{
    DaemonSettings,
    claim::ClaimActor,
    http::{WorkerState, configure_control, configure_public},
    limit_observer::DaemonObserver,
    peer_client::PeerClient,
    shared_state::SharedState,
    step::StepActor,
    task::{DiscoveryTask, ExchangeTask, OrderTask, PeerUpdate, PeriodicActor, StopMessage, UsageTask, push_update},
};
use actix::{Actor, Addr};
use actix_web::{App, dev::ServerHandle, web};
use anyhow::Context;
use pimentoslip_client::{EtcdClient, ProviderClient};
use pimentoslip_server::{HttpListener, ListenerLimits, ListenerOptions};
use pimentoslip_telemetry::LogLine;
use std::{
    net::{SocketAddr, TcpListener},
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

/// Result of starting a daemon.
pub type Result<T> = anyhow::Result<T>;

const CONNECTION_KEEP_ALIVE: Duration = Duration::from_secs(30);
/// Interval at which a shutdown checks whether it may proceed.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum time for which a shutdown waits until another daemon has taken over the reporting duty and collected the
/// usage counters.
const USAGE_COLLECTION_TIMEOUT_MS: u64 = 15_000;
/// Time for which a stopping server waits until its connections are closed.
const SERVER_STOP_TIMEOUT_SECONDS: u64 = 5;

/// Handle of a started daemon, which shuts it down.
pub struct RunningDaemon {
    shared: Arc<SharedState>,
    /// Bound address of the public listener.
    public_address: SocketAddr,
    /// Bound address of the control listener.
    control_address: SocketAddr,
    public_server: ServerHandle,
    control_server: ServerHandle,
    order_task: Addr<PeriodicActor<OrderTask>>,
    usage_task: Addr<PeriodicActor<UsageTask>>,
}

/// Binds both listeners and starts the actors, tasks and servers on the current actix system. Fails if a listener
/// cannot be bound.
pub async fn start(settings: DaemonSettings) -> Result<RunningDaemon> {
    let shared = SharedState::new(settings);
    let settings = &shared.settings;
    let public_listener = bind(settings.listen_address, "--listen")?;
    let control_listener = bind(settings.control_listen_address, "--control-listen")?;
    let (public_address, control_address) = (public_listener.local_addr()?, control_listener.local_addr()?);
    shared.set_control_address(control_address.to_string().into());

    let kv = EtcdClient::new(settings.kv_address.clone(), shared.kv_calls.clone());
    let provider = ProviderClient::new(
        shared.clock.clone(),
        settings.orders_address.clone(),
        settings.usage_address.clone(),
        settings.vm_list_address.clone(),
    );
    let peer_client = PeerClient::new(settings.cluster_secret.clone());
    let claim_actor = ClaimActor::new(shared.clone(), kv.clone()).start();
    let step_actor = StepActor::new(shared.clone()).start();
    PeriodicActor::new(DiscoveryTask::new(shared.clone(), provider.clone())).start();
    PeriodicActor::new(ExchangeTask::new(shared.clone(), peer_client.clone(), kv.clone())).start();
    let order_task = PeriodicActor::new(OrderTask::new(shared.clone(), kv.clone(), provider.clone())).start();
    let usage_task = PeriodicActor::new(UsageTask::new(shared.clone(), kv, peer_client.clone(), provider)).start();
    actix_rt::spawn(push_crash_marks(shared.clone(), peer_client));

    let state = shared.clone();
    let (public_claim_actor, public_step_actor) = (claim_actor.clone(), step_actor.clone());
    let limits = ListenerLimits::new(settings.descriptors_max, shared.buffers.bytes_max());
    let options = ListenerOptions {
        name: "callers",
        workers: settings.workers,
        connections_max: limits.callers.min(settings.connections_max),
        keep_alive: CONNECTION_KEEP_ALIVE,
        shutdown_timeout_s: SERVER_STOP_TIMEOUT_SECONDS,
        budget: shared.buffers.clone(),
    };
    let control_options =
        ListenerOptions { name: "control", workers: 1, connections_max: limits.control, ..options.clone() };
    let public_server =
        HttpListener::new(public_listener, options, DaemonObserver(shared.clone())).serve(move || {
            let worker = WorkerState::new(state.clone(), public_claim_actor.clone(), public_step_actor.clone());
            App::new().app_data(web::Data::new(worker)).configure(configure_public)
        })?;

    let state = shared.clone();
    let control_server =
        HttpListener::new(control_listener, control_options, DaemonObserver(shared.clone())).serve(move || {
            let worker = web::Data::new(WorkerState::new(state.clone(), claim_actor.clone(), step_actor.clone()));
            App::new().app_data(worker.clone()).configure(move |app| configure_control(app, &worker))
        })?;

    let daemon = RunningDaemon {
        public_address,
        control_address,
        public_server: public_server.handle(),
        control_server: control_server.handle(),
        order_task,
        usage_task,
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

/// Sends new crash marks to the peers at once, because a retry of the request may reach a peer next.
async fn push_crash_marks(shared: Arc<SharedState>, peer_client: PeerClient) {
    loop {
        let (marks, count) = shared.crash_push.take().await;
        push_update(&shared, &peer_client, PeerUpdate::crashes(marks)).await;
        shared.crash_push.marks_sent(count);
    }
}

fn bind(address: SocketAddr, flag: &str) -> Result<TcpListener> {
    TcpListener::bind(address).with_context(|| format!("cannot listen on {address}; choose another {flag}"))
}

impl RunningDaemon {
    /// Bound address of the public listener.
    #[must_use]
    pub fn public_address(&self) -> SocketAddr {
        self.public_address
    }

    /// Bound address of the control listener.
    #[must_use]
    pub fn control_address(&self) -> SocketAddr {
        self.control_address
    }

    /// Waits until an operator requests the daemon to drain.
    pub async fn wait_for_drain_request(&self) {
        self.shared.drain_requested.notified().await;
    }

    /// Waits until the holder of the reporting duty has collected this daemon's last usage counters. Does not wait when
    /// no other daemon is running.
    async fn wait_for_usage_collection(&self) {
        let counted_at = self.shared.now();
        let deadline = counted_at.plus_ms(USAGE_COLLECTION_TIMEOUT_MS);
        let is_collected = || self.shared.totals_requested_at_ms.load(Ordering::SeqCst) > counted_at.0;
        while !is_collected() && self.shared.members().active_names().len() > 1 && self.shared.now() < deadline {
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Shuts the daemon down: lets the balancer notice, refuses new requests, gives up its duties, waits for the
    /// running requests and the collection of the usage counters, and stops the servers.
    pub async fn shut_down(self) {
        let settings = &self.shared.settings;
        LogLine::new("draining").field("inflight", self.shared.inflight_count()).info();
        self.shared.draining.store(true, Ordering::SeqCst);
        actix_rt::time::sleep(Duration::from_millis(settings.drain_grace_ms)).await;
        self.shared.refusing_requests.store(true, Ordering::SeqCst);
        // An actor that has already stopped holds no duty.
        let _ = self.order_task.send(StopMessage).await;
        let _ = self.usage_task.send(StopMessage).await;
        let deadline = self.shared.now().plus_ms(settings.drain_timeout_ms);
        while self.shared.inflight_count() > 0 && self.shared.now() < deadline {
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        self.wait_for_usage_collection().await;
        LogLine::new("stopping").field("inflight", self.shared.inflight_count()).info();
        self.public_server.stop(true).await;
        self.control_server.stop(true).await;
    }
}
