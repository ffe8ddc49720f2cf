//! Scaling of services: the number of upstreams stays within the configured limits, matches the demand and falls only
//! after a delay; upstreams beyond the floor are reclaimable ones where available.

use crate::sequence;
use pimentoslip_kernel::{
    SamplerRecord, SamplerState, ScalingOrder, ScalingOutcome, ScalingPlanner, ScalingRule, SharedName, TimePoint,
    standing_counts,
};
use quickcheck::{Arbitrary, Gen};
use std::collections::BTreeMap;

/// Failure domains with their relative prices in thousandths.
const DOMAINS: [(&str, u64); 3] = [("a", 1_000), ("b", 800), ("c", 1_250)];
const UPSTREAMS_MIN: u64 = 1;
const UPSTREAMS_MAX: u64 = 5;
/// Standing upstreams per failure domain at the start.
const FLOOR: u64 = 2;
/// Slots per upstream.
const SLOTS: u64 = 4;
const STARTUP_MS: u64 = 4_000;
const PASS_INTERVAL_MS: u64 = 1_000;
/// Time for which a demand counts after it was last reached, so upstreams are kept when the demand falls.
const PEAK_HOLD_MS: u64 = 60_000;

/// Input to the simulation of a scaled service.
#[derive(Clone, Debug)]
enum Command {
    /// The planner runs `count` times; with `orders_fail` its orders fail.
    RunPlanner { count: u8, orders_fail: bool },
    /// The demand changes.
    SetDemand { requests: u8 },
    /// The platform stops the reclaimable upstreams of a failure domain and has none available there.
    Reclaim { domain: u8 },
    /// Reclaimable upstreams become available again in all failure domains.
    RestoreCapacity,
    /// An upstream crashes and doesn't restart.
    Crash { domain: u8, reclaimable: bool },
}

impl Arbitrary for Command {
    fn arbitrary(rng: &mut Gen) -> Self {
        let (first, second) = (u8::arbitrary(rng), u8::arbitrary(rng));
        match u8::arbitrary(rng) % 12 {
            0..=6 => Self::RunPlanner { count: first % 8, orders_fail: second % 5 == 0 },
            7..=8 => Self::SetDemand { requests: first % 80 },
            9 => Self::Reclaim { domain: first },
            10 => Self::RestoreCapacity,
            _ => Self::Crash { domain: first, reclaimable: second % 2 == 0 },
        }
    }
}

/// A service with its planner, and the platform that carries out the orders.
struct Simulation {
    planner: ScalingPlanner,
    floor: BTreeMap<SharedName, u64>,
    /// Number of running upstreams by failure domain and whether they are reclaimable.
    running: BTreeMap<(SharedName, bool), u64>,
    /// Number of upstreams in the last accepted order, by the same key.
    ordered: BTreeMap<(SharedName, bool), u64>,
    /// Failure domain in which no reclaimable upstreams are available.
    exhausted_domain: Option<SharedName>,
    demand: u64,
    /// Demand at each run of the planner.
    demands: Vec<(TimePoint, u64)>,
    now: TimePoint,
}

fn scaling_rule() -> ScalingRule {
    ScalingRule {
        upstreams_min: UPSTREAMS_MIN,
        upstreams_max: UPSTREAMS_MAX,
        startup_ms: STARTUP_MS,
        reclaimable_price: Some(150),
        domain_prices: DOMAINS.iter().map(|(domain, price)| ((*domain).into(), *price)).collect(),
    }
}

impl Simulation {
    fn new() -> Self {
        let running: BTreeMap<(SharedName, bool), u64> =
            DOMAINS.iter().map(|(domain, _)| (((*domain).into(), false), FLOOR)).collect();
        let mut simulation = Self {
            planner: ScalingPlanner::default(),
            floor: BTreeMap::new(),
            ordered: running.clone(),
            running,
            exhausted_domain: None,
            demand: 0,
            demands: Vec::new(),
            now: TimePoint(0),
        };
        simulation.floor = standing_counts(&simulation.records());
        simulation
    }

    fn records(&self) -> Vec<SamplerRecord> {
        let records_of = |((domain, reclaimable), count): (&(SharedName, bool), &u64)| {
            let record = |number: u64| SamplerRecord {
                id: format!("{domain}-{reclaimable}-{number}").into(),
                service: "s".into(),
                address: "x".into(),
                failure_domain: domain.clone(),
                slots: SLOTS,
                state: SamplerState::Ready,
                software: "v1".into(),
                versions: BTreeMap::new(),
                started_unix_ms: 1,
                reclaimable: *reclaimable,
            };
            (0..*count).map(record).collect::<Vec<_>>()
        };
        self.running.iter().flat_map(records_of).collect()
    }

    fn count(&self, domain: &SharedName, reclaimable: bool) -> u64 {
        self.running.get(&(domain.clone(), reclaimable)).copied().unwrap_or(0)
    }

    /// Runs the planner once and carries out its orders.
    fn run_planner(&mut self, orders_fail: bool) -> Result<(), String> {
        self.now = self.now.plus_ms(PASS_INTERVAL_MS);
        self.demands.push((self.now, self.demand));
        let orders = self.planner.plan(&scaling_rule(), &self.records(), &self.floor, self.demand, self.now);
        for order in orders {
            self.check_order(&order)?;
            let outcome = if orders_fail { ScalingOutcome::Failed } else { self.carry_out(&order) };
            self.planner.order_answered(&order, outcome, STARTUP_MS, self.now);
        }
        Ok(())
    }

    /// Carries out an order as the platform does; ordered upstreams run at once.
    fn carry_out(&mut self, order: &ScalingOrder) -> ScalingOutcome {
        let key = (order.failure_domain.clone(), order.reclaimable);
        let is_increase = order.desired > self.running.get(&key).copied().unwrap_or(0);
        if order.reclaimable && is_increase && self.exhausted_domain.as_ref() == Some(&order.failure_domain) {
            return ScalingOutcome::Unavailable;
        }
        self.running.insert(key.clone(), order.desired);
        self.ordered.insert(key, order.desired);
        ScalingOutcome::Accepted
    }

    /// Checks that an order respects the floor and the configured maximum.
    fn check_order(&self, order: &ScalingOrder) -> Result<(), String> {
        let floor = self.floor[&order.failure_domain];
        if !order.reclaimable && order.desired < floor {
            return Err(format!("{order:?} is below the floor of {floor}"));
        }
        if order.desired > UPSTREAMS_MAX {
            return Err(format!("{order:?} exceeds the maximum of {UPSTREAMS_MAX}"));
        }
        Ok(())
    }

    /// Number of upstreams that the largest demand needs, within the limits.
    fn expected_upstreams(&self) -> u64 {
        let counted = self.demands.iter().filter(|(at, _)| self.now < at.plus_ms(PEAK_HOLD_MS));
        let peak = counted.map(|(_, demand)| *demand).max().unwrap_or(0);
        peak.div_ceil(SLOTS).clamp(FLOOR * DOMAINS.len() as u64, UPSTREAMS_MAX * DOMAINS.len() as u64)
    }

    fn apply(&mut self, command: &Command) -> Result<(), String> {
        match *command {
            Command::RunPlanner { count, orders_fail } => (0..count).try_for_each(|_| self.run_planner(orders_fail))?,
            Command::SetDemand { requests } => self.demand = u64::from(requests),
            Command::Reclaim { domain } => {
                let domain: SharedName = DOMAINS[usize::from(domain) % DOMAINS.len()].0.into();
                self.running.insert((domain.clone(), true), 0);
                self.exhausted_domain = Some(domain);
            }
            Command::RestoreCapacity => self.exhausted_domain = None,
            Command::Crash { domain, reclaimable } => {
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
fn the_number_of_upstreams_converges_to_the_demand_within_the_limits() {
    sequence::check(0x512e, 24, |commands: Vec<Command>| {
        let mut simulation = Simulation::new();
        commands.iter().try_for_each(|command| simulation.apply(command))?;
        // Without further faults, the demand must be met, beyond the floor by reclaimable upstreams only.
        simulation.exhausted_domain = None;
        (0..40).try_for_each(|_| simulation.run_planner(false))?;
        let total: u64 = simulation.running.values().sum();
        if total < simulation.expected_upstreams() || total > simulation.expected_upstreams() + 2 {
            return Err(format!("{total} upstreams run, but {} are expected", simulation.expected_upstreams()));
        }
        for (domain, _) in DOMAINS {
            let domain: SharedName = domain.into();
            let (standing, reclaimable) = (simulation.count(&domain, false), simulation.count(&domain, true));
            if standing != FLOOR || standing + reclaimable > UPSTREAMS_MAX {
                return Err(format!("{standing} standing and {reclaimable} reclaimable upstreams run in {domain}"));
            }
        }
        Ok(())
    });
}

#[test]
fn upstreams_are_released_only_a_minute_after_the_demand_falls() {
    let mut simulation = Simulation::new();
    simulation.demand = 48;
    (0..10).try_for_each(|_| simulation.run_planner(false)).unwrap();
    let peak: u64 = simulation.running.values().sum();
    assert_eq!(peak, 12);
    simulation.demand = 0;
    (0..58).try_for_each(|_| simulation.run_planner(false)).unwrap();
    assert_eq!(simulation.running.values().sum::<u64>(), peak);
    (0..6).try_for_each(|_| simulation.run_planner(false)).unwrap();
    assert_eq!(simulation.running.values().sum::<u64>(), FLOOR * 3);
}

/// Guards against upstreams that are released although they were needed within the last minute, since the peak before
/// that was higher.
#[test]
fn upstreams_needed_within_the_last_minute_are_kept_when_a_higher_peak_expires() {
    let mut simulation = Simulation::new();
    simulation.demand = 48;
    (0..10).try_for_each(|_| simulation.run_planner(false)).unwrap();
    simulation.demand = 40;
    (0..50).try_for_each(|_| simulation.run_planner(false)).unwrap();
    // A trainer that has read its step asks for the next one after some seconds.
    simulation.demand = 0;
    (0..55).try_for_each(|_| simulation.run_planner(false)).unwrap();
    assert_eq!(simulation.running.values().sum::<u64>(), 10, "40 requests ran within the last minute");
    (0..15).try_for_each(|_| simulation.run_planner(false)).unwrap();
    assert_eq!(simulation.running.values().sum::<u64>(), FLOOR * 3);
}

#[test]
fn standing_upstreams_replace_reclaimed_ones_until_reclaimable_ones_are_available() {
    let mut simulation = Simulation::new();
    simulation.demand = 48;
    (0..10).try_for_each(|_| simulation.run_planner(false)).unwrap();
    let domain: SharedName = "b".into();
    assert_eq!((simulation.count(&domain, false), simulation.count(&domain, true)), (FLOOR, 2));
    simulation.apply(&Command::Reclaim { domain: 1 }).unwrap();
    (0..10).try_for_each(|_| simulation.run_planner(false)).unwrap();
    for _ in 0..40 {
        simulation.run_planner(false).unwrap();
        assert_eq!((simulation.count(&domain, false), simulation.count(&domain, true)), (FLOOR + 2, 0));
    }
    simulation.exhausted_domain = None;
    (0..18).try_for_each(|_| simulation.run_planner(false)).unwrap();
    assert_eq!((simulation.count(&domain, false), simulation.count(&domain, true)), (FLOOR, 2));
}

/// Guards against orders in an evacuated failure domain, and against room that is missing because of it although other failure
/// domains have some left.
#[test]
fn the_room_of_an_evacuated_domain_is_ordered_elsewhere() {
    // Evacuated failure domains, demand, and the upstreams that are ordered in each of the others.
    type Case = (&'static [&'static str], u64, &'static [(&'static str, u64)]);
    let cases: [Case; 5] = [
        (&[], 6 * SLOTS, &[("a", 2), ("b", 2), ("c", 2)]),
        (&["a"], 6 * SLOTS, &[("b", 3), ("c", 3)]),
        (&["a", "b"], 6 * SLOTS, &[("c", UPSTREAMS_MAX)]),
        (&["a"], 0, &[("b", UPSTREAMS_MIN), ("c", UPSTREAMS_MIN)]),
        (&["a", "b", "c"], 6 * SLOTS, &[]),
    ];
    for (evacuated, demand, expected) in cases {
        let rule = ScalingRule { reclaimable_price: None, ..scaling_rule() };
        let rule = rule.without_domains(|failure_domain| evacuated.contains(&failure_domain));
        // The list has one upstream, from which the slots of all are known.
        let upstream = Simulation::new().records().into_iter().take(1).collect::<Vec<_>>();
        let orders = ScalingPlanner::default().plan(&rule, &upstream, &BTreeMap::new(), demand, TimePoint(0));
        let ordered: Vec<(&str, u64)> = orders
            .iter()
            .filter(|order| !order.reclaimable)
            .map(|order| (&*order.failure_domain, order.desired))
            .collect();
        assert_eq!(ordered, expected, "without {evacuated:?}, demand {demand}");
    }
}
