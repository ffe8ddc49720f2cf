//! What all parts of a daemon share.

use crate::{edge_metrics::EdgeMetrics, job::JobIndex, steady_time::SteadyTime};
use pimentoslip_client::OwnerClock;
use pimentoslip_kernel::{
    OwnershipTable, PathChoice, RunBoard, SamplerTable, SharedName, TimePoint, TrafficConfig, UsageTally, fingerprint,
};
use pimentoslip_platform::ProcessSettings;
use pimentoslip_wire::stored::DaemonEntry;
use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, RwLock,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
};
use tokio::sync::Notify;

/// One part in this many of the process's memory may hold results that others read.
const RESULTS_MEMORY_DIVISOR: usize = 8;

/// State shared between listeners and tasks. Locks are held for a decision, never across a wait.
#[derive(Debug)]
pub struct EdgeState {
    /// Settings.
    pub settings: ProcessSettings,
    /// Clock for everything with an owner.
    pub clock: Arc<OwnerClock>,
    /// Start of this process in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Whether this daemon leaves.
    pub draining: AtomicBool,
    /// Wakes the tasks that run batch jobs.
    pub job_changed: Notify,
    /// Wakes the duty's holder.
    pub upstreams_changed: Notify,
    /// Wakes those who wait for results of owned jobs.
    pub results_listed: Notify,
    time: SteadyTime,
    active_requests: AtomicUsize,
    config: RwLock<Option<Arc<TrafficConfig>>>,
    upstreams: Mutex<SamplerTable>,
    newest_versions: Mutex<BTreeMap<SharedName, u64>>,
    retired_vms: Mutex<Vec<SharedName>>,
    ownership: Mutex<OwnershipTable>,
    jobs: Mutex<JobIndex>,
    usage: Mutex<UsageTally>,
    lease: Mutex<LeaseView>,
    store_path: Mutex<PathChoice>,
    store_reconnected_at: Mutex<Option<TimePoint>>,
    usage_writes: AtomicU64,
    run_board: Mutex<RunBoard>,
    pending_duty_calls: AtomicUsize,
}

/// Counts a call under the duty until its outcome is known.
#[derive(Debug)]
pub struct DutyCallGuard(Arc<EdgeState>);

impl Drop for DutyCallGuard {
    fn drop(&mut self) {
        self.0.pending_duty_calls.fetch_sub(1, Ordering::SeqCst);
    }
}

/// What is known of the daemon's lease and of the duty that hangs on somebody's lease.
#[derive(Clone, Debug, Default)]
pub struct LeaseView {
    /// The lease, while it holds.
    pub lease: Option<u64>,
    /// The end of the lease unless it is renewed.
    pub ends_at: TimePoint,
    /// Revision and holder of the duty's record.
    pub duty: Option<(u64, DaemonEntry)>,
    /// Who held the duty last, as far as this process has heard.
    pub last_holder: Option<SharedName>,
}

impl LeaseView {
    /// The duty's record was written at `revision`.
    pub fn duty_observed(&mut self, revision: u64, holder: DaemonEntry) {
        self.last_holder = Some(holder.daemon.clone());
        self.duty = Some((revision, holder));
    }
}

/// Counts a request until it is answered.
#[derive(Debug)]
pub struct RequestGuard(Arc<EdgeState>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.active_requests.fetch_sub(1, Ordering::SeqCst);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl EdgeState {
    /// Creates the state of a process that starts now.
    #[must_use]
    pub fn new(settings: ProcessSettings) -> Arc<Self> {
        let clock = Arc::new(OwnerClock::default());
        let incarnation = clock.unix_ms();
        Arc::new(Self {
            incarnation,
            draining: AtomicBool::new(false),
            job_changed: Notify::new(),
            upstreams_changed: Notify::new(),
            results_listed: Notify::new(),
            time: SteadyTime::new(&clock),
            active_requests: AtomicUsize::new(0),
            config: RwLock::new(None),
            upstreams: Mutex::default(),
            newest_versions: Mutex::default(),
            retired_vms: Mutex::default(),
            ownership: Mutex::new(OwnershipTable::new(settings.vm.clone(), incarnation)),
            jobs: Mutex::new(JobIndex::new(settings.memory_bytes / RESULTS_MEMORY_DIVISOR)),
            usage: Mutex::new(UsageTally::new(settings.usage_window_ms)),
            lease: Mutex::default(),
            store_path: Mutex::new(PathChoice::new(fingerprint(&[settings.vm.as_bytes()]))),
            store_reconnected_at: Mutex::default(),
            usage_writes: AtomicU64::new(0),
            run_board: Mutex::default(),
            pending_duty_calls: AtomicUsize::new(0),
            settings,
            clock,
        })
    }

    /// The current time.
    #[must_use]
    pub fn now(&self) -> TimePoint {
        self.clock.steady()
    }

    /// The time of day, undisturbed by jumps of the VM's clock.
    #[must_use]
    pub fn unix_ms(&self) -> u64 {
        self.time.unix_ms(&self.clock)
    }

    /// The configuration in force, once one is known.
    #[must_use]
    pub fn config(&self) -> Option<Arc<TrafficConfig>> {
        self.config.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Puts `config` in force unless the one in force is as new. Returns whether it did.
    pub fn apply_config(&self, config: TrafficConfig) -> bool {
        let mut current = self.config.write().unwrap_or_else(PoisonError::into_inner);
        if current.as_ref().is_some_and(|current| current.version >= config.version) {
            return false;
        }
        EdgeMetrics::global().config_version.set(i64::try_from(config.version).unwrap_or(i64::MAX));
        *current = Some(Arc::new(config));
        true
    }

    /// Upstreams.
    pub fn upstreams(&self) -> MutexGuard<'_, SamplerTable> {
        lock(&self.upstreams)
    }

    /// Newest version of each model.
    pub fn newest_versions(&self) -> MutexGuard<'_, BTreeMap<SharedName, u64>> {
        lock(&self.newest_versions)
    }

    /// VMs that operators want emptied.
    pub fn retired_vms(&self) -> MutexGuard<'_, Vec<SharedName>> {
        lock(&self.retired_vms)
    }

    /// Owners of batch jobs.
    pub fn ownership(&self) -> MutexGuard<'_, OwnershipTable> {
        lock(&self.ownership)
    }

    /// Batch jobs.
    pub fn jobs(&self) -> MutexGuard<'_, JobIndex> {
        lock(&self.jobs)
    }

    /// Requests begun.
    pub fn usage(&self) -> MutexGuard<'_, UsageTally> {
        lock(&self.usage)
    }

    /// The daemon's lease.
    pub fn lease(&self) -> MutexGuard<'_, LeaseView> {
        lock(&self.lease)
    }

    /// Which way calls to the store take.
    pub fn store_path(&self) -> MutexGuard<'_, PathChoice> {
        lock(&self.store_path)
    }

    /// The store was found back at `at`.
    pub fn store_reconnected(&self, at: TimePoint) {
        *lock(&self.store_reconnected_at) = Some(at);
    }

    /// When the store was found back after its last outage.
    #[must_use]
    pub fn store_reconnected_at(&self) -> Option<TimePoint> {
        *lock(&self.store_reconnected_at)
    }

    /// What other daemons run.
    pub fn run_board(&self) -> MutexGuard<'_, RunBoard> {
        lock(&self.run_board)
    }

    /// Counts a call under the duty until the guard is dropped.
    #[must_use]
    pub fn track_duty_call(self: &Arc<Self>) -> DutyCallGuard {
        self.pending_duty_calls.fetch_add(1, Ordering::SeqCst);
        DutyCallGuard(self.clone())
    }

    /// Calls under the duty whose outcome is not known yet.
    #[must_use]
    pub fn pending_duty_calls(&self) -> usize {
        self.pending_duty_calls.load(Ordering::SeqCst)
    }

    /// Number of this process's next write of usage counts.
    #[must_use]
    pub fn next_usage_write_number(&self) -> u64 {
        self.usage_writes.fetch_add(1, Ordering::Relaxed)
    }

    /// Whether this daemon's lease holds for certain, so that nobody else owns what hangs on it.
    #[must_use]
    pub fn is_lease_valid(&self) -> bool {
        !self.is_draining() && self.lease().ends_at > self.now()
    }

    /// Whether this daemon leaves.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Counts a request until the guard is dropped.
    #[must_use]
    pub fn track_request(self: &Arc<Self>) -> RequestGuard {
        self.active_requests.fetch_add(1, Ordering::SeqCst);
        RequestGuard(self.clone())
    }

    /// Requests being served.
    #[must_use]
    pub fn active_requests(&self) -> usize {
        self.active_requests.load(Ordering::SeqCst)
    }

    /// How this daemon signs what it owns.
    #[must_use]
    pub fn daemon_entry(&self) -> DaemonEntry {
        DaemonEntry { daemon: self.settings.vm.clone(), incarnation: self.incarnation }
    }
}
