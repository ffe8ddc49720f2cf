//! Table of the listed upstreams with their load, from which an upstream is selected for each request.

use super::{SamplerRecord, SamplerState};
use crate::{RateLimit, SharedName, TimePoint, rendezvous};
use std::collections::BTreeMap;

/// Backoff after a failed request; doubles with each further consecutive failure.
const BACKOFF_BASE_MS: u64 = 250;
/// Longest backoff after failed requests; a restarting upstream is ready again within a few seconds.
const BACKOFF_MAX_MS: u64 = 4_000;
/// Backoff after a refused request: about the time until a slot becomes free.
const REFUSAL_BACKOFF_MS: u64 = 200;
/// Backoff for one model after a refusal due to loading of weights: a fraction of the time that a load takes.
const MODEL_REFUSAL_BACKOFF_MS: u64 = 300;
/// Time for which the load that an upstream reported is valid.
const LOAD_REPORT_TTL_MS: u64 = 1_000;
/// Reciprocal of the weight of a new request in the moving average of the latency.
const AVERAGE_DIVISOR: u64 = 8;
/// One slot in this many is reserved for interactive requests, whose callers wait for the response.
const RESERVED_SLOTS_DIVISOR: u64 = 3;
/// Cost added for an upstream in another failure domain, in units of 1/[`COST_SCALE`].
const OTHER_DOMAIN_COST: u64 = 150;
/// Time for which the fastest upstreams are kept: a few events of a stream.
const FASTEST_TTL_MS: u64 = 50;
/// Fixed-point scale of costs: this value is the cost of an upstream whose slots would all be in use.
const COST_SCALE: u64 = 1_000;

/// Outcome of a request, as far as it matters for the selection of the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SamplerOutcome {
    /// The upstream responded. Holds the latency in milliseconds per unit of work, if measured; the unit is an event
    /// for streamed texts and a request otherwise.
    Answered(Option<u64>),
    /// The upstream refused the request.
    Refused,
    /// The upstream was unreachable, or the connection was lost.
    Failed,
    /// The request was cancelled, which does not affect the rating of the upstream.
    Abandoned,
}

/// Capacity that an upstream must have for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CapacityNeed {
    /// None: the request may be queued at the upstream.
    Queue,
    /// At least one free slot.
    FreeSlot,
    /// A free slot beyond those reserved for interactive requests. Used for scoring: at the end of a step hundreds of
    /// scoring requests are sent at once, to upstreams that also serve interactive requests such as price quotes.
    SpareSlot,
}

impl CapacityNeed {
    /// Whether an upstream with `load` requests on `slots` slots has the capacity.
    fn is_met(self, load: u64, slots: u64) -> bool {
        match self {
            Self::Queue => true,
            Self::FreeSlot => load < slots,
            Self::SpareSlot => load < slots - slots / RESERVED_SLOTS_DIVISOR,
        }
    }
}

/// Requirements of a request on its upstream.
#[derive(Clone, Copy, Debug)]
pub struct SamplerQuery<'a> {
    /// Service that the request is for.
    pub service: &'a str,
    /// Model that the request needs, and the oldest acceptable version of its weights.
    pub model: Option<(&'a str, u64)>,
    /// Failure domain of the daemon, whose upstreams are preferred.
    pub failure_domain: &'a str,
    /// Ids of upstreams that must not be selected, such as those already tried.
    pub excluded: &'a [SharedName],
    /// Capacity that the upstream must have.
    pub capacity: CapacityNeed,
    /// Key that selects among upstreams of equal cost; requests with the same key prefer the same upstream.
    pub affinity: &'a str,
}

/// A listed upstream with its load and recent failures.
#[derive(Clone, Debug)]
struct SamplerEntry {
    record: SamplerRecord,
    /// Number of requests of this daemon in progress.
    inflight: u64,
    /// Number of requests of other daemons, as last reported.
    others_load: u64,
    /// Expiry of `others_load`.
    others_load_until: TimePoint,
    /// Number of consecutive failed requests.
    failures: u32,
    /// End of the backoff after failed or refused requests.
    backoff_until: TimePoint,
    /// End of the backoff by model, after refusals because the upstream loads weights.
    model_backoff_until: BTreeMap<SharedName, TimePoint>,
    /// Moving average of the latency per unit of work.
    latency_ms: Option<u64>,
    /// Limit that the last response named.
    limit: Option<RateLimit>,
    /// Number of requests sent since the last call of [`SamplerTable::take_limited_counts`].
    sent_count: u64,
}

impl SamplerEntry {
    fn new(record: SamplerRecord) -> Self {
        Self {
            record,
            inflight: 0,
            others_load: 0,
            others_load_until: TimePoint(0),
            failures: 0,
            backoff_until: TimePoint(0),
            model_backoff_until: BTreeMap::new(),
            latency_ms: None,
            limit: None,
            sent_count: 0,
        }
    }

    /// Number of requests at the upstream: the exact number of this daemon's, and that of other daemons as last
    /// reported.
    fn load(&self, now: TimePoint) -> u64 {
        let others_load = if now < self.others_load_until { self.others_load } else { 0 };
        self.inflight + others_load
    }

    /// Whether the upstream is not backing off for the query.
    fn is_available(&self, query: &SamplerQuery<'_>, now: TimePoint) -> bool {
        let model_backoff_until = query.model.and_then(|(model, _)| self.model_backoff_until.get(model));
        self.backoff_until <= now && model_backoff_until.is_none_or(|until| *until <= now)
    }

    /// Whether the upstream accepts new requests for the service and has an acceptable version of the model.
    fn serves(&self, query: &SamplerQuery<'_>) -> bool {
        let record = &self.record;
        let has_model = query
            .model
            .is_none_or(|(model, oldest)| record.versions.get(model).is_some_and(|version| *version >= oldest));
        record.state == SamplerState::Ready && *record.service == *query.service && has_model
    }
}

/// The two fastest upstreams for one type of query. Of every upstream, one of them is another one.
#[derive(Clone, Debug)]
struct FastestEntry {
    service: SharedName,
    model: Option<(SharedName, u64)>,
    /// When the upstreams are compared again.
    valid_until: TimePoint,
    /// Latencies and ids, the lowest latency first.
    fastest: Vec<(u64, SharedName)>,
}

impl FastestEntry {
    fn is_for(&self, query: &SamplerQuery<'_>) -> bool {
        let model = self.model.as_ref().map(|(model, oldest)| (&**model, *oldest));
        *self.service == *query.service && model == query.model
    }
}

/// Listed upstreams of all services, by id.
#[derive(Debug, Default)]
pub struct SamplerTable {
    entries: BTreeMap<SharedName, SamplerEntry>,
    /// The fastest upstreams by query, so that not every event of every run compares all upstreams.
    fastest: Vec<FastestEntry>,
}

impl SamplerTable {
    /// Adds an upstream or updates its record. Load and failures are kept unless the upstream was restarted or has
    /// another address.
    pub fn upsert(&mut self, record: SamplerRecord) {
        match self.entries.get_mut(&record.id) {
            Some(entry) if entry.record.is_same_process(&record) => entry.record = record,
            _ => {
                self.entries.insert(record.id.clone(), SamplerEntry::new(record));
            }
        }
    }

    /// Removes an upstream that is no longer listed.
    pub fn remove(&mut self, id: &str) {
        self.entries.remove(id);
    }

    /// Replaces the complete list; see [`Self::upsert`] for upstreams that were listed before.
    pub fn replace_all(&mut self, records: Vec<SamplerRecord>) {
        self.entries.retain(|id, _| records.iter().any(|record| record.id == *id));
        for record in records {
            self.upsert(record);
        }
    }

    /// Record of the upstream `id`; `None` if it is not listed.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&SamplerRecord> {
        self.entries.get(id).map(|entry| &entry.record)
    }

    /// Records of all upstreams, ordered by id.
    pub fn records(&self) -> impl Iterator<Item = &SamplerRecord> {
        self.entries.values().map(|entry| &entry.record)
    }

    /// Number of this daemon's requests in progress at the upstream `id`; 0 if it is not listed.
    #[must_use]
    pub fn inflight(&self, id: &str) -> u64 {
        self.entries.get(id).map_or(0, |entry| entry.inflight)
    }

    /// Number of this daemon's requests in progress at each upstream that serves models. Upstreams without requests are
    /// omitted.
    #[must_use]
    pub fn model_requests(&self) -> BTreeMap<SharedName, u64> {
        let running = self.entries.values().filter(|entry| entry.inflight > 0 && !entry.record.versions.is_empty());
        running.map(|entry| (entry.record.id.clone(), entry.inflight)).collect()
    }

    /// Selects the upstream with the shortest expected wait and counts the request as in progress there. The caller
    /// must report its end with [`Self::request_ended`]. `None` if no upstream meets the query.
    pub fn pick(&mut self, query: &SamplerQuery<'_>, now: TimePoint) -> Option<SamplerRecord> {
        let id = self.select(query, now)?;
        let entry = self.entries.get_mut(&id)?;
        entry.inflight += 1;
        Some(entry.record.clone())
    }

    /// Number of upstreams that serve the query and do not back off, whatever their load.
    #[must_use]
    pub fn available_count(&self, query: &SamplerQuery<'_>, now: TimePoint) -> usize {
        self.entries.values().filter(|entry| entry.serves(query) && entry.is_available(query, now)).count()
    }

    /// Id of the upstream with the shortest expected wait; `None` if no upstream meets the query.
    fn select(&self, query: &SamplerQuery<'_>, now: TimePoint) -> Option<SharedName> {
        let mut fastest_ms = u64::MAX;
        let mut candidates: Vec<&SamplerEntry> = Vec::new();
        for entry in self.entries.values().filter(|entry| entry.serves(query)) {
            fastest_ms = fastest_ms.min(entry.latency_ms.unwrap_or(u64::MAX));
            let is_candidate = entry.is_available(query, now)
                && query.capacity.is_met(entry.load(now), entry.record.slots)
                && !query.excluded.contains(&entry.record.id);
            if is_candidate {
                candidates.push(entry);
            }
        }
        let fastest_ms = if fastest_ms == u64::MAX { 1 } else { fastest_ms.max(1) };
        let cost = |entry: &SamplerEntry| {
            let is_other_domain = *entry.record.failure_domain != *query.failure_domain;
            let slots = entry.record.slots.max(1);
            let wait = (entry.load(now) + 1) * COST_SCALE / slots + if is_other_domain { OTHER_DOMAIN_COST } else { 0 };
            wait * entry.latency_ms.unwrap_or(fastest_ms) / fastest_ms
        };
        let costs: Vec<(u64, &SharedName)> = candidates.iter().map(|entry| (cost(entry), &entry.record.id)).collect();
        let lowest_cost = costs.iter().map(|(cost, _)| *cost).min()?;
        let cheapest: Vec<&SharedName> =
            costs.iter().filter(|(cost, _)| *cost == lowest_cost).map(|(_, id)| *id).collect();
        match cheapest[..] {
            [only] => Some(only.clone()),
            _ => rendezvous::highest_ranked(query.affinity, &cheapest).map(|id| (*id).clone()),
        }
    }

    /// Latency in milliseconds per unit of work of the fastest upstream other than `id` that has a free slot for the
    /// query. `None` if there is no such upstream or its latency is unknown.
    ///
    /// The upstreams are compared at most once per [`FASTEST_TTL_MS`].
    pub fn fastest_other_latency_ms(&mut self, query: &SamplerQuery<'_>, id: &str, now: TimePoint) -> Option<u64> {
        self.fastest.retain(|entry| now < entry.valid_until);
        if !self.fastest.iter().any(|entry| entry.is_for(query)) {
            let entry = self.compare_latencies(query, now);
            self.fastest.push(entry);
        }
        let fastest = &self.fastest.iter().find(|entry| entry.is_for(query))?.fastest;
        fastest.iter().find(|(_, fastest_id)| **fastest_id != *id).map(|(latency_ms, _)| *latency_ms)
    }

    /// The two fastest upstreams that have a free slot for the query.
    fn compare_latencies(&self, query: &SamplerQuery<'_>, now: TimePoint) -> FastestEntry {
        let free = self.entries.values().filter(|entry| {
            entry.serves(query) && entry.is_available(query, now) && entry.load(now) < entry.record.slots
        });
        let mut fastest: Vec<(u64, SharedName)> = Vec::new();
        for entry in free {
            let Some(latency_ms) = entry.latency_ms else { continue };
            if fastest.len() < 2 || fastest.last().is_some_and(|(slowest_ms, _)| latency_ms < *slowest_ms) {
                fastest.truncate(1);
                let index = usize::from(fastest.first().is_some_and(|(first_ms, _)| *first_ms <= latency_ms));
                fastest.insert(index, (latency_ms, entry.record.id.clone()));
            }
        }
        FastestEntry {
            service: query.service.into(),
            model: query.model.map(|(model, oldest)| (model.into(), oldest)),
            valid_until: now.plus_ms(FASTEST_TTL_MS),
            fastest,
        }
    }

    /// Handles the end of a request at the upstream that `picked` describes. Ignored if another process serves under its
    /// id meanwhile.
    pub fn request_ended(&mut self, picked: &SamplerRecord, outcome: SamplerOutcome, now: TimePoint) {
        let entry = self.entries.get_mut(&picked.id).filter(|entry| entry.record.is_same_process(picked));
        let Some(entry) = entry else { return };
        entry.inflight = entry.inflight.saturating_sub(1);
        match outcome {
            SamplerOutcome::Answered(latency_ms) => {
                entry.failures = 0;
                if let Some(ms) = latency_ms {
                    let latency_ms =
                        entry.latency_ms.map_or(ms, |average| (average * (AVERAGE_DIVISOR - 1) + ms) / AVERAGE_DIVISOR);
                    entry.latency_ms = Some(latency_ms.max(1));
                }
            }
            SamplerOutcome::Refused => entry.backoff_until = entry.backoff_until.max(now.plus_ms(REFUSAL_BACKOFF_MS)),
            SamplerOutcome::Failed => {
                let backoff_ms = (BACKOFF_BASE_MS << entry.failures.min(8)).min(BACKOFF_MAX_MS);
                entry.backoff_until = entry.backoff_until.max(now.plus_ms(backoff_ms));
                entry.failures += 1;
            }
            SamplerOutcome::Abandoned => {}
        }
    }

    /// Handles the end of the process that `record` describes: it gets no requests until its entry is removed, or until
    /// the longest backoff if it is not.
    pub fn process_ended(&mut self, record: &SamplerRecord, now: TimePoint) {
        let entry = self.entries.get_mut(&record.id).filter(|entry| entry.record.is_same_process(record));
        if let Some(entry) = entry {
            entry.backoff_until = entry.backoff_until.max(now.plus_ms(BACKOFF_MAX_MS));
        }
    }

    /// Handles a refusal of a request for `model` at an upstream that had a free slot. The upstream is loading weights,
    /// so it backs off for this model only.
    pub fn model_refused(&mut self, id: &str, model: &SharedName, now: TimePoint) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.model_backoff_until.insert(model.clone(), now.plus_ms(MODEL_REFUSAL_BACKOFF_MS));
        }
    }

    /// Handles the limit that a response of the process `responder` names; `None` if it names none. Returns whether the
    /// previous response named another one.
    pub fn limit_reported(&mut self, responder: &SamplerRecord, limit: Option<RateLimit>) -> bool {
        let entry = self.entries.get_mut(&responder.id).filter(|entry| entry.record.is_same_process(responder));
        entry.is_some_and(|entry| std::mem::replace(&mut entry.limit, limit) != limit)
    }

    /// Counts a request that is sent to the upstream `id`.
    pub fn request_sent(&mut self, id: &str) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.sent_count += 1;
        }
    }

    /// The limits of upstreams that name one, and the numbers of requests sent there since the last call. Upstreams
    /// without requests are omitted.
    pub fn take_limited_counts(&mut self) -> Vec<(SharedName, RateLimit, u64)> {
        let counts = self.entries.values_mut().filter_map(|entry| {
            let sent_count = std::mem::take(&mut entry.sent_count);
            let limit = entry.limit.filter(|_| sent_count > 0)?;
            Some((entry.record.id.clone(), limit, sent_count))
        });
        counts.collect()
    }

    /// Handles a load report of the upstream `id`. `requests` is its number of running and queued requests, including
    /// those of this daemon.
    pub fn load_reported(&mut self, id: &str, requests: u64, now: TimePoint) {
        let Some(entry) = self.entries.get_mut(id) else { return };
        entry.others_load = requests.saturating_sub(entry.inflight);
        entry.others_load_until = now.plus_ms(LOAD_REPORT_TTL_MS);
    }
}
