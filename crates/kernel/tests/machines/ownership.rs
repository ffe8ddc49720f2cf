//! Ownership of batch jobs: the store holds one owner at a time, each open job gets an owner again, and a running owner
//! keeps its jobs.

use crate::sequence;
use pimentoslip_kernel::{
    DaemonPresence, HomeRegions, JobPlacement, OwnerRecord, OwnershipTable, SharedName, TimePoint,
};
use quickcheck::{Arbitrary, Gen};

const DAEMONS: usize = 3;
const JOBS: usize = 2;

/// Input to the simulation of a store and its daemons.
#[derive(Clone, Debug)]
enum Command {
    /// A daemon claims the jobs that [`OwnershipTable::due_claims`] returns; the answers may be lost.
    Claim { daemon: u8, lost: bool },
    /// A daemon receives the next changes of the store.
    Receive { daemon: u8, count: u8 },
    /// A daemon's process ends, and a new one starts on the same VM.
    Restart { daemon: u8 },
    /// A daemon's lease ends while its process keeps running.
    EndLease { daemon: u8 },
    /// A job's end is stored.
    CloseJob { job: u8 },
    /// Time passes.
    Wait { ms: u16 },
}

impl Arbitrary for Command {
    fn arbitrary(rng: &mut Gen) -> Self {
        let (first, second) = (u8::arbitrary(rng), u8::arbitrary(rng));
        match u8::arbitrary(rng) % 16 {
            0..=4 => Self::Claim { daemon: first, lost: second % 4 == 0 },
            5..=9 => Self::Receive { daemon: first, count: second % 4 + 1 },
            10 if second % 2 == 0 => Self::Restart { daemon: first },
            11 if second % 2 == 0 => Self::EndLease { daemon: first },
            12 if second % 6 == 0 => Self::CloseJob { job: first },
            _ => Self::Wait { ms: u16::arbitrary(rng) % 900 },
        }
    }
}

/// A change in the store; jobs and daemons are given by their indexes.
#[derive(Clone, Debug)]
enum Change {
    OwnerWritten(usize, OwnerRecord),
    OwnerRemoved(usize, u64),
    DaemonJoined(usize),
    DaemonLeft(usize),
    JobClosed(usize),
}

/// The key-value store: the owner of each job, and the history of changes that daemons watch.
struct Store {
    revision: u64,
    owners: Vec<Option<OwnerRecord>>,
    closed: Vec<bool>,
    history: Vec<Change>,
}

/// A daemon's current process.
struct Daemon {
    table: OwnershipTable,
    incarnation: u64,
    /// Number of the store's changes that this process has received.
    received: usize,
    /// Jobs whose state this process has in memory.
    held: Vec<usize>,
}

fn daemon_name(daemon: usize) -> SharedName {
    format!("d{daemon}").into()
}

fn job_id(job: usize) -> SharedName {
    format!("j{job}").into()
}

fn presence(incarnation: u64) -> DaemonPresence {
    DaemonPresence {
        incarnation,
        lease: incarnation,
        control_address: "".into(),
        failure_domain: "north".into(),
        region: "land".into(),
        relay_token: "".into(),
    }
}

impl Daemon {
    /// Starts a process, which reads all entries of the store.
    fn start(daemon: usize, incarnation: u64, store: &Store, now: TimePoint) -> Self {
        let mut table = OwnershipTable::new(daemon_name(daemon), incarnation);
        for other in 0..DAEMONS {
            table.daemon_joined(daemon_name(other), presence(1));
        }
        for job in 0..JOBS {
            table.job_accepted(job_id(job), now);
            if store.closed[job] {
                table.job_closed(&job_id(job));
            }
            if let Some(owner) = &store.owners[job] {
                table.owner_recorded(job_id(job), owner.clone(), now);
            }
        }
        Self { table, incarnation, received: store.history.len(), held: Vec::new() }
    }

    /// Receives the next `count` changes of the store.
    fn receive(&mut self, store: &Store, count: usize, now: TimePoint) {
        let until = store.history.len().min(self.received + count);
        for change in &store.history[self.received..until] {
            match change {
                Change::OwnerWritten(job, owner) => self.table.owner_recorded(job_id(*job), owner.clone(), now),
                Change::OwnerRemoved(job, revision) => self.table.owner_removed(&job_id(*job), *revision, now),
                Change::DaemonJoined(daemon) => self.table.daemon_joined(daemon_name(*daemon), presence(1)),
                Change::DaemonLeft(daemon) => self.table.daemon_left(&daemon_name(*daemon), now),
                Change::JobClosed(job) => self.table.job_closed(&job_id(*job)),
            }
        }
        self.received = until;
    }
}

/// Model of the store and its daemons, and the current time.
struct Simulation {
    store: Store,
    daemons: Vec<Daemon>,
    now: TimePoint,
}

impl Simulation {
    fn new() -> Self {
        let store = Store { revision: 10, owners: vec![None; JOBS], closed: vec![false; JOBS], history: Vec::new() };
        let daemons = (0..DAEMONS).map(|daemon| Daemon::start(daemon, 1, &store, TimePoint(0))).collect();
        Self { store, daemons, now: TimePoint(0) }
    }

    /// Writes the claims that are due on `daemon`. Fails if one of them replaces the record of a running owner.
    fn claim(&mut self, daemon: usize, lost: bool) -> Result<(), String> {
        let held: Vec<SharedName> = self.daemons[daemon].held.iter().map(|job| job_id(*job)).collect();
        let claims = self.daemons[daemon].table.due_claims(
            self.now,
            None,
            |job| held.iter().any(|held| **held == *job),
            Clone::clone,
        );
        for claim in claims {
            let job = (0..JOBS).find(|job| job_id(*job) == claim.job).ok_or("claimed a job that does not exist")?;
            let stored = self.store.owners[job].as_ref();
            if stored.map_or(0, |owner| owner.revision) != claim.replaced_revision {
                continue;
            }
            if let Some(owner) = stored
                && (owner.daemon != daemon_name(daemon) || owner.incarnation >= self.daemons[daemon].incarnation)
            {
                return Err(format!("{} claimed {}, which is owned by {owner:?}", daemon_name(daemon), claim.job));
            }
            self.store.revision += 1;
            let incarnation = self.daemons[daemon].incarnation;
            let owner = OwnerRecord { daemon: daemon_name(daemon), incarnation, revision: self.store.revision };
            self.store.owners[job] = Some(owner.clone());
            self.store.history.push(Change::OwnerWritten(job, owner.clone()));
            if !lost {
                self.daemons[daemon].table.owner_recorded(claim.job, owner, self.now);
            }
        }
        self.load_states(daemon);
        Ok(())
    }

    /// Loads the state of the jobs that the daemon owns, and drops that of jobs owned by others.
    fn load_states(&mut self, daemon: usize) {
        let owner = &mut self.daemons[daemon];
        owner.held =
            (0..JOBS).filter(|job| owner.table.is_owned_here(&job_id(*job)) || owner.held.contains(job)).collect();
        owner.held.retain(|job| !owner.table.is_owned_elsewhere(&job_id(*job)));
    }

    /// Ends the lease of `daemon`, which deletes all entries bound to it.
    fn end_lease(&mut self, daemon: usize) {
        for job in 0..JOBS {
            if self.store.owners[job].as_ref().is_some_and(|owner| owner.daemon == daemon_name(daemon)) {
                self.store.revision += 1;
                self.store.owners[job] = None;
                self.store.history.push(Change::OwnerRemoved(job, self.store.revision));
            }
        }
        self.store.history.push(Change::DaemonLeft(daemon));
        self.store.history.push(Change::DaemonJoined(daemon));
    }

    fn apply(&mut self, command: &Command) -> Result<(), String> {
        match *command {
            Command::Claim { daemon, lost } => self.claim(usize::from(daemon) % DAEMONS, lost)?,
            Command::Receive { daemon, count } => {
                let daemon = usize::from(daemon) % DAEMONS;
                self.daemons[daemon].receive(&self.store, usize::from(count), self.now);
                self.load_states(daemon);
            }
            Command::Restart { daemon } => {
                let daemon = usize::from(daemon) % DAEMONS;
                let incarnation = self.daemons[daemon].incarnation + 1;
                self.daemons[daemon] = Daemon::start(daemon, incarnation, &self.store, self.now);
            }
            Command::EndLease { daemon } => self.end_lease(usize::from(daemon) % DAEMONS),
            Command::CloseJob { job } => {
                let job = usize::from(job) % JOBS;
                self.store.closed[job] = true;
                self.store.history.push(Change::JobClosed(job));
            }
            Command::Wait { ms } => self.now = self.now.plus_ms(u64::from(ms)),
        }
        Ok(())
    }
}

/// Applies `commands`. Fails if another daemon claims the job of a running owner, or if an open job doesn't have
/// exactly one owner at the end.
fn each_open_job_has_one_owner(commands: Vec<Command>) -> Result<(), String> {
    let mut simulation = Simulation::new();
    for command in &commands {
        simulation.apply(command)?;
    }
    // Once all daemons have received all changes, exactly one of them must consider itself the owner of an open job.
    for _ in 0..6 {
        simulation.now = simulation.now.plus_ms(600);
        for daemon in 0..DAEMONS {
            simulation.daemons[daemon].receive(&simulation.store, usize::MAX / 2, simulation.now);
            simulation.load_states(daemon);
            simulation.claim(daemon, false)?;
        }
    }
    for daemon in 0..DAEMONS {
        simulation.daemons[daemon].receive(&simulation.store, usize::MAX / 2, simulation.now);
    }
    for job in (0..JOBS).filter(|job| !simulation.store.closed[*job]) {
        let owners =
            (0..DAEMONS).filter(|daemon| simulation.daemons[*daemon].table.is_owned_here(&job_id(job))).count();
        if owners != 1 {
            return Err(format!("job {job} has {owners} owners at the end: {:?}", simulation.store.owners[job]));
        }
    }
    Ok(())
}

#[test]
fn each_open_job_gets_exactly_one_owner_after_failures() {
    sequence::check(0x0e4a, 50, each_open_job_has_one_owner);
}

#[test]
fn a_running_owner_whose_lease_ended_claims_its_job_before_the_others() {
    let mut table = OwnershipTable::new("a".into(), 1);
    table.daemon_joined("a".into(), presence(1));
    table.daemon_joined("b".into(), presence(1));
    table.job_accepted("j".into(), TimePoint(0));
    assert_eq!(table.due_claims(TimePoint(0), None, |_| true, Clone::clone).len(), 1);
    assert!(table.due_claims(TimePoint(0), None, |_| false, Clone::clone).is_empty());
    assert_eq!(table.due_claims(TimePoint(5_000), None, |_| false, Clone::clone).len(), 1);
}

/// Guards against jobs of one route that are spread over all daemons after their owner has ended, although one daemon owns
/// all new jobs of the route.
#[test]
fn jobs_without_an_owner_are_claimed_by_the_daemon_that_gets_new_jobs_of_their_route() {
    const JOB_COUNT: usize = 20;
    let daemons: [SharedName; 3] = ["a".into(), "b".into(), "c".into()];
    let route = |_: &SharedName| SharedName::from("route");
    let claimed_by = |name: &SharedName| {
        let mut table = OwnershipTable::new(name.clone(), 1);
        daemons.iter().for_each(|daemon| table.daemon_joined(daemon.clone(), presence(1)));
        (0..JOB_COUNT).for_each(|job| table.job_accepted(format!("j{job}").into(), TimePoint(0)));
        let preferred = table.preferred_daemon(&route(&"j0".into()).into(), None).map(|(daemon, _)| daemon.clone());
        // Later than the preferred daemon claims, and earlier than any other one.
        let claims = table.due_claims(TimePoint(1_000), None, |_| false, route).len();
        assert_eq!(claims, if preferred.as_ref() == Some(name) { JOB_COUNT } else { 0 }, "{name}");
        claims
    };
    assert_eq!(daemons.iter().map(claimed_by).sum::<usize>(), JOB_COUNT);
}

#[test]
fn a_closed_job_is_not_claimed_when_its_acceptance_is_received_again() {
    let mut table = OwnershipTable::new("a".into(), 1);
    table.job_accepted("j".into(), TimePoint(0));
    table.job_closed("j");
    table.job_accepted("j".into(), TimePoint(1));
    assert!(table.due_claims(TimePoint(9_000), None, |_| true, Clone::clone).is_empty());
}

/// Name, failure domain and region of daemons in two failure domains of one region and in another region.
const DAEMON_LOCATIONS: [(&str, &str, &str); 7] = [
    ("a0", "a", "land"),
    ("a1", "a", "land"),
    ("a2", "a", "land"),
    ("b0", "b", "land"),
    ("b1", "b", "land"),
    ("c0", "c", "island"),
    ("c1", "c", "island"),
];

/// The sources from which each daemon receives changes, nearest first, while the daemon `left` is not running.
fn watch_sources(left: &str) -> std::collections::BTreeMap<&'static str, Vec<String>> {
    let present: Vec<_> = DAEMON_LOCATIONS.iter().filter(|(daemon, ..)| *daemon != left).collect();
    let sources = |daemon: &'static str, domain: &str, region: &str| {
        let mut table = OwnershipTable::new(daemon.into(), 1);
        for (other, domain, region) in &present {
            let failure_domain = (*domain).into();
            table.daemon_joined(
                (*other).into(),
                DaemonPresence { failure_domain, region: (*region).into(), ..presence(1) },
            );
        }
        table.watch_sources(domain, region).into_iter().map(|source| source.daemon.to_string()).collect()
    };
    present.iter().map(|(daemon, domain, region)| (*daemon, sources(daemon, domain, region))).collect()
}

/// The daemon of `region` without sources, which watches the store itself.
fn region_watcher(sources: &std::collections::BTreeMap<&'static str, Vec<String>>, region: &str) -> &'static str {
    let is_in_region =
        |daemon: &str| DAEMON_LOCATIONS.iter().any(|(name, _, other)| *name == daemon && *other == region);
    let watchers: Vec<&'static str> = sources
        .iter()
        .filter(|(daemon, chain)| is_in_region(daemon) && chain.is_empty())
        .map(|(daemon, _)| *daemon)
        .collect();
    assert_eq!(watchers.len(), 1, "one daemon watches for {region}: {sources:?}");
    watchers[0]
}

/// Checks that each failure domain without the region's watcher has one watcher, and that all daemons agree on both.
fn check_watch_sources(sources: &std::collections::BTreeMap<&'static str, Vec<String>>) {
    for (domain, region) in [("a", "land"), ("b", "land"), ("c", "island")] {
        let watcher = region_watcher(sources, region);
        let is_in_domain =
            |daemon: &str| DAEMON_LOCATIONS.iter().any(|(name, other, _)| *name == daemon && *other == domain);
        let members: Vec<&&str> = sources.keys().filter(|daemon| is_in_domain(daemon)).collect();
        // If the region's watcher is in this failure domain, no other daemon watches for the failure domain.
        let chains: Vec<&Vec<String>> =
            members.iter().filter(|daemon| ***daemon != watcher).map(|daemon| &sources[**daemon]).collect();
        let long_chains: Vec<&&Vec<String>> = chains.iter().filter(|chain| chain.len() == 2).collect();
        assert!(chains.iter().all(|chain| chain.last().is_some_and(|last| last == watcher)), "{domain}: {sources:?}");
        assert!(
            chains.len() - long_chains.len() <= 1 || long_chains.is_empty(),
            "{domain} has one watcher: {sources:?}"
        );
        assert!(long_chains.iter().all(|chain| chain[0] == long_chains[0][0]), "{domain} agrees on it: {sources:?}");
        for chain in long_chains {
            assert_eq!(sources[chain[0].as_str()], [watcher.to_owned()], "its only source is the region's watcher");
        }
    }
}

/// Just after a start, daemons have received the presence of only some daemons, perhaps not even their own. For every
/// such combination, following the nearest sources must not lead back to the same daemon.
#[test]
fn watch_sources_form_no_circle_while_daemons_see_different_members() {
    for seen in 0_u32..(1 << 9) {
        let next_source: Vec<Option<usize>> = (0..3)
            .map(|daemon| {
                let mut table = OwnershipTable::new(daemon_name(daemon), 1);
                let seen_daemons = (0..3).filter(|other| seen >> (daemon * 3 + other) & 1 == 1);
                seen_daemons.for_each(|other| table.daemon_joined(daemon_name(other), presence(1)));
                let first = table.watch_sources("north", "land").first().map(|source| source.daemon.clone())?;
                (0..3).find(|other| daemon_name(*other) == first)
            })
            .collect();
        for start in 0..3 {
            let steps = std::iter::successors(Some(start), |daemon| next_source[*daemon]).take(5).count();
            assert!(steps <= 3, "daemons that have seen {seen:#x} wait in a circle: {next_source:?}");
        }
    }
}

#[test]
fn one_daemon_of_a_region_watches_the_store_and_one_of_each_failure_domain_relays_changes() {
    let all = watch_sources("");
    check_watch_sources(&all);
    for watcher in [region_watcher(&all, "land"), region_watcher(&all, "island")] {
        check_watch_sources(&watch_sources(watcher));
    }
}

#[test]
fn a_job_handed_over_waits_for_its_pushed_state_and_a_claimed_one_does_not() {
    let owner = |daemon: &str, revision| OwnerRecord { daemon: daemon.into(), incarnation: 1, revision };
    let mut table = OwnershipTable::new("a".into(), 1);
    table.owner_recorded("j".into(), owner("b", 1), TimePoint(0));
    assert!(!table.may_start("j", true, TimePoint(0)), "another daemon owns the job");
    table.owner_recorded("j".into(), owner("a", 2), TimePoint(100));
    table.owner_recorded("j".into(), owner("a", 2), TimePoint(300));
    assert!(table.may_start("j", true, TimePoint(100)));
    assert!(!table.may_start("j", false, TimePoint(599)));
    assert!(table.may_start("j", false, TimePoint(600)), "the daemon that handed it over may have failed");
    table.job_claimed("j".into(), owner("a", 3), TimePoint(700));
    table.owner_recorded("j".into(), owner("a", 3), TimePoint(710));
    assert!(table.may_start("j", false, TimePoint(710)));
}

/// Guards against a job that a daemon keeps as its own because it learned of its ownership after the removal of that, or after a
/// newer owner.
#[test]
fn a_late_answer_to_a_claim_or_a_late_push_replaces_no_newer_knowledge() {
    let owner = |daemon: &str, revision| OwnerRecord { daemon: daemon.into(), incarnation: 1, revision };
    for (is_claim, has_successor) in [(true, true), (true, false), (false, true), (false, false)] {
        let mut table = OwnershipTable::new("a".into(), 1);
        table.job_accepted("j".into(), TimePoint(0));
        table.owner_recorded("j".into(), owner("a", 9), TimePoint(10));
        table.owner_removed("j", 10, TimePoint(20));
        if has_successor {
            table.owner_recorded("j".into(), owner("b", 12), TimePoint(30));
        }
        if is_claim {
            table.job_claimed("j".into(), owner("a", 9), TimePoint(40));
        } else {
            table.owner_recorded("j".into(), owner("a", 9), TimePoint(40));
        }
        assert!(!table.is_owned_here("j"), "claim: {is_claim}, successor: {has_successor}");
        let claims = table.due_claims(TimePoint(9_000), None, |_| true, Clone::clone).len();
        assert_eq!(claims, usize::from(!has_successor), "claim: {is_claim}, successor: {has_successor}");
    }
}

/// Guards against submissions that are sent to daemons outside of the homes of their job.
#[test]
fn only_daemons_in_the_homes_of_a_job_or_where_it_was_accepted_own_it() {
    let land = HomeRegions::from_names(["land".into()]);
    let nowhere = HomeRegions::from_names(["sea".into()]);
    let all: Vec<&str> = DAEMON_LOCATIONS.iter().map(|(daemon, ..)| *daemon).collect();
    // Homes, region of the daemon that accepted the job, and the daemons that may own it.
    let cases = [
        (None, "land", &all[..]),
        (land.clone(), "land", &all[..5]),
        (land.clone(), "", &all[..5]),
        (land, "island", &all[..]),
        (nowhere.clone(), "island", &all[5..]),
        (nowhere, "", &[]),
    ];
    for (homes, accepted_in, owners) in cases {
        let placement =
            |key: &SharedName| JobPlacement { key: key.clone(), homes: homes.clone(), accepted_in: accepted_in.into() };
        for daemon in &all {
            let mut table = OwnershipTable::new((*daemon).into(), 1);
            for (other, _, region) in DAEMON_LOCATIONS {
                table.daemon_joined(other.into(), DaemonPresence { region: region.into(), ..presence(1) });
            }
            table.job_accepted("j".into(), TimePoint(0));
            let claims = table.due_claims(TimePoint(9_000), None, |_| false, placement).len();
            assert_eq!(claims, usize::from(owners.contains(daemon)), "{daemon}: {homes:?}, {accepted_in}");
            for key in 0..20 {
                let preferred = table.preferred_daemon(&placement(&format!("route-{key}").into()), None);
                let is_allowed = preferred.is_none_or(|(name, _)| owners.contains(&&**name));
                assert!(
                    is_allowed && preferred.is_some() != owners.is_empty(),
                    "{preferred:?}: {homes:?}, {accepted_in}"
                );
            }
        }
    }
}
