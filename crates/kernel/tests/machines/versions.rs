//! Loads of weights: newest versions reach every upstream, a few at a time, each for one model.

use crate::sequence;
use pimentoslip_kernel::{
    LoadOrder, LoadOutcome, ModelDemand, SamplerRecord, SamplerState, ServiceSnapshot, SharedName, TimePoint,
    VersionPlanner,
};
use quickcheck::{Arbitrary, Gen};
use std::collections::BTreeMap;

const UPSTREAMS: usize = 5;
const ROUND_MS: u64 = 150;
/// One minute, in which every upstream could load several times.
const ROUNDS_MAX: usize = 400;

#[derive(Clone, Debug)]
enum Command {
    /// The planner's round; of the orders some get no answer, some are carried out late.
    Round {
        lost: bool,
        late: bool,
    },
    /// A trainer names its next version.
    Name {
        model: u8,
    },
    /// Loads end, and the list shows it.
    Load,
    /// A late order is carried out.
    Late,
    /// An upstream leaves, or another one comes.
    Leave {
        upstream: u8,
    },
    Join,
    /// An upstream runs items, or none.
    Run {
        upstream: u8,
        runs: u8,
    },
    /// The duty changes hands.
    Change,
    Wait {
        ms: u16,
    },
}

impl Arbitrary for Command {
    fn arbitrary(rng: &mut Gen) -> Self {
        let (a, b) = (u8::arbitrary(rng), u8::arbitrary(rng));
        match u8::arbitrary(rng) % 16 {
            0..=4 => Self::Round { lost: a % 5 == 0, late: b % 2 == 0 },
            5 => Self::Name { model: a },
            6..=9 => Self::Load,
            10 => Self::Late,
            11 if b % 3 == 0 => Self::Leave { upstream: a },
            12 if b % 3 == 0 => Self::Join,
            13 if b % 4 == 0 => Self::Change,
            13 => Self::Run { upstream: a, runs: b % 4 },
            _ => Self::Wait { ms: u16::arbitrary(rng) % 1_000 },
        }
    }
}

struct Upstream {
    record: SamplerRecord,
    accepted: u64,
    loading: Option<LoadOrder>,
    runs: u64,
}

struct World {
    planner: VersionPlanner,
    upstreams: Vec<Upstream>,
    late: Vec<LoadOrder>,
    models: Vec<SharedName>,
    named: BTreeMap<SharedName, u64>,
    now: TimePoint,
    joined: u64,
}

impl World {
    fn new() -> Self {
        let models: Vec<SharedName> = vec!["m0".into(), "m1".into()];
        let mut world = Self {
            planner: VersionPlanner::default(),
            upstreams: Vec::new(),
            late: Vec::new(),
            named: models.iter().map(|model| (model.clone(), 1)).collect(),
            models,
            now: TimePoint(0),
            joined: 0,
        };
        (0..UPSTREAMS).for_each(|_| world.join());
        world
    }

    fn join(&mut self) {
        self.joined += 1;
        let id: SharedName = format!("u{}", self.joined).into();
        let record = SamplerRecord {
            address: id.clone(),
            id,
            service: "s".into(),
            failure_domain: "a".into(),
            slots: 4,
            state: SamplerState::Ready,
            versions: self.named.clone(),
            started_unix_ms: self.joined,
            reclaimable: false,
        };
        self.upstreams.push(Upstream { record, accepted: 0, loading: None, runs: 0 });
    }

    /// What the upstream does with an order, whenever it arrives.
    fn arrive(&mut self, order: &LoadOrder) -> LoadOutcome {
        let Some(upstream) = self.upstreams.iter_mut().find(|upstream| upstream.record.id == order.upstream) else {
            return LoadOutcome::Refused;
        };
        if upstream.record.versions[&order.model] == order.version && upstream.loading.is_none() {
            return LoadOutcome::AlreadyLoaded;
        }
        if upstream.loading.is_some() || order.accepted_before != Some(upstream.accepted) {
            return LoadOutcome::Conflict;
        }
        upstream.accepted += 1;
        upstream.loading = Some(order.clone());
        LoadOutcome::Accepted
    }

    fn round(&mut self, lost: bool, late: bool) -> Result<(), String> {
        let records: Vec<SamplerRecord> = self.upstreams.iter().map(|upstream| upstream.record.clone()).collect();
        let demand = |model: &SharedName| {
            let named = self.named[model];
            ModelDemand { newest_version: named, oldest_usable_version: named - 1, work: 0 }
        };
        let models: BTreeMap<SharedName, ModelDemand> =
            self.models.iter().map(|model| (model.clone(), demand(model))).collect();
        let runs: BTreeMap<SharedName, u64> =
            self.upstreams.iter().map(|upstream| (upstream.record.id.clone(), upstream.runs)).collect();
        let view = ServiceSnapshot { upstreams: &records, models: &models, runs: &runs };
        let orders = self.planner.plan(&view, self.now);
        if orders.len() > records.len().div_ceil(5).max(1) {
            return Err(format!("{} of {} upstreams load at once", orders.len(), records.len()));
        }
        for mut order in orders {
            if self.named[&order.model] != order.version {
                return Err(format!("{order:?} is not for the newest version"));
            }
            // The planner's owner asks where the count is not known.
            let accepted =
                self.upstreams.iter().find(|upstream| upstream.record.id == order.upstream).map(|u| u.accepted);
            order.accepted_before = order.accepted_before.or(accepted);
            let outcome = if lost && late {
                self.late.push(order.clone());
                LoadOutcome::Unanswered
            } else {
                let outcome = self.arrive(&order);
                if lost { LoadOutcome::Unanswered } else { outcome }
            };
            self.planner.order_answered(&order, outcome, self.now);
        }
        self.check()
    }

    fn load(&mut self) -> Result<(), String> {
        for upstream in &mut self.upstreams {
            if let Some(order) = upstream.loading.take() {
                let held = upstream.record.versions.insert(order.model.clone(), order.version);
                if held.is_some_and(|held| held > order.version) {
                    return Err(format!("{} went back from {held:?} to {}", upstream.record.id, order.version));
                }
            }
        }
        Ok(())
    }

    /// Models are dealt evenly.
    fn check(&self) -> Result<(), String> {
        let dealt = |model: &SharedName| {
            self.upstreams
                .iter()
                .filter(|upstream| self.planner.assigned_model(&upstream.record.id) == Some(model))
                .count()
        };
        let counts: Vec<usize> = self.models.iter().map(dealt).collect();
        let (least, most) = (counts.iter().min().unwrap_or(&0), counts.iter().max().unwrap_or(&0));
        if most - least > 1 { Err(format!("models are dealt {counts:?}")) } else { Ok(()) }
    }

    /// An upstream without a model, or without its model's newest version.
    fn behind(&self) -> Option<&SamplerRecord> {
        let current = |record: &SamplerRecord| {
            self.planner.assigned_model(&record.id).is_some_and(|model| record.versions[model] == self.named[model])
        };
        self.upstreams.iter().map(|upstream| &upstream.record).find(|record| !current(record))
    }

    fn step(&mut self, command: &Command) -> Result<(), String> {
        match *command {
            Command::Round { lost, late } => self.round(lost, late)?,
            Command::Name { model } => {
                let model = self.models[usize::from(model) % self.models.len()].clone();
                *self.named.entry(model).or_default() += 1;
            }
            Command::Load => self.load()?,
            Command::Late => {
                if !self.late.is_empty() {
                    let order = self.late.remove(0);
                    self.arrive(&order);
                }
            }
            Command::Leave { upstream } => {
                if self.upstreams.len() > 1 {
                    let at = usize::from(upstream) % self.upstreams.len();
                    self.upstreams.remove(at);
                }
            }
            Command::Join => self.join(),
            Command::Run { upstream, runs } => {
                let at = usize::from(upstream) % self.upstreams.len();
                self.upstreams[at].runs = u64::from(runs);
            }
            Command::Change => self.planner = VersionPlanner::default(),
            Command::Wait { ms } => self.now = self.now.plus_ms(u64::from(ms)),
        }
        Ok(())
    }
}

#[test]
fn the_newest_versions_reach_their_upstreams() {
    sequence::check(0x4e25, 50, |commands: Vec<Command>| {
        let mut world = World::new();
        commands.iter().try_for_each(|command| world.step(command))?;
        world.upstreams.iter_mut().for_each(|upstream| upstream.runs = 0);
        // Left alone and idle, every upstream comes to the newest version of its model.
        for _ in 0..ROUNDS_MAX {
            world.now = world.now.plus_ms(ROUND_MS);
            world.round(false, false)?;
            world.load()?;
            if world.behind().is_none() {
                return Ok(());
            }
        }
        Err(format!("{:?} stays behind {:?}", world.behind(), world.named))
    });
}

#[test]
fn a_late_order_does_not_set_an_upstream_back() {
    let mut world = World::new();
    let order = |version, accepted_before| LoadOrder {
        upstream: "u1".into(),
        address: "u1".into(),
        model: "m0".into(),
        version,
        accepted_before,
    };
    assert_eq!(world.arrive(&order(3, Some(0))), LoadOutcome::Accepted);
    world.load().unwrap();
    assert_eq!(world.arrive(&order(2, Some(0))), LoadOutcome::Conflict);
}

/// Upstreams of one model at the given versions, each with its number of runs.
fn view_of(held: &[(u64, u64)]) -> (Vec<SamplerRecord>, BTreeMap<SharedName, u64>) {
    let record = |(at, (version, _)): (usize, &(u64, u64))| {
        let id: SharedName = format!("u{at}").into();
        SamplerRecord {
            address: id.clone(),
            id,
            service: "s".into(),
            failure_domain: "a".into(),
            slots: 4,
            state: SamplerState::Ready,
            versions: BTreeMap::from([("m".into(), *version)]),
            started_unix_ms: 1,
            reclaimable: false,
        }
    };
    let runs = held.iter().enumerate().map(|(at, (_, runs))| (format!("u{at}").into(), *runs)).collect();
    (held.iter().enumerate().map(record).collect(), runs)
}

/// Upstreams that load, in order, when version 5 was named `age_ms` ago and steps need 4 or newer.
fn loading(held: &[(u64, u64)], age_ms: u64) -> Vec<String> {
    let (mut upstreams, runs) = view_of(held);
    let models = BTreeMap::from([("m".into(), ModelDemand { newest_version: 5, oldest_usable_version: 4, work: 1 })]);
    let mut planner = VersionPlanner::default();
    let mut loading = Vec::new();
    planner.plan(&ServiceSnapshot { upstreams: &[], models: &models, runs: &runs }, TimePoint(0));
    // Each load ends before the next round.
    for _ in 0..held.len() {
        let view = ServiceSnapshot { upstreams: &upstreams, models: &models, runs: &runs };
        for order in planner.plan(&view, TimePoint(age_ms)) {
            planner.order_answered(&order, LoadOutcome::Accepted, TimePoint(age_ms));
            loading.push(order.upstream.to_string());
            let loaded = upstreams.iter_mut().find(|record| record.id == order.upstream);
            loaded.unwrap().versions.insert("m".into(), 5);
        }
    }
    loading
}

#[test]
fn those_that_cannot_serve_load_first_and_half_of_those_that_do_stay() {
    // version and runs of each upstream, milliseconds since the version was named, who loads
    type Engines = &'static [(u64, u64)];
    let cases: [(Engines, u64, &[&str]); 6] = [
        (&[(4, 3), (4, 1), (4, 2), (4, 4)], 0, &[]),
        (&[(4, 3), (4, 1), (4, 2), (4, 4)], 700, &["u1", "u2"]),
        (&[(4, 3), (3, 2), (3, 0), (4, 4)], 0, &["u2", "u1"]),
        (&[(4, 3), (3, 2), (3, 0), (4, 4)], 700, &["u2", "u1"]),
        (&[(4, 3), (4, 0), (4, 0), (4, 4)], 700, &["u1", "u2"]),
        (&[(4, 0), (4, 0), (4, 0), (4, 4)], 700, &["u0", "u1", "u2"]),
    ];
    for (held, age_ms, expected) in cases {
        assert_eq!(loading(held, age_ms), expected, "{held:?} after {age_ms} ms");
    }
}

/// How many of `upstreams` each model gets whose recent steps were this much work.
fn dealt(upstreams: usize, work: &[u64]) -> Vec<usize> {
    let names: Vec<SharedName> = (0..work.len()).map(|at| format!("m{at}").into()).collect();
    let (mut records, runs) = view_of(&vec![(1, 0); upstreams]);
    records.iter_mut().for_each(|record| record.versions = names.iter().map(|name| (name.clone(), 1)).collect());
    let demand = |work: &u64| ModelDemand { newest_version: 2, oldest_usable_version: 1, work: *work };
    let models = names.iter().cloned().zip(work.iter().map(demand)).collect();
    let mut planner = VersionPlanner::default();
    planner.plan(&ServiceSnapshot { upstreams: &records, models: &models, runs: &runs }, TimePoint(0));
    let count = |name| records.iter().filter(|record| planner.assigned_model(&record.id) == Some(name)).count();
    names.iter().map(count).collect()
}

#[test]
fn models_get_upstreams_by_the_work_of_their_steps() {
    let cases: [(usize, &[u64], &[usize]); 6] = [
        (9, &[1, 1], &[5, 4]),
        (8, &[1_496, 1_584, 672], &[3, 3, 2]),
        (12, &[1_496, 1_584, 672], &[4, 5, 3]),
        (45, &[100, 100, 10], &[21, 21, 3]),
        (5, &[7, 0, 7], &[2, 2, 1]),
        (2, &[1, 1, 1], &[1, 1, 0]),
    ];
    for (upstreams, work, expected) in cases {
        let mut counts = dealt(upstreams, work);
        if work.iter().all(|own| *own == work[0]) || work.contains(&0) {
            counts.sort_by(|a, b| b.cmp(a));
        }
        assert_eq!(counts, expected, "{upstreams} by {work:?}");
    }
}
