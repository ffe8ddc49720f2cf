//! State shared by the listeners and the background tasks of a daemon.

use crate::{
    DaemonSettings, admission_controller::AdmissionController, metric_set::MetricSet, request_id::RequestId,
    upstream::CrashPush,
};
use pimentoslip_client::LeaseClock;
use pimentoslip_kernel::{
    ConfigView, FreshnessTable, MemberEntry, MemberState, MemberTable, RecordEntry, RetryBudget, RouteTable,
    SharedName, SuspectTable, TimePoint, UsageCount, UsageKey, UsageMeter,
};
use pimentoslip_server::BufferBudget;
use pimentoslip_wire::peer::MemberBody;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{
    collections::{BTreeMap, HashMap},
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, PoisonError, RwLock, RwLockReadGuard,
        atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering},
    },
};

/// Callers may use up to the process's memory divided by this.
const BUFFERS_MEMORY_DIVISOR: usize = 4;

/// State and fencing number of each duty, as shown on the status page.
pub type DutyStates = BTreeMap<SharedName, (&'static str, Option<u64>)>;

/// State shared by the listeners and the background tasks. Locks are held only for a short computation, never across
/// an `await`.
pub struct SharedState {
    /// Settings of this daemon.
    pub settings: DaemonSettings,
    /// Clock of all deadlines and leases; it also counts the time for which the VM was suspended.
    pub clock: Arc<LeaseClock>,
    /// Incarnation of this process: its start time in Unix milliseconds, which grows with each start.
    pub incarnation: u64,
    /// Metrics of this daemon.
    pub metrics: MetricSet,
    /// Memory of callers' connections and requests.
    pub buffers: Arc<BufferBudget>,
    /// Queues of requests that wait for capacity on an upstream.
    pub admission_controller: AdmissionController,
    /// Number of calls to the key-value service.
    pub kv_calls: Arc<AtomicU64>,
    /// New crash marks, which are sent to the peers at once.
    pub crash_push: CrashPush,
    /// Whether this daemon is shutting down. Its readiness probe then fails, and it acquires no duties.
    pub draining: AtomicBool,
    /// Notified when an operator requests this daemon to drain.
    pub drain_requested: tokio::sync::Notify,
    /// Whether new requests are refused, which starts `drain_grace_ms` after the readiness probe fails.
    pub refusing_requests: AtomicBool,
    /// Whether the last VM list contained this daemon.
    pub is_listed: AtomicBool,
    /// Control addresses of the daemons on the VM list, by name.
    pub listed_daemons: Mutex<BTreeMap<SharedName, SharedName>>,
    /// When the holder of the reporting duty last requested this daemon's usage counters, by `clock`; 0 if never.
    pub totals_requested_at_ms: AtomicU64,
    /// States of the duties, for the status page.
    pub duty_states: Mutex<DutyStates>,
    /// Address of the control listener, set once it is bound.
    control_address: OnceLock<SharedName>,
    config: RwLock<ConfigView>,
    freshness: Mutex<FreshnessTable>,
    members: Mutex<MemberTable>,
    routes: Mutex<RouteTable>,
    suspects: Mutex<SuspectTable>,
    /// Retry budgets by organisation and service.
    retry_budgets: Mutex<HashMap<(SharedName, SharedName), RetryBudget>>,
    usage: Mutex<UsageMeter>,
    rng: Mutex<SmallRng>,
    /// Number of request IDs issued.
    request_count: AtomicU64,
    /// Number of requests being served.
    inflight_count: AtomicI64,
}

/// Locks `mutex`, even if another thread panicked while it held the lock.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl SharedState {
    /// Creates the state of a daemon that has received no configuration, members or upstreams yet.
    #[must_use]
    pub fn new(settings: DaemonSettings) -> Arc<Self> {
        let clock = Arc::new(LeaseClock::default());
        let members = MemberTable::new(settings.name.clone(), settings.failure_domain.clone());
        let routes = RouteTable::new(settings.route_policy);
        Arc::new(Self {
            incarnation: clock.unix_ms(),
            clock,
            metrics: MetricSet::default(),
            buffers: BufferBudget::new((settings.memory_mib << 20) / BUFFERS_MEMORY_DIVISOR),
            admission_controller: AdmissionController::default(),
            kv_calls: Arc::default(),
            crash_push: CrashPush::default(),
            draining: AtomicBool::new(false),
            drain_requested: tokio::sync::Notify::new(),
            refusing_requests: AtomicBool::new(false),
            is_listed: AtomicBool::new(false),
            listed_daemons: Mutex::default(),
            totals_requested_at_ms: AtomicU64::new(0),
            duty_states: Mutex::default(),
            control_address: OnceLock::new(),
            config: RwLock::default(),
            freshness: Mutex::default(),
            members: Mutex::new(members),
            routes: Mutex::new(routes),
            suspects: Mutex::default(),
            retry_budgets: Mutex::default(),
            usage: Mutex::default(),
            rng: Mutex::new(SmallRng::from_os_rng()),
            request_count: AtomicU64::new(0),
            inflight_count: AtomicI64::new(0),
            settings,
        })
    }

    /// Current time of `clock`.
    #[must_use]
    pub fn now(&self) -> TimePoint {
        self.clock.now()
    }

    /// Sets the bound address of the control listener.
    pub fn set_control_address(&self, address: SharedName) {
        // The listener is bound once; a second call would have no effect.
        let _ = self.control_address.set(address);
    }

    /// This daemon as reported to its peers.
    #[must_use]
    pub fn own_member(&self) -> MemberBody {
        let state = if self.draining.load(Ordering::SeqCst) { MemberState::Leaving } else { MemberState::Alive };
        MemberBody {
            name: self.settings.name.clone(),
            incarnation: self.incarnation,
            failure_domain: self.settings.failure_domain.clone(),
            control_address: self.control_address.get().cloned().unwrap_or_else(|| "".into()),
            state,
        }
    }

    /// Name of this process, `NAME/INCARNATION`, which differs between starts of the daemon.
    #[must_use]
    pub fn process_name(&self) -> SharedName {
        format!("{}/{}", self.settings.name, self.incarnation).into()
    }

    /// New request ID, unique in the site.
    #[must_use]
    pub fn next_request_id(&self) -> RequestId {
        let number = self.request_count.fetch_add(1, Ordering::Relaxed);
        RequestId::new(format!("{}-{:x}-{number}", self.settings.name, self.incarnation))
    }

    /// Cached configuration.
    pub fn config(&self) -> RwLockReadGuard<'_, ConfigView> {
        self.config.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies configuration records. `complete_revision` is the revision up to which `entries` and the cached records
    /// contain every change, or 0 if that is not known. Returns the records that were newer than the cached ones.
    pub fn apply_records(&self, entries: Vec<RecordEntry>, complete_revision: u64) -> Vec<RecordEntry> {
        let mut view = self.config.write().unwrap_or_else(PoisonError::into_inner);
        let applied = entries.into_iter().filter(|entry| view.apply(entry.clone())).collect();
        view.revision_completed(complete_revision);
        self.metrics.config_revision.set(i64::try_from(view.newest_revision()).unwrap_or(i64::MAX));
        applied
    }

    /// Freshness of the cached configuration.
    pub fn freshness(&self) -> MutexGuard<'_, FreshnessTable> {
        lock(&self.freshness)
    }

    /// Whether the cached configuration, and with it the keys, may be used now.
    #[must_use]
    pub fn is_config_fresh(&self) -> bool {
        let now = self.now();
        self.freshness().is_fresh(now)
    }

    /// The other daemons of the site.
    pub fn members(&self) -> MutexGuard<'_, MemberTable> {
        lock(&self.members)
    }

    /// The other daemon called `name`; `None` if it is not a member or is this daemon.
    #[must_use]
    pub fn member(&self, name: &str) -> Option<MemberEntry> {
        self.members().get(name).cloned()
    }

    /// Upstreams, with their load and health.
    pub fn routes(&self) -> MutexGuard<'_, RouteTable> {
        lock(&self.routes)
    }

    /// Requests that are suspected of crashing upstreams.
    pub fn suspects(&self) -> MutexGuard<'_, SuspectTable> {
        lock(&self.suspects)
    }

    /// Calls `act` with the retry budget of an organisation at a service and returns its result.
    pub fn with_retry_budget<R>(
        &self,
        organisation: &SharedName,
        service: &SharedName,
        act: impl FnOnce(&mut RetryBudget) -> R,
    ) -> R {
        act(lock(&self.retry_budgets).entry((organisation.clone(), service.clone())).or_default())
    }

    /// Counts an answered request and its generated tokens as usage of an organisation.
    pub fn record_usage(&self, organisation: &SharedName, service: &SharedName, tokens: u64) {
        let key = UsageKey { organisation: organisation.clone(), service: service.clone() };
        lock(&self.usage).record(key, UsageCount { requests: 1, tokens });
        self.metrics.count_answer(service, tokens);
    }

    /// Usage since the start of this process, by organisation and service.
    #[must_use]
    pub fn usage_totals(&self) -> Vec<(UsageKey, UsageCount)> {
        lock(&self.usage).totals()
    }

    /// Calls `act` with the daemon's random number generator and returns its result.
    pub fn with_rng<R>(&self, act: impl FnOnce(&mut SmallRng) -> R) -> R {
        act(&mut lock(&self.rng))
    }

    /// A random number.
    #[must_use]
    pub fn random_u64(&self) -> u64 {
        self.with_rng(|rng| rng.random())
    }

    /// Counts a request as being served until the returned guard is dropped.
    #[must_use]
    pub fn inflight_guard(self: &Arc<Self>) -> InflightGuard {
        self.inflight_count.fetch_add(1, Ordering::SeqCst);
        InflightGuard(self.clone())
    }

    /// Number of requests being served.
    #[must_use]
    pub fn inflight_count(&self) -> i64 {
        self.inflight_count.load(Ordering::SeqCst)
    }

    /// Sets the state of a duty for the status page.
    pub fn set_duty_state(&self, duty: &SharedName, state: &'static str, fencing_number: Option<u64>) {
        lock(&self.duty_states).insert(duty.clone(), (state, fencing_number));
    }
}

/// Counts a request as being served until it is dropped. A graceful shutdown waits until no request is served.
pub struct InflightGuard(Arc<SharedState>);

impl Drop for InflightGuard {
    fn drop(&mut self) {
        self.0.inflight_count.fetch_sub(1, Ordering::SeqCst);
    }
}
