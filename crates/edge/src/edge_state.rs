//! State shared by all listeners and tasks of a daemon.

use crate::{
    edge_metrics::EdgeMetrics, job::JobIndex, planned_stop::PlannedStop, steady_time::SteadyTime, store::PrefixLog,
    suspect::CrashOutbox, waiting::LineDirectory,
};
use pimentoslip_client::LeaseClock;
use pimentoslip_kernel::{
    CoordinatorTable, GrantTable, LossTable, OwnerRecord, OwnerStanding, OwnershipTable, PathGain, PathSelector,
    PathTable, ReplayWindow, RunReports, SamplerRecord, SamplerTable, SharedName, SoftwareHistory, StreamRegister,
    SuspectTable, TimePoint, TrafficConfig, UsageTally, fingerprint,
};
use pimentoslip_platform::{OPERATOR_PREFIX, ProcessSettings, UPSTREAM_PREFIX};
use pimentoslip_server::{BufferBudget, ListenerLimits};
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::{
    peer::RelaySender,
    stored::{DaemonEntry, KeyLayout},
};
use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, RwLock,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
};
use subtle::ConstantTimeEq;
use tokio::sync::{Notify, Semaphore};

/// Cached batch results may use up to the process's memory limit divided by this.
const RESULTS_MEMORY_DIVISOR: usize = 8;

/// Bodies of requests and responses may use up to the process's memory limit divided by this.
const BUFFERS_MEMORY_DIVISOR: usize = 4;

/// Bodies of items that are read for callers at the same time.
const ITEM_READS_MAX: usize = 2;

/// Longest time within which changes of jobs, owners and daemons should reach every daemon. No promise depends on it, as
/// their writes are conditional; crash marks must be known sooner where the platform's settings say so.
const COORDINATION_APPLY_MS_MAX: u64 = 4_000;

/// An upstream's entry lapses after three intervals without a heartbeat, the first of which began up to one interval before an
/// outage of the store.
const LAPSE_HEARTBEATS_MIN: u64 = 2;

/// State shared between the HTTP listeners and the background tasks. Each lock is held only while a decision is made,
/// never across an `await`.
#[derive(Debug)]
pub struct EdgeState {
    /// Settings read from the settings file at start.
    pub settings: ProcessSettings,
    /// Clock for leases, deadlines and ownership; it counts the time for which the VM was suspended.
    pub clock: Arc<LeaseClock>,
    /// Start of this process in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Progress of a planned stop.
    pub planned_stop: PlannedStop,
    /// Wakes the task that claims and starts batch jobs, after a change of jobs, upstreams or configuration.
    pub job_changed: Notify,
    /// Wakes the duty task after a change of the listed upstreams.
    pub upstreams_changed: Notify,
    /// Wakes readers that wait for results of batch jobs owned by this daemon.
    pub results_listed: Notify,
    /// Ends the watches that wait on the direct path to the store, after a call on that path has failed.
    pub store_path_lost: Notify,
    /// Time of the last call to the store that failed on every path that was tried.
    store_failed_at: Mutex<Option<TimePoint>>,
    /// Wakes the task that writes crash marks to the store.
    pub crashes_changed: Notify,
    /// Wakes the task that requests permits for upstreams with a limit.
    pub permits_wanted: Notify,
    /// Wakes the tasks that wait for permits.
    pub permits_changed: Notify,
    /// Wakes the task that checks the paths to upstreams.
    pub paths_changed: Notify,
    /// Token by which peers recognise the calls that they relay for this process.
    pub relay_token: SharedName,
    /// Whether a request waits for an upstream whose software version is not stored yet.
    pub software_wanted: AtomicBool,
    /// Wakes the task that stores the software versions of services.
    pub software_unrecorded: Notify,
    /// Wakes the task that stores the origins of callers' streams.
    pub streams_started: Notify,
    /// Requests that wait for room at an upstream.
    pub lines: LineDirectory,
    /// Memory of the bodies of requests and responses.
    pub buffers: Arc<BufferBudget>,
    /// Turns in which bodies of items are read for callers. Each read holds several copies until the body is in the budget.
    pub item_reads: Semaphore,
    /// Connections that the daemon's listeners accept.
    pub listener_limits: ListenerLimits,
    /// Held while the store and other daemons are asked for the origin of a stream. Contains the start of the last read of
    /// the store.
    pub stream_lookup_turn: tokio::sync::Mutex<TimePoint>,
    change_logs: BTreeMap<&'static str, PrefixLog>,
    steady_time: SteadyTime,
    active_requests: AtomicUsize,
    config: RwLock<Option<Arc<TrafficConfig>>>,
    upstreams: Mutex<SamplerTable>,
    coordinators: Mutex<CoordinatorTable>,
    grants: Mutex<GrantTable>,
    streams: Mutex<StreamRegister>,
    software_history: Mutex<SoftwareHistory>,
    suspects: Mutex<SuspectTable>,
    losses: Mutex<LossTable>,
    paths: Mutex<PathTable>,
    path_checks: Mutex<BTreeMap<SharedName, SamplerRecord>>,
    relay_windows: Mutex<BTreeMap<SharedName, (u64, ReplayWindow)>>,
    relay_call_count: AtomicU64,
    crash_outbox: Mutex<CrashOutbox>,
    newest_versions: Mutex<BTreeMap<SharedName, u64>>,
    retired_vms: Mutex<Vec<SharedName>>,
    ownership: Mutex<OwnershipTable>,
    jobs: Mutex<JobIndex>,
    usage: Mutex<UsageTally>,
    lease_view: Mutex<LeaseView>,
    path_selector: Mutex<PathSelector>,
    usage_write_count: AtomicU64,
    run_reports: Mutex<RunReports>,
    pending_duty_calls: AtomicUsize,
}

/// Counts a call made under the duty as pending until the guard is dropped.
#[derive(Debug)]
pub struct DutyCallGuard(Arc<EdgeState>);

impl Drop for DutyCallGuard {
    fn drop(&mut self) {
        self.0.pending_duty_calls.fetch_sub(1, Ordering::SeqCst);
    }
}

/// This daemon's lease, and the duty's holder as last observed in the store.
#[derive(Clone, Debug, Default)]
pub struct LeaseView {
    /// Id of the lease; `None` before it is granted and after it is lost.
    pub lease: Option<u64>,
    /// When the lease expires unless it is renewed.
    pub ends_at: TimePoint,
    /// Revision at which the daemon's presence was stored under the lease; `None` without a lease.
    pub presence_revision: Option<u64>,
    /// The duty's entry in the store; `None` while nobody holds the duty.
    pub duty: Option<OwnerRecord>,
    /// Name of the daemon that held the duty last, as observed by this process.
    pub last_holder: Option<SharedName>,
}

impl LeaseView {
    /// Records that `holder` was written as the duty's holder at `revision`.
    pub fn duty_observed(&mut self, revision: u64, holder: DaemonEntry) {
        self.last_holder = Some(holder.daemon.clone());
        self.duty = Some(holder.into_owner(revision));
    }

    /// Records that the duty's entry was removed at `revision`, or that the one written at `revision` was.
    pub fn duty_removed(&mut self, revision: u64) {
        if self.duty.as_ref().is_some_and(|entry| entry.revision <= revision) {
            self.duty = None;
        }
    }
}

/// Counts a request as active until the guard is dropped.
#[derive(Debug)]
pub struct RequestGuard(Arc<EdgeState>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.active_requests.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Time within which changes of jobs, owners and daemons should reach every daemon.
#[must_use]
pub fn coordination_apply_ms(settings: &ProcessSettings) -> u64 {
    COORDINATION_APPLY_MS_MAX.min(settings.undisturbed_ms)
}

/// Logs of the prefixes that every daemon follows. Outages of the store are judged by the list of upstreams.
fn change_logs(settings: &ProcessSettings) -> BTreeMap<&'static str, PrefixLog> {
    const UNJUDGED: u64 = u64::MAX;
    let lapse_ms = settings.upstream_heartbeat_ms.saturating_mul(LAPSE_HEARTBEATS_MIN);
    let logs = [(OPERATOR_PREFIX, UNJUDGED), (UPSTREAM_PREFIX, lapse_ms), (KeyLayout::WATCHED_PREFIX, UNJUDGED)];
    logs.into_iter().map(|(prefix, outage_ms_min)| (prefix, PrefixLog::new(outage_ms_min))).collect()
}

/// Locks `mutex`, even if a thread panicked while holding it.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl EdgeState {
    /// Creates the state of a daemon; its incarnation is the current time.
    #[must_use]
    pub fn new(settings: ProcessSettings) -> Arc<Self> {
        let clock = Arc::new(LeaseClock::default());
        let incarnation = clock.unix_ms();
        let settle_ms = coordination_apply_ms(&settings);
        let buffer_bytes = settings.memory_limit_bytes / BUFFERS_MEMORY_DIVISOR;
        Arc::new(Self {
            incarnation,
            planned_stop: PlannedStop::default(),
            job_changed: Notify::new(),
            upstreams_changed: Notify::new(),
            results_listed: Notify::new(),
            store_path_lost: Notify::new(),
            store_failed_at: Mutex::new(None),
            crashes_changed: Notify::new(),
            permits_wanted: Notify::new(),
            permits_changed: Notify::new(),
            paths_changed: Notify::new(),
            relay_token: format!("{:032x}", rand::random::<u128>()).into(),
            software_wanted: AtomicBool::new(false),
            software_unrecorded: Notify::new(),
            streams_started: Notify::new(),
            lines: LineDirectory::new(settings.memory_limit_bytes),
            buffers: BufferBudget::new(buffer_bytes),
            item_reads: Semaphore::new(ITEM_READS_MAX),
            listener_limits: ListenerLimits::new(settings.descriptors_max, buffer_bytes),
            stream_lookup_turn: tokio::sync::Mutex::new(TimePoint(0)),
            change_logs: change_logs(&settings),
            steady_time: SteadyTime::new(&clock),
            active_requests: AtomicUsize::new(0),
            config: RwLock::new(None),
            upstreams: Mutex::new(SamplerTable::new(settings.regions.clone())),
            coordinators: Mutex::new(CoordinatorTable::new(settings.vm.clone(), settle_ms, clock.since_boot())),
            grants: Mutex::default(),
            streams: Mutex::default(),
            software_history: Mutex::default(),
            suspects: Mutex::default(),
            losses: Mutex::default(),
            paths: Mutex::default(),
            path_checks: Mutex::default(),
            relay_windows: Mutex::default(),
            relay_call_count: AtomicU64::new(0),
            crash_outbox: Mutex::default(),
            newest_versions: Mutex::default(),
            retired_vms: Mutex::default(),
            ownership: Mutex::new(OwnershipTable::new(settings.vm.clone(), incarnation)),
            jobs: Mutex::new(JobIndex::new(settings.memory_limit_bytes / RESULTS_MEMORY_DIVISOR)),
            usage: Mutex::new(UsageTally::new(settings.usage_window_ms)),
            lease_view: Mutex::default(),
            path_selector: Mutex::new(PathSelector::new(fingerprint(&[settings.vm.as_bytes()]))),
            usage_write_count: AtomicU64::new(0),
            run_reports: Mutex::default(),
            pending_duty_calls: AtomicUsize::new(0),
            settings,
            clock,
        })
    }

    /// Current time of the monotonic clock, in milliseconds since boot.
    #[must_use]
    pub fn now(&self) -> TimePoint {
        self.clock.since_boot()
    }

    /// Wall-clock time in milliseconds since the Unix epoch; a jump of the VM's clock takes effect only if it lasts.
    #[must_use]
    pub fn unix_ms(&self) -> u64 {
        self.steady_time.unix_ms(&self.clock)
    }

    /// The applied configuration; `None` until one has been read from the store.
    #[must_use]
    pub fn config(&self) -> Option<Arc<TrafficConfig>> {
        self.config.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Applies `config` if its version is higher than that of the applied one. Returns whether it was applied.
    pub fn apply_config(&self, config: TrafficConfig) -> bool {
        let config = Arc::new(config);
        {
            let mut current = self.config.write().unwrap_or_else(PoisonError::into_inner);
            if current.as_ref().is_some_and(|current| current.version >= config.version) {
                return false;
            }
            *current = Some(config.clone());
        }
        EdgeMetrics::global().config_version.set(i64::try_from(config.version).unwrap_or(i64::MAX));
        self.lines.apply_config(&config);
        true
    }

    /// Applies what the configuration says of cold upstreams.
    pub fn apply_cold_rules(&self) {
        let Some(config) = self.config() else { return };
        let rules = config.services.values().filter_map(|service| {
            let rule = service.cold?.within(self.settings.cold_allowance);
            Some((service.name.clone(), rule))
        });
        self.upstreams().set_cold_rules(rules.collect(), self.now());
    }

    /// Whether every configuration is known that was written before the time within which one must be in force.
    #[must_use]
    pub fn is_config_current(&self) -> bool {
        self.now().since_ms(self.config_current_as_of()) <= self.settings.config_apply_ms
    }

    /// Every configuration that was written before this time has been applied.
    #[must_use]
    pub fn config_current_as_of(&self) -> TimePoint {
        self.change_log(OPERATOR_PREFIX).map_or(TimePoint(0), PrefixLog::applied_as_of)
    }

    /// Whether the list names the processes and the software of upstreams as any daemon knows them: it was read within the time in
    /// which a change of it must be in force, or other daemons could not read it either.
    #[must_use]
    pub fn is_list_confirmed(&self) -> bool {
        let confirmed_at = self.change_log(UPSTREAM_PREFIX).map_or(TimePoint(0), PrefixLog::confirmed_at);
        self.now().since_ms(confirmed_at) <= self.settings.upstream_drain_ms
    }

    /// Whether the list of daemons is as new as that of any other one: nobody has taken this daemon for gone long enough to
    /// act in its place.
    #[must_use]
    pub fn are_daemons_confirmed(&self) -> bool {
        let confirmed_at = self.change_log(KeyLayout::WATCHED_PREFIX).map_or(TimePoint(0), PrefixLog::confirmed_at);
        self.now().since_ms(confirmed_at) <= coordination_apply_ms(&self.settings)
    }

    /// The recent changes below `prefix`; `None` if it is not followed.
    #[must_use]
    pub fn change_log(&self, prefix: &str) -> Option<&PrefixLog> {
        self.change_logs.get(prefix)
    }

    /// Locks the table of listed upstreams and their load.
    pub fn upstreams(&self) -> MutexGuard<'_, SamplerTable> {
        lock(&self.upstreams)
    }

    /// Locks the table of the daemons that coordinate upstreams with a limit.
    pub fn coordinators(&self) -> MutexGuard<'_, CoordinatorTable> {
        lock(&self.coordinators)
    }

    /// Locks the permits that this daemon grants as a coordinator.
    pub fn grants(&self) -> MutexGuard<'_, GrantTable> {
        lock(&self.grants)
    }

    /// Locks the register of streams that callers may resume.
    pub fn streams(&self) -> MutexGuard<'_, StreamRegister> {
        lock(&self.streams)
    }

    /// Locks the versions of the software with which services have served.
    pub fn software_history(&self) -> MutexGuard<'_, SoftwareHistory> {
        lock(&self.software_history)
    }

    /// Locks the crashes of upstreams by the request that they ran.
    pub fn suspects(&self) -> MutexGuard<'_, SuspectTable> {
        lock(&self.suspects)
    }

    /// Locks the requests without a complete response whose upstream may have crashed.
    pub fn losses(&self) -> MutexGuard<'_, LossTable> {
        lock(&self.losses)
    }

    /// Locks the paths to the upstreams.
    pub fn paths(&self) -> MutexGuard<'_, PathTable> {
        lock(&self.paths)
    }

    /// Lets the path to an upstream be checked.
    pub fn request_path_check(&self, record: &SamplerRecord) {
        lock(&self.path_checks).insert(record.address.clone(), record.clone());
        self.paths_changed.notify_one();
    }

    /// Takes the upstreams whose paths are to be checked.
    pub fn take_path_checks(&self) -> Vec<SamplerRecord> {
        std::mem::take(&mut *lock(&self.path_checks)).into_values().collect()
    }

    /// Handles what an attempt on the direct path to `address` has shown of lost paths.
    pub fn paths_regained(&self, address: &str, gain: PathGain) {
        let regained = match gain {
            PathGain::Nothing => return,
            PathGain::Path => Some(address),
            PathGain::AllPaths => None,
        };
        LogLine::new("path_regained").field("address", regained.unwrap_or("all")).info();
        self.upstreams().path_regained(regained);
        self.lines.room_changed();
    }

    /// Proof for a peer that the next call is from this process.
    pub fn relay_sender(&self) -> RelaySender {
        RelaySender {
            daemon: self.settings.vm.clone(),
            incarnation: self.incarnation,
            token: self.relay_token.clone(),
            number: self.relay_call_count.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// Whether a call is from a process that is present, and was not received before.
    pub fn admit_relay_sender(&self, sender: &RelaySender) -> bool {
        let now = self.now();
        let is_known = {
            let ownership = self.ownership();
            let mut daemons = ownership.possible_daemons(now);
            daemons.any(|(name, presence)| {
                *name == sender.daemon
                    && presence.incarnation == sender.incarnation
                    && !presence.relay_token.is_empty()
                    && bool::from(presence.relay_token.as_bytes().ct_eq(sender.token.as_bytes()))
            })
        };
        if !is_known {
            return false;
        }
        let mut windows = lock(&self.relay_windows);
        let (incarnation, window) = windows.entry(sender.daemon.clone()).or_default();
        if *incarnation != sender.incarnation {
            (*incarnation, *window) = (sender.incarnation, ReplayWindow::default());
        }
        window.accept(sender.number)
    }

    /// Locks the crash marks that are to be written to the store.
    pub fn crash_outbox(&self) -> MutexGuard<'_, CrashOutbox> {
        lock(&self.crash_outbox)
    }

    /// Locks the newest weight version of each model, as written by trainers.
    pub fn newest_versions(&self) -> MutexGuard<'_, BTreeMap<SharedName, u64>> {
        lock(&self.newest_versions)
    }

    /// Locks the list of VMs that operators have requested to retire.
    pub fn retired_vms(&self) -> MutexGuard<'_, Vec<SharedName>> {
        lock(&self.retired_vms)
    }

    /// Locks the table of live daemons and of the owners of batch jobs.
    pub fn ownership(&self) -> MutexGuard<'_, OwnershipTable> {
        lock(&self.ownership)
    }

    /// Locks the index of batch jobs.
    pub fn jobs(&self) -> MutexGuard<'_, JobIndex> {
        lock(&self.jobs)
    }

    /// Locks the counts of requests that upstreams may have run, by usage window and organisation.
    pub fn usage(&self) -> MutexGuard<'_, UsageTally> {
        lock(&self.usage)
    }

    /// Locks the state of this daemon's lease and of the duty.
    pub fn lease_view(&self) -> MutexGuard<'_, LeaseView> {
        lock(&self.lease_view)
    }

    /// Locks the selector of the path to the store: direct or relayed through a peer.
    pub fn path_selector(&self) -> MutexGuard<'_, PathSelector> {
        lock(&self.path_selector)
    }

    /// When the store returned after its last outage; `None` if it has served all the time. The loss of this daemon's own path is
    /// no outage.
    #[must_use]
    pub fn store_returned_at(&self) -> Option<TimePoint> {
        self.change_log(UPSTREAM_PREFIX)?.outage().map(|outage| outage.returned_at)
    }

    /// When a call to the store last failed on every path that was tried.
    #[must_use]
    pub fn store_failed_at(&self) -> Option<TimePoint> {
        *lock(&self.store_failed_at)
    }

    /// Records that a call to the store failed on every path that was tried.
    pub fn record_store_failure(&self) {
        *lock(&self.store_failed_at) = Some(self.now());
    }

    /// Locks the latest report of each daemon: the number of its requests in progress at each upstream that serves
    /// models.
    pub fn run_reports(&self) -> MutexGuard<'_, RunReports> {
        lock(&self.run_reports)
    }

    /// Counts a call made under the duty as pending until the guard is dropped.
    #[must_use]
    pub fn track_duty_call(self: &Arc<Self>) -> DutyCallGuard {
        self.pending_duty_calls.fetch_add(1, Ordering::SeqCst);
        DutyCallGuard(self.clone())
    }

    /// Number of calls made under the duty whose outcome is not yet received.
    #[must_use]
    pub fn pending_duty_calls(&self) -> usize {
        self.pending_duty_calls.load(Ordering::SeqCst)
    }

    /// Sequence number for this process's next write of usage counts; each call returns the next one.
    #[must_use]
    pub fn next_usage_write_number(&self) -> u64 {
        self.usage_write_count.fetch_add(1, Ordering::Relaxed)
    }

    /// What this process knows of its ownership of `job`. While draining it relies on none.
    #[must_use]
    pub fn owner_standing(&self, job: &str) -> OwnerStanding {
        let owner_revision = self.ownership().own_revision(job);
        let view = self.lease_view();
        let presence_revision = view.presence_revision.filter(|_| !self.is_draining());
        OwnerStanding { owner_revision, presence_revision, lease_ends_at: view.ends_at }
    }

    /// Whether this daemon is draining before it stops.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.planned_stop.is_started()
    }

    /// Counts a request as active until the guard is dropped.
    #[must_use]
    pub fn track_request(self: &Arc<Self>) -> RequestGuard {
        self.active_requests.fetch_add(1, Ordering::SeqCst);
        RequestGuard(self.clone())
    }

    /// Number of requests that are being served.
    #[must_use]
    pub fn active_requests(&self) -> usize {
        self.active_requests.load(Ordering::SeqCst)
    }

    /// Name and incarnation of this daemon, as stored in the entries that it owns.
    #[must_use]
    pub fn daemon_entry(&self) -> DaemonEntry {
        DaemonEntry { daemon: self.settings.vm.clone(), incarnation: self.incarnation }
    }
}
