//! How many upstreams of a service are to run in each failure domain, and of which kind.
//!
//! Answers the load of batch jobs: a step is as late as its longest text, so that each of its items should find a slot
//! at once. What ran at first is the committed floor and stays. Beyond it the reclaimable kind is ordered; where there is
//! none, the standing kind.

use crate::{SamplerRecord, SamplerState, ScalingRule, SharedName, TimePoint};
use std::collections::BTreeMap;

/// The largest demand of this long counts, in milliseconds: several steps of training. Upstreams are given back only
/// after it, since starts cost time and money.
const DEMAND_WINDOW_MS: u64 = 60_000;
/// Added to the time from an order until its upstreams serve before they count as missing, in milliseconds.
const STARTUP_SLACK_MS: u64 = 4_000;
/// An order that was refused because there are none is not repeated for this long, in milliseconds.
const UNAVAILABLE_MS: u64 = 10_000;
/// An order that got no answer, or was refused for another reason, is repeated after this, in milliseconds.
const RETRY_MS: u64 = 2_000;

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScalingOutcome {
    /// It was accepted.
    Accepted,
    /// There are none of that kind at the moment.
    Unavailable,
    /// Refused or not answered.
    Failed,
}

/// An order for upstreams of one kind in one failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScalingOrder {
    /// Failure domain.
    pub failure_domain: SharedName,
    /// Whether reclaimable ones are meant.
    pub reclaimable: bool,
    /// How many are to run.
    pub desired: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct KindPlan {
    /// Accepted order, and when its upstreams should serve.
    ordered: Option<(u64, TimePoint)>,
    /// No order before.
    next_at: TimePoint,
    unavailable_until: TimePoint,
}

#[derive(Clone, Debug, Default)]
struct DomainPlan {
    standing: KindPlan,
    reclaimable: KindPlan,
}

impl DomainPlan {
    fn kind(&mut self, reclaimable: bool) -> &mut KindPlan {
        if reclaimable { &mut self.reclaimable } else { &mut self.standing }
    }
}

/// Plans the size of one service.
#[derive(Debug, Default)]
pub struct ScalingPlanner {
    domains: BTreeMap<SharedName, DomainPlan>,
    peak: u64,
    peak_at: TimePoint,
}

impl ScalingPlanner {
    /// Orders to be given now. `floor` is the number of standing upstreams that stay in each failure domain, `demand`
    /// the number of requests that could run at once.
    pub fn plan(
        &mut self,
        rule: &ScalingRule,
        upstreams: &[SamplerRecord],
        floor: &BTreeMap<SharedName, u64>,
        demand: u64,
        now: TimePoint,
    ) -> Vec<ScalingOrder> {
        if demand >= self.peak || now >= self.peak_at.plus_ms(DEMAND_WINDOW_MS) {
            self.peak = demand;
            self.peak_at = now;
        }
        let slots = upstreams.iter().map(|record| record.slots).max().unwrap_or(0);
        if slots == 0 {
            return Vec::new();
        }
        let targets = domain_targets(rule, self.peak.div_ceil(slots));
        let mut orders = Vec::new();
        for (failure_domain, target) in targets {
            let here = |reclaimable: bool| {
                let of_kind = |record: &&SamplerRecord| {
                    record.failure_domain == failure_domain
                        && record.reclaimable == reclaimable
                        && record.state == SamplerState::Ready
                };
                upstreams.iter().filter(of_kind).count() as u64
            };
            let (standing, reclaimable) = (here(false), here(true));
            let floor = floor.get(&failure_domain).copied().unwrap_or(0).clamp(rule.upstreams_min, rule.upstreams_max);
            let plan = self.domains.entry(failure_domain.clone()).or_default();
            let extra = target.saturating_sub(floor);
            let wants_reclaimable = rule.reclaimable_price.is_some() && plan.reclaimable.unavailable_until <= now;
            // Standing ones that took the place of reclaimable ones stay until those serve.
            let missing = extra.saturating_sub(reclaimable);
            let replaced = standing.saturating_sub(floor).min(missing);
            let (more_standing, more_reclaimable) =
                if wants_reclaimable { (replaced, extra) } else { (missing, extra) };
            for (kind, desired, present) in
                [(false, floor + more_standing, standing), (true, more_reclaimable, reclaimable)]
            {
                if plan.kind(kind).is_due(desired, present, now) {
                    let failure_domain = failure_domain.clone();
                    orders.push(ScalingOrder { failure_domain, reclaimable: kind, desired });
                }
            }
        }
        orders
    }

    /// An order was answered, or not.
    pub fn order_answered(&mut self, order: &ScalingOrder, outcome: ScalingOutcome, startup_ms: u64, now: TimePoint) {
        let Some(plan) = self.domains.get_mut(&order.failure_domain) else { return };
        let kind = plan.kind(order.reclaimable);
        kind.next_at = now.plus_ms(RETRY_MS);
        match outcome {
            ScalingOutcome::Accepted => {
                kind.ordered = Some((order.desired, now.plus_ms(startup_ms + STARTUP_SLACK_MS)))
            }
            ScalingOutcome::Unavailable => kind.unavailable_until = now.plus_ms(UNAVAILABLE_MS),
            ScalingOutcome::Failed => kind.ordered = None,
        }
    }
}

impl KindPlan {
    /// Whether `desired` is to be ordered while `present` run.
    fn is_due(&self, desired: u64, present: u64, now: TimePoint) -> bool {
        if now < self.next_at || now < self.unavailable_until {
            return false;
        }
        match self.ordered {
            // Upstreams that were ordered and are missing have gone for good.
            Some((ordered, serve_at)) => ordered != desired || (present < desired && now >= serve_at),
            None => present != desired,
        }
    }
}

/// Standing upstreams of a service in each failure domain.
#[must_use]
pub fn standing_counts(upstreams: &[SamplerRecord]) -> BTreeMap<SharedName, u64> {
    let mut floor: BTreeMap<SharedName, u64> = BTreeMap::new();
    let standing = upstreams.iter().filter(|record| !record.reclaimable && record.state == SamplerState::Ready);
    for record in standing {
        *floor.entry(record.failure_domain.clone()).or_default() += 1;
    }
    floor
}

/// Upstreams of a service in each failure domain: as even as it gets, the cheapest ones first for what is left.
fn domain_targets(rule: &ScalingRule, wanted: u64) -> BTreeMap<SharedName, u64> {
    let mut targets: BTreeMap<SharedName, u64> =
        rule.domain_prices.keys().map(|domain| (domain.clone(), rule.upstreams_min)).collect();
    let mut by_price: Vec<(&u64, &SharedName)> =
        rule.domain_prices.iter().map(|(domain, price)| (price, domain)).collect();
    by_price.sort();
    let mut left = wanted.saturating_sub(targets.values().sum());
    while left > 0 {
        let before = left;
        let fewest = targets.values().copied().min().unwrap_or(rule.upstreams_max);
        for (_, domain) in &by_price {
            let target = targets.entry((*domain).clone()).or_default();
            if left > 0 && *target == fewest && *target < rule.upstreams_max {
                *target += 1;
                left -= 1;
            }
        }
        if left == before {
            break;
        }
    }
    targets
}
