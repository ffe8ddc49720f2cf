//! Moves upstreams to the newest versions of the models they serve, a few at a time.
//!
//! Answers the load of trainers that name a version every few seconds and want the texts of a step from that version or
//! the one before. An upstream starts nothing while it loads, and its runs stand still. So upstreams that can no longer
//! serve the newest step load at once, idle ones next, and busy ones only until half of the model's have the version:
//! the one half serves a step while the other half loads for the next.

use crate::{SamplerRecord, SamplerState, SharedName, TimePoint};
use std::collections::{BTreeMap, BTreeSet};

/// One standing upstream in this many loads at a time; loads slow each other down beyond a few.
const LOADING_DIVISOR: usize = 5;
/// A load that was accepted but does not show in the list is taken for lost after this.
const LOAD_LOST_MS: u64 = 6_000;
/// A step of training is asked for when its version is named. Upstreams that may serve it load after this, when its
/// items have found their places.
const LOAD_DELAY_MS: u64 = 700;
/// Pause after an order that was not accepted.
const RETRY_PAUSE_MS: u64 = 400;
/// Longest wait for the answer of an order, in the planner's books.
const ANSWER_MS: u64 = 1_500;
/// Scale of a model's share of the upstreams.
const SHARE_SCALE: u64 = 1_000;

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
pub enum LoadOutcome {
    /// The upstream carries it out.
    Accepted,
    /// The upstream had that version already.
    AlreadyLoaded,
    /// Another order is in progress, or the number of orders accepted differs.
    Conflict,
    /// The upstream refused it, or is another one.
    Refused,
    /// No answer: it may be carried out, also later.
    Unanswered,
}

/// What is asked of one model.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ModelDemand {
    /// Newest version that its trainer named.
    pub newest_version: u64,
    /// Oldest version that the newest step allows; 0 if there is none.
    pub oldest_usable_version: u64,
    /// Work of its recent steps, in any unit that all models share.
    pub work: u64,
}

/// What the planner sees of one service.
#[derive(Clone, Copy, Debug)]
pub struct ServiceSnapshot<'a> {
    /// Its upstreams.
    pub upstreams: &'a [SamplerRecord],
    /// Models that its upstreams serve.
    pub models: &'a BTreeMap<SharedName, ModelDemand>,
    /// Runs at each upstream, as far as known.
    pub runs: &'a BTreeMap<SharedName, u64>,
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

/// How much a load now would disturb; the least comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum LoadClass {
    /// Cannot serve the newest step.
    Unusable,
    /// Runs nothing.
    Idle,
    /// Serves the newest step.
    Busy,
}

/// Deals upstreams to models and plans their loads.
#[derive(Debug, Default)]
pub struct VersionPlanner {
    plans: BTreeMap<SharedName, UpstreamPlan>,
    /// When each model's newest version was first seen.
    seen: BTreeMap<SharedName, (u64, TimePoint)>,
    /// How many upstreams each model is to have.
    quotas: BTreeMap<SharedName, u64>,
}

impl VersionPlanner {
    /// Orders to be given now.
    pub fn plan(&mut self, view: &ServiceSnapshot<'_>, now: TimePoint) -> Vec<LoadOrder> {
        self.sync(view.upstreams);
        self.note(view.models, now);
        let ready: Vec<&SamplerRecord> =
            view.upstreams.iter().filter(|record| record.state == SamplerState::Ready).collect();
        self.deal(&ready, view.models);
        let standing = ready.iter().filter(|record| !record.reclaimable).count();
        let loading = self.plans.values().filter(|plan| plan.loading_until > now).count();
        let mut room = standing.div_ceil(LOADING_DIVISOR).max(1).saturating_sub(loading);
        let mut orders = Vec::new();
        for model in self.by_need(&ready, view.models, now) {
            for record in self.candidates(&ready, &model, view, now) {
                if room == 0 {
                    return orders;
                }
                orders.push(self.order(record, &model, view.models[&model].newest_version, now));
                room -= 1;
            }
        }
        orders
    }

    /// An order was answered, or not.
    pub fn order_answered(&mut self, order: &LoadOrder, outcome: LoadOutcome, now: TimePoint) {
        let Some(plan) = self.plans.get_mut(&order.upstream) else { return };
        match outcome {
            LoadOutcome::Accepted => {
                plan.accepted = order.accepted_before.map(|count| count + 1);
                plan.loading_until = now.plus_ms(LOAD_LOST_MS);
            }
            LoadOutcome::AlreadyLoaded => plan.loading_until = now,
            LoadOutcome::Conflict | LoadOutcome::Refused | LoadOutcome::Unanswered => {
                plan.accepted = None;
                plan.loading_until = now;
                plan.next_at = now.plus_ms(RETRY_PAUSE_MS);
            }
        }
    }

    /// Model that `upstream` is dealt to.
    #[must_use]
    pub fn assigned_model(&self, upstream: &str) -> Option<&SharedName> {
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

    fn note(&mut self, models: &BTreeMap<SharedName, ModelDemand>, now: TimePoint) {
        for (model, demand) in models {
            let seen = self.seen.entry(model.clone()).or_insert((demand.newest_version, now));
            if seen.0 < demand.newest_version {
                *seen = (demand.newest_version, now);
            }
        }
    }

    /// Gives each upstream one model, as the models' work asks, and moves as few as possible.
    fn deal(&mut self, ready: &[&SamplerRecord], models: &BTreeMap<SharedName, ModelDemand>) {
        self.set_quotas(ready.len() as u64, models);
        let mut counts: BTreeMap<SharedName, u64> = self.quotas.keys().map(|model| (model.clone(), 0)).collect();
        let mut free = Vec::new();
        for record in ready {
            let Some(plan) = self.plans.get_mut(&record.id) else { continue };
            let quotas = &self.quotas;
            let count = plan.model.as_ref().and_then(|model| Some((counts.get_mut(model)?, quotas[model])));
            match count {
                Some((count, quota)) if *count < quota => *count += 1,
                _ => {
                    plan.model = None;
                    free.push(record);
                }
            }
        }
        for record in free {
            // Of the models that lack upstreams, the one whose newest version is nearest to what it has.
            let lacking = self.quotas.iter().filter(|(model, quota)| counts[*model] < **quota);
            let lag = |model: &SharedName| {
                models[model].newest_version.saturating_sub(record.versions.get(model).copied().unwrap_or(0))
            };
            let Some(model) = lacking.map(|(model, _)| model).min_by_key(|model| lag(model)).cloned() else { continue };
            *counts.entry(model.clone()).or_default() += 1;
            if let Some(plan) = self.plans.get_mut(&record.id) {
                plan.model = Some(model);
            }
        }
    }

    /// Keeps the quotas unless the number of upstreams or models has changed, or a model's share is off by a whole one.
    fn set_quotas(&mut self, upstreams: u64, models: &BTreeMap<SharedName, ModelDemand>) {
        let trained = models.iter().filter(|(_, demand)| demand.newest_version > 0);
        let trained: Vec<(&SharedName, &ModelDemand)> = trained.collect();
        let dealt = if trained.is_empty() { models.iter().collect() } else { trained };
        let shares = shares(upstreams, &dealt);
        let same_models =
            self.quotas.len() == shares.len() && shares.keys().all(|model| self.quotas.contains_key(model));
        let fits = same_models
            && self.quotas.values().sum::<u64>() == upstreams
            && shares.iter().all(|(model, share)| (self.quotas[model] * SHARE_SCALE).abs_diff(*share) < SHARE_SCALE);
        if !fits {
            self.quotas = whole_shares(upstreams, &shares);
        }
    }

    /// Models with the fewest upstreams at the newest version first.
    fn by_need(
        &self,
        ready: &[&SamplerRecord],
        models: &BTreeMap<SharedName, ModelDemand>,
        now: TimePoint,
    ) -> Vec<SharedName> {
        let mut names: Vec<SharedName> = self.quotas.keys().cloned().collect();
        names.sort_by_key(|model| self.at_newest(ready, model, models[model].newest_version, now));
        names
    }

    /// Upstreams of `model` that have `version` or load it.
    fn at_newest(&self, ready: &[&SamplerRecord], model: &SharedName, version: u64, now: TimePoint) -> usize {
        let dealt = ready.iter().filter(|record| self.assigned_model(&record.id) == Some(model));
        dealt
            .filter(|record| {
                let loads = |plan: &UpstreamPlan| plan.loading_until > now && plan.loading_version >= version;
                record.versions.get(model).is_some_and(|held| *held >= version)
                    || self.plans.get(&record.id).is_some_and(loads)
            })
            .count()
    }

    /// Upstreams of `model` that may load now, those first whose loads disturb least.
    fn candidates<'a>(
        &self,
        ready: &[&'a SamplerRecord],
        model: &SharedName,
        view: &ServiceSnapshot<'_>,
        now: TimePoint,
    ) -> Vec<&'a SamplerRecord> {
        let demand = view.models[model];
        let settled = self.seen.get(model).is_some_and(|(_, since)| now >= since.plus_ms(LOAD_DELAY_MS));
        let dealt: Vec<&&SamplerRecord> =
            ready.iter().filter(|record| self.assigned_model(&record.id) == Some(model)).collect();
        let mut wanted =
            dealt.len().div_ceil(2).saturating_sub(self.at_newest(ready, model, demand.newest_version, now));
        let mut candidates: Vec<(LoadClass, u64, &'a SamplerRecord)> = Vec::new();
        for record in dealt {
            let Some(held) = record.versions.get(model).copied() else { continue };
            let free = self.plans.get(&record.id).is_some_and(|plan| plan.loading_until <= now && plan.next_at <= now);
            if held >= demand.newest_version || !free {
                continue;
            }
            let runs = view.runs.get(&record.id).copied().unwrap_or(0);
            let class = match (held < demand.oldest_usable_version, runs) {
                (true, _) => LoadClass::Unusable,
                (false, 0) => LoadClass::Idle,
                (false, _) => LoadClass::Busy,
            };
            if class == LoadClass::Unusable || settled {
                candidates.push((class, runs, record));
            }
        }
        candidates.sort_by_key(|(class, runs, _)| (*class, *runs));
        let chosen = candidates.into_iter().filter(|(class, ..)| {
            let may = *class != LoadClass::Busy || wanted > 0;
            wanted = wanted.saturating_sub(1);
            may
        });
        chosen.map(|(_, _, record)| record).collect()
    }

    fn order(&mut self, record: &SamplerRecord, model: &SharedName, version: u64, now: TimePoint) -> LoadOrder {
        let plan = self.plans.entry(record.id.clone()).or_default();
        plan.loading_until = now.plus_ms(ANSWER_MS);
        plan.loading_version = version;
        LoadOrder {
            upstream: record.id.clone(),
            address: record.address.clone(),
            model: model.clone(),
            version,
            accepted_before: plan.accepted,
        }
    }
}

/// Each model's share of the upstreams in thousandths, by work; at least one each where there are enough.
fn shares(upstreams: u64, models: &[(&SharedName, &ModelDemand)]) -> BTreeMap<SharedName, u64> {
    let count = models.len() as u64;
    let even = models.iter().any(|(_, demand)| demand.work == 0) || upstreams < count;
    let total: u64 = models.iter().map(|(_, demand)| demand.work).sum();
    let share = |demand: &ModelDemand| {
        if even {
            return upstreams * SHARE_SCALE / count;
        }
        SHARE_SCALE + (upstreams - count) * SHARE_SCALE * demand.work / total
    };
    models.iter().map(|(model, demand)| ((*model).clone(), share(demand))).collect()
}

/// Whole numbers of upstreams nearest to the shares, `upstreams` together.
fn whole_shares(upstreams: u64, shares: &BTreeMap<SharedName, u64>) -> BTreeMap<SharedName, u64> {
    let mut quotas: BTreeMap<SharedName, u64> =
        shares.iter().map(|(model, share)| (model.clone(), share / SHARE_SCALE)).collect();
    let mut by_rest: Vec<&SharedName> = shares.keys().collect();
    by_rest.sort_by_key(|model| std::cmp::Reverse(shares[*model] % SHARE_SCALE));
    let left = upstreams.saturating_sub(quotas.values().sum());
    for model in by_rest.into_iter().cycle().take(usize::try_from(left).unwrap_or(0)) {
        *quotas.entry(model.clone()).or_default() += 1;
    }
    quotas
}
