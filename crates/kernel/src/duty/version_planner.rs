//! Planning of weight loads: assigns a model to each upstream and moves upstreams to the newest version of their model,
//! a few at a time.
//!
//! Trainers announce a version every few seconds and require the texts of a step from that version or the previous one.
//! While an upstream loads weights it starts no runs, and its current runs stall. So upstreams that cannot serve the
//! newest step load immediately, then idle ones, and busy ones only until half of the model's upstreams have the newest
//! version: one half serves a step while the other half loads the weights for the next.

use crate::{SamplerRecord, SamplerState, SharedName, TimePoint};
use std::collections::{BTreeMap, BTreeSet};

/// At most one in this many standing upstreams loads at a time; more than a few concurrent loads slow each other down.
const LOADING_DIVISOR: usize = 5;
/// Upstreams that may end while they load a version that no upstream has. After that, it is loaded at one upstream at a
/// time, so that a version that ends them leaves the others running.
const LOAD_CRASHES_MAX: u32 = 3;
/// Time after which an accepted load is considered lost if the list of upstreams doesn't show the new version.
const LOAD_TIMEOUT_MS: u64 = 6_000;
/// Time for which upstreams that can serve the newest step with their current version wait before they load a new one.
/// A trainer submits a step when it announces the version, and the delay lets the items of that step start first.
const LOAD_DELAY_MS: u64 = 700;
/// Backoff after an order that was not accepted.
const RETRY_BACKOFF_MS: u64 = 400;
/// Time for which an upstream counts as loading while its order has not been answered.
const ORDER_TIMEOUT_MS: u64 = 1_500;
/// Fixed-point scale of a model's share: this value represents one upstream.
const SHARE_SCALE: u64 = 1_000;

/// Order to an upstream to load a version of a model's weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadOrder {
    /// Id of the upstream.
    pub upstream: SharedName,
    /// Address of the upstream, `ip:port`.
    pub address: SharedName,
    /// Model whose weights are loaded.
    pub model: SharedName,
    /// Version to load.
    pub version: u64,
    /// Number of orders that the upstream has accepted before. The upstream compares it with its own count and so
    /// rejects delayed orders. `None` if the count is unknown and must be requested from the upstream.
    pub accepted_before: Option<u64>,
}

/// Outcome of a load order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadOutcome {
    /// The upstream loads the version.
    Accepted,
    /// The upstream had that version already.
    AlreadyLoaded,
    /// Another load is in progress, or the upstream has accepted a different number of orders.
    Conflict,
    /// The upstream refused the order, or another upstream now has its address.
    Refused,
    /// The upstream did not answer; it may still carry out the order, now or later.
    Unanswered,
}

/// Demand for one model.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ModelDemand {
    /// Newest version that the trainer announced; 0 if it announced none.
    pub newest_version: u64,
    /// Oldest version that the newest step accepts; 0 if there is no step.
    pub oldest_usable_version: u64,
    /// Amount of work in its recent steps, in a unit that all models share, such as tokens.
    pub work: u64,
}

/// State of one service as input to the planner.
#[derive(Clone, Copy, Debug)]
pub struct ServiceSnapshot<'a> {
    /// Listed upstreams of the service.
    pub upstreams: &'a [SamplerRecord],
    /// Demand for each model of the service.
    pub models: &'a BTreeMap<SharedName, ModelDemand>,
    /// Number of runs by upstream, from the latest reports of all daemons.
    pub runs: &'a BTreeMap<SharedName, u64>,
}

/// Assignment and load state of one upstream.
#[derive(Clone, Debug, Default)]
struct UpstreamPlan {
    /// Model that the upstream is assigned to.
    model: Option<SharedName>,
    /// Number of orders that the upstream has accepted, if known.
    accepted_count: Option<u64>,
    /// Start of the upstream's process, which identifies its incarnation.
    started_unix_ms: u64,
    /// Time until which the upstream counts as loading.
    loading_until: TimePoint,
    /// Version in the last order.
    loading_version: u64,
    /// End of the backoff after an order that was not accepted.
    next_order_at: TimePoint,
}

/// Priority of an upstream for loading, by how little a load would disrupt the newest step. Upstreams of an earlier
/// variant load first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum LoadPriority {
    /// Its version is too old to serve the newest step.
    Unusable,
    /// Can serve the newest step but has no runs.
    Idle,
    /// Can serve the newest step and has runs.
    Busy,
}

/// Upstreams that ended while they loaded a version.
#[derive(Clone, Copy, Debug)]
struct LoadCrashes {
    version: u64,
    count: u32,
    /// When the upstream that ended last is considered to be running again.
    recovered_at: TimePoint,
}

/// Assigns the upstreams of a service to models and plans their loads.
#[derive(Debug, Default)]
pub struct VersionPlanner {
    /// State of the listed upstreams by id.
    plans: BTreeMap<SharedName, UpstreamPlan>,
    /// Newest version of each model and the time at which it was first seen.
    newest_seen: BTreeMap<SharedName, (u64, TimePoint)>,
    /// Number of upstreams that each model should have.
    quotas: BTreeMap<SharedName, u64>,
    /// Crashes of upstreams by the model that they loaded, while no upstream has the version.
    load_crashes: BTreeMap<SharedName, LoadCrashes>,
}

impl VersionPlanner {
    /// Orders to be sent now.
    pub fn plan(&mut self, service: &ServiceSnapshot<'_>, now: TimePoint) -> Vec<LoadOrder> {
        self.sync_upstreams(service.upstreams, now);
        self.update_newest_seen(service.models, now);
        let ready: Vec<&SamplerRecord> =
            service.upstreams.iter().filter(|record| record.state == SamplerState::Ready).collect();
        self.assign_models(&ready, service.models);
        let standing = ready.iter().filter(|record| !record.reclaimable).count();
        let loading = self.plans.values().filter(|plan| plan.loading_until > now).count();
        let mut allowed_loads = standing.div_ceil(LOADING_DIVISOR).max(1).saturating_sub(loading);
        let mut orders = Vec::new();
        for model in self.models_by_need(&ready, service.models, now) {
            let mut allowed_of_model = self.allowed_loads(&model, allowed_loads, now);
            for record in self.load_candidates(&ready, &model, service, now) {
                if allowed_of_model == 0 {
                    break;
                }
                allowed_of_model -= 1;
                orders.push(self.create_order(record, &model, service.models[&model].newest_version, now));
                allowed_loads -= 1;
            }
        }
        orders
    }

    /// Handles the outcome of an order.
    pub fn order_answered(&mut self, order: &LoadOrder, outcome: LoadOutcome, now: TimePoint) {
        let Some(plan) = self.plans.get_mut(&order.upstream) else { return };
        match outcome {
            LoadOutcome::Accepted => {
                plan.accepted_count = order.accepted_before.map(|count| count + 1);
                plan.loading_until = now.plus_ms(LOAD_TIMEOUT_MS);
            }
            LoadOutcome::AlreadyLoaded => plan.loading_until = now,
            LoadOutcome::Conflict | LoadOutcome::Refused | LoadOutcome::Unanswered => {
                plan.accepted_count = None;
                plan.loading_until = now;
                plan.next_order_at = now.plus_ms(RETRY_BACKOFF_MS);
            }
        }
    }

    /// Model that `upstream` is assigned to; `None` if it has none or is not listed.
    #[must_use]
    pub fn assigned_model(&self, upstream: &str) -> Option<&SharedName> {
        self.plans.get(upstream)?.model.as_ref()
    }

    /// Drops the plans of upstreams that are no longer listed, resets those of restarted ones, and clears the loading
    /// state of upstreams that list the ordered version. Counts the upstreams that ended while they loaded.
    fn sync_upstreams(&mut self, upstreams: &[SamplerRecord], now: TimePoint) {
        self.count_load_crashes(upstreams, now);
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

    /// Counts the upstreams that ended while they loaded, by model, and forgets the counts of versions that some upstream
    /// has or that are not the newest.
    fn count_load_crashes(&mut self, upstreams: &[SamplerRecord], now: TimePoint) {
        let processes: BTreeMap<&SharedName, u64> =
            upstreams.iter().map(|record| (&record.id, record.started_unix_ms)).collect();
        let ended = self.plans.iter().filter(|(id, plan)| {
            plan.loading_until > now && processes.get(*id).is_none_or(|started| *started != plan.started_unix_ms)
        });
        for (_, plan) in ended {
            let Some(model) = &plan.model else { continue };
            let crashes = self.load_crashes.entry(model.clone()).or_insert(LoadCrashes {
                version: plan.loading_version,
                count: 0,
                recovered_at: now,
            });
            if crashes.version < plan.loading_version {
                *crashes = LoadCrashes { version: plan.loading_version, count: 0, recovered_at: now };
            }
            crashes.count += 1;
            crashes.recovered_at = now.plus_ms(LOAD_TIMEOUT_MS);
        }
        self.load_crashes.retain(|model, crashes| {
            let has_version =
                |record: &SamplerRecord| record.versions.get(model).is_some_and(|version| *version >= crashes.version);
            !upstreams.iter().any(has_version)
        });
    }

    /// Number of loads of a model's newest version that may start now, of `allowed_loads` in all.
    fn allowed_loads(&self, model: &SharedName, allowed_loads: usize, now: TimePoint) -> usize {
        let Some(crashes) = self.load_crashes.get(model).filter(|crashes| crashes.count >= LOAD_CRASHES_MAX) else {
            return allowed_loads;
        };
        let is_loading = |plan: &UpstreamPlan| plan.model.as_ref() == Some(model) && plan.loading_until > now;
        if now < crashes.recovered_at || self.plans.values().any(is_loading) { 0 } else { allowed_loads.min(1) }
    }

    /// Records the time at which a new version of a model is first seen.
    fn update_newest_seen(&mut self, models: &BTreeMap<SharedName, ModelDemand>, now: TimePoint) {
        for (model, demand) in models {
            let seen = self.newest_seen.entry(model.clone()).or_insert((demand.newest_version, now));
            if seen.0 < demand.newest_version {
                *seen = (demand.newest_version, now);
            }
        }
    }

    /// Assigns one model to each upstream in proportion to the models' work, and reassigns as few upstreams as
    /// possible.
    fn assign_models(&mut self, ready: &[&SamplerRecord], models: &BTreeMap<SharedName, ModelDemand>) {
        self.update_quotas(ready.len() as u64, models);
        let mut counts: BTreeMap<SharedName, u64> = self.quotas.keys().map(|model| (model.clone(), 0)).collect();
        let mut unassigned = Vec::new();
        for record in ready {
            let Some(plan) = self.plans.get_mut(&record.id) else { continue };
            let quotas = &self.quotas;
            let count = plan.model.as_ref().and_then(|model| Some((counts.get_mut(model)?, quotas[model])));
            match count {
                Some((count, quota)) if *count < quota => *count += 1,
                _ => {
                    plan.model = None;
                    unassigned.push(record);
                }
            }
        }
        for record in unassigned {
            // Among the models below their quota, choose the one whose weights at this upstream lag the least.
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

    /// Recomputes the quotas if the number of upstreams or the set of models has changed, or if a model's quota differs
    /// from its share by at least one upstream. Models without an announced version get no quota while others have one.
    fn update_quotas(&mut self, upstreams: u64, models: &BTreeMap<SharedName, ModelDemand>) {
        let trained = models.iter().filter(|(_, demand)| demand.newest_version > 0);
        let trained: Vec<(&SharedName, &ModelDemand)> = trained.collect();
        let eligible = if trained.is_empty() { models.iter().collect() } else { trained };
        let shares = model_shares(upstreams, &eligible);
        let same_models =
            self.quotas.len() == shares.len() && shares.keys().all(|model| self.quotas.contains_key(model));
        let is_current = same_models
            && self.quotas.values().sum::<u64>() == upstreams
            && shares.iter().all(|(model, share)| (self.quotas[model] * SHARE_SCALE).abs_diff(*share) < SHARE_SCALE);
        if !is_current {
            self.quotas = rounded_quotas(upstreams, &shares);
        }
    }

    /// Models in ascending order of the number of upstreams that have or load their newest version.
    fn models_by_need(
        &self,
        ready: &[&SamplerRecord],
        models: &BTreeMap<SharedName, ModelDemand>,
        now: TimePoint,
    ) -> Vec<SharedName> {
        let mut names: Vec<SharedName> = self.quotas.keys().cloned().collect();
        names.sort_by_key(|model| self.count_at_version(ready, model, models[model].newest_version, now));
        names
    }

    /// Number of upstreams assigned to `model` that have or load `version` or a newer one.
    fn count_at_version(&self, ready: &[&SamplerRecord], model: &SharedName, version: u64, now: TimePoint) -> usize {
        let assigned = ready.iter().filter(|record| self.assigned_model(&record.id) == Some(model));
        assigned
            .filter(|record| {
                let loads_version = |plan: &UpstreamPlan| plan.loading_until > now && plan.loading_version >= version;
                record.versions.get(model).is_some_and(|loaded| *loaded >= version)
                    || self.plans.get(&record.id).is_some_and(loads_version)
            })
            .count()
    }

    /// Upstreams of `model` that may load its newest version now, by ascending priority and number of runs.
    fn load_candidates<'a>(
        &self,
        ready: &[&'a SamplerRecord],
        model: &SharedName,
        service: &ServiceSnapshot<'_>,
        now: TimePoint,
    ) -> Vec<&'a SamplerRecord> {
        let demand = service.models[model];
        let is_delay_over = self.newest_seen.get(model).is_some_and(|(_, since)| now >= since.plus_ms(LOAD_DELAY_MS));
        let assigned: Vec<&&SamplerRecord> =
            ready.iter().filter(|record| self.assigned_model(&record.id) == Some(model)).collect();
        // Number of upstreams that still lack the newest version for half of the model's upstreams to have it. Busy
        // upstreams load only while it is above 0.
        let mut missing =
            assigned.len().div_ceil(2).saturating_sub(self.count_at_version(ready, model, demand.newest_version, now));
        let mut candidates: Vec<(LoadPriority, u64, &'a SamplerRecord)> = Vec::new();
        for record in assigned {
            let Some(loaded) = record.versions.get(model).copied() else { continue };
            let may_load =
                self.plans.get(&record.id).is_some_and(|plan| plan.loading_until <= now && plan.next_order_at <= now);
            if loaded >= demand.newest_version || !may_load {
                continue;
            }
            let runs = service.runs.get(&record.id).copied().unwrap_or(0);
            let priority = match (loaded < demand.oldest_usable_version, runs) {
                (true, _) => LoadPriority::Unusable,
                (false, 0) => LoadPriority::Idle,
                (false, _) => LoadPriority::Busy,
            };
            if priority == LoadPriority::Unusable || is_delay_over {
                candidates.push((priority, runs, record));
            }
        }
        candidates.sort_by_key(|(priority, runs, _)| (*priority, *runs));
        let chosen = candidates.into_iter().filter(|(priority, ..)| {
            let is_allowed = *priority != LoadPriority::Busy || missing > 0;
            missing = missing.saturating_sub(1);
            is_allowed
        });
        chosen.map(|(_, _, record)| record).collect()
    }

    /// Creates an order for an upstream and marks the upstream as loading.
    fn create_order(&mut self, record: &SamplerRecord, model: &SharedName, version: u64, now: TimePoint) -> LoadOrder {
        let plan = self.plans.entry(record.id.clone()).or_default();
        plan.loading_until = now.plus_ms(ORDER_TIMEOUT_MS);
        plan.loading_version = version;
        LoadOrder {
            upstream: record.id.clone(),
            address: record.address.clone(),
            model: model.clone(),
            version,
            accepted_before: plan.accepted_count,
        }
    }
}

/// Share of the upstreams by model, in units of 1/[`SHARE_SCALE`] upstream. Shares are proportional to the work beyond
/// one upstream per model; they are equal if a model has no work or if there are fewer upstreams than models.
fn model_shares(upstreams: u64, models: &[(&SharedName, &ModelDemand)]) -> BTreeMap<SharedName, u64> {
    let count = models.len() as u64;
    let is_even = models.iter().any(|(_, demand)| demand.work == 0) || upstreams < count;
    let total: u64 = models.iter().map(|(_, demand)| demand.work).sum();
    let share = |demand: &ModelDemand| {
        if is_even {
            return upstreams * SHARE_SCALE / count;
        }
        SHARE_SCALE + (upstreams - count) * SHARE_SCALE * demand.work / total
    };
    models.iter().map(|(model, demand)| ((*model).clone(), share(demand))).collect()
}

/// Rounds the shares to numbers of upstreams that add up to `upstreams`, by the largest remainder method.
fn rounded_quotas(upstreams: u64, shares: &BTreeMap<SharedName, u64>) -> BTreeMap<SharedName, u64> {
    let mut quotas: BTreeMap<SharedName, u64> =
        shares.iter().map(|(model, share)| (model.clone(), share / SHARE_SCALE)).collect();
    let mut by_remainder: Vec<&SharedName> = shares.keys().collect();
    by_remainder.sort_by_key(|model| std::cmp::Reverse(shares[*model] % SHARE_SCALE));
    let unassigned = upstreams.saturating_sub(quotas.values().sum());
    for model in by_remainder.into_iter().cycle().take(usize::try_from(unassigned).unwrap_or(0)) {
        *quotas.entry(model.clone()).or_default() += 1;
    }
    quotas
}
