//! Planning of the number of standing and reclaimable upstreams of a service in each failure domain.
//!
//! A training step waits for the longest text of its batch job, so each item should get a free slot at once. The
//! standing upstreams that ran at first are the floor, which is always kept. Demand beyond the floor is met by
//! reclaimable upstreams, or by standing ones where no reclaimable ones are available. The platform may stop
//! reclaimable upstreams at any time, but not standing ones.

use crate::{SamplerRecord, SamplerState, ScalingRule, SharedName, TimePoint};
use std::collections::{BTreeMap, VecDeque};

/// Time for which a demand counts after it was last reached; the largest one that counts is used. It spans several training steps; upstreams are
/// released only after it, since starting them costs time and money.
const PEAK_HOLD_MS: u64 = 60_000;
/// Added to the startup time of ordered upstreams before they count as missing.
const STARTUP_SLACK_MS: u64 = 4_000;
/// Backoff after an order that was refused because no such upstreams are available.
const UNAVAILABLE_BACKOFF_MS: u64 = 10_000;
/// Shortest time between two orders for the same failure domain and type of upstream, and so the backoff after a failed
/// order.
const ORDER_INTERVAL_MS: u64 = 2_000;

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScalingOutcome {
    /// The platform accepted the order.
    Accepted,
    /// The platform refused the order because it has no such upstreams at the moment.
    Unavailable,
    /// The order was refused for another reason, or not answered.
    Failed,
}

/// Order to change the number of standing or reclaimable upstreams in a failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScalingOrder {
    /// Failure domain of the upstreams.
    pub failure_domain: SharedName,
    /// Whether the order is for reclaimable upstreams; otherwise for standing ones.
    pub reclaimable: bool,
    /// Number of upstreams that are to run.
    pub desired: u64,
}

/// State of the orders for one type of upstream, standing or reclaimable, in a failure domain.
#[derive(Clone, Copy, Debug, Default)]
struct OrderState {
    /// Number of upstreams in the last accepted order, and the time at which they should be ready.
    accepted: Option<(u64, TimePoint)>,
    /// Earliest time of the next order.
    next_order_at: TimePoint,
    /// End of the backoff after an order for which no upstreams were available.
    unavailable_until: TimePoint,
}

/// State of the orders for a failure domain.
#[derive(Clone, Debug, Default)]
struct DomainPlan {
    standing: OrderState,
    reclaimable: OrderState,
}

impl DomainPlan {
    /// State of the orders for reclaimable or standing upstreams.
    fn order_state(&mut self, reclaimable: bool) -> &mut OrderState {
        if reclaimable { &mut self.reclaimable } else { &mut self.standing }
    }
}

/// Plans the number of upstreams of one service.
#[derive(Debug, Default)]
pub struct ScalingPlanner {
    /// State of the orders by failure domain.
    domains: BTreeMap<SharedName, DomainPlan>,
    /// Demands that were not reached again since, with the times at which they were last reached: the largest demand, the
    /// largest one after it, and so on.
    peaks: VecDeque<(TimePoint, u64)>,
}

impl ScalingPlanner {
    /// Orders to be sent now. `floor` is the number of standing upstreams by failure domain that are always kept,
    /// `demand` the number of requests that could run at the same time.
    pub fn plan(
        &mut self,
        rule: &ScalingRule,
        upstreams: &[SamplerRecord],
        floor: &BTreeMap<SharedName, u64>,
        demand: u64,
        now: TimePoint,
    ) -> Vec<ScalingOrder> {
        let peak_demand = self.record_demand(demand, now);
        let slots = upstreams.iter().map(|record| record.slots).max().unwrap_or(0);
        if slots == 0 {
            return Vec::new();
        }
        let targets = domain_targets(rule, peak_demand.div_ceil(slots));
        let mut orders = Vec::new();
        for (failure_domain, target) in targets {
            let ready_count = |reclaimable: bool| {
                let is_counted = |record: &&SamplerRecord| {
                    record.failure_domain == failure_domain
                        && record.reclaimable == reclaimable
                        && record.state == SamplerState::Ready
                };
                upstreams.iter().filter(is_counted).count() as u64
            };
            let (standing, reclaimable) = (ready_count(false), ready_count(true));
            let floor = floor.get(&failure_domain).copied().unwrap_or(0).clamp(rule.upstreams_min, rule.upstreams_max);
            let plan = self.domains.entry(failure_domain.clone()).or_default();
            let extra = target.saturating_sub(floor);
            let orders_reclaimable = rule.reclaimable_price.is_some() && plan.reclaimable.unavailable_until <= now;
            // Standing upstreams that replaced unavailable reclaimable ones are kept until reclaimable ones are ready.
            let missing = extra.saturating_sub(reclaimable);
            let kept_replacements = standing.saturating_sub(floor).min(missing);
            let (extra_standing, desired_reclaimable) =
                if orders_reclaimable { (kept_replacements, extra) } else { (missing, extra) };
            for (is_reclaimable, desired, present) in
                [(false, floor + extra_standing, standing), (true, desired_reclaimable, reclaimable)]
            {
                if plan.order_state(is_reclaimable).is_due(desired, present, now) {
                    let failure_domain = failure_domain.clone();
                    orders.push(ScalingOrder { failure_domain, reclaimable: is_reclaimable, desired });
                }
            }
        }
        orders
    }

    /// Records the present demand. Returns the largest one within [`PEAK_HOLD_MS`].
    fn record_demand(&mut self, demand: u64, now: TimePoint) -> u64 {
        while self.peaks.back().is_some_and(|(_, lower)| *lower <= demand) {
            self.peaks.pop_back();
        }
        self.peaks.push_back((now, demand));
        while self.peaks.front().is_some_and(|(at, _)| now >= at.plus_ms(PEAK_HOLD_MS)) {
            self.peaks.pop_front();
        }
        self.peaks.front().map_or(demand, |(_, peak)| *peak)
    }

    /// Handles the outcome of an order. `startup_ms` is the time that ordered upstreams need until they are ready.
    pub fn order_answered(&mut self, order: &ScalingOrder, outcome: ScalingOutcome, startup_ms: u64, now: TimePoint) {
        let Some(plan) = self.domains.get_mut(&order.failure_domain) else { return };
        let state = plan.order_state(order.reclaimable);
        state.next_order_at = now.plus_ms(ORDER_INTERVAL_MS);
        match outcome {
            ScalingOutcome::Accepted => {
                state.accepted = Some((order.desired, now.plus_ms(startup_ms + STARTUP_SLACK_MS)))
            }
            ScalingOutcome::Unavailable => state.unavailable_until = now.plus_ms(UNAVAILABLE_BACKOFF_MS),
            ScalingOutcome::Failed => state.accepted = None,
        }
    }
}

impl OrderState {
    /// Whether an order for `desired` upstreams should be sent while `present` are ready.
    fn is_due(&self, desired: u64, present: u64, now: TimePoint) -> bool {
        if now < self.next_order_at || now < self.unavailable_until {
            return false;
        }
        match self.accepted {
            // Upstreams that are missing after their startup time will not return and must be ordered again.
            Some((accepted, ready_at)) => accepted != desired || (present < desired && now >= ready_at),
            None => present != desired,
        }
    }
}

/// Number of ready standing upstreams of a service by failure domain.
#[must_use]
pub fn standing_counts(upstreams: &[SamplerRecord]) -> BTreeMap<SharedName, u64> {
    let mut counts: BTreeMap<SharedName, u64> = BTreeMap::new();
    let standing = upstreams.iter().filter(|record| !record.reclaimable && record.state == SamplerState::Ready);
    for record in standing {
        *counts.entry(record.failure_domain.clone()).or_default() += 1;
    }
    counts
}

/// Target number of upstreams by failure domain for `total` upstreams. They are spread as evenly as possible; the
/// cheapest failure domains get the remainder.
fn domain_targets(rule: &ScalingRule, total: u64) -> BTreeMap<SharedName, u64> {
    let mut targets: BTreeMap<SharedName, u64> =
        rule.domain_prices.keys().map(|domain| (domain.clone(), rule.upstreams_min)).collect();
    let mut by_price: Vec<(&u64, &SharedName)> =
        rule.domain_prices.iter().map(|(domain, price)| (price, domain)).collect();
    by_price.sort();
    let mut remaining = total.saturating_sub(targets.values().sum());
    while remaining > 0 {
        let before_pass = remaining;
        let lowest = targets.values().copied().min().unwrap_or(rule.upstreams_max);
        for (_, domain) in &by_price {
            let target = targets.entry((*domain).clone()).or_default();
            if remaining > 0 && *target == lowest && *target < rule.upstreams_max {
                *target += 1;
                remaining -= 1;
            }
        }
        if remaining == before_pass {
            break;
        }
    }
    targets
}
