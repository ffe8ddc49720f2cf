//! Loads of weights: every upstream is assigned one model and reaches its newest version, a few upstreams load at a
//! time, and no upstream returns to an older version.

use crate::sequence;
use pimentoslip_kernel::{
    LoadOrder, LoadOutcome, ModelDemand, SamplerRecord, SamplerState, ServiceSnapshot, SharedName, TimePoint,
    VersionPlanner,
};
use quickcheck::{Arbitrary, Gen};
use std::collections::BTreeMap;

const UPSTREAMS: usize = 5;
const PASS_INTERVAL_MS: u64 = 150;
/// Number of passes in one minute, in which every upstream can load several times.
const PASSES_MAX: usize = 400;

/// Input to the simulation of a service with several models.
#[derive(Clone, Debug)]
enum Command {
    /// The planner runs once. If `answers_lost`, its orders get no answer; if `delayed` as well, they also arrive only
    /// after [`Command::DeliverDelayed`].
    RunPlanner { answers_lost: bool, delayed: bool },
    /// A trainer announces its next version.
    AnnounceVersion { model: u8 },
    /// All loads are completed, and the list of upstreams shows the new versions.
    CompleteLoads,
    /// The oldest delayed order arrives.
    DeliverDelayed,
    /// An upstream stops.
    Leave { upstream: u8 },
    /// A new upstream starts.
    Join,
    /// The number of runs at an upstream changes.
    SetRuns { upstream: u8, runs: u8 },
    /// Another daemon takes the duty over and starts with an empty planner.
    ChangeHolder,
    /// Time passes.
    Wait { ms: u16 },
}

impl Arbitrary for Command {
    fn arbitrary(rng: &mut Gen) -> Self {
        let (first, second) = (u8::arbitrary(rng), u8::arbitrary(rng));
        match u8::arbitrary(rng) % 16 {
            0..=4 => Self::RunPlanner { answers_lost: first % 5 == 0, delayed: second % 2 == 0 },
            5 => Self::AnnounceVersion { model: first },
            6..=9 => Self::CompleteLoads,
            10 => Self::DeliverDelayed,
            11 if second % 3 == 0 => Self::Leave { upstream: first },
            12 if second % 3 == 0 => Self::Join,
            13 if second % 4 == 0 => Self::ChangeHolder,
            13 => Self::SetRuns { upstream: first, runs: second % 4 },
            _ => Self::Wait { ms: u16::arbitrary(rng) % 1_000 },
        }
    }
}

/// An upstream that carries out load orders.
struct Upstream {
    record: SamplerRecord,
    /// Number of orders accepted.
    accepted_count: u64,
    /// Order whose load is in progress.
    loading: Option<LoadOrder>,
    /// Number of items that it runs.
    runs: u64,
}

/// A service with its upstreams, its trainers and the planner.
struct Simulation {
    planner: VersionPlanner,
    upstreams: Vec<Upstream>,
    /// Orders that are on their way to their upstreams.
    delayed_orders: Vec<LoadOrder>,
    models: Vec<SharedName>,
    /// Newest version of each model.
    newest_versions: BTreeMap<SharedName, u64>,
    now: TimePoint,
    /// Number of upstreams started so far, used for their ids.
    joined_count: u64,
}

impl Simulation {
    fn new() -> Self {
        let models: Vec<SharedName> = vec!["m0".into(), "m1".into()];
        let mut simulation = Self {
            planner: VersionPlanner::default(),
            upstreams: Vec::new(),
            delayed_orders: Vec::new(),
            newest_versions: models.iter().map(|model| (model.clone(), 1)).collect(),
            models,
            now: TimePoint(0),
            joined_count: 0,
        };
        (0..UPSTREAMS).for_each(|_| simulation.join());
        simulation
    }

    fn join(&mut self) {
        self.joined_count += 1;
        let id: SharedName = format!("u{}", self.joined_count).into();
        let record = SamplerRecord {
            address: id.clone(),
            id,
            service: "s".into(),
            failure_domain: "a".into(),
            slots: 4,
            state: SamplerState::Ready,
            software: "v1".into(),
            versions: self.newest_versions.clone(),
            started_unix_ms: self.joined_count,
            reclaimable: false,
        };
        self.upstreams.push(Upstream { record, accepted_count: 0, loading: None, runs: 0 });
    }

    /// Delivers an order to its upstream.
    fn deliver(&mut self, order: &LoadOrder) -> LoadOutcome {
        let Some(upstream) = self.upstreams.iter_mut().find(|upstream| upstream.record.id == order.upstream) else {
            return LoadOutcome::Refused;
        };
        if upstream.record.versions[&order.model] == order.version && upstream.loading.is_none() {
            return LoadOutcome::AlreadyLoaded;
        }
        if upstream.loading.is_some() || order.accepted_before != Some(upstream.accepted_count) {
            return LoadOutcome::Conflict;
        }
        upstream.accepted_count += 1;
        upstream.loading = Some(order.clone());
        LoadOutcome::Accepted
    }

    /// Runs the planner once and delivers its orders.
    fn run_planner(&mut self, answers_lost: bool, delayed: bool) -> Result<(), String> {
        let records: Vec<SamplerRecord> = self.upstreams.iter().map(|upstream| upstream.record.clone()).collect();
        let demand = |model: &SharedName| {
            let newest_version = self.newest_versions[model];
            ModelDemand { newest_version, oldest_usable_version: newest_version - 1, work: 0 }
        };
        let models: BTreeMap<SharedName, ModelDemand> =
            self.models.iter().map(|model| (model.clone(), demand(model))).collect();
        let runs: BTreeMap<SharedName, u64> =
            self.upstreams.iter().map(|upstream| (upstream.record.id.clone(), upstream.runs)).collect();
        let service = ServiceSnapshot { upstreams: &records, models: &models, runs: &runs };
        let orders = self.planner.plan(&service, self.now);
        if orders.len() > records.len().div_ceil(5).max(1) {
            return Err(format!("{} of {} upstreams load at the same time", orders.len(), records.len()));
        }
        for mut order in orders {
            if self.newest_versions[&order.model] != order.version {
                return Err(format!("{order:?} is not for the model's newest version"));
            }
            // The caller of the planner requests the count from the upstream if it is unknown.
            let accepted_count = self
                .upstreams
                .iter()
                .find(|upstream| upstream.record.id == order.upstream)
                .map(|upstream| upstream.accepted_count);
            order.accepted_before = order.accepted_before.or(accepted_count);
            let outcome = if answers_lost && delayed {
                self.delayed_orders.push(order.clone());
                LoadOutcome::Unanswered
            } else {
                let outcome = self.deliver(&order);
                if answers_lost { LoadOutcome::Unanswered } else { outcome }
            };
            self.planner.order_answered(&order, outcome, self.now);
        }
        self.check_assignment()
    }

    /// Completes all loads and checks that no upstream returns to an older version.
    fn complete_loads(&mut self) -> Result<(), String> {
        for upstream in &mut self.upstreams {
            if let Some(order) = upstream.loading.take() {
                let previous = upstream.record.versions.insert(order.model.clone(), order.version);
                if previous.is_some_and(|previous| previous > order.version) {
                    return Err(format!(
                        "{} returned from version {previous:?} to {}",
                        upstream.record.id, order.version
                    ));
                }
            }
        }
        Ok(())
    }

    /// Checks that the models' numbers of upstreams differ by at most one.
    fn check_assignment(&self) -> Result<(), String> {
        let assigned_count = |model: &SharedName| {
            self.upstreams
                .iter()
                .filter(|upstream| self.planner.assigned_model(&upstream.record.id) == Some(model))
                .count()
        };
        let counts: Vec<usize> = self.models.iter().map(assigned_count).collect();
        let (lowest, highest) = (counts.iter().min().unwrap_or(&0), counts.iter().max().unwrap_or(&0));
        if highest - lowest > 1 { Err(format!("upstreams are assigned unevenly: {counts:?}")) } else { Ok(()) }
    }

    /// An upstream that has no model, or not the newest version of its model.
    fn outdated_upstream(&self) -> Option<&SamplerRecord> {
        let is_current = |record: &SamplerRecord| {
            self.planner
                .assigned_model(&record.id)
                .is_some_and(|model| record.versions[model] == self.newest_versions[model])
        };
        self.upstreams.iter().map(|upstream| &upstream.record).find(|record| !is_current(record))
    }

    fn apply(&mut self, command: &Command) -> Result<(), String> {
        match *command {
            Command::RunPlanner { answers_lost, delayed } => self.run_planner(answers_lost, delayed)?,
            Command::AnnounceVersion { model } => {
                let model = self.models[usize::from(model) % self.models.len()].clone();
                *self.newest_versions.entry(model).or_default() += 1;
            }
            Command::CompleteLoads => self.complete_loads()?,
            Command::DeliverDelayed => {
                if !self.delayed_orders.is_empty() {
                    let order = self.delayed_orders.remove(0);
                    self.deliver(&order);
                }
            }
            Command::Leave { upstream } => {
                if self.upstreams.len() > 1 {
                    let position = usize::from(upstream) % self.upstreams.len();
                    self.upstreams.remove(position);
                }
            }
            Command::Join => self.join(),
            Command::SetRuns { upstream, runs } => {
                let position = usize::from(upstream) % self.upstreams.len();
                self.upstreams[position].runs = u64::from(runs);
            }
            Command::ChangeHolder => self.planner = VersionPlanner::default(),
            Command::Wait { ms } => self.now = self.now.plus_ms(u64::from(ms)),
        }
        Ok(())
    }
}

#[test]
fn every_upstream_reaches_the_newest_version_of_its_model() {
    sequence::check(0x4e25, 50, |commands: Vec<Command>| {
        let mut simulation = Simulation::new();
        commands.iter().try_for_each(|command| simulation.apply(command))?;
        simulation.upstreams.iter_mut().for_each(|upstream| upstream.runs = 0);
        // Without further faults, every upstream, now idle, must reach the newest version of its model.
        for _ in 0..PASSES_MAX {
            simulation.now = simulation.now.plus_ms(PASS_INTERVAL_MS);
            simulation.run_planner(false, false)?;
            simulation.complete_loads()?;
            if simulation.outdated_upstream().is_none() {
                return Ok(());
            }
        }
        Err(format!(
            "{:?} does not reach the newest versions {:?}",
            simulation.outdated_upstream(),
            simulation.newest_versions
        ))
    });
}

#[test]
fn a_delayed_order_does_not_load_an_older_version() {
    let mut simulation = Simulation::new();
    let order = |version, accepted_before| LoadOrder {
        upstream: "u1".into(),
        address: "u1".into(),
        model: "m0".into(),
        version,
        accepted_before,
    };
    assert_eq!(simulation.deliver(&order(3, Some(0))), LoadOutcome::Accepted);
    simulation.complete_loads().unwrap();
    assert_eq!(simulation.deliver(&order(2, Some(0))), LoadOutcome::Conflict);
}

/// Records and runs of upstreams of one model, each given by its version and number of runs.
fn records_and_runs(upstreams: &[(u64, u64)]) -> (Vec<SamplerRecord>, BTreeMap<SharedName, u64>) {
    let record = |(position, (version, _)): (usize, &(u64, u64))| {
        let id: SharedName = format!("u{position}").into();
        SamplerRecord {
            address: id.clone(),
            id,
            service: "s".into(),
            failure_domain: "a".into(),
            slots: 4,
            state: SamplerState::Ready,
            software: "v1".into(),
            versions: BTreeMap::from([("m".into(), *version)]),
            started_unix_ms: 1,
            reclaimable: false,
        }
    };
    let runs =
        upstreams.iter().enumerate().map(|(position, (_, runs))| (format!("u{position}").into(), *runs)).collect();
    (upstreams.iter().enumerate().map(record).collect(), runs)
}

/// Ids of the upstreams that load version 5, in order, `age_ms` after it was announced, if steps require version 4 or
/// newer. Each upstream is given by its version and number of runs.
fn load_sequence(initial: &[(u64, u64)], age_ms: u64) -> Vec<String> {
    let (mut upstreams, runs) = records_and_runs(initial);
    let models = BTreeMap::from([("m".into(), ModelDemand { newest_version: 5, oldest_usable_version: 4, work: 1 })]);
    let mut planner = VersionPlanner::default();
    let mut loaded_ids = Vec::new();
    planner.plan(&ServiceSnapshot { upstreams: &[], models: &models, runs: &runs }, TimePoint(0));
    // Each load is completed before the next pass.
    for _ in 0..initial.len() {
        let service = ServiceSnapshot { upstreams: &upstreams, models: &models, runs: &runs };
        for order in planner.plan(&service, TimePoint(age_ms)) {
            planner.order_answered(&order, LoadOutcome::Accepted, TimePoint(age_ms));
            loaded_ids.push(order.upstream.to_string());
            let record = upstreams.iter_mut().find(|record| record.id == order.upstream);
            record.unwrap().versions.insert("m".into(), 5);
        }
    }
    loaded_ids
}

#[test]
fn unusable_upstreams_load_first_and_half_of_the_busy_ones_keep_serving() {
    // Version and runs of each upstream, milliseconds since the new version was announced, ids of those that load.
    type Upstreams = &'static [(u64, u64)];
    let cases: [(Upstreams, u64, &[&str]); 6] = [
        (&[(4, 3), (4, 1), (4, 2), (4, 4)], 0, &[]),
        (&[(4, 3), (4, 1), (4, 2), (4, 4)], 700, &["u1", "u2"]),
        (&[(4, 3), (3, 2), (3, 0), (4, 4)], 0, &["u2", "u1"]),
        (&[(4, 3), (3, 2), (3, 0), (4, 4)], 700, &["u2", "u1"]),
        (&[(4, 3), (4, 0), (4, 0), (4, 4)], 700, &["u1", "u2"]),
        (&[(4, 0), (4, 0), (4, 0), (4, 4)], 700, &["u0", "u1", "u2"]),
    ];
    for (initial, age_ms, expected) in cases {
        assert_eq!(load_sequence(initial, age_ms), expected, "{initial:?} after {age_ms} ms");
    }
}

/// Number of upstreams that are assigned to each model, given the work in the models' recent steps.
fn assigned_counts(upstreams: usize, work: &[u64]) -> Vec<usize> {
    let names: Vec<SharedName> = (0..work.len()).map(|number| format!("m{number}").into()).collect();
    let (mut records, runs) = records_and_runs(&vec![(1, 0); upstreams]);
    records.iter_mut().for_each(|record| record.versions = names.iter().map(|name| (name.clone(), 1)).collect());
    let demand = |work: &u64| ModelDemand { newest_version: 2, oldest_usable_version: 1, work: *work };
    let models = names.iter().cloned().zip(work.iter().map(demand)).collect();
    let mut planner = VersionPlanner::default();
    planner.plan(&ServiceSnapshot { upstreams: &records, models: &models, runs: &runs }, TimePoint(0));
    let count = |name| records.iter().filter(|record| planner.assigned_model(&record.id) == Some(name)).count();
    names.iter().map(count).collect()
}

#[test]
fn upstreams_are_assigned_in_proportion_to_the_work_of_the_models() {
    let cases: [(usize, &[u64], &[usize]); 6] = [
        (9, &[1, 1], &[5, 4]),
        (8, &[1_496, 1_584, 672], &[3, 3, 2]),
        (12, &[1_496, 1_584, 672], &[4, 5, 3]),
        (45, &[100, 100, 10], &[21, 21, 3]),
        (5, &[7, 0, 7], &[2, 2, 1]),
        (2, &[1, 1, 1], &[1, 1, 0]),
    ];
    for (upstreams, work, expected) in cases {
        let mut counts = assigned_counts(upstreams, work);
        if work.iter().all(|amount| *amount == work[0]) || work.contains(&0) {
            counts.sort_by(|a, b| b.cmp(a));
        }
        assert_eq!(counts, expected, "{upstreams} upstreams for {work:?}");
    }
}

/// Guards against a version that ends the upstreams that load it and is ordered at a fifth of them all the time.
#[test]
fn a_version_that_ends_upstreams_is_loaded_at_one_upstream_at_a_time() {
    const UPSTREAM_COUNT: usize = 20;
    const CRASH_AFTER_MS: u64 = 500;
    const RESTART_AFTER_MS: u64 = 4_000;
    /// Crashes after which the version is known to end upstreams.
    const CRASHES_MAX: usize = 3;
    let mut simulation = Simulation::new();
    while simulation.upstreams.len() < UPSTREAM_COUNT {
        simulation.join();
    }
    simulation.newest_versions.insert("m0".into(), 2);
    // End of each load by the upstream's id, and the upstreams that are down until a time.
    let mut crashes_at: BTreeMap<SharedName, TimePoint> = BTreeMap::new();
    let mut down: Vec<(TimePoint, Upstream)> = Vec::new();
    let mut crash_count = 0;
    for _ in 0..PASSES_MAX {
        simulation.now = simulation.now.plus_ms(PASS_INTERVAL_MS);
        let now = simulation.now;
        let (restarted, still_down) = down.into_iter().partition(|(until, _)| *until <= now);
        down = still_down;
        simulation.upstreams.extend(restarted.into_iter().map(|(_, upstream)| upstream));
        simulation.run_planner(false, false).unwrap();
        for upstream in &simulation.upstreams {
            if upstream.loading.is_some() {
                crashes_at.entry(upstream.record.id.clone()).or_insert(now.plus_ms(CRASH_AFTER_MS));
            }
        }
        let is_crashing = |upstream: &Upstream| crashes_at.get(&upstream.record.id).is_some_and(|at| *at <= now);
        while let Some(index) = simulation.upstreams.iter().position(is_crashing) {
            let mut upstream = simulation.upstreams.remove(index);
            crash_count += 1;
            (upstream.loading, upstream.accepted_count) = (None, 0);
            upstream.record.started_unix_ms += 1_000;
            down.push((now.plus_ms(RESTART_AFTER_MS), upstream));
        }
        crashes_at.retain(|_, at| *at > now);
        let unavailable = down.len() + crashes_at.len();
        // Loads that began before the third crash may still end their upstreams.
        if crash_count > CRASHES_MAX + UPSTREAM_COUNT / 5 {
            assert!(unavailable <= 1, "{unavailable} upstreams are down or loading after {crash_count} crashes");
        }
    }
    assert!(crash_count > CRASHES_MAX, "the version is tried again");
    // The version loads after all, for example because the upstreams got a new release.
    simulation.upstreams.extend(down.into_iter().map(|(_, upstream)| upstream));
    for _ in 0..PASSES_MAX {
        simulation.apply(&Command::CompleteLoads).unwrap();
        simulation.now = simulation.now.plus_ms(PASS_INTERVAL_MS);
        simulation.run_planner(false, false).unwrap();
    }
    simulation.apply(&Command::CompleteLoads).unwrap();
    let loaded = simulation.upstreams.iter().filter(|upstream| upstream.record.versions["m0"] == 2);
    assert_eq!(loaded.count(), UPSTREAM_COUNT / 2, "all upstreams of the model have the version");
}
