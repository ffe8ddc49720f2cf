//! Owners of batch jobs: the store knows one at a time, each open job gets one again, a live owner keeps its jobs.

use crate::sequence;
use pimentoslip_kernel::{DaemonPresence, OwnerRecord, OwnershipTable, SharedName, TimePoint};
use quickcheck::{Arbitrary, Gen};

const DAEMONS: usize = 3;
const JOBS: usize = 2;

#[derive(Clone, Debug)]
enum Command {
    /// A daemon looks, and claims what it should; the answer may be lost.
    Look {
        daemon: u8,
        lost: bool,
    },
    /// A daemon hears of the next changes in the store.
    Hear {
        daemon: u8,
        count: u8,
    },
    /// A daemon's process ends, and another one starts at the same VM.
    Restart {
        daemon: u8,
    },
    /// A daemon's lease ends, though its process lives on.
    Lapse {
        daemon: u8,
    },
    /// A job's end is put on record.
    End {
        job: u8,
    },
    Wait {
        ms: u16,
    },
}

impl Arbitrary for Command {
    fn arbitrary(rng: &mut Gen) -> Self {
        let (a, b) = (u8::arbitrary(rng), u8::arbitrary(rng));
        match u8::arbitrary(rng) % 16 {
            0..=4 => Self::Look { daemon: a, lost: b % 4 == 0 },
            5..=9 => Self::Hear { daemon: a, count: b % 4 + 1 },
            10 if b % 2 == 0 => Self::Restart { daemon: a },
            11 if b % 2 == 0 => Self::Lapse { daemon: a },
            12 if b % 6 == 0 => Self::End { job: a },
            _ => Self::Wait { ms: u16::arbitrary(rng) % 900 },
        }
    }
}

#[derive(Clone, Debug)]
enum Change {
    Owner(usize, OwnerRecord),
    Gone(usize, u64),
    Joined(usize),
    Left(usize),
    Ended(usize),
}

/// The store: owners with revisions, and the history that daemons follow.
struct Store {
    revision: u64,
    owners: Vec<Option<OwnerRecord>>,
    ended: Vec<bool>,
    history: Vec<Change>,
}

struct Daemon {
    table: OwnershipTable,
    incarnation: u64,
    heard: usize,
    /// Jobs whose state this process has.
    held: Vec<usize>,
}

fn name(daemon: usize) -> SharedName {
    format!("d{daemon}").into()
}

fn job(job: usize) -> SharedName {
    format!("j{job}").into()
}

fn presence(incarnation: u64) -> DaemonPresence {
    DaemonPresence {
        incarnation,
        lease: incarnation,
        control: "".into(),
        failure_domain: "north".into(),
        region: "land".into(),
    }
}

impl Daemon {
    /// Starts, and reads all that is in the store.
    fn start(daemon: usize, incarnation: u64, store: &Store, now: TimePoint) -> Self {
        let mut table = OwnershipTable::new(name(daemon), incarnation);
        for other in 0..DAEMONS {
            table.daemon_joined(name(other), presence(1));
        }
        for at in 0..JOBS {
            table.job_accepted(job(at), now);
            if store.ended[at] {
                table.job_closed(&job(at));
            }
            if let Some(owner) = &store.owners[at] {
                table.owner_recorded(job(at), owner.clone(), now);
            }
        }
        Self { table, incarnation, heard: store.history.len(), held: Vec::new() }
    }

    fn hear(&mut self, store: &Store, count: usize, now: TimePoint) {
        let until = store.history.len().min(self.heard + count);
        for change in &store.history[self.heard..until] {
            match change {
                Change::Owner(at, owner) => self.table.owner_recorded(job(*at), owner.clone(), now),
                Change::Gone(at, revision) => self.table.owner_removed(&job(*at), *revision, now),
                Change::Joined(daemon) => self.table.daemon_joined(name(*daemon), presence(1)),
                Change::Left(daemon) => self.table.daemon_left(&name(*daemon)),
                Change::Ended(at) => self.table.job_closed(&job(*at)),
            }
        }
        self.heard = until;
    }
}

struct World {
    store: Store,
    daemons: Vec<Daemon>,
    now: TimePoint,
}

impl World {
    fn new() -> Self {
        let store = Store { revision: 10, owners: vec![None; JOBS], ended: vec![false; JOBS], history: Vec::new() };
        let daemons = (0..DAEMONS).map(|daemon| Daemon::start(daemon, 1, &store, TimePoint(0))).collect();
        Self { store, daemons, now: TimePoint(0) }
    }

    fn look(&mut self, daemon: usize, lost: bool) -> Result<(), String> {
        let held: Vec<SharedName> = self.daemons[daemon].held.iter().map(|at| job(*at)).collect();
        let claims =
            self.daemons[daemon].table.due_claims(self.now, None, |job| held.iter().any(|held| **held == *job));
        for claim in claims {
            let at = (0..JOBS).find(|at| job(*at) == claim.job).ok_or("an unknown job is claimed")?;
            let stands = self.store.owners[at].as_ref();
            if stands.map_or(0, |owner| owner.revision) != claim.replaced_revision {
                continue;
            }
            if let Some(owner) = stands
                && (owner.daemon != name(daemon) || owner.incarnation >= self.daemons[daemon].incarnation)
            {
                return Err(format!("{} takes {} from {owner:?}", name(daemon), claim.job));
            }
            self.store.revision += 1;
            let incarnation = self.daemons[daemon].incarnation;
            let owner = OwnerRecord { daemon: name(daemon), incarnation, revision: self.store.revision };
            self.store.owners[at] = Some(owner.clone());
            self.store.history.push(Change::Owner(at, owner.clone()));
            if !lost {
                self.daemons[daemon].table.owner_recorded(claim.job, owner, self.now);
            }
        }
        self.take_up(daemon);
        Ok(())
    }

    /// A daemon that owns a job has its state from then on.
    fn take_up(&mut self, daemon: usize) {
        let owner = &mut self.daemons[daemon];
        owner.held = (0..JOBS).filter(|at| owner.table.is_owned_here(&job(*at)) || owner.held.contains(at)).collect();
        owner.held.retain(|at| !owner.table.is_owned_elsewhere(&job(*at)));
    }

    /// The lease of `daemon` ends, and with it all that hangs on it.
    fn lapse(&mut self, daemon: usize) {
        for at in 0..JOBS {
            if self.store.owners[at].as_ref().is_some_and(|owner| owner.daemon == name(daemon)) {
                self.store.revision += 1;
                self.store.owners[at] = None;
                self.store.history.push(Change::Gone(at, self.store.revision));
            }
        }
        self.store.history.push(Change::Left(daemon));
        self.store.history.push(Change::Joined(daemon));
    }

    fn step(&mut self, command: &Command) -> Result<(), String> {
        match *command {
            Command::Look { daemon, lost } => self.look(usize::from(daemon) % DAEMONS, lost)?,
            Command::Hear { daemon, count } => {
                let daemon = usize::from(daemon) % DAEMONS;
                self.daemons[daemon].hear(&self.store, usize::from(count), self.now);
                self.take_up(daemon);
            }
            Command::Restart { daemon } => {
                let daemon = usize::from(daemon) % DAEMONS;
                let incarnation = self.daemons[daemon].incarnation + 1;
                self.daemons[daemon] = Daemon::start(daemon, incarnation, &self.store, self.now);
            }
            Command::Lapse { daemon } => self.lapse(usize::from(daemon) % DAEMONS),
            Command::End { job } => {
                let at = usize::from(job) % JOBS;
                self.store.ended[at] = true;
                self.store.history.push(Change::Ended(at));
            }
            Command::Wait { ms } => self.now = self.now.plus_ms(u64::from(ms)),
        }
        Ok(())
    }
}

fn law(commands: Vec<Command>) -> Result<(), String> {
    let mut world = World::new();
    for command in &commands {
        world.step(command)?;
    }
    // Once news arrives again, every open job has just one owner, and that owner knows it.
    for _ in 0..6 {
        world.now = world.now.plus_ms(600);
        for daemon in 0..DAEMONS {
            world.daemons[daemon].hear(&world.store, usize::MAX / 2, world.now);
            world.take_up(daemon);
            world.look(daemon, false)?;
        }
    }
    for daemon in 0..DAEMONS {
        world.daemons[daemon].hear(&world.store, usize::MAX / 2, world.now);
    }
    for at in (0..JOBS).filter(|at| !world.store.ended[*at]) {
        let owners = (0..DAEMONS).filter(|daemon| world.daemons[*daemon].table.is_owned_here(&job(at))).count();
        if owners != 1 {
            return Err(format!("job {at} has {owners} owners in the end: {:?}", world.store.owners[at]));
        }
    }
    Ok(())
}

#[test]
fn each_open_job_finds_one_owner_again() {
    sequence::check(0x0e4a, 50, law);
}

#[test]
fn a_live_owner_whose_lease_lapsed_claims_before_the_others() {
    let mut table = OwnershipTable::new("a".into(), 1);
    table.daemon_joined("a".into(), presence(1));
    table.daemon_joined("b".into(), presence(1));
    table.job_accepted("j".into(), TimePoint(0));
    assert_eq!(table.due_claims(TimePoint(0), None, |_| true).len(), 1);
    assert!(table.due_claims(TimePoint(0), None, |_| false).is_empty());
    assert_eq!(table.due_claims(TimePoint(5_000), None, |_| false).len(), 1);
}

#[test]
fn an_ended_job_is_not_claimed_whatever_is_heard_first() {
    let mut table = OwnershipTable::new("a".into(), 1);
    table.job_accepted("j".into(), TimePoint(0));
    table.job_closed("j");
    table.job_accepted("j".into(), TimePoint(1));
    assert!(table.due_claims(TimePoint(9_000), None, |_| true).is_empty());
}

/// Daemons of two failure domains of one region, and of another region: name, failure domain, region.
const PLACES: [(&str, &str, &str); 7] = [
    ("a0", "a", "land"),
    ("a1", "a", "land"),
    ("a2", "a", "land"),
    ("b0", "b", "land"),
    ("b1", "b", "land"),
    ("c0", "c", "island"),
    ("c1", "c", "island"),
];

/// Whom each daemon asks for news, nearest first, without the daemon `left`.
fn news_sources(left: &str) -> std::collections::BTreeMap<&'static str, Vec<String>> {
    let present: Vec<_> = PLACES.iter().filter(|(daemon, ..)| *daemon != left).collect();
    let sources = |daemon: &'static str, domain: &str, region: &str| {
        let mut table = OwnershipTable::new(daemon.into(), 1);
        for (other, domain, region) in &present {
            let failure_domain = (*domain).into();
            table.daemon_joined(
                (*other).into(),
                DaemonPresence { failure_domain, region: (*region).into(), ..presence(1) },
            );
        }
        table.watch_sources(domain, region).into_iter().map(|(daemon, _)| daemon.to_string()).collect()
    };
    present.iter().map(|(daemon, domain, region)| (*daemon, sources(daemon, domain, region))).collect()
}

/// The daemon of `region` that asks nobody.
fn region_watcher(sources: &std::collections::BTreeMap<&'static str, Vec<String>>, region: &str) -> &'static str {
    let of_region = |daemon: &str| PLACES.iter().any(|(known, _, of)| *known == daemon && *of == region);
    let alone: Vec<&'static str> = sources
        .iter()
        .filter(|(daemon, asked)| of_region(daemon) && asked.is_empty())
        .map(|(daemon, _)| *daemon)
        .collect();
    assert_eq!(alone.len(), 1, "one watches for {region}: {sources:?}");
    alone[0]
}

fn check_news_sources(sources: &std::collections::BTreeMap<&'static str, Vec<String>>) {
    for (domain, region) in [("a", "land"), ("b", "land"), ("c", "island")] {
        let top = region_watcher(sources, region);
        let of_domain = |daemon: &str| PLACES.iter().any(|(known, of, _)| *known == daemon && *of == domain);
        let members: Vec<&&str> = sources.keys().filter(|daemon| of_domain(daemon)).collect();
        // Where the region's watcher is of this failure domain, it watches for the failure domain or asks nobody.
        let lower: Vec<&Vec<String>> =
            members.iter().filter(|daemon| ***daemon != top).map(|daemon| &sources[**daemon]).collect();
        let long: Vec<&&Vec<String>> = lower.iter().filter(|asked| asked.len() == 2).collect();
        assert!(lower.iter().all(|asked| asked.last().is_some_and(|last| last == top)), "{domain}: {sources:?}");
        assert!(lower.len() - long.len() <= 1 || long.is_empty(), "{domain} has one watcher: {sources:?}");
        assert!(long.iter().all(|asked| asked[0] == long[0][0]), "{domain} agrees on it: {sources:?}");
        for asked in long {
            assert_eq!(sources[asked[0].as_str()], [top.to_owned()], "it asks the region's");
        }
    }
}

/// Daemons that have heard of few others yet, also not of themselves, ask each other in no circle.
#[test]
fn no_two_daemons_wait_for_each_other_whatever_they_have_heard_of() {
    for heard in 0_u32..(1 << 9) {
        let asked: Vec<Option<usize>> = (0..3)
            .map(|daemon| {
                let mut table = OwnershipTable::new(name(daemon), 1);
                let knows = (0..3).filter(|other| heard >> (daemon * 3 + other) & 1 == 1);
                knows.for_each(|other| table.daemon_joined(name(other), presence(1)));
                let first = table.watch_sources("north", "land").first().map(|(daemon, _)| (*daemon).clone())?;
                (0..3).find(|other| name(*other) == first)
            })
            .collect();
        for start in 0..3 {
            let steps = std::iter::successors(Some(start), |daemon| asked[*daemon]).take(5).count();
            assert!(steps <= 3, "daemons that have heard {heard:#x} ask in a circle: {asked:?}");
        }
    }
}

#[test]
fn one_daemon_of_a_region_watches_the_store_and_one_of_each_failure_domain_passes_on() {
    let all = news_sources("");
    check_news_sources(&all);
    for top in [region_watcher(&all, "land"), region_watcher(&all, "island")] {
        check_news_sources(&news_sources(top));
    }
}

#[test]
fn a_given_job_waits_for_what_its_giver_knows_and_a_claimed_one_does_not() {
    let owner = |daemon: &str, revision| OwnerRecord { daemon: daemon.into(), incarnation: 1, revision };
    let mut table = OwnershipTable::new("a".into(), 1);
    table.owner_recorded("j".into(), owner("b", 1), TimePoint(0));
    assert!(!table.may_start("j", true, TimePoint(0)), "it is another's");
    table.owner_recorded("j".into(), owner("a", 2), TimePoint(100));
    table.owner_recorded("j".into(), owner("a", 2), TimePoint(300));
    assert!(table.may_start("j", true, TimePoint(100)));
    assert!(!table.may_start("j", false, TimePoint(599)));
    assert!(table.may_start("j", false, TimePoint(600)), "the giver may have died");
    table.job_claimed("j".into(), owner("a", 3), TimePoint(700));
    table.owner_recorded("j".into(), owner("a", 3), TimePoint(710));
    assert!(table.may_start("j", false, TimePoint(710)));
}
