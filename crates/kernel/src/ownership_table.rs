//! Tracks which daemon owns which batch job, and decides when a job without an owner is claimed.

use crate::{JobPlacement, SharedName, TimePoint, WatchSource, rendezvous};
use std::collections::BTreeMap;

/// Additional delay before daemons other than the preferred one claim a job. It exceeds the duration of a claim, so
/// that the preferred daemon, to which new jobs of the route are assigned, claims first.
const FALLBACK_CLAIM_DELAY_MS: u64 = 1_000;
/// Time after an owner's lease lapsed in which only daemons that hold the job's state, such as that owner, claim it.
const RECLAIM_MS: u64 = 300;
/// Replaces [`RECLAIM_MS`] when the leases lapsed because the store was unreachable for all daemons, which then
/// reconnect one after the other.
const OUTAGE_RECLAIM_MS: u64 = 1_300;

/// Time to wait for the state of a job that another daemon handed over to this one. That daemon pushes the state; if it
/// does not arrive within this time, the job is read from the store.
const PUSH_WAIT_MS: u64 = 500;

/// Time for which a daemon whose lease has ended may still run; it obtains another lease within seconds.
const LAPSED_TTL_MS: u64 = 10_000;

/// Rendezvous key that selects the daemons which watch the store on behalf of others.
const WATCH_KEY: &str = "watch";

/// A job's ownership record as read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerRecord {
    /// Name of the owning daemon.
    pub daemon: SharedName,
    /// Incarnation of the owning daemon's process.
    pub incarnation: u64,
    /// Store revision of the record, which fences the owner's writes.
    pub revision: u64,
}

/// A running daemon that may own jobs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DaemonPresence {
    /// Incarnation of the daemon's process.
    pub incarnation: u64,
    /// Id of the store lease that the daemon keeps alive.
    pub lease: u64,
    /// Address of the listener for calls from other daemons.
    pub control_address: SharedName,
    /// Failure domain of the daemon's VM.
    pub failure_domain: SharedName,
    /// Region of the daemon's VM.
    pub region: SharedName,
    /// Token by which other daemons recognise its calls; empty for a daemon that relays none.
    pub relay_token: SharedName,
}

/// A claim that this daemon should write to the store now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DueClaim {
    /// Job to claim.
    pub job: SharedName,
    /// Revision of the ownership record that the claim replaces; 0 if there is none.
    pub replaced_revision: u64,
}

/// A job with its owner.
#[derive(Clone, Debug, Default)]
struct OwnershipEntry {
    /// Whether the job is stored.
    accepted: bool,
    /// Whether the job needs no owner any more.
    closed: bool,
    /// Cached ownership record; `None` if the job has no owner.
    owner: Option<OwnerRecord>,
    /// When this process received an ownership record that names it as the owner, unless it claimed the job itself.
    handed_over_at: Option<TimePoint>,
    /// Revision at which the ownership record was last observed to be removed; 0 if it never was.
    removed_revision: u64,
    /// When this process first observed the job, or last observed that its ownership record was removed.
    vacant_since: TimePoint,
}

impl OwnershipEntry {
    /// Whether `owner` was written after the cached record and after the last removal.
    fn is_newer(&self, owner: &OwnerRecord) -> bool {
        let known_revision = self.owner.as_ref().map_or(0, |cached| cached.revision).max(self.removed_revision);
        owner.revision > known_revision
    }
}

/// Jobs, their owners, and the daemons that may own them.
#[derive(Debug)]
pub struct OwnershipTable {
    /// Name of this daemon.
    daemon: SharedName,
    /// Incarnation of this daemon's process.
    incarnation: u64,
    /// Jobs by id.
    entries: BTreeMap<SharedName, OwnershipEntry>,
    /// Running daemons by name; this one is included once its presence has been received.
    daemons: BTreeMap<SharedName, DaemonPresence>,
    /// Daemons whose lease has ended lately, and when.
    lapsed: BTreeMap<SharedName, (DaemonPresence, TimePoint)>,
}

impl OwnershipTable {
    /// Creates an empty table for the process `incarnation` of `daemon`.
    #[must_use]
    pub fn new(daemon: SharedName, incarnation: u64) -> Self {
        Self { daemon, incarnation, entries: BTreeMap::new(), daemons: BTreeMap::new(), lapsed: BTreeMap::new() }
    }

    /// Adds or updates a running daemon.
    pub fn daemon_joined(&mut self, daemon: SharedName, presence: DaemonPresence) {
        self.lapsed.remove(&daemon);
        self.daemons.insert(daemon, presence);
    }

    /// Removes a daemon whose lease has ended.
    pub fn daemon_left(&mut self, daemon: &str, now: TimePoint) {
        self.lapsed.retain(|_, (_, left_at)| now.since_ms(*left_at) < LAPSED_TTL_MS);
        if let Some((name, presence)) = self.daemons.remove_entry(daemon) {
            self.lapsed.insert(name, (presence, now));
        }
    }

    /// Running daemons, and those whose lease has ended lately: while the store is unreachable, leases end although their
    /// daemons run.
    pub fn possible_daemons(&self, now: TimePoint) -> impl Iterator<Item = (&SharedName, &DaemonPresence)> {
        let lapsed = self.lapsed.iter().filter(move |(_, (_, left_at))| now.since_ms(*left_at) < LAPSED_TTL_MS);
        self.daemons.iter().chain(lapsed.map(|(name, (presence, _))| (name, presence)))
    }

    /// The presence of `daemon`, or `None` if it is not running.
    #[must_use]
    pub fn daemon(&self, daemon: &str) -> Option<&DaemonPresence> {
        self.daemons.get(daemon)
    }

    /// All running daemons, sorted by name.
    pub fn daemons(&self) -> impl Iterator<Item = (&SharedName, &DaemonPresence)> {
        self.daemons.iter()
    }

    /// Records that a job is stored and needs an owner.
    pub fn job_accepted(&mut self, job: SharedName, now: TimePoint) {
        self.entry(job, now).accepted = true;
    }

    /// Records that a job needs no owner any more.
    pub fn job_closed(&mut self, job: &str) {
        if let Some(entry) = self.entries.get_mut(job) {
            entry.closed = true;
        }
    }

    /// Removes a job that was deleted from the store.
    pub fn job_deleted(&mut self, job: &str) {
        self.entries.remove(job);
    }

    /// Applies a job's stored ownership record unless the cached one has the same or a higher revision, or it has been removed.
    pub fn owner_recorded(&mut self, job: SharedName, owner: OwnerRecord, now: TimePoint) {
        let is_own = owner.daemon == self.daemon && owner.incarnation == self.incarnation;
        let entry = self.entry(job, now);
        if entry.is_newer(&owner) {
            entry.owner = Some(owner);
            entry.handed_over_at = is_own.then_some(now);
        }
    }

    /// Records this process's own successful claim of a job. Its removal, or a newer owner, may have been received before.
    pub fn job_claimed(&mut self, job: SharedName, owner: OwnerRecord, now: TimePoint) {
        let entry = self.entry(job, now);
        if entry.owner.as_ref() == Some(&owner) || entry.is_newer(&owner) {
            entry.owner = Some(owner);
            entry.handed_over_at = None;
        }
    }

    /// The entry of `job`, which is added without an owner if the job has not been observed.
    fn entry(&mut self, job: SharedName, now: TimePoint) -> &mut OwnershipEntry {
        self.entries.entry(job).or_insert_with(|| OwnershipEntry { vacant_since: now, ..Default::default() })
    }

    /// Records that a job's ownership record was removed at store revision `revision`. Ignored if the cached record is
    /// newer than that.
    pub fn owner_removed(&mut self, job: &str, revision: u64, now: TimePoint) {
        let Some(entry) = self.entries.get_mut(job) else { return };
        entry.removed_revision = entry.removed_revision.max(revision);
        if entry.owner.as_ref().is_some_and(|owner| owner.revision <= revision) {
            entry.owner = None;
            entry.vacant_since = now;
        }
    }

    /// The cached ownership record of `job`, or `None` if the job has no owner.
    #[must_use]
    pub fn owner(&self, job: &str) -> Option<&OwnerRecord> {
        self.entries.get(job)?.owner.as_ref()
    }

    /// Revision of the cached ownership record of `job`, if it names this process.
    #[must_use]
    pub fn own_revision(&self, job: &str) -> Option<u64> {
        let owner = self.owner(job)?;
        (owner.daemon == self.daemon && owner.incarnation == self.incarnation).then_some(owner.revision)
    }

    /// Whether this process owns `job`.
    #[must_use]
    pub fn is_owned_here(&self, job: &str) -> bool {
        self.own_revision(job).is_some()
    }

    /// Whether this process owns `job` and should start to work on it. Without the submission in memory (`has_state`)
    /// it first waits a short time for the daemon that handed the job over to push it.
    #[must_use]
    pub fn may_start(&self, job: &str, has_state: bool, now: TimePoint) -> bool {
        let handed_over_at = self.entries.get(job).and_then(|entry| entry.handed_over_at);
        self.is_owned_here(job) && (has_state || handed_over_at.is_none_or(|at| now >= at.plus_ms(PUSH_WAIT_MS)))
    }

    /// The running daemon that new jobs with `placement` are assigned to, other than `excluded`; `None` if there is
    /// none.
    ///
    /// The key of the placement is the name of a route, so that all jobs of a route get the same owner: it has the most
    /// accurate count of what runs on the route's upstreams, and keeps connections to them.
    #[must_use]
    pub fn preferred_daemon(
        &self,
        placement: &JobPlacement,
        excluded: Option<&str>,
    ) -> Option<(&SharedName, &DaemonPresence)> {
        let allowed = self.daemons.iter().filter(|(_, presence)| placement.allows(presence)).map(|(daemon, _)| daemon);
        let daemons: Vec<&SharedName> = allowed.filter(|daemon| Some(&***daemon) != excluded).collect();
        self.daemons.get_key_value(*rendezvous::highest_ranked(&placement.key, &daemons)?)
    }

    /// Daemons from which this one, in `failure_domain` of `region`, receives the store's changes, nearest first: the
    /// watcher of the failure domain, then the watcher of the region. Empty if this daemon is the region's watcher and
    /// watches the store itself.
    ///
    /// Each daemon uses only sources that rank higher than itself, so that daemons never wait for each other in a
    /// circle, even if their views of the running daemons differ.
    #[must_use]
    pub fn watch_sources(&self, failure_domain: &str, region: &str) -> Vec<WatchSource> {
        let domain_watcher = self.watcher(|presence| *presence.failure_domain == *failure_domain);
        let region_watcher = self.watcher(|presence| *presence.region == *region);
        let region_name = region_watcher.map(|(daemon, _)| daemon);
        let mut daemons: Vec<(&SharedName, &DaemonPresence)> = domain_watcher.into_iter().collect();
        daemons.extend(region_watcher.filter(|(daemon, _)| daemons.iter().all(|source| source.0 != *daemon)));
        let source = |(daemon, presence): (&SharedName, &DaemonPresence)| WatchSource {
            daemon: daemon.clone(),
            control_address: presence.control_address.clone(),
            watches_region: Some(daemon) == region_name,
        };
        daemons.into_iter().map(source).collect()
    }

    /// The highest ranked of the daemons that match `is_candidate`, or `None` if it is this one. This daemon is always
    /// a candidate, even before its own presence has been received from the store.
    fn watcher(&self, is_candidate: impl Fn(&DaemonPresence) -> bool) -> Option<(&SharedName, &DaemonPresence)> {
        let others = self.daemons.iter().filter(|(daemon, presence)| **daemon != self.daemon && is_candidate(presence));
        let names: Vec<&SharedName> = others.map(|(daemon, _)| daemon).chain([&self.daemon]).collect();
        let highest = rendezvous::highest_ranked(WATCH_KEY, &names)?;
        self.daemons.get_key_value(*highest).filter(|(daemon, _)| **daemon != self.daemon)
    }

    /// The daemon that collects usage counts and watches the store for all of `region`; `None` if it is this one.
    #[must_use]
    pub fn region_watcher(&self, region: &str) -> Option<(&SharedName, &DaemonPresence)> {
        self.watcher(|presence| *presence.region == *region)
    }

    /// Whether another process owns `job`, by the cached ownership record.
    #[must_use]
    pub fn is_owned_elsewhere(&self, job: &str) -> bool {
        self.owner(job).is_some() && !self.is_owned_here(job)
    }

    /// Whether this daemon may own jobs with `placement`. One whose presence is not known yet may own those without homes.
    fn may_own(&self, placement: &JobPlacement) -> bool {
        let presence = self.daemons.get(&self.daemon);
        presence.map_or(placement.homes.is_none(), |presence| placement.allows(presence))
    }

    /// Jobs that this process should claim now. `returned_at` is when the store returned after its last outage, if
    /// there was one; `is_held` returns whether this process has a job's state in memory, `placement` the
    /// one for [`Self::preferred_daemon`].
    #[must_use]
    pub fn due_claims<P: Into<JobPlacement>>(
        &self,
        now: TimePoint,
        returned_at: Option<TimePoint>,
        is_held: impl Fn(&str) -> bool,
        placement: impl Fn(&SharedName) -> P,
    ) -> Vec<DueClaim> {
        let is_after_outage = |since: TimePoint| returned_at.is_some_and(|at| since.since_ms(at) < OUTAGE_RECLAIM_MS);
        let open_jobs = self.entries.iter().filter(|(_, entry)| entry.accepted && !entry.closed);
        let due = open_jobs.filter_map(|(job, entry)| {
            let claim = |replaced_revision| Some(DueClaim { job: job.clone(), replaced_revision });
            if let Some(owner) = &entry.owner {
                // An earlier process of this daemon has ended: this one replaced it.
                let is_previous_process = owner.daemon == self.daemon && owner.incarnation < self.incarnation;
                return if is_previous_process { claim(owner.revision) } else { None };
            }
            let placement = placement(job).into();
            if !is_held(job) && !self.may_own(&placement) {
                return None;
            }
            let preferred = self.preferred_daemon(&placement, None);
            let is_preferred = preferred.is_some_and(|(daemon, _)| *daemon == self.daemon);
            let reclaim_ms = if is_after_outage(entry.vacant_since) { OUTAGE_RECLAIM_MS } else { RECLAIM_MS };
            let delay_ms = match (is_held(job), is_preferred) {
                (true, _) => 0,
                (false, true) => reclaim_ms,
                (false, false) => reclaim_ms + FALLBACK_CLAIM_DELAY_MS,
            };
            if now >= entry.vacant_since.plus_ms(delay_ms) { claim(0) } else { None }
        });
        due.collect()
    }
}
