//! Evacuated failure domains: later than the bound after an operator's request nothing reaches the upstreams there from any
//! daemon that can know of it, and after its withdrawal they serve again. Home regions of routes and organisations.

use crate::{
    fleet_machines::{query, record},
    sequence,
};
use pimentoslip_kernel::{
    ChangeLog, EvacuationTable, HomeRegions, LogRead, RegionMap, SamplerOutcome, SamplerQuery, SamplerRecord,
    SamplerTable, SharedName, TimePoint, WatchSelector, WatchSource, WatchTarget, WatchTiming, WithholdReason,
};
use quickcheck::{Arbitrary, Gen};
use std::collections::BTreeMap;

const DAEMONS: usize = 4;
const DOMAINS: [&str; 3] = ["a", "b", "c"];
/// Time within which a request or its withdrawal must be in force.
const BOUND_MS: u64 = 3_000;
/// Time without a disturbance after which a daemon must know what the others know.
const UNDISTURBED_MS: u64 = 4_000;
const STEP_MS: u64 = 100;

#[derive(Clone, Debug)]
enum Command {
    Advance(u8),
    Evacuate(u8),
    Withdraw(u8),
    /// The store drops its history; the next snapshots are torn: their entries are newer than their revision.
    Compact(u8),
    /// The daemon does not reach the store.
    LosePath(u8),
    /// It reaches no other daemon either.
    Isolate(u8),
    Freeze(u8),
    /// The paths of the daemon return and its process runs.
    Heal(u8),
    /// The process is started again.
    Restart(u8),
    /// An upstream of the failure domain is started again, and each daemon reads its new entry.
    Replace(u8),
    /// A daemon selects an upstream of the failure domain and keeps the request for later.
    Hold(u8, u8),
    /// All kept requests are sent.
    SendHeld,
    /// A daemon relays a kept request of another one.
    Relay(u8),
}

impl Arbitrary for Command {
    fn arbitrary(rng: &mut Gen) -> Self {
        let (first, second) = (u8::arbitrary(rng), u8::arbitrary(rng));
        match u8::arbitrary(rng) % 20 {
            0..=4 => Self::Advance(first % 50),
            5..=6 => Self::Evacuate(first),
            7 => Self::Withdraw(first),
            8 => Self::Compact(first % 4),
            9 => Self::LosePath(first),
            10 => Self::Isolate(first),
            11 => Self::Freeze(first),
            12..=13 => Self::Heal(first),
            14 => Self::Restart(first),
            15 => Self::Replace(first),
            16..=17 => Self::Hold(first, second),
            18 => Self::SendHeld,
            _ => Self::Relay(first),
        }
    }
}

/// An operator's change: the failure domain, and whether it is evacuated.
type Change = (usize, bool);

struct Daemon {
    table: SamplerTable,
    selector: WatchSelector,
    log: ChangeLog<(u64, Change)>,
    /// Revision up to which the changes are known; `None` before the first snapshot.
    revision: Option<u64>,
    has_path: bool,
    is_isolated: bool,
    is_frozen: bool,
    disturbed_at: TimePoint,
    /// Selected upstreams of requests that are kept.
    held: Vec<SamplerRecord>,
}

struct Site {
    now: TimePoint,
    /// All changes; the revision of one is its index and 1.
    changes: Vec<Change>,
    /// When each failure domain was last changed.
    changed_at: [TimePoint; DOMAINS.len()],
    compacted: u64,
    torn: u64,
    started: u64,
    daemons: Vec<Daemon>,
}

fn daemon(upstreams: &[SamplerRecord], now: TimePoint) -> Daemon {
    let mut table = SamplerTable::default();
    upstreams.iter().cloned().for_each(|record| table.upsert(record));
    Daemon {
        table,
        selector: WatchSelector::new(WatchTiming::new(BOUND_MS), TimePoint(0)),
        log: ChangeLog::default(),
        revision: None,
        has_path: true,
        is_isolated: false,
        is_frozen: false,
        disturbed_at: now,
        held: Vec::new(),
    }
}

/// The upstream of a failure domain, which is the only one of its service.
fn upstream(domain: usize, started: u64) -> SamplerRecord {
    SamplerRecord {
        service: DOMAINS[domain].into(),
        started_unix_ms: started,
        ..record(DOMAINS[domain], DOMAINS[domain], 2)
    }
}

fn upstreams(started: u64) -> Vec<SamplerRecord> {
    (0..DOMAINS.len()).map(|domain| upstream(domain, started)).collect()
}

impl Daemon {
    fn apply(&mut self, changes: &[(u64, Change)]) {
        for (revision, (domain, is_evacuated)) in changes {
            self.table.change_evacuations(|evacuations| {
                if *is_evacuated {
                    evacuations.requested(DOMAINS[*domain].into(), *revision)
                } else {
                    evacuations.withdrawn(DOMAINS[*domain], *revision)
                }
            });
        }
    }

    fn received(&mut self, changes: &[(u64, Change)], revision: u64, as_of: TimePoint) {
        self.apply(changes);
        self.log.append(changes.iter().map(|change| (change.0, 1, *change)), revision);
        self.log.proved_current(as_of);
        self.revision = self.revision.max(Some(revision));
    }
}

impl Site {
    fn new() -> Self {
        let now = TimePoint(10_000);
        let daemons = (0..DAEMONS).map(|_| daemon(&upstreams(1), now)).collect();
        let (changes, changed_at) = (Vec::new(), [TimePoint(0); DOMAINS.len()]);
        Self { now, changes, changed_at, compacted: 0, torn: 0, started: 1, daemons }
    }

    fn is_evacuated(&self, domain: usize) -> bool {
        self.changes.iter().rev().find(|change| change.0 == domain).is_some_and(|change| change.1)
    }

    fn change(&mut self, domain: usize, is_evacuated: bool) {
        if self.is_evacuated(domain) != is_evacuated {
            self.changes.push((domain, is_evacuated));
            self.changed_at[domain] = self.now;
        }
    }

    /// Whether the daemon can know what was in force for the bound.
    fn is_in_touch(&self, daemon: usize) -> bool {
        let Daemon { is_isolated, is_frozen, disturbed_at, .. } = &self.daemons[daemon];
        let is_reached = self.reaches_store(daemon) && !is_isolated && !is_frozen;
        is_reached && self.now.since_ms(*disturbed_at) > UNDISTURBED_MS
    }

    /// Whether calls of the daemon reach the store, directly or through another daemon.
    fn reaches_store(&self, daemon: usize) -> bool {
        let has_path = |daemon: &Daemon| daemon.has_path && !daemon.is_isolated && !daemon.is_frozen;
        has_path(&self.daemons[daemon]) || (!self.daemons[daemon].is_isolated && self.daemons.iter().any(has_path))
    }

    fn apply(&mut self, command: Command) -> Result<(), String> {
        let (daemon_of, domain_of) =
            (|index: u8| usize::from(index) % DAEMONS, |index: u8| usize::from(index) % DOMAINS.len());
        match command {
            Command::Advance(steps) => (0..steps).try_for_each(|_| self.step())?,
            Command::Evacuate(index) => self.change(domain_of(index), true),
            Command::Withdraw(index) => self.change(domain_of(index), false),
            Command::Compact(torn) => (self.compacted, self.torn) = (self.changes.len() as u64, u64::from(torn)),
            Command::LosePath(index) => self.disturb(daemon_of(index), |daemon| daemon.has_path = false),
            Command::Isolate(index) => self.disturb(daemon_of(index), |daemon| daemon.is_isolated = true),
            Command::Freeze(index) => self.disturb(daemon_of(index), |daemon| daemon.is_frozen = true),
            Command::Heal(index) => self.disturb(daemon_of(index), |daemon| {
                (daemon.has_path, daemon.is_isolated, daemon.is_frozen) = (true, false, false);
            }),
            Command::Restart(index) => {
                self.daemons[daemon_of(index)] = daemon(&upstreams(self.started), self.now);
            }
            Command::Replace(index) => {
                self.started += 1;
                for daemon in &mut self.daemons {
                    // Entries that come and go at an address of the failure domain.
                    daemon.table.remove(DOMAINS[domain_of(index)]);
                    upstreams(self.started).into_iter().for_each(|record| daemon.table.upsert(record));
                }
            }
            Command::Hold(index, domain) => self.hold(daemon_of(index), domain_of(domain))?,
            Command::SendHeld => (0..DAEMONS).try_for_each(|sender| self.send_held(sender))?,
            Command::Relay(index) => self.relay_held(daemon_of(index))?,
        }
        Ok(())
    }

    fn disturb(&mut self, daemon: usize, change: impl FnOnce(&mut Daemon)) {
        change(&mut self.daemons[daemon]);
        // A daemon without its own path is served by the others and counts as undisturbed, one that was cut off does not.
        if self.daemons[daemon].is_isolated || self.daemons[daemon].is_frozen || self.daemons[daemon].has_path {
            self.daemons[daemon].disturbed_at = self.now;
        }
    }

    fn step(&mut self) -> Result<(), String> {
        self.now = self.now.plus_ms(STEP_MS);
        for daemon in 0..DAEMONS {
            if !self.reaches_store(daemon) {
                self.daemons[daemon].disturbed_at = self.now;
            }
            if !self.daemons[daemon].is_frozen {
                self.follow(daemon);
            }
        }
        (0..DAEMONS).try_for_each(|daemon| self.check_selection(daemon))
    }

    /// Lets a daemon request the changes once, as its selector says.
    fn follow(&mut self, daemon: usize) {
        let watcher = WatchSource { daemon: "0".into(), control_address: "0".into(), watches_region: true };
        let sources = if daemon == 0 { Vec::new() } else { vec![watcher] };
        let now = self.now;
        let Some(call) = self.daemons[daemon].selector.next_call(&sources, now) else { return };
        let Some(revision) = self.daemons[daemon].revision.filter(|_| call.target != WatchTarget::Store) else {
            return self.read_store(daemon);
        };
        let name: SharedName = "0".into();
        let is_reached =
            !self.daemons[0].is_frozen && !self.daemons[0].is_isolated && !self.daemons[daemon].is_isolated;
        let (as_of, read) = (self.daemons[0].log.current_as_of(), self.daemons[0].log.read(revision));
        let follower = &mut self.daemons[daemon];
        match read {
            _ if !is_reached => follower.selector.peer_unresponsive(&name, now),
            LogRead::Incomplete => follower.selector.peer_outdated(&name, now),
            LogRead::Changes { changes, revision } => {
                follower.selector.peer_answered(&name, as_of, now);
                follower.received(&changes, revision, as_of);
            }
        }
    }

    /// Lets a daemon read the changes from the store, or all entries if the history it needs is gone.
    fn read_store(&mut self, daemon: usize) {
        let now = self.now;
        if !self.reaches_store(daemon) {
            return self.daemons[daemon].selector.store_failed(now);
        }
        let end = self.changes.len() as u64;
        let numbered = |range: std::ops::Range<u64>| -> Vec<(u64, Change)> {
            range.map(|index| (index + 1, self.changes[index as usize])).collect()
        };
        let known = self.daemons[daemon].revision.filter(|revision| *revision >= self.compacted);
        let Some(known) = known else {
            let latest: BTreeMap<usize, (u64, bool)> = numbered(0..end)
                .into_iter()
                .map(|(revision, (domain, evacuated))| (domain, (revision, evacuated)))
                .collect();
            let listed = latest.into_iter().filter(|(_, (_, is_evacuated))| *is_evacuated);
            let listed = listed.map(|(domain, (revision, _))| (DOMAINS[domain].into(), revision)).collect();
            let revision = end.saturating_sub(self.torn).max(self.compacted);
            let daemon = &mut self.daemons[daemon];
            daemon.table.change_evacuations(|evacuations| evacuations.replace_all(listed));
            daemon.log.restart(revision, now);
            daemon.revision = Some(revision);
            daemon.selector = WatchSelector::new(WatchTiming::new(BOUND_MS), now);
            return;
        };
        let changes = numbered(known..end);
        self.daemons[daemon].selector.proved_current(now);
        self.daemons[daemon].received(&changes, end, now);
    }

    /// Checks what the daemon selects, if it can know what is in force.
    fn check_selection(&self, daemon: usize) -> Result<(), String> {
        for (domain, service) in DOMAINS.iter().enumerate() {
            let is_settled = self.now.since_ms(self.changed_at[domain]) > BOUND_MS;
            let query = SamplerQuery { service, ..query(&[]) };
            let is_selected = self.daemons[daemon].table.is_pickable(&query, self.now);
            let is_free = self.daemons[daemon].table.inflight(service) == 0;
            let is_evacuated = self.is_evacuated(domain);
            if is_settled
                && self.is_in_touch(daemon)
                && (is_selected && is_evacuated || !is_selected && !is_evacuated && is_free)
            {
                let now = self.now.0;
                return Err(format!(
                    "at {now} daemon {daemon} selects in {service}: {is_selected}, evacuated: {is_evacuated}"
                ));
            }
        }
        Ok(())
    }

    fn hold(&mut self, daemon: usize, domain: usize) -> Result<(), String> {
        let query = SamplerQuery { service: DOMAINS[domain], ..query(&[]) };
        let Daemon { table, held, is_frozen, .. } = &mut self.daemons[daemon];
        if !*is_frozen {
            held.extend(table.pick(&query, self.now));
        }
        Ok(())
    }

    fn send_held(&mut self, sender: usize) -> Result<(), String> {
        let held = std::mem::take(&mut self.daemons[sender].held);
        for record in held {
            let (now, table) = (self.now, &mut self.daemons[sender].table);
            let is_sent = table.may_send(&record, now);
            table.request_ended(&record, SamplerOutcome::Abandoned, now);
            if is_sent {
                self.check_arrival(sender, &record)?;
            }
        }
        Ok(())
    }

    /// Another daemon's kept requests are sent to their upstreams by `sender`.
    fn relay_held(&mut self, sender: usize) -> Result<(), String> {
        let (now, owner) = (self.now, (sender + 1) % DAEMONS);
        let held = std::mem::take(&mut self.daemons[owner].held);
        for record in held {
            self.daemons[owner].table.request_ended(&record, SamplerOutcome::Abandoned, now);
            if let Some(adopted) = self.daemons[sender].table.adopt(&record.id, record.started_unix_ms, now) {
                self.daemons[sender].table.request_ended(&adopted, SamplerOutcome::Abandoned, now);
                self.check_arrival(sender, &record)?;
            }
        }
        Ok(())
    }

    fn check_arrival(&self, sender: usize, record: &SamplerRecord) -> Result<(), String> {
        let domain =
            DOMAINS.iter().position(|domain| **domain == *record.failure_domain).expect("a known failure domain");
        let is_late = self.is_evacuated(domain) && self.now.since_ms(self.changed_at[domain]) > BOUND_MS;
        if is_late && self.is_in_touch(sender) {
            return Err(format!("at {} daemon {sender} sends to {}", self.now.0, record.id));
        }
        Ok(())
    }
}

fn nothing_reaches_an_evacuated_domain(commands: Vec<Command>) -> Result<(), String> {
    let mut site = Site::new();
    (0..50).try_for_each(|_| site.step())?;
    commands.into_iter().try_for_each(|command| site.apply(command))
}

/// Guards against requests in an evacuated failure domain from daemons that learn of it late or in part, and against domains
/// that are never used again.
#[test]
fn nothing_is_sent_to_an_evacuated_domain_after_the_bound() {
    sequence::check_count(0xe7ac, 60, 1_000, nothing_reaches_an_evacuated_domain);
}

fn homes(names: &[&str]) -> Option<HomeRegions> {
    HomeRegions::from_names(names.iter().map(|name| SharedName::from(*name)))
}

/// Guards against requests outside of the regions that their route or their organisation allows, also in failure domains whose
/// region is not known.
#[test]
fn only_upstreams_in_the_homes_of_route_and_organisation_are_selected() {
    let regions =
        [("a", "land"), ("b", "land"), ("c", "island")].map(|(domain, region)| (domain.into(), region.into()));
    let names = ["a", "b", "c", "d"];
    // Homes of the route and of the organisation, evacuated failure domain, and what is selected.
    type Case = (
        &'static [&'static str],
        &'static [&'static str],
        &'static str,
        &'static [&'static str],
        Option<WithholdReason>,
    );
    let cases: [Case; 7] = [
        (&[], &[], "", &["a", "b", "c", "d"], None),
        (&["land"], &[], "", &["a", "b"], None),
        (&[], &["island"], "", &["c"], None),
        (&["land", "island"], &["island"], "", &["c"], None),
        (&["land"], &["island"], "", &[], Some(WithholdReason::OutsideHomes)),
        (&["land", "island"], &["island"], "c", &[], Some(WithholdReason::Evacuated)),
        (&["land"], &[], "a", &["b"], None),
    ];
    for (route, organisation, evacuated, selected, reason) in cases {
        let mut table = SamplerTable::new(RegionMap::new(BTreeMap::from(regions.clone())));
        names.iter().for_each(|name| table.upsert(record(name, name, 2)));
        table.change_evacuations(|evacuations| evacuations.requested(evacuated.into(), 1));
        let homes = HomeRegions::common(homes(route).as_ref(), homes(organisation).as_ref());
        let query = SamplerQuery { homes: homes.as_ref(), ..query(&[]) };
        let picked = std::iter::from_fn(|| table.pick(&query, TimePoint(0)));
        let mut picked: Vec<String> = picked.map(|record| record.id.to_string()).collect();
        picked.sort();
        picked.dedup();
        assert_eq!(picked, selected, "{route:?}, {organisation:?} without {evacuated}");
        assert_eq!(
            table.withhold_reason(&query, TimePoint(0)),
            reason,
            "{route:?}, {organisation:?} without {evacuated}"
        );
    }
}

/// Guards against an evacuation that ends for a moment while changes are applied that are older than the snapshot before them.
#[test]
fn changes_before_the_last_request_do_not_end_an_evacuation() {
    // Revision of a change, and whether it requests the evacuation; the snapshot has the request of revision 11.
    let cases: [(&[(u64, bool)], bool); 4] = [
        (&[(9, true)], true),
        (&[(10, false)], true),
        (&[(9, true), (10, false)], true),
        (&[(11, true), (12, false)], false),
    ];
    for (changes, is_evacuated) in cases {
        let mut evacuations = EvacuationTable::default();
        evacuations.replace_all(BTreeMap::from([("a".into(), 11)]));
        for (revision, is_request) in changes {
            if *is_request {
                evacuations.requested("a".into(), *revision);
            } else {
                evacuations.withdrawn("a", *revision);
            }
        }
        assert_eq!(evacuations.contains("a"), is_evacuated, "{changes:?}");
    }
}
