//! Which daemon owns which batch job, and when a job without an owner is claimed.

use crate::{SharedName, TimePoint, rendezvous};
use std::collections::BTreeMap;

/// The preferred daemon claims at once; the others wait this long, longer than a claim takes.
const CLAIM_DELAY_MS: u64 = 1_000;
/// The former owner's chance to claim again after its lease lapsed.
const REJOIN_MS: u64 = 300;
/// The same where all leases lapsed because the store was away: daemons find it back one after the other.
const OUTAGE_REJOIN_MS: u64 = 1_300;

/// A job that another daemon gave to this one comes with all that is known of it; only after this it is read from the
/// record, in milliseconds.
const PUSH_WAIT_MS: u64 = 500;

/// What a daemon watches the store for, as a key of rendezvous.
const WATCH_KIND: &str = "watch";

/// An ownership record as read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerRecord {
    /// Daemon.
    pub daemon: SharedName,
    /// Incarnation of the daemon's process.
    pub incarnation: u64,
    /// Revision of the record, which fences the owner's writes.
    pub revision: u64,
}

/// A daemon that may own jobs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DaemonPresence {
    /// Incarnation of its process.
    pub incarnation: u64,
    /// Its lease.
    pub lease: u64,
    /// Address for other daemons.
    pub control: SharedName,
    /// Failure domain of its VM.
    pub failure_domain: SharedName,
    /// Region of its VM.
    pub region: SharedName,
}

/// A claim to be made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DueClaim {
    /// Job.
    pub job: SharedName,
    /// Revision of the record that it replaces; 0 if there is none.
    pub replaced_revision: u64,
}

#[derive(Clone, Debug, Default)]
struct OwnershipEntry {
    accepted: bool,
    closed: bool,
    owner: Option<OwnerRecord>,
    /// When this process heard that another daemon gave it the job.
    given_at: Option<TimePoint>,
    vacant_since: TimePoint,
}

/// Jobs, their owners, and the daemons that may own them.
#[derive(Debug)]
pub struct OwnershipTable {
    daemon: SharedName,
    incarnation: u64,
    entries: BTreeMap<SharedName, OwnershipEntry>,
    daemons: BTreeMap<SharedName, DaemonPresence>,
}

impl OwnershipTable {
    /// Creates the table of one process.
    #[must_use]
    pub fn new(daemon: SharedName, incarnation: u64) -> Self {
        Self { daemon, incarnation, entries: BTreeMap::new(), daemons: BTreeMap::new() }
    }

    /// A daemon is present.
    pub fn daemon_joined(&mut self, daemon: SharedName, presence: DaemonPresence) {
        self.daemons.insert(daemon, presence);
    }

    /// A daemon's lease has ended.
    pub fn daemon_left(&mut self, daemon: &str) {
        self.daemons.remove(daemon);
    }

    /// The daemon `daemon`, if it is present.
    #[must_use]
    pub fn daemon(&self, daemon: &str) -> Option<&DaemonPresence> {
        self.daemons.get(daemon)
    }

    /// Daemons that are present.
    pub fn daemons(&self) -> impl Iterator<Item = (&SharedName, &DaemonPresence)> {
        self.daemons.iter()
    }

    /// A job is on record.
    pub fn job_accepted(&mut self, job: SharedName, now: TimePoint) {
        self.entry(job, now).accepted = true;
    }

    /// A job needs no owner any more.
    pub fn job_closed(&mut self, job: &str) {
        if let Some(entry) = self.entries.get_mut(job) {
            entry.closed = true;
        }
    }

    /// A job is off record.
    pub fn job_deleted(&mut self, job: &str) {
        self.entries.remove(job);
    }

    /// A job's owner is on record. Older records than the known one are ignored.
    pub fn owner_recorded(&mut self, job: SharedName, owner: OwnerRecord, now: TimePoint) {
        let is_own = owner.daemon == self.daemon && owner.incarnation == self.incarnation;
        let entry = self.entry(job, now);
        let known = entry.owner.as_ref().map(|known| known.revision);
        if known.is_none_or(|known| known < owner.revision) {
            entry.owner = Some(owner);
            entry.given_at = is_own.then_some(now);
        }
    }

    /// This process has claimed a job.
    pub fn job_claimed(&mut self, job: SharedName, owner: OwnerRecord, now: TimePoint) {
        let entry = self.entry(job, now);
        entry.owner = Some(owner);
        entry.given_at = None;
    }

    fn entry(&mut self, job: SharedName, now: TimePoint) -> &mut OwnershipEntry {
        self.entries.entry(job).or_insert_with(|| OwnershipEntry { vacant_since: now, ..Default::default() })
    }

    /// A job's ownership record was removed at `revision`.
    pub fn owner_removed(&mut self, job: &str, revision: u64, now: TimePoint) {
        let Some(entry) = self.entries.get_mut(job) else { return };
        if entry.owner.as_ref().is_some_and(|owner| owner.revision <= revision) {
            entry.owner = None;
            entry.vacant_since = now;
        }
    }

    /// The owner of `job`, if one is known.
    #[must_use]
    pub fn owner(&self, job: &str) -> Option<&OwnerRecord> {
        self.entries.get(job)?.owner.as_ref()
    }

    /// Whether this process owns `job`.
    #[must_use]
    pub fn is_owned_here(&self, job: &str) -> bool {
        self.owner(job).is_some_and(|owner| owner.daemon == self.daemon && owner.incarnation == self.incarnation)
    }

    /// Whether this process should begin with `job`, which it owns: `has_state` tells whether it has what was submitted.
    #[must_use]
    pub fn may_start(&self, job: &str, has_state: bool, now: TimePoint) -> bool {
        let given_at = self.entries.get(job).and_then(|entry| entry.given_at);
        self.is_owned_here(job) && (has_state || given_at.is_none_or(|at| now >= at.plus_ms(PUSH_WAIT_MS)))
    }

    /// The daemon that should own the jobs of `kind`. Jobs of one kind stay together, because their owner knows best
    /// what it runs where, and keeps connections to those upstreams.
    #[must_use]
    pub fn preferred_daemon(&self, kind: &str, excluded: Option<&str>) -> Option<(&SharedName, &DaemonPresence)> {
        let daemons: Vec<&SharedName> = self.daemons.keys().filter(|daemon| Some(&***daemon) != excluded).collect();
        self.daemons.get_key_value(*rendezvous::highest_ranked(kind, &daemons)?)
    }

    /// Daemons from which this one, in `failure_domain` of `region`, hears of changes in the store, nearest first: one
    /// watches for each failure domain, and one of each region for those. None if this is the region's.
    ///
    /// Each asks only daemons that rank higher, so that no two wait for each other whatever they have heard of so far.
    #[must_use]
    pub fn watch_sources(&self, failure_domain: &str, region: &str) -> Vec<(&SharedName, &DaemonPresence)> {
        let domain_watcher = self.watcher(|presence| *presence.failure_domain == *failure_domain);
        let region_watcher = self.watcher(|presence| *presence.region == *region);
        let mut chain: Vec<(&SharedName, &DaemonPresence)> = domain_watcher.into_iter().collect();
        chain.extend(region_watcher.filter(|(daemon, _)| chain.iter().all(|known| known.0 != *daemon)));
        chain
    }

    /// The highest ranking one `among` the daemons, unless that is this one. This one counts also before its presence
    /// is known here.
    fn watcher(&self, among: impl Fn(&DaemonPresence) -> bool) -> Option<(&SharedName, &DaemonPresence)> {
        let others = self.daemons.iter().filter(|(daemon, presence)| **daemon != self.daemon && among(presence));
        let names: Vec<&SharedName> = others.map(|(daemon, _)| daemon).chain([&self.daemon]).collect();
        let highest = rendezvous::highest_ranked(WATCH_KIND, &names)?;
        self.daemons.get_key_value(*highest).filter(|(daemon, _)| **daemon != self.daemon)
    }

    /// The daemon that gathers usage counts and watches the store for all of `region`; none if this one does.
    #[must_use]
    pub fn region_watcher(&self, region: &str) -> Option<(&SharedName, &DaemonPresence)> {
        self.watcher(|presence| *presence.region == *region)
    }

    /// Whether another process is known to own `job`.
    #[must_use]
    pub fn is_owned_elsewhere(&self, job: &str) -> bool {
        self.owner(job).is_some() && !self.is_owned_here(job)
    }

    /// Jobs that this process should claim now. `regained_at` is when the store was found back after an outage, if
    /// there was one; `held` tells whether this process has a job's state in memory.
    #[must_use]
    pub fn due_claims(
        &self,
        now: TimePoint,
        regained_at: Option<TimePoint>,
        held: impl Fn(&str) -> bool,
    ) -> Vec<DueClaim> {
        let after_outage = |since: TimePoint| regained_at.is_some_and(|at| since.since_ms(at) < OUTAGE_REJOIN_MS);
        let daemons: Vec<&SharedName> = self.daemons.keys().collect();
        let open = self.entries.iter().filter(|(_, entry)| entry.accepted && !entry.closed);
        let due = open.filter_map(|(job, entry)| {
            let claim = |replaced_revision| Some(DueClaim { job: job.clone(), replaced_revision });
            if let Some(owner) = &entry.owner {
                // The process that this one replaced is gone.
                let former = owner.daemon == self.daemon && owner.incarnation < self.incarnation;
                return if former { claim(owner.revision) } else { None };
            }
            let preferred = rendezvous::highest_ranked(job, &daemons).is_some_and(|daemon| **daemon == self.daemon);
            let rejoin_ms = if after_outage(entry.vacant_since) { OUTAGE_REJOIN_MS } else { REJOIN_MS };
            let delay_ms = match (held(job), preferred) {
                (true, _) => 0,
                (false, true) => rejoin_ms,
                (false, false) => rejoin_ms + CLAIM_DELAY_MS,
            };
            if now >= entry.vacant_since.plus_ms(delay_ms) { claim(0) } else { None }
        });
        due.collect()
    }
}
