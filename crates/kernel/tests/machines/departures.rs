//! Upstreams whose entries are removed from the list: because they left it, or because the entries lapsed while the store was
//! away.

use crate::{
    fleet_machines::{query, record},
    sequence,
};
use pimentoslip_kernel::{
    CapacityNeed, LapseWindow, OutageJudge, OutageWitness, SamplerOutcome, SamplerQuery, SamplerRecord, SamplerTable,
    StoreRead, TimePoint,
};
use quickcheck::{Arbitrary, Gen};
use std::{collections::BTreeSet, ops::RangeInclusive};

/// Shortest outage in which entries lapse: two heartbeats.
const OUTAGE_MS_MIN: u64 = 2_400;

/// A read of all changes up to `revision`, at `ms`.
fn read(revision: u64, ms: u64) -> StoreRead {
    StoreRead { revision, current_as_of: TimePoint(ms), served_at: TimePoint(ms) }
}

/// A name; the time of the next read after one of revision 20 at 5,000; what others say then; the revisions of a
/// removal; and until when its entry may return.
type Case<'a> = (&'a str, u64, &'a [OutageWitness], RangeInclusive<u64>, Option<u64>);

/// Guards against an upstream that left the list but is kept, as this daemon takes the loss of its own path for an outage of the
/// store, and against one that is dropped although its entry lapsed in an outage.
#[test]
fn an_entry_may_return_only_if_it_was_removed_while_the_store_was_away_for_all() {
    let informed = |window| OutageWitness { current_as_of: TimePoint(9_900), window };
    let outdated = OutageWitness { current_as_of: TimePoint(5_100), window: None };
    let outage = LapseWindow::new(20, 30, TimePoint(9_500));
    let earlier = LapseWindow::new(3, 7, TimePoint(2_000));
    let late = OutageWitness { current_as_of: TimePoint(12_400), window: Some(outage) };
    let later = LapseWindow::new(24, 30, TimePoint(9_700));
    let cases: [Case<'_>; 15] = [
        ("no gap", 7_399, &[], 25..=25, None),
        ("nobody read meanwhile", 10_000, &[], 25..=25, Some(12_300)),
        ("a witness that has read nothing either", 10_000, &[outdated], 25..=25, Some(12_300)),
        ("removed before the outage", 10_000, &[], 20..=20, None),
        ("removed after the return", 10_000, &[], 41..=41, None),
        ("the store served others", 10_000, &[informed(None)], 25..=25, None),
        ("the store served one of two", 10_000, &[informed(Some(outage)), informed(None)], 25..=25, None),
        ("another daemon found the store first", 10_000, &[informed(Some(outage))], 25..=25, Some(11_800)),
        (
            "one of two had read the removal before",
            10_000,
            &[informed(Some(outage)), informed(Some(later))],
            22..=22,
            None,
        ),
        ("removed after the other one's first read", 10_000, &[informed(Some(outage))], 31..=31, None),
        ("the last outage of the witness is an earlier one", 10_000, &[informed(Some(earlier))], 25..=25, None),
        ("a read long after the return", 12_500, &[late], 25..=25, None),
        ("missing from a snapshot after an outage", 10_000, &[], 21..=40, Some(12_300)),
        (
            "missing from a snapshot that includes later removals",
            10_000,
            &[informed(Some(outage))],
            21..=40,
            Some(11_800),
        ),
        ("missing from a snapshot while the store served", 10_000, &[informed(None)], 21..=40, None),
    ];
    for (case, served_at, witnesses, removed, deadline) in cases {
        let mut judge = OutageJudge::new(OUTAGE_MS_MIN);
        assert_eq!(judge.record(&read(20, 5_000), &[]), None, "{case}: a first read follows no gap");
        let gap = judge.record(&read(40, served_at), witnesses);
        assert_eq!(gap.is_some(), served_at >= 7_400, "{case}");
        assert_eq!(judge.relist_deadline(&removed), deadline.map(TimePoint), "{case}");
        if let Some(deadline) = deadline {
            judge.record(&read(40, deadline), &[]);
            assert_eq!(judge.relist_deadline(&removed), None, "{case}: overdue");
        }
    }
}

const DAEMONS: usize = 4;
const UPSTREAMS: usize = 3;
const STEP_MS: u64 = 100;
/// Steps between two reads of a daemon.
const READ_STEPS: u64 = 3;
/// Time without a heartbeat after which an entry lapses.
const LAPSE_MS: u64 = 3_600;
const HEARTBEAT_MS: u64 = 1_200;
/// Time after the return of the store in which lapsed entries return: the grace, less one read that notices the return and one
/// that notices the next outage.
const RELIST_MS: u64 = 2_300 - 2 * READ_STEPS * STEP_MS;
/// Platform's bound for requests to an upstream that has left the list.
const DRAIN_MS: u64 = 2_000;
/// Time without a disturbance after which the platform's bounds hold for a daemon.
const UNDISTURBED_MS: u64 = 3_000;
/// From the return of the store until an upstream whose entry does not return gets no requests: the grace, and one read.
const OVERDUE_MS: u64 = 2_300 + READ_STEPS * STEP_MS;

/// What happens next.
#[derive(Clone, Copy, Debug)]
enum Command {
    Advance(u8),
    StoreDown,
    StoreUp,
    /// A daemon loses its own path to the store.
    LosePath(u8),
    /// A daemon loses its paths to the store and to all others.
    Isolate(u8),
    RegainPaths(u8),
    /// An upstream leaves the list and continues to serve.
    Leave(u8),
    /// An upstream ends; its entry lapses.
    End(u8),
    /// A process of the upstream lists itself.
    Join(u8),
}

impl Arbitrary for Command {
    fn arbitrary(rng: &mut Gen) -> Self {
        let index = u8::arbitrary(rng);
        match u8::arbitrary(rng) % 16 {
            0 | 1 => Self::StoreDown,
            2 | 3 => Self::StoreUp,
            4 => Self::LosePath(index),
            5 => Self::Isolate(index),
            6 | 7 => Self::RegainPaths(index),
            8 => Self::Leave(index),
            9 => Self::End(index),
            10 => Self::Join(index),
            _ => Self::Advance(index % 60),
        }
    }
}

/// An upstream and its entry.
#[derive(Clone, Copy, Debug)]
struct Upstream {
    started: u64,
    is_alive: bool,
    is_listed: bool,
    /// When the entry was removed, and whether the upstream left.
    removed: Option<(TimePoint, bool)>,
}

/// A change of the list.
#[derive(Clone, Copy, Debug)]
struct Change {
    upstream: usize,
    /// Start of the process that was listed; `None` for a removal.
    listed: Option<u64>,
    /// Whether the upstream left while the store served and was known to.
    is_departure: bool,
}

struct Daemon {
    judge: OutageJudge,
    table: SamplerTable,
    /// Revision of the first read; changes before it are not known.
    start: Option<u64>,
    revision: u64,
    current_as_of: TimePoint,
    has_path: bool,
    is_isolated: bool,
    disturbed_at: TimePoint,
    /// Upstreams in doubt, by the daemon's own decision.
    missing: BTreeSet<usize>,
    /// Start of the last process of each upstream whose entry the daemon has read.
    known: [u64; UPSTREAMS],
}

struct Site {
    now: TimePoint,
    is_up: bool,
    /// When the store went away or returned last.
    changed_at: TimePoint,
    upstreams: [Upstream; UPSTREAMS],
    changes: Vec<Change>,
    daemons: Vec<Daemon>,
}

fn upstream_record(upstream: usize, started: u64) -> SamplerRecord {
    SamplerRecord { started_unix_ms: started, ..record(&format!("u{upstream}"), "a", 2) }
}

impl Site {
    fn new() -> Self {
        let daemon = |_| Daemon {
            judge: OutageJudge::new(2 * HEARTBEAT_MS),
            table: SamplerTable::default(),
            start: None,
            revision: 0,
            current_as_of: TimePoint(0),
            has_path: true,
            is_isolated: false,
            disturbed_at: TimePoint(0),
            missing: BTreeSet::new(),
            known: [0; UPSTREAMS],
        };
        let mut site = Self {
            now: TimePoint(10_000),
            is_up: true,
            changed_at: TimePoint(0),
            upstreams: [Upstream { started: 0, is_alive: false, is_listed: false, removed: None }; UPSTREAMS],
            changes: Vec::new(),
            daemons: (0..DAEMONS).map(daemon).collect(),
        };
        (0..UPSTREAMS).for_each(|upstream| site.join(upstream));
        (0..DAEMONS).try_for_each(|daemon| site.read(daemon)).expect("the first reads");
        site
    }

    fn join(&mut self, upstream: usize) {
        if self.is_up && !self.upstreams[upstream].is_alive {
            let started = self.upstreams[upstream].started + 1;
            self.upstreams[upstream] = Upstream { started, is_alive: true, is_listed: true, removed: None };
            self.changes.push(Change { upstream, listed: Some(started), is_departure: false });
        }
    }

    fn remove(&mut self, upstream: usize, has_left: bool) {
        if std::mem::take(&mut self.upstreams[upstream].is_listed) {
            self.upstreams[upstream].removed = Some((self.now, has_left));
            let is_departure = has_left && self.now.since_ms(self.changed_at) > READ_STEPS * STEP_MS;
            self.changes.push(Change { upstream, listed: None, is_departure });
        }
    }

    fn apply(&mut self, command: Command) -> Result<(), String> {
        let daemon = |index: u8| usize::from(index) % DAEMONS;
        let upstream = |index: u8| usize::from(index) % UPSTREAMS;
        match command {
            Command::Advance(steps) => (0..steps).try_for_each(|_| self.step())?,
            Command::StoreDown | Command::StoreUp => {
                let is_up = matches!(command, Command::StoreUp);
                // Every daemon notices an outage.
                let is_noticed = self.now.since_ms(self.changed_at) > READ_STEPS * STEP_MS;
                if self.is_up != is_up && (!is_up || is_noticed) {
                    (self.is_up, self.changed_at) = (is_up, self.now);
                }
            }
            Command::LosePath(index) => self.daemons[daemon(index)].has_path = false,
            Command::Isolate(index) => self.daemons[daemon(index)].is_isolated = true,
            Command::RegainPaths(index) => {
                let daemon = &mut self.daemons[daemon(index)];
                (daemon.has_path, daemon.is_isolated) = (true, false);
            }
            Command::Leave(index) if self.is_up => {
                self.upstreams[upstream(index)].is_alive = false;
                self.remove(upstream(index), true);
            }
            Command::End(index) => self.upstreams[upstream(index)].is_alive = false,
            Command::Join(index) => self.join(upstream(index)),
            Command::Leave(_) => {}
        }
        Ok(())
    }

    fn step(&mut self) -> Result<(), String> {
        self.now = self.now.plus_ms(STEP_MS);
        let since_ms = self.now.since_ms(self.changed_at);
        for upstream in 0..UPSTREAMS {
            // The last heartbeat was up to one interval before the outage.
            let last_heartbeat_ms = upstream as u64 * HEARTBEAT_MS / UPSTREAMS as u64;
            let Upstream { started, is_alive, is_listed, removed } = self.upstreams[upstream];
            if !self.is_up && since_ms + last_heartbeat_ms >= LAPSE_MS {
                self.remove(upstream, false);
            }
            let returns = is_alive && since_ms >= RELIST_MS * (upstream as u64 + 1) / UPSTREAMS as u64;
            if self.is_up && !is_listed && removed.is_some_and(|(_, has_left)| !has_left) && returns {
                self.upstreams[upstream] = Upstream { is_listed: true, removed: None, ..self.upstreams[upstream] };
                self.changes.push(Change { upstream, listed: Some(started), is_departure: false });
            }
        }
        for daemon in 0..DAEMONS {
            let Daemon { has_path, is_isolated, .. } = self.daemons[daemon];
            if !has_path || is_isolated {
                self.daemons[daemon].disturbed_at = self.now;
            }
            if self.now.0 / STEP_MS % READ_STEPS == daemon as u64 % READ_STEPS {
                self.read(daemon)?;
            }
        }
        (0..DAEMONS).try_for_each(|daemon| self.check(daemon))
    }

    /// A daemon reads the store, directly or relayed, or else from another daemon.
    fn read(&mut self, daemon: usize) -> Result<(), String> {
        let Daemon { is_isolated, has_path, .. } = self.daemons[daemon];
        let others: Vec<usize> = (0..DAEMONS)
            .filter(|other| *other != daemon && !is_isolated && !self.daemons[*other].is_isolated)
            .collect();
        let has_path = !is_isolated && has_path || others.iter().any(|other| self.daemons[*other].has_path);
        let is_read = self.is_up && has_path;
        let revision = self.daemons[daemon].revision;
        let reaches_back = |other: &&usize| self.daemons[**other].start.is_some_and(|start| start <= revision);
        let witness = |other: &usize| {
            let Daemon { current_as_of, judge, .. } = &self.daemons[*other];
            OutageWitness { current_as_of: *current_as_of, window: judge.window() }
        };
        let (read, witnesses) = if is_read {
            let read = StoreRead { revision: self.changes.len() as u64, current_as_of: self.now, served_at: self.now };
            (read, others.iter().filter(reaches_back).map(witness).collect())
        } else {
            let sources = others.iter().filter(reaches_back);
            let Some(source) = sources.max_by_key(|other| self.daemons[**other].revision) else {
                self.daemons[daemon].table.keep_missing(LapseWindow::relist_deadline(self.now));
                return Ok(());
            };
            let Daemon { revision, current_as_of, .. } = self.daemons[*source];
            (StoreRead { revision, current_as_of, served_at: current_as_of }, vec![witness(source)])
        };
        let Daemon { judge, table, missing, start, revision, current_as_of, known, .. } = &mut self.daemons[daemon];
        if read.revision < *revision {
            table.keep_missing(LapseWindow::relist_deadline(self.now));
            return Ok(());
        }
        let knows_departure = |witness: &OutageWitness, number: u64| {
            let is_current = self.now.since_ms(witness.current_as_of) <= READ_STEPS * STEP_MS;
            is_current && witness.window.is_none_or(|window| !window.covers(&(number..=number), witness.current_as_of))
        };
        judge.record(&read, &witnesses);
        start.get_or_insert(read.revision);
        for number in *revision..read.revision {
            let Change { upstream, listed, is_departure } = self.changes[number as usize];
            let deadline = judge.relist_deadline(&(number + 1..=number + 1));
            let is_known = witnesses.iter().any(|witness| knows_departure(witness, number + 1));
            if is_departure && is_known && deadline.is_some() {
                return Err(format!("{:?}: u{upstream} has left, and is kept at {daemon}", self.now));
            }
            missing.remove(&upstream);
            match (listed, deadline) {
                (Some(started), _) => {
                    known[upstream] = started;
                    table.upsert(upstream_record(upstream, started));
                }
                (None, Some(deadline)) => {
                    missing.insert(upstream);
                    table.entry_missing(&format!("u{upstream}"), deadline);
                }
                (None, None) => drop(table.remove(&format!("u{upstream}"))),
            }
        }
        *revision = read.revision;
        *current_as_of = (*current_as_of).max(read.current_as_of);
        if !is_read {
            table.keep_missing(LapseWindow::relist_deadline(self.now));
        }
        Ok(())
    }

    fn check(&mut self, daemon: usize) -> Result<(), String> {
        let now = self.now;
        let is_stable = |at: TimePoint| self.is_up && self.changed_at.plus_ms(UNDISTURBED_MS) <= at;
        let Daemon { table, missing, disturbed_at, known, .. } = &mut self.daemons[daemon];
        let is_undisturbed = disturbed_at.plus_ms(UNDISTURBED_MS) <= now;
        let query = SamplerQuery { capacity: CapacityNeed::Queue, ..query(&[]) };
        if let Some(record) = table.pick(&query, now) {
            table.request_ended(&record, SamplerOutcome::Abandoned, now);
            let picked: usize = record.id[1..].parse().expect("the number of an upstream");
            let has_listed = (0..UPSTREAMS)
                .any(|upstream| !missing.contains(&upstream) && table.get(&format!("u{upstream}")).is_some());
            if missing.contains(&picked) && has_listed {
                return Err(format!("{now:?}: u{picked} in doubt is picked at {daemon} before a listed one"));
            }
            if let Some((removed_at, has_left)) = self.upstreams[picked].removed {
                let is_late = if has_left {
                    is_stable(removed_at) && now > removed_at.plus_ms(DRAIN_MS)
                } else {
                    self.is_up && now > self.changed_at.plus_ms(OVERDUE_MS)
                };
                if is_late && is_undisturbed && is_stable(now) {
                    return Err(format!("{now:?}: u{picked}, removed at {removed_at:?}, is picked at {daemon}"));
                }
            }
        }
        for (upstream, Upstream { started, is_alive, removed, .. }) in self.upstreams.into_iter().enumerate() {
            let is_due = !self.is_up || now < self.changed_at.plus_ms(RELIST_MS);
            let has_lapsed = removed.is_some_and(|(_, has_left)| !has_left) && is_alive && is_due;
            if has_lapsed && known[upstream] == started && is_undisturbed {
                let Some(record) = table.adopt(&format!("u{upstream}"), started, now) else {
                    return Err(format!("{now:?}: u{upstream}, whose entry lapsed, is not used at {daemon}"));
                };
                table.request_ended(&record, SamplerOutcome::Abandoned, now);
            }
        }
        Ok(())
    }
}

/// Guards against requests to upstreams that have left the list, against upstreams that are dropped as their entries lapsed while
/// the store was away, and against upstreams in doubt that are preferred to listed ones, whichever daemons lose their paths.
#[test]
fn upstreams_are_used_until_they_leave_the_list_and_not_longer_whoever_loses_a_path() {
    sequence::check_count(0xd2a1, 60, 400, |commands: Vec<Command>| {
        let mut site = Site::new();
        commands.into_iter().try_for_each(|command| site.apply(command))
    });
}
