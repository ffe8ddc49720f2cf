//! Moves upstreams to the newest versions of the models they serve, a few at a time.

use crate::{SamplerRecord, SamplerState, SharedName, TimePoint};
use std::collections::{BTreeMap, BTreeSet};

/// One upstream in this many loads at a time; loads slow each other down beyond a few.
const LOADING_DIVISOR: usize = 5;
/// A load that was accepted but does not show in the list is taken for lost after this.
const LOAD_LOST_MS: u64 = 6_000;
/// A step of training is asked for when its version is named, and allows the version before. Loads begin when most
/// of its samples run, since an upstream starts nothing while it loads.
const LOAD_DELAY_MS: u64 = 700;
/// Pause after an order that was not accepted.
const RETRY_PAUSE_MS: u64 = 400;
/// Longest wait for the answer of an order, in the planner's books.
const ANSWER_MS: u64 = 1_500;

/// An order to load weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadOrder {
    /// Upstream.
    pub upstream: SharedName,
    /// Its address.
    pub address: SharedName,
    /// Model.
    pub model: SharedName,
    /// Version to load.
    pub version: u64,
    /// Orders that the upstream accepted before, which guards against late ones; none if it must be asked.
    pub accepted_before: Option<u64>,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The upstream carries it out.
    Accepted,
    /// The upstream had that version already.
    Held,
    /// Another order is in progress, or the number of orders accepted differs.
    Conflict,
    /// The upstream refused it, or is another one.
    Refused,
    /// No answer: it may be carried out, also later.
    Unanswered,
}

#[derive(Clone, Debug, Default)]
struct UpstreamPlan {
    model: Option<SharedName>,
    accepted: Option<u64>,
    started_unix_ms: u64,
    loading_until: TimePoint,
    loading_version: u64,
    next_at: TimePoint,
}

/// Deals upstreams to models and plans their loads.
#[derive(Debug, Default)]
pub struct VersionPlanner {
    plans: BTreeMap<SharedName, UpstreamPlan>,
    /// When each model's newest version was first seen.
    seen: BTreeMap<SharedName, (u64, TimePoint)>,
}

impl VersionPlanner {
    /// Orders to be given now. `named` holds the newest version of each model, `models` those that
    /// the upstreams' service serves.
    pub fn plan(
        &mut self,
        upstreams: &[SamplerRecord],
        models: &[SharedName],
        named: &BTreeMap<SharedName, u64>,
        now: TimePoint,
    ) -> Vec<LoadOrder> {
        self.sync(upstreams);
        self.note(named, now);
        let ready: Vec<&SamplerRecord> =
            upstreams.iter().filter(|record| record.state == SamplerState::Ready).collect();
        self.deal(&ready, models, named);
        let loading = self.plans.values().filter(|plan| plan.loading_until > now).count();
        let mut room = (ready.len().div_ceil(LOADING_DIVISOR)).max(1).saturating_sub(loading);
        let mut orders = Vec::new();
        for model in Self::by_need(&ready, models, named, &self.plans) {
            for record in &ready {
                if room == 0 {
                    return orders;
                }
                if let Some(order) = self.order(record, &model, named, now) {
                    orders.push(order);
                    room -= 1;
                }
            }
        }
        orders
    }

    /// An order was answered, or not.
    pub fn ordered(&mut self, order: &LoadOrder, outcome: OrderOutcome, now: TimePoint) {
        let Some(plan) = self.plans.get_mut(&order.upstream) else { return };
        match outcome {
            OrderOutcome::Accepted => {
                plan.accepted = order.accepted_before.map(|count| count + 1);
                plan.loading_until = now.plus_ms(LOAD_LOST_MS);
            }
            OrderOutcome::Held => plan.loading_until = now,
            OrderOutcome::Conflict | OrderOutcome::Refused | OrderOutcome::Unanswered => {
                plan.accepted = None;
                plan.loading_until = now;
                plan.next_at = now.plus_ms(RETRY_PAUSE_MS);
            }
        }
    }

    /// Model that `upstream` is dealt to.
    #[must_use]
    pub fn model(&self, upstream: &str) -> Option<&SharedName> {
        self.plans.get(upstream)?.model.as_ref()
    }

    fn sync(&mut self, upstreams: &[SamplerRecord]) {
        let listed: BTreeSet<&SharedName> = upstreams.iter().map(|record| &record.id).collect();
        self.plans.retain(|id, _| listed.contains(id));
        for record in upstreams {
            let plan = self.plans.entry(record.id.clone()).or_default();
            if plan.started_unix_ms != record.started_unix_ms {
                *plan = UpstreamPlan {
                    started_unix_ms: record.started_unix_ms,
                    model: plan.model.take(),
                    ..Default::default()
                };
            }
            let loaded = plan.model.as_ref().and_then(|model| record.versions.get(model));
            if loaded.is_some_and(|version| *version >= plan.loading_version) {
                plan.loading_until = TimePoint(0);
            }
        }
    }

    fn note(&mut self, named: &BTreeMap<SharedName, u64>, now: TimePoint) {
        for (model, version) in named {
            let seen = self.seen.entry(model.clone()).or_insert((*version, now));
            if seen.0 < *version {
                *seen = (*version, now);
            }
        }
    }

    /// Gives each upstream one model, evenly, and moves as few as possible.
    fn deal(&mut self, ready: &[&SamplerRecord], models: &[SharedName], named: &BTreeMap<SharedName, u64>) {
        let trained: Vec<&SharedName> = models.iter().filter(|model| named.contains_key(*model)).collect();
        let models: Vec<&SharedName> = if trained.is_empty() { models.iter().collect() } else { trained };
        if models.is_empty() {
            return;
        }
        let fewest = ready.len() / models.len();
        let mut counts: BTreeMap<&SharedName, usize> = models.iter().map(|model| (*model, 0)).collect();
        let mut extra = ready.len() % models.len();
        let mut free = Vec::new();
        for record in ready {
            let Some(plan) = self.plans.get_mut(&record.id) else { continue };
            let kept = plan.model.as_ref().and_then(|model| counts.get_mut(model)).is_some_and(|count| {
                if *count < fewest {
                    *count += 1;
                    return true;
                }
                if *count == fewest && extra > 0 {
                    *count += 1;
                    extra -= 1;
                    return true;
                }
                false
            });
            if !kept {
                plan.model = None;
                free.push(record);
            }
        }
        for record in free {
            // Of the models that lack upstreams, the one whose newest version it already has.
            let lacking = models.iter().min_by_key(|model| {
                let lag = named
                    .get(**model)
                    .copied()
                    .unwrap_or(0)
                    .saturating_sub(record.versions.get(**model).copied().unwrap_or(0));
                (counts[**model] >= fewest, counts[**model], lag)
            });
            let Some(model) = lacking else { continue };
            *counts.entry(model).or_default() += 1;
            if let Some(plan) = self.plans.get_mut(&record.id) {
                plan.model = Some((*model).clone());
            }
        }
    }

    /// Models with the fewest upstreams at the newest version first.
    fn by_need(
        ready: &[&SamplerRecord],
        models: &[SharedName],
        named: &BTreeMap<SharedName, u64>,
        plans: &BTreeMap<SharedName, UpstreamPlan>,
    ) -> Vec<SharedName> {
        let current = |model: &SharedName| {
            let newest = named.get(model).copied().unwrap_or(0);
            let dealt =
                |record: &&&SamplerRecord| plans.get(&record.id).and_then(|plan| plan.model.as_ref()) == Some(model);
            let holds = |record: &&&SamplerRecord| record.versions.get(model).is_some_and(|version| *version >= newest);
            ready.iter().filter(dealt).filter(holds).count()
        };
        let mut models = models.to_vec();
        models.sort_by_key(current);
        models
    }

    fn order(
        &mut self,
        record: &SamplerRecord,
        model: &SharedName,
        named: &BTreeMap<SharedName, u64>,
        now: TimePoint,
    ) -> Option<LoadOrder> {
        let version = *named.get(model)?;
        let plan = self.plans.get_mut(&record.id)?;
        let due = plan.model.as_ref() == Some(model)
            && record.versions.get(model).is_some_and(|held| *held < version)
            && plan.loading_until <= now
            && plan.next_at <= now
            && self.seen.get(model).is_some_and(|(_, since)| now >= since.plus_ms(LOAD_DELAY_MS));
        if !due {
            return None;
        }
        plan.loading_until = now.plus_ms(ANSWER_MS);
        plan.loading_version = version;
        Some(LoadOrder {
            upstream: record.id.clone(),
            address: record.address.clone(),
            model: model.clone(),
            version,
            accepted_before: plan.accepted,
        })
    }
}
