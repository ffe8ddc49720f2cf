//! The upstreams that a daemon knows, their load, and the choice among them.

use super::{SamplerRecord, SamplerState};
use crate::{SharedName, TimePoint, rendezvous};
use std::collections::BTreeMap;

/// First pause after a failed attempt; doubles with each further failure in a row.
const BACKOFF_BASE_MS: u64 = 250;
/// Longest pause; an upstream that restarts is back after some seconds.
const BACKOFF_MAX_MS: u64 = 4_000;
/// Pause after a refusal: about the time in which a slot becomes free.
const REFUSAL_PAUSE_MS: u64 = 200;
/// Pause after a refusal for one model: a fraction of the time in which weights are loaded.
const MODEL_REFUSAL_PAUSE_MS: u64 = 300;
/// What an upstream said about its load counts this long.
const LOAD_REPORT_LIFE_MS: u64 = 1_000;
/// A request's share in the moving average of the pace is one in this many.
const PACE_WEIGHT: u64 = 8;
/// One slot in this many is left to requests with a caller who waits.
const SPARED_SLOTS_DIVISOR: u64 = 3;
/// Cost of another failure domain, in thousandths of a slot.
const AWAY_COST: u64 = 150;
/// Scale of costs.
const COST_SCALE: u64 = 1_000;

/// How an attempt ended, as far as the upstream's standing goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SamplerOutcome {
    /// It answered; took this many milliseconds for a unit of work, where that is known.
    Answered(Option<u64>),
    /// It refused to run the request.
    Refused,
    /// It was unreachable, or broke off.
    Failed,
    /// The caller left; nothing is learned.
    Abandoned,
}

/// How much room a request needs at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CapacityNeed {
    /// None: it may wait there.
    Queue,
    /// A free slot.
    FreeSlot,
    /// A free slot beyond those that are left to requests with a caller who waits. Answers the load of scorers, which
    /// come by the hundred as a step ends, at upstreams that quote prices too.
    SpareSlot,
}

impl CapacityNeed {
    fn is_met(self, load: u64, slots: u64) -> bool {
        match self {
            Self::Queue => true,
            Self::FreeSlot => load < slots,
            Self::SpareSlot => load < slots - slots / SPARED_SLOTS_DIVISOR,
        }
    }
}

/// What a request needs.
#[derive(Clone, Copy, Debug)]
pub struct SamplerQuery<'a> {
    /// Service to run on.
    pub service: &'a str,
    /// Model and the oldest version of it that will do.
    pub model: Option<(&'a str, u64)>,
    /// Failure domain of the daemon.
    pub failure_domain: &'a str,
    /// Ids of upstreams already tried.
    pub excluded: &'a [SharedName],
    /// How much room an upstream must have.
    pub capacity: CapacityNeed,
    /// Spreads equal choices; requests with one key prefer one upstream.
    pub affinity: &'a str,
}

#[derive(Clone, Debug)]
struct SamplerEntry {
    record: SamplerRecord,
    inflight: u64,
    others: u64,
    others_until: TimePoint,
    failures: u32,
    paused_until: TimePoint,
    /// Until then it refuses requests for these models, because it loads weights.
    refuses_until: BTreeMap<SharedName, TimePoint>,
    pace_ms: Option<u64>,
}

impl SamplerEntry {
    fn new(record: SamplerRecord) -> Self {
        Self {
            record,
            inflight: 0,
            others: 0,
            others_until: TimePoint(0),
            failures: 0,
            paused_until: TimePoint(0),
            refuses_until: BTreeMap::new(),
            pace_ms: None,
        }
    }

    /// Requests on it as far as known: its own are exact, others' are as last reported.
    fn load(&self, now: TimePoint) -> u64 {
        let others = if now < self.others_until { self.others } else { 0 };
        self.inflight + others
    }

    fn is_open(&self, query: &SamplerQuery<'_>, now: TimePoint) -> bool {
        let refuses_until = query.model.and_then(|(model, _)| self.refuses_until.get(model));
        self.paused_until <= now && refuses_until.is_none_or(|until| *until <= now)
    }

    fn serves(&self, query: &SamplerQuery<'_>) -> bool {
        let record = &self.record;
        let model_fits = query
            .model
            .is_none_or(|(model, oldest)| record.versions.get(model).is_some_and(|version| *version >= oldest));
        record.state == SamplerState::Ready && *record.service == *query.service && model_fits
    }
}

/// All upstreams by id.
#[derive(Debug, Default)]
pub struct SamplerTable {
    entries: BTreeMap<SharedName, SamplerEntry>,
}

impl SamplerTable {
    /// Takes in an upstream's latest record.
    pub fn upsert(&mut self, record: SamplerRecord) {
        match self.entries.get_mut(&record.id) {
            Some(entry)
                if entry.record.address == record.address && entry.record.started_unix_ms == record.started_unix_ms =>
            {
                entry.record = record;
            }
            _ => {
                self.entries.insert(record.id.clone(), SamplerEntry::new(record));
            }
        }
    }

    /// An upstream is off the list.
    pub fn remove(&mut self, id: &str) {
        self.entries.remove(id);
    }

    /// Replaces the whole list.
    pub fn replace_all(&mut self, records: Vec<SamplerRecord>) {
        self.entries.retain(|id, _| records.iter().any(|record| record.id == *id));
        for record in records {
            self.upsert(record);
        }
    }

    /// The record of `id`.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&SamplerRecord> {
        self.entries.get(id).map(|entry| &entry.record)
    }

    /// All records, by id.
    pub fn records(&self) -> impl Iterator<Item = &SamplerRecord> {
        self.entries.values().map(|entry| &entry.record)
    }

    /// Requests of this daemon at each upstream that serves models; idle ones are left out.
    #[must_use]
    pub fn model_requests(&self) -> BTreeMap<SharedName, u64> {
        let running = self.entries.values().filter(|entry| entry.inflight > 0 && !entry.record.versions.is_empty());
        running.map(|entry| (entry.record.id.clone(), entry.inflight)).collect()
    }

    /// Chooses the upstream with the shortest expected wait and counts the request on it.
    pub fn pick(&mut self, query: &SamplerQuery<'_>, now: TimePoint) -> Option<SamplerRecord> {
        let id = self.choose(query, now)?;
        let entry = self.entries.get_mut(&id)?;
        entry.inflight += 1;
        Some(entry.record.clone())
    }

    fn choose(&self, query: &SamplerQuery<'_>, now: TimePoint) -> Option<SharedName> {
        let serving = || self.entries.values().filter(|entry| entry.serves(query));
        let fastest_ms = serving().filter_map(|entry| entry.pace_ms).min().unwrap_or(1).max(1);
        let candidates = serving()
            .filter(|entry| !query.excluded.contains(&entry.record.id))
            .filter(|entry| entry.is_open(query, now))
            .filter(|entry| query.capacity.is_met(entry.load(now), entry.record.slots));
        candidates
            .min_by_key(|entry| {
                let away = *entry.record.failure_domain != *query.failure_domain;
                let slots = entry.record.slots.max(1);
                let wait = (entry.load(now) + 1) * COST_SCALE / slots + if away { AWAY_COST } else { 0 };
                let pace_ms = entry.pace_ms.unwrap_or(fastest_ms);
                (wait * pace_ms / fastest_ms, std::cmp::Reverse(rendezvous::weight(query.affinity, &entry.record.id)))
            })
            .map(|entry| entry.record.id.clone())
    }

    /// Pace in milliseconds of the fastest upstream other than `id` that has room for the query.
    #[must_use]
    pub fn fastest_other_latency_ms(&self, query: &SamplerQuery<'_>, id: &str, now: TimePoint) -> Option<u64> {
        let others = self.entries.values().filter(|entry| entry.serves(query) && *entry.record.id != *id);
        let free = others.filter(|entry| entry.is_open(query, now) && entry.load(now) < entry.record.slots);
        free.filter_map(|entry| entry.pace_ms).min()
    }

    /// A request on `id` ended.
    pub fn request_ended(&mut self, id: &str, outcome: SamplerOutcome, now: TimePoint) {
        let Some(entry) = self.entries.get_mut(id) else { return };
        entry.inflight = entry.inflight.saturating_sub(1);
        match outcome {
            SamplerOutcome::Answered(pace_ms) => {
                entry.failures = 0;
                if let Some(ms) = pace_ms {
                    let pace_ms = entry.pace_ms.map_or(ms, |pace| (pace * (PACE_WEIGHT - 1) + ms) / PACE_WEIGHT);
                    entry.pace_ms = Some(pace_ms.max(1));
                }
            }
            SamplerOutcome::Refused => entry.paused_until = entry.paused_until.max(now.plus_ms(REFUSAL_PAUSE_MS)),
            SamplerOutcome::Failed => {
                let pause_ms = (BACKOFF_BASE_MS << entry.failures.min(8)).min(BACKOFF_MAX_MS);
                entry.paused_until = entry.paused_until.max(now.plus_ms(pause_ms));
                entry.failures += 1;
            }
            SamplerOutcome::Abandoned => {}
        }
    }

    /// An upstream refused a request for `model` although it seemed to have room: it loads weights.
    pub fn model_refused(&mut self, id: &str, model: &SharedName, now: TimePoint) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.refuses_until.insert(model.clone(), now.plus_ms(MODEL_REFUSAL_PAUSE_MS));
        }
    }

    /// What an upstream said about its load: requests running and waiting.
    pub fn load_reported(&mut self, id: &str, requests: u64, now: TimePoint) {
        let Some(entry) = self.entries.get_mut(id) else { return };
        entry.others = requests.saturating_sub(entry.inflight);
        entry.others_until = now.plus_ms(LOAD_REPORT_LIFE_MS);
    }
}
