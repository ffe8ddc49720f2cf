//! What all parts of a daemon share.

use crate::{
    DaemonSettings, admission_gate::AdmissionGate, metric_set::MetricSet, request_id::RequestId, upstream::RunningTable,
};
use pimentoslip_client::LeaseClock;
use pimentoslip_kernel::{
    ConfigView, FreshnessTable, MemberEntry, MemberState, MemberTable, RecordEntry, RetryBudget, RouteTable,
    SharedName, SuspectTable, TimePoint, UsageCount, UsageKey, UsageMeter,
};
use pimentoslip_wire::peer::MemberBody;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{
    collections::{BTreeMap, HashMap},
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, PoisonError, RwLock, RwLockReadGuard,
        atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering},
    },
};

/// One duty's standing, for the status page.
pub type DutyStates = BTreeMap<SharedName, (&'static str, Option<u64>)>;

/// State shared between listeners and periodic tasks. Locks are held for a decision, never across a wait.
pub struct SharedState {
    /// Settings.
    pub settings: DaemonSettings,
    /// Clock for everything with an owner.
    pub clock: Arc<LeaseClock>,
    /// Incarnation of this process.
    pub incarnation: u64,
    /// Metrics.
    pub metrics: MetricSet,
    /// Requests waiting for their turn.
    pub gate: AdmissionGate,
    /// Requests in flight on upstreams.
    pub running: RunningTable,
    /// Calls to the key-value service.
    pub kv_calls: Arc<AtomicU64>,
    /// A request has come under suspicion, which peers should know at once.
    pub suspicion: tokio::sync::Notify,
    /// Whether this daemon leaves.
    pub draining: AtomicBool,
    /// An operator asked the daemon to leave.
    pub drain_asked: tokio::sync::Notify,
    /// Whether new work is refused.
    pub closed: AtomicBool,
    /// Whether this daemon saw itself on the VM list.
    pub listed: AtomicBool,
    /// VM list as last read: live entry VMs by name.
    pub listed_entries: Mutex<BTreeMap<SharedName, SharedName>>,
    /// When the reporter last asked for this daemon's usage counters, in milliseconds.
    pub gathered_at: AtomicU64,
    /// Standing of duties.
    pub duties: Mutex<DutyStates>,
    control: OnceLock<SharedName>,
    config: RwLock<ConfigView>,
    freshness: Mutex<FreshnessTable>,
    members: Mutex<MemberTable>,
    routes: Mutex<RouteTable>,
    suspects: Mutex<SuspectTable>,
    budgets: Mutex<HashMap<(SharedName, SharedName), RetryBudget>>,
    usage: Mutex<UsageMeter>,
    rng: Mutex<SmallRng>,
    requests: AtomicU64,
    inflight: AtomicI64,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl SharedState {
    /// Creates the state of a daemon that knows nothing yet.
    #[must_use]
    pub fn new(settings: DaemonSettings) -> Arc<Self> {
        let clock = Arc::new(LeaseClock::default());
        let members = MemberTable::new(settings.name.clone(), settings.failure_domain.clone());
        let routes = RouteTable::new(settings.route_policy);
        Arc::new(Self {
            incarnation: clock.unix_ms(),
            clock,
            metrics: MetricSet::default(),
            gate: AdmissionGate::default(),
            running: RunningTable::default(),
            kv_calls: Arc::default(),
            suspicion: tokio::sync::Notify::new(),
            draining: AtomicBool::new(false),
            drain_asked: tokio::sync::Notify::new(),
            closed: AtomicBool::new(false),
            listed: AtomicBool::new(false),
            listed_entries: Mutex::default(),
            gathered_at: AtomicU64::new(0),
            duties: Mutex::default(),
            control: OnceLock::new(),
            config: RwLock::default(),
            freshness: Mutex::default(),
            members: Mutex::new(members),
            routes: Mutex::new(routes),
            suspects: Mutex::default(),
            budgets: Mutex::default(),
            usage: Mutex::default(),
            rng: Mutex::new(SmallRng::from_os_rng()),
            requests: AtomicU64::new(0),
            inflight: AtomicI64::new(0),
            settings,
        })
    }

    /// The present time.
    #[must_use]
    pub fn now(&self) -> TimePoint {
        self.clock.now()
    }

    /// Remembers the bound address of the control listener.
    pub fn bound(&self, control: SharedName) {
        // It is bound once; a second call would change nothing.
        let _ = self.control.set(control);
    }

    /// This daemon as told to peers.
    #[must_use]
    pub fn me(&self) -> MemberBody {
        let state = if self.draining.load(Ordering::SeqCst) { MemberState::Leaving } else { MemberState::Alive };
        MemberBody {
            name: self.settings.name.clone(),
            incarnation: self.incarnation,
            failure_domain: self.settings.failure_domain.clone(),
            control_address: self.control.get().cloned().unwrap_or_else(|| "".into()),
            state,
        }
    }

    /// `NAME/INCARNATION` of this process.
    #[must_use]
    pub fn process(&self) -> SharedName {
        format!("{}/{}", self.settings.name, self.incarnation).into()
    }

    /// A new request id.
    #[must_use]
    pub fn next_request_id(&self) -> RequestId {
        let count = self.requests.fetch_add(1, Ordering::Relaxed);
        RequestId::new(format!("{}-{:x}-{count}", self.settings.name, self.incarnation))
    }

    /// Configuration in force.
    pub fn config(&self) -> RwLockReadGuard<'_, ConfigView> {
        self.config.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies records and the revision up to which they are complete. Records that were new.
    pub fn apply(&self, entries: Vec<RecordEntry>, complete: u64) -> Vec<RecordEntry> {
        let mut view = self.config.write().unwrap_or_else(PoisonError::into_inner);
        let new = entries.into_iter().filter(|entry| view.apply(entry.clone())).collect();
        view.revision_completed(complete);
        self.metrics.revision.set(i64::try_from(view.newest_revision()).unwrap_or(i64::MAX));
        new
    }

    /// Freshness of the configuration.
    pub fn freshness(&self) -> MutexGuard<'_, FreshnessTable> {
        lock(&self.freshness)
    }

    /// Whether keys may be trusted now.
    #[must_use]
    pub fn fresh(&self) -> bool {
        let now = self.now();
        self.freshness().is_fresh(now)
    }

    /// Other daemons.
    pub fn members(&self) -> MutexGuard<'_, MemberTable> {
        lock(&self.members)
    }

    /// The member called `name`, unless it is this daemon.
    #[must_use]
    pub fn member(&self, name: &str) -> Option<MemberEntry> {
        self.members().get(name).cloned()
    }

    /// Upstreams.
    pub fn routes(&self) -> MutexGuard<'_, RouteTable> {
        lock(&self.routes)
    }

    /// Requests under suspicion.
    pub fn suspects(&self) -> MutexGuard<'_, SuspectTable> {
        lock(&self.suspects)
    }

    /// Acts on the retry budget of an organisation at a service.
    pub fn budget<R>(
        &self,
        organisation: &SharedName,
        service: &SharedName,
        act: impl FnOnce(&mut RetryBudget) -> R,
    ) -> R {
        act(lock(&self.budgets).entry((organisation.clone(), service.clone())).or_default())
    }

    /// Counts usage.
    pub fn record_usage(&self, organisation: &SharedName, service: &SharedName, tokens: u64) {
        let key = UsageKey { organisation: organisation.clone(), service: service.clone() };
        lock(&self.usage).record(key, UsageCount { requests: 1, tokens });
        self.metrics.answered(service, tokens);
    }

    /// Cumulative usage.
    #[must_use]
    pub fn usage_totals(&self) -> Vec<(UsageKey, UsageCount)> {
        lock(&self.usage).totals()
    }

    /// Acts with the daemon's random numbers.
    pub fn with_rng<R>(&self, act: impl FnOnce(&mut SmallRng) -> R) -> R {
        act(&mut lock(&self.rng))
    }

    /// Draws a number.
    #[must_use]
    pub fn draw(&self) -> u64 {
        self.with_rng(|rng| rng.random())
    }

    /// Counts a request that begins; see [`InflightGuard`].
    #[must_use]
    pub fn enter(self: &Arc<Self>) -> InflightGuard {
        self.inflight.fetch_add(1, Ordering::SeqCst);
        InflightGuard(self.clone())
    }

    /// Requests being served.
    #[must_use]
    pub fn inflight(&self) -> i64 {
        self.inflight.load(Ordering::SeqCst)
    }

    /// Records a duty's standing for the status page.
    pub fn set_duty(&self, duty: &SharedName, state: &'static str, fencing: Option<u64>) {
        lock(&self.duties).insert(duty.clone(), (state, fencing));
    }
}

/// A request being served. A planned stop waits for all of them.
pub struct InflightGuard(Arc<SharedState>);

impl Drop for InflightGuard {
    fn drop(&mut self) {
        self.0.inflight.fetch_sub(1, Ordering::SeqCst);
    }
}
