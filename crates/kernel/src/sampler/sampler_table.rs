//! Table of the listed upstreams with their load, from which an upstream is selected for each request.

use super::{
    CapacityNeed, EvacuationTable, PermitNeed, SamplerQuery, SamplerRecord, SamplerState, WithholdReason,
    leaving_processes::LeavingProcesses,
    sampler_entry::{BACKOFF_MAX_MS, SamplerEntry},
    text_cost::text_cost,
};
use crate::{
    ColdPeriod, ColdRule, LimitObservation, PermitAnswer, PermitAsk, RateLimit, RegionMap, RoomOutlook, SharedName,
    TimePoint, rendezvous,
};
use std::collections::{BTreeMap, BTreeSet};

/// Backoff after a refused request: about the time until a slot becomes free.
const REFUSAL_BACKOFF_MS: u64 = 200;
/// Backoff for one model after a refusal due to loading of weights: a fraction of the time that a load takes.
const MODEL_REFUSAL_BACKOFF_MS: u64 = 300;
/// Slots of a service must be known to be in use up to their number divided by this, for the room in it to be known.
const KNOWN_SLOTS_DIVISOR: u64 = 2;
/// Highest load that a report is taken for; costs are computed with it.
const REPORTED_LOAD_MAX: u64 = 1_000_000;
/// Time for which the load that an upstream reported is valid.
const LOAD_REPORT_TTL_MS: u64 = 1_000;
/// Cost added for an upstream in another failure domain, in units of 1/[`COST_SCALE`].
const OTHER_DOMAIN_COST: u64 = 150;
/// Time for which the fastest upstreams are kept: a few events of a stream.
const FASTEST_TTL_MS: u64 = 50;
/// Longest cold period that an entry is believed to announce at once; upstreams write their entries every second or two.
const COLD_MS_MAX: u64 = 60_000;
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

/// Numbers of permits that a query wants of upstreams at their limit, of which `preferred` holds the costs.
fn wanted_permits(
    mut preferred: Vec<(u64, &SamplerEntry)>,
    query: &SamplerQuery<'_>,
    now: TimePoint,
) -> Vec<(SharedName, u32)> {
    let PermitNeed { urgency, count, .. } = query.permits;
    preferred.retain(|(_, entry)| entry.pool.as_ref().is_some_and(|pool| pool.may_ask(urgency, now)));
    preferred.sort_by_key(|(cost, _)| *cost);
    let mut missing = count;
    let mut wanted = Vec::new();
    for (_, entry) in preferred {
        if missing == 0 {
            break;
        }
        let free_slots = u32::try_from(entry.record.slots.saturating_sub(entry.load(now))).unwrap_or(u32::MAX);
        let permits = free_slots.clamp(1, missing);
        wanted.push((entry.record.id.clone(), permits));
        missing -= permits;
    }
    wanted
}

/// The two fastest upstreams for one type of query. Of every upstream, one of them is another one.
#[derive(Clone, Debug)]
struct FastestEntry {
    service: SharedName,
    model: Option<(SharedName, u64)>,
    software: Option<SharedName>,
    /// When the upstreams are compared again.
    valid_until: TimePoint,
    /// Latencies and ids, the lowest latency first.
    fastest: Vec<(u64, SharedName)>,
}

impl FastestEntry {
    fn is_for(&self, query: &SamplerQuery<'_>) -> bool {
        let model = self.model.as_ref().map(|(model, oldest)| (&**model, *oldest));
        *self.service == *query.service && model == query.model && self.software.as_deref() == query.software
    }
}

/// Upstreams that were selected for a query.
#[derive(Debug, Default)]
struct Selection {
    /// The upstream with the shortest expected wait to which the request may be sent.
    chosen: Option<SharedName>,
    /// Upstreams for which permits are wanted, and their number.
    wanted: Vec<(SharedName, u32)>,
}

/// Listed upstreams of all services, by id.
#[derive(Debug, Default)]
pub struct SamplerTable {
    entries: BTreeMap<SharedName, SamplerEntry>,
    /// Regions of the upstreams' failure domains.
    regions: RegionMap,
    /// Failure domains to whose upstreams nothing is sent.
    evacuations: EvacuationTable,
    /// Processes that leave, whatever the list says.
    leaving: LeavingProcesses,
    /// Upstreams for which permits are wanted.
    wanting: BTreeSet<SharedName>,
    /// What cold upstreams bear, by service.
    cold_rules: BTreeMap<SharedName, ColdRule>,
    /// The fastest upstreams by query, so that not every event of every run compares all upstreams.
    fastest: Vec<FastestEntry>,
}

impl SamplerTable {
    /// Creates an empty table of upstreams whose failure domains are in `regions`.
    #[must_use]
    pub fn new(regions: RegionMap) -> Self {
        Self { regions, ..Self::default() }
    }

    /// Changes which failure domains are evacuated, by `change`, and returns its result.
    pub fn change_evacuations<R>(&mut self, change: impl FnOnce(&mut EvacuationTable) -> R) -> R {
        let result = change(&mut self.evacuations);
        for entry in self.entries.values_mut() {
            entry.is_evacuated = self.evacuations.contains(&entry.record.failure_domain);
        }
        // The fastest upstreams may be evacuated ones.
        self.fastest.clear();
        result
    }

    /// Failure domains to whose upstreams nothing is sent.
    #[must_use]
    pub fn evacuations(&self) -> &EvacuationTable {
        &self.evacuations
    }

    /// Number of this daemon's requests in progress in `failure_domain`.
    #[must_use]
    pub fn domain_inflight(&self, failure_domain: &str) -> u64 {
        let entries = self.entries.values().filter(|entry| *entry.record.failure_domain == *failure_domain);
        entries.map(|entry| entry.inflight).sum()
    }

    /// Adds an upstream or updates its record. Load and failures are kept unless the upstream was restarted or has
    /// another address. A process that has said that it leaves stays so.
    pub fn upsert(&mut self, mut record: SamplerRecord) {
        if self.leaving.contains(&record) {
            record.state = SamplerState::Leaving;
        }
        let id = record.id.clone();
        match self.entries.get_mut(&record.id) {
            Some(entry) if entry.record.is_same_process(&record) => {
                entry.record = record;
                entry.missing_until = None;
            }
            _ => {
                let cold_rule = self.cold_rules.get(&record.service).copied();
                let entry = SamplerEntry { cold_rule, ..SamplerEntry::new(record) };
                self.entries.insert(entry.record.id.clone(), entry);
            }
        }
        self.place_entry(&id);
    }

    /// Records the place of the upstream `id`, and whether it is evacuated.
    fn place_entry(&mut self, id: &str) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.region = self.regions.region(&entry.record.failure_domain);
            entry.is_evacuated = self.evacuations.contains(&entry.record.failure_domain);
        }
    }

    /// Sets what cold upstreams bear, by service.
    pub fn set_cold_rules(&mut self, rules: BTreeMap<SharedName, ColdRule>, now: TimePoint) {
        for entry in self.entries.values_mut() {
            entry.cold_rule = rules.get(&entry.record.service).copied();
            entry.update_pool(now);
        }
        self.cold_rules = rules;
    }

    /// Handles the entry of the upstream `id`, by which it is cold for `left_ms` more. `age_ms` is the time since the start
    /// of a process that is new here: it is cold for as long as its service says, also if its entry does not say so yet.
    /// Returns the cold period if it has just begun.
    pub fn cold_listed(&mut self, id: &str, left_ms: u64, age_ms: Option<u64>, now: TimePoint) -> Option<ColdPeriod> {
        let entry = self.entries.get_mut(id)?;
        let start_ms = entry.cold_rule.map_or(0, |rule| rule.start_ms);
        let start_left_ms = age_ms.map_or(0, |age_ms| start_ms.saturating_sub(age_ms));
        let until = now.plus_ms(left_ms.min(COLD_MS_MAX).max(start_left_ms));
        if until <= now {
            return None;
        }
        let is_new = entry.turn_cold(until, now);
        entry.cold_period(now).filter(|_| is_new)
    }

    /// Whether the upstream `id` is known to be cold.
    #[must_use]
    pub fn is_cold(&self, id: &str, now: TimePoint) -> bool {
        self.entries.get(id).is_some_and(|entry| entry.cold_period(now).is_some())
    }

    /// Removes and returns an upstream that is no longer listed.
    pub fn remove(&mut self, id: &str) -> Option<SamplerRecord> {
        self.entries.remove(id).map(|entry| entry.record)
    }

    /// Handles the removal of an entry that may have lapsed: until `until`, its upstream gets those requests that no listed one
    /// can take.
    pub fn entry_missing(&mut self, id: &str, until: TimePoint) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.missing_until.get_or_insert(until);
        }
    }

    /// Whether the entry of the upstream `id` is missing from the list.
    #[must_use]
    pub fn is_missing(&self, id: &str) -> bool {
        self.entries.get(id).is_some_and(|entry| entry.missing_until.is_some())
    }

    /// Handles a time in which the list cannot be read: entries that are missing cannot return before `until`.
    pub fn keep_missing(&mut self, until: TimePoint) {
        for missing_until in self.entries.values_mut().filter_map(|entry| entry.missing_until.as_mut()) {
            *missing_until = until.max(*missing_until);
        }
    }

    /// Upstreams whose entries should have been written again by `now`.
    #[must_use]
    pub fn overdue(&self, now: TimePoint) -> Vec<SharedName> {
        let overdue = self.entries.iter().filter(|(_, entry)| entry.missing_until.is_some_and(|until| until <= now));
        overdue.map(|(id, _)| id.clone()).collect()
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
        self.end_cold_periods(now);
        let Selection { chosen, wanted } = self.select(query, now);
        for (id, count) in wanted {
            if let Some(pool) = self.entries.get_mut(&id).and_then(|entry| entry.pool.as_mut()) {
                pool.want(query.permits.urgency, count, query.permits.useful_until);
                self.wanting.insert(id);
            }
        }
        let entry = self.entries.get_mut(&chosen?)?;
        if let Some(pool) = &mut entry.pool {
            pool.take(query.permits.urgency, now);
        }
        entry.inflight += 1;
        Some(entry.record.clone())
    }

    /// Removes the limits of upstreams that are not cold any more.
    fn end_cold_periods(&mut self, now: TimePoint) {
        let ended = self.entries.values_mut().filter(|entry| entry.pool.is_some() && entry.cold_until <= now);
        ended.for_each(|entry| entry.update_pool(now));
    }

    /// Whether an upstream serves the query, even if it has no capacity or backs off.
    #[must_use]
    pub fn is_served(&self, query: &SamplerQuery<'_>, now: TimePoint) -> bool {
        self.entries.values().any(|entry| entry.serves(query, now))
    }

    /// Why no upstream may get the query's request although some could serve it; `None` if one may, or none could.
    #[must_use]
    pub fn withhold_reason(&self, query: &SamplerQuery<'_>, now: TimePoint) -> Option<WithholdReason> {
        let mut withheld = None;
        for entry in self.entries.values().filter(|entry| entry.is_suitable(query, now)) {
            let reason = entry.withhold_reason(query)?;
            // An evacuation ends; the homes of a request seldom change.
            if withheld != Some(WithholdReason::Evacuated) {
                withheld = Some(reason);
            }
        }
        withheld
    }

    /// Whether [`Self::pick`] would select an upstream.
    #[must_use]
    pub fn is_pickable(&self, query: &SamplerQuery<'_>, now: TimePoint) -> bool {
        self.select(query, now).chosen.is_some()
    }

    /// Number of upstreams that serve the query and do not back off, whatever their load.
    #[must_use]
    pub fn available_count(&self, query: &SamplerQuery<'_>, now: TimePoint) -> usize {
        self.entries.values().filter(|entry| entry.serves(query, now) && entry.is_available(query, now)).count()
    }

    /// Selects the upstream with the shortest expected wait, and the upstreams at their limit that would be preferred
    /// with a permit.
    fn select(&self, query: &SamplerQuery<'_>, now: TimePoint) -> Selection {
        let mut fastest_ms = u64::MAX;
        let (mut latency_sum, mut latency_count) = (0, 0);
        let mut candidates: Vec<&SamplerEntry> = Vec::new();
        for entry in self.entries.values().filter(|entry| entry.serves(query, now)) {
            fastest_ms = fastest_ms.min(entry.latency_ms.unwrap_or(u64::MAX));
            latency_sum += entry.recent_latency_ms(now).unwrap_or(0);
            latency_count += u64::from(entry.recent_latency_ms(now).is_some());
            let is_candidate = entry.is_available(query, now)
                && query.capacity.is_met(entry, now)
                && !query.excluded.contains(&entry.record.id);
            if is_candidate {
                candidates.push(entry);
            }
        }
        if candidates.iter().any(|entry| entry.missing_until.is_none()) {
            candidates.retain(|entry| entry.missing_until.is_none());
        }
        let fastest_ms = if fastest_ms == u64::MAX { 1 } else { fastest_ms.max(1) };
        let cost = |entry: &SamplerEntry| {
            let is_other_domain = *entry.record.failure_domain != *query.failure_domain;
            let slots = entry.record.slots.max(1);
            if query.capacity == CapacityNeed::TextSlot {
                // An upstream of unknown speed is tried with a text of medium length.
                let typical_ms = latency_sum.checked_div(latency_count).unwrap_or(1);
                let latency_ms = entry.recent_latency_ms(now).unwrap_or(typical_ms);
                return text_cost(latency_ms, entry.load(now), slots, is_other_domain);
            }
            let wait = (entry.load(now) + 1) * COST_SCALE / slots + if is_other_domain { OTHER_DOMAIN_COST } else { 0 };
            wait * entry.latency_ms.unwrap_or(fastest_ms) / fastest_ms
        };
        let (permitted, limited): (Vec<&SamplerEntry>, Vec<&SamplerEntry>) =
            candidates.into_iter().partition(|entry| entry.is_permitted(query, now));
        let costs: Vec<(u64, &SharedName)> = permitted.iter().map(|entry| (cost(entry), &entry.record.id)).collect();
        let lowest_cost = costs.iter().map(|(cost, _)| *cost).min();
        let mut preferred: Vec<(u64, &SamplerEntry)> = limited.into_iter().map(|entry| (cost(entry), entry)).collect();
        preferred
            .retain(|(cost, entry)| lowest_cost.is_none_or(|lowest| *cost < lowest) || entry.is_limit_outdated(now));
        let wanted = wanted_permits(preferred, query, now);
        let waits_for_permit = !wanted.is_empty() && now < query.permits.preferred_until;
        let Some(lowest_cost) = lowest_cost.filter(|_| !waits_for_permit) else {
            return Selection { chosen: None, wanted };
        };
        // A request whose caller waits is sent at once, and uses no permit that is granted later.
        let wanted = if query.permits.urgency.is_queued() { wanted } else { Vec::new() };
        let cheapest: Vec<&SharedName> =
            costs.iter().filter(|(cost, _)| *cost == lowest_cost).map(|(_, id)| *id).collect();
        let chosen = match cheapest[..] {
            [only] => Some(only.clone()),
            _ => rendezvous::highest_ranked(query.affinity, &cheapest).map(|id| (*id).clone()),
        };
        Selection { chosen, wanted }
    }

    /// When the query's request may get a permit, if limits alone keep it from all upstreams that serve it. `None` if
    /// one of them needs no permit or none serves it; `now` if nothing is known against a permit.
    #[must_use]
    pub fn permit_time(&self, query: &SamplerQuery<'_>, now: TimePoint) -> Option<TimePoint> {
        let available =
            self.entries.values().filter(|entry| entry.serves(query, now) && entry.is_available(query, now));
        let mut earliest = None;
        for entry in available {
            let chance = entry.pool.as_ref()?.next_chance(query.permits.urgency, now);
            earliest = Some(earliest.map_or(chance, |earliest: TimePoint| earliest.min(chance)));
        }
        earliest
    }

    /// Requests for the wanted permits, one for each upstream. Until the coordinator has responded, there is no other
    /// one for the upstream.
    pub fn start_asks(&mut self, now: TimePoint) -> Vec<PermitAsk> {
        let wanting = std::mem::take(&mut self.wanting);
        let asks = wanting.iter().filter_map(|id| {
            let entry = self.entries.get_mut(id)?;
            let observation = entry.last_observation(now)?;
            entry.pool.as_mut()?.start_ask(&entry.record, observation)
        });
        asks.collect()
    }

    /// Whether permits are wanted.
    #[must_use]
    pub fn wants_permits(&self) -> bool {
        !self.wanting.is_empty()
    }

    /// Handles the response of a coordinator to a request for permits.
    pub fn permits_answered(&mut self, answer: &PermitAnswer, now: TimePoint) {
        let Some(entry) = self.entries.get_mut(&answer.upstream) else { return };
        if entry.record.started_unix_ms != answer.started_unix_ms {
            return self.ask_failed(&answer.upstream);
        }
        if entry.named_at < answer.observation.seen_at {
            entry.observe(answer.observation, now);
        }
        if let Some(period) = answer.observation.cold_at(now) {
            entry.turn_cold(period.until, now);
        }
        if let Some(pool) = &mut entry.pool {
            pool.answered(answer);
        }
    }

    /// Handles the failure of a request for permits of the upstream `id`.
    pub fn ask_failed(&mut self, id: &str) {
        if let Some(pool) = self.entries.get_mut(id).and_then(|entry| entry.pool.as_mut()) {
            pool.ask_failed();
        }
    }

    /// What this daemon knows of the limits of the upstream process; `None` if it knows nothing.
    #[must_use]
    pub fn limit_observation(&self, id: &str, started_unix_ms: u64, now: TimePoint) -> Option<LimitObservation> {
        let entry = self.entries.get(id).filter(|entry| entry.record.started_unix_ms == started_unix_ms)?;
        entry.last_observation(now)
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
            // Moving a run costs a request, which an upstream with a limit may not have room for.
            let is_free =
                entry.load(now) < entry.record.slots && entry.is_unlimited(now) && entry.missing_until.is_none();
            entry.serves(query, now) && entry.is_available(query, now) && is_free
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
            software: query.software.map(Into::into),
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
                    entry.latency_measured(ms, now);
                }
            }
            SamplerOutcome::Refused => entry.refused_until = entry.refused_until.max(now.plus_ms(REFUSAL_BACKOFF_MS)),
            SamplerOutcome::Failed => entry.failed(now),
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

    /// Handles a response of the process that `record` describes, which says that it leaves. Returns whether that is new.
    pub fn process_leaving(&mut self, record: &SamplerRecord, now: TimePoint) -> bool {
        let entry = self.entries.get_mut(&record.id).filter(|entry| entry.record.is_same_process(record));
        if let Some(entry) = entry {
            entry.record.state = SamplerState::Leaving;
        }
        self.leaving.add(record, now)
    }

    /// Handles a request without a path to the upstream `id`: it gets no more until `until` or until a path is found, which
    /// says nothing of the upstream itself.
    pub fn path_missing(&mut self, id: &str, until: TimePoint) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.pathless_until = entry.pathless_until.max(until);
        }
    }

    /// Handles the discovery of a path, through peers or a direct one, to `address`, or to all upstreams for `None`.
    pub fn path_found(&mut self, address: Option<&str>) {
        for entry in self.entries_at(address) {
            entry.pathless_until = TimePoint(0);
        }
    }

    /// Handles the return of the direct path to `address`, or of all paths for `None`: upstreams that back off are tried again
    /// at once.
    pub fn path_regained(&mut self, address: Option<&str>) {
        for entry in self.entries_at(address) {
            entry.failures = 0;
            entry.backoff_until = TimePoint(0);
            entry.refused_until = TimePoint(0);
            entry.pathless_until = TimePoint(0);
        }
    }

    /// Upstreams at `address`, or all of them for `None`.
    fn entries_at(&mut self, address: Option<&str>) -> impl Iterator<Item = &mut SamplerEntry> {
        self.entries.values_mut().filter(move |entry| address.is_none_or(|address| *entry.record.address == *address))
    }

    /// Handles a check which showed that the upstream at `address` is reached by nobody that was asked.
    pub fn address_unreachable(&mut self, address: &str, now: TimePoint) {
        for entry in self.entries.values_mut().filter(|entry| *entry.record.address == *address) {
            entry.failed(now);
        }
    }

    /// Whether a request for which `picked` was selected may be sent there now: the same process is listed and accepts requests.
    #[must_use]
    pub fn may_send(&self, picked: &SamplerRecord, now: TimePoint) -> bool {
        let entry = self.entries.get(&picked.id).filter(|entry| entry.record.is_same_process(picked));
        entry.is_some_and(|entry| entry.is_usable(now))
    }

    /// Counts a request that this daemon sends to the upstream `id` for a peer, which has selected it. The caller must
    /// report its end with [`Self::request_ended`]. `None` unless the upstream is listed as the process that started at
    /// `started_unix_ms`, and may get requests.
    pub fn adopt(&mut self, id: &str, started_unix_ms: u64, now: TimePoint) -> Option<SamplerRecord> {
        let entry = self.entries.get_mut(id).filter(|entry| entry.record.started_unix_ms == started_unix_ms)?;
        if !entry.is_usable(now) {
            return None;
        }
        entry.inflight += 1;
        Some(entry.record.clone())
    }

    /// Handles a refusal of a request for `model` at an upstream that had a free slot. The upstream is loading weights,
    /// so it backs off for this model only.
    pub fn model_refused(&mut self, id: &str, model: &SharedName, now: TimePoint) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.model_backoff_until.insert(model.clone(), now.plus_ms(MODEL_REFUSAL_BACKOFF_MS));
        }
    }

    /// When the upstream `id` last responded to this daemon; `None` if it has not, or is not listed.
    #[must_use]
    pub fn responded_at(&self, id: &str) -> Option<TimePoint> {
        self.entries.get(id)?.responded_at
    }

    /// Handles a response of the process `responder` and the limit that it names, to a request that was sent at `sent_at`;
    /// `None` if it names none. Returns whether the limit has changed.
    pub fn limit_reported(
        &mut self,
        responder: &SamplerRecord,
        limit: Option<RateLimit>,
        sent_at: TimePoint,
        now: TimePoint,
    ) -> bool {
        let entry = self.entries.get_mut(&responder.id).filter(|entry| entry.record.is_same_process(responder));
        let Some(entry) = entry else { return false };
        entry.responded_at = Some(now);
        // Responses on different connections may overtake each other.
        let is_outdated = limit.is_none() && entry.named_limit.is_some() && sent_at <= entry.named_at;
        if is_outdated {
            return false;
        }
        let previous = entry.named_limit;
        entry.observe(LimitObservation { limit, seen_at: now, cold: None }, now);
        previous != limit
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
            let limit = entry.pool.as_ref().filter(|_| sent_count > 0)?.limit();
            Some((entry.record.id.clone(), limit, sent_count))
        });
        counts.collect()
    }

    /// Handles a load report of the upstream `id`. `requests` is its number of running and queued requests, including
    /// those of this daemon. A free slot ends the backoff after a refusal, but for upstreams that serve models, which also
    /// refuse requests while they load weights. Returns whether it did.
    pub fn load_reported(&mut self, id: &str, requests: u64, now: TimePoint) -> bool {
        let Some(entry) = self.entries.get_mut(id) else { return false };
        entry.others_load = requests.min(REPORTED_LOAD_MAX).saturating_sub(entry.inflight);
        entry.others_load_until = now.plus_ms(LOAD_REPORT_TTL_MS);
        let is_plain = entry.record.versions.is_empty();
        let has_room = is_plain && requests < entry.record.slots && entry.refused_until > now;
        if has_room {
            entry.refused_until = now;
        }
        has_room
    }

    /// What keeps the query from an upstream, if none is selected for it.
    #[must_use]
    pub fn room_outlook(&self, query: &SamplerQuery<'_>, now: TimePoint) -> RoomOutlook {
        let (mut running, mut used_slots, mut all_slots) = (0_u64, 0_u64, 0_u64);
        let mut refused_until = None;
        let mut is_refused = true;
        for entry in self.entries.values().filter(|entry| entry.serves(query, now)) {
            all_slots = all_slots.saturating_add(entry.record.slots.max(1));
            if entry.is_available(query, now) && entry.is_permitted(query, now) {
                is_refused = false;
                if entry.record.versions.is_empty() {
                    // A slot that is free at this moment is about to be handed to a waiting request.
                    let slots = entry.record.slots.max(1);
                    running = running.saturating_add(entry.inflight.max(slots));
                    used_slots = used_slots.saturating_add(slots);
                }
            } else if entry.is_refusing(now) {
                let until = entry.refused_until;
                refused_until = Some(refused_until.map_or(until, |earliest: TimePoint| earliest.min(until)));
            } else {
                is_refused = false;
            }
        }
        match refused_until {
            // Slots at upstreams that are not available now may be free sooner.
            _ if running > 0 && used_slots >= all_slots / KNOWN_SLOTS_DIVISOR => RoomOutlook::SlotsInUse { running },
            Some(until) if is_refused => RoomOutlook::Refused { until },
            _ => RoomOutlook::Unknown,
        }
    }

    /// When an upstream becomes available to the query, or a permit for one may be had, without any other event. `None` if
    /// there is no such time after `now`.
    #[must_use]
    pub fn next_chance(&self, query: &SamplerQuery<'_>, now: TimePoint) -> Option<TimePoint> {
        let serving = self.entries.values().filter(|entry| entry.serves(query, now));
        let times = serving.flat_map(|entry| {
            let permit_at = entry.pool.as_ref().map(|pool| pool.next_chance(query.permits.urgency, now));
            [Some(entry.available_at(query)), permit_at]
        });
        times.flatten().filter(|at| *at > now).min()
    }
}
