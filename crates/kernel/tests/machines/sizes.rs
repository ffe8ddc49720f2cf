//! Numbers of upstreams: within the operators' bounds, as many as the load asks, given back late, the reclaimable kind
//! beyond the floor.

use crate::sequence;
use pimentoslip_kernel::{
    SamplerRecord, SamplerState, ScalingOrder, ScalingOutcome, ScalingPlanner, ScalingRule, SharedName, TimePoint,
    standing_counts,
};
use quickcheck::{Arbitrary, Gen};
use std::collections::BTreeMap;

const DOMAINS: [(&str, u64); 3] = [("a", 1_000), ("b", 800), ("c", 1_250)];
const LEAST: u64 = 1;
const MOST: u64 = 5;
const FLOOR: u64 = 2;
const SLOTS: u64 = 4;
const STARTUP_MS: u64 = 4_000;
const ROUND_MS: u64 = 1_000;
/// Time for which a fall of the demand changes nothing.
const KEPT_MS: u64 = 60_000;

#[derive(Clone, Debug)]
enum Command {
    /// The planner's rounds, over some time; some orders get no answer.
    Rounds { count: u8, lost: bool },
    /// The demand changes.
    Demand { requests: u8 },
    /// The reclaimable upstreams of a failure domain go, and none are to be had for a while.
    Reclaim { domain: u8 },
    /// They are to be had again.
    Return,
    /// An upstream is lost.
    Lose { domain: u8, reclaimable: bool },
}

impl Arbitrary for Command {
    fn arbitrary(rng: &mut Gen) -> Self {
        let (a, b) = (u8::arbitrary(rng), u8::arbitrary(rng));
        match u8::arbitrary(rng) % 12 {
            0..=6 => Self::Rounds { count: a % 8, lost: b % 5 == 0 },
            7..=8 => Self::Demand { requests: a % 80 },
            9 => Self::Reclaim { domain: a },
            10 => Self::Return,
            _ => Self::Lose { domain: a, reclaimable: b % 2 == 0 },
        }
    }
}

struct World {
    planner: ScalingPlanner,
    floor: BTreeMap<SharedName, u64>,
    /// Running upstreams by failure domain and kind, and what the platform was told to run.
    running: BTreeMap<(SharedName, bool), u64>,
    ordered: BTreeMap<(SharedName, bool), u64>,
    /// Failure domain without reclaimable upstreams.
    dry: Option<SharedName>,
    demand: u64,
    /// Largest demand and when it was last asked.
    peak: (u64, TimePoint),
    now: TimePoint,
}

fn rule() -> ScalingRule {
    ScalingRule {
        upstreams_min: LEAST,
        upstreams_max: MOST,
        startup_ms: STARTUP_MS,
        reclaimable_price: Some(150),
        domain_prices: DOMAINS.iter().map(|(domain, price)| ((*domain).into(), *price)).collect(),
    }
}

impl World {
    fn new() -> Self {
        let running: BTreeMap<(SharedName, bool), u64> =
            DOMAINS.iter().map(|(domain, _)| (((*domain).into(), false), FLOOR)).collect();
        let mut world = Self {
            planner: ScalingPlanner::default(),
            floor: BTreeMap::new(),
            ordered: running.clone(),
            running,
            dry: None,
            demand: 0,
            peak: (0, TimePoint(0)),
            now: TimePoint(0),
        };
        world.floor = standing_counts(&world.records());
        world
    }

    fn records(&self) -> Vec<SamplerRecord> {
        let of_kind = |((domain, reclaimable), count): (&(SharedName, bool), &u64)| {
            let record = |at: u64| SamplerRecord {
                id: format!("{domain}-{reclaimable}-{at}").into(),
                service: "s".into(),
                address: "x".into(),
                failure_domain: domain.clone(),
                slots: SLOTS,
                state: SamplerState::Ready,
                versions: BTreeMap::new(),
                started_unix_ms: 1,
                reclaimable: *reclaimable,
            };
            (0..*count).map(record).collect::<Vec<_>>()
        };
        self.running.iter().flat_map(of_kind).collect()
    }

    fn count(&self, domain: &SharedName, reclaimable: bool) -> u64 {
        self.running.get(&(domain.clone(), reclaimable)).copied().unwrap_or(0)
    }

    fn round(&mut self, lost: bool) -> Result<(), String> {
        self.now = self.now.plus_ms(ROUND_MS);
        if self.demand >= self.peak.0 || self.now >= self.peak.1.plus_ms(KEPT_MS) {
            self.peak = (self.demand, self.now);
        }
        let orders = self.planner.plan(&rule(), &self.records(), &self.floor, self.demand, self.now);
        for order in orders {
            self.check(&order)?;
            let outcome = if lost { ScalingOutcome::Failed } else { self.carry_out(&order) };
            self.planner.order_answered(&order, outcome, STARTUP_MS, self.now);
        }
        Ok(())
    }

    /// The platform's part: what is ordered runs at once.
    fn carry_out(&mut self, order: &ScalingOrder) -> ScalingOutcome {
        let key = (order.failure_domain.clone(), order.reclaimable);
        let more = order.desired > self.running.get(&key).copied().unwrap_or(0);
        if order.reclaimable && more && self.dry.as_ref() == Some(&order.failure_domain) {
            return ScalingOutcome::Unavailable;
        }
        self.running.insert(key.clone(), order.desired);
        self.ordered.insert(key, order.desired);
        ScalingOutcome::Accepted
    }

    fn check(&self, order: &ScalingOrder) -> Result<(), String> {
        let floor = self.floor[&order.failure_domain];
        if !order.reclaimable && order.desired < floor {
            return Err(format!("{order:?} goes under the floor of {floor}"));
        }
        if order.desired > MOST {
            return Err(format!("{order:?} is over the most of {MOST}"));
        }
        Ok(())
    }

    /// Upstreams that the largest demand of the last minute asks for, within the bounds.
    fn wanted(&self) -> u64 {
        self.peak.0.div_ceil(SLOTS).clamp(FLOOR * DOMAINS.len() as u64, MOST * DOMAINS.len() as u64)
    }

    fn step(&mut self, command: &Command) -> Result<(), String> {
        match *command {
            Command::Rounds { count, lost } => (0..count).try_for_each(|_| self.round(lost))?,
            Command::Demand { requests } => self.demand = u64::from(requests),
            Command::Reclaim { domain } => {
                let domain: SharedName = DOMAINS[usize::from(domain) % DOMAINS.len()].0.into();
                self.running.insert((domain.clone(), true), 0);
                self.dry = Some(domain);
            }
            Command::Return => self.dry = None,
            Command::Lose { domain, reclaimable } => {
                let domain: SharedName = DOMAINS[usize::from(domain) % DOMAINS.len()].0.into();
                if let Some(count) = self.running.get_mut(&(domain, reclaimable)) {
                    *count = count.saturating_sub(1);
                }
            }
        }
        Ok(())
    }
}

#[test]
fn what_the_load_asks_for_runs_in_the_end_and_no_more_than_the_operators_allow() {
    sequence::check(0x512e, 24, |commands: Vec<Command>| {
        let mut world = World::new();
        commands.iter().try_for_each(|command| world.step(command))?;
        // Left alone, as many run as the load asks for, the reclaimable kind where there is any.
        world.dry = None;
        (0..40).try_for_each(|_| world.round(false))?;
        let total: u64 = world.running.values().sum();
        if total < world.wanted() || total > world.wanted() + 2 {
            return Err(format!("{total} run where {} are wanted", world.wanted()));
        }
        for (domain, _) in DOMAINS {
            let domain: SharedName = domain.into();
            let (standing, reclaimable) = (world.count(&domain, false), world.count(&domain, true));
            if standing != FLOOR || standing + reclaimable > MOST {
                return Err(format!("{standing} and {reclaimable} run in {domain}"));
            }
        }
        Ok(())
    });
}

#[test]
fn a_fall_of_the_demand_gives_nothing_back_for_a_minute() {
    let mut world = World::new();
    world.demand = 48;
    (0..10).try_for_each(|_| world.round(false)).unwrap();
    let peak: u64 = world.running.values().sum();
    assert_eq!(peak, 12);
    world.demand = 0;
    (0..58).try_for_each(|_| world.round(false)).unwrap();
    assert_eq!(world.running.values().sum::<u64>(), peak);
    (0..6).try_for_each(|_| world.round(false)).unwrap();
    assert_eq!(world.running.values().sum::<u64>(), FLOOR * 3);
}

#[test]
fn a_reclaimed_failure_domain_gets_the_standing_kind_until_the_other_is_to_be_had() {
    let mut world = World::new();
    world.demand = 48;
    (0..10).try_for_each(|_| world.round(false)).unwrap();
    let domain: SharedName = "b".into();
    assert_eq!((world.count(&domain, false), world.count(&domain, true)), (FLOOR, 2));
    world.step(&Command::Reclaim { domain: 1 }).unwrap();
    (0..10).try_for_each(|_| world.round(false)).unwrap();
    for _ in 0..40 {
        world.round(false).unwrap();
        assert_eq!((world.count(&domain, false), world.count(&domain, true)), (FLOOR + 2, 0));
    }
    world.dry = None;
    (0..18).try_for_each(|_| world.round(false)).unwrap();
    assert_eq!((world.count(&domain, false), world.count(&domain, true)), (FLOOR, 2));
}
