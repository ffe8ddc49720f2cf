//! Loads of weights: newest versions reach every upstream, a few at a time, each for one model.

use crate::sequence;
use pimentoslip_kernel::{LoadOrder, OrderOutcome, SamplerRecord, SamplerState, SharedName, TimePoint, VersionPlanner};
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
            _ => Self::Wait { ms: u16::arbitrary(rng) % 1_000 },
        }
    }
}

struct Upstream {
    record: SamplerRecord,
    accepted: u64,
    loading: Option<LoadOrder>,
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
        self.upstreams.push(Upstream { record, accepted: 0, loading: None });
    }

    /// What the upstream does with an order, whenever it arrives.
    fn arrive(&mut self, order: &LoadOrder) -> OrderOutcome {
        let Some(upstream) = self.upstreams.iter_mut().find(|upstream| upstream.record.id == order.upstream) else {
            return OrderOutcome::Refused;
        };
        if upstream.record.versions[&order.model] == order.version && upstream.loading.is_none() {
            return OrderOutcome::Held;
        }
        if upstream.loading.is_some() || order.accepted_before != Some(upstream.accepted) {
            return OrderOutcome::Conflict;
        }
        upstream.accepted += 1;
        upstream.loading = Some(order.clone());
        OrderOutcome::Accepted
    }

    fn round(&mut self, lost: bool, late: bool) -> Result<(), String> {
        let records: Vec<SamplerRecord> = self.upstreams.iter().map(|upstream| upstream.record.clone()).collect();
        let orders = self.planner.plan(&records, &self.models, &self.named, self.now);
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
                OrderOutcome::Unanswered
            } else {
                let outcome = self.arrive(&order);
                if lost { OrderOutcome::Unanswered } else { outcome }
            };
            self.planner.ordered(&order, outcome, self.now);
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
            self.upstreams.iter().filter(|upstream| self.planner.model(&upstream.record.id) == Some(model)).count()
        };
        let counts: Vec<usize> = self.models.iter().map(dealt).collect();
        let (least, most) = (counts.iter().min().unwrap_or(&0), counts.iter().max().unwrap_or(&0));
        if most - least > 1 { Err(format!("models are dealt {counts:?}")) } else { Ok(()) }
    }

    /// An upstream without a model, or without its model's newest version.
    fn behind(&self) -> Option<&SamplerRecord> {
        let current = |record: &SamplerRecord| {
            self.planner.model(&record.id).is_some_and(|model| record.versions[model] == self.named[model])
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
        // Left alone, every upstream comes to the newest version of its model.
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
    assert_eq!(world.arrive(&order(3, Some(0))), OrderOutcome::Accepted);
    world.load().unwrap();
    assert_eq!(world.arrive(&order(2, Some(0))), OrderOutcome::Conflict);
}
