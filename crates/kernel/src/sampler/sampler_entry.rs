//! A listed upstream as this daemon knows it.

use super::{SamplerQuery, SamplerRecord, SamplerState, WithholdReason};
use crate::{ColdPeriod, ColdRule, LimitObservation, PermitPool, RateLimit, SharedName, TimePoint};
use std::collections::BTreeMap;

/// Backoff after a failed request; doubles with each further consecutive failure.
const BACKOFF_BASE_MS: u64 = 250;
/// Longest backoff after failed requests; a restarting upstream is ready again within a few seconds.
pub(super) const BACKOFF_MAX_MS: u64 = 4_000;
/// Reciprocal of the weight of a new request in the moving average of the latency.
const AVERAGE_DIVISOR: u64 = 8;
/// Time for which a measured latency says how fast an upstream is: a few steps of a trainer.
const LATENCY_TTL_MS: u64 = 20_000;
/// Time after which one request is sent to an upstream with a limit although another one has a shorter expected wait,
/// as only its response shows whether the limit has ended.
const LIMIT_RECHECK_MS: u64 = 10_000;

/// A listed upstream with its load and recent failures.
#[derive(Clone, Debug)]
pub(super) struct SamplerEntry {
    pub(super) record: SamplerRecord,
    /// Region of the upstream's failure domain; empty if it is not known.
    pub(super) region: SharedName,
    /// Whether an operator has evacuated the upstream's failure domain.
    pub(super) is_evacuated: bool,
    /// When the upstream gets no more requests, as its entry is missing from the list; `None` while it is listed.
    pub(super) missing_until: Option<TimePoint>,
    /// Number of requests of this daemon in progress.
    pub(super) inflight: u64,
    /// Number of requests of other daemons, as last reported.
    pub(super) others_load: u64,
    /// Expiry of `others_load`.
    pub(super) others_load_until: TimePoint,
    /// Number of consecutive failed requests.
    pub(super) failures: u32,
    /// End of the backoff after failed requests.
    pub(super) backoff_until: TimePoint,
    /// End of the backoff after a refused request.
    pub(super) refused_until: TimePoint,
    /// Until when the upstream gets no requests, as there is no path to it.
    pub(super) pathless_until: TimePoint,
    /// End of the backoff by model, after refusals because the upstream loads weights.
    pub(super) model_backoff_until: BTreeMap<SharedName, TimePoint>,
    /// Moving average of the latency per unit of work.
    pub(super) latency_ms: Option<u64>,
    /// When `latency_ms` no longer says how fast the upstream is: one that was slow for a while may have recovered.
    pub(super) latency_until: TimePoint,
    /// Limit that the last response named; `None` if it named none.
    pub(super) named_limit: Option<RateLimit>,
    /// When a response last named a limit, or none; the origin of time before the first response.
    pub(super) named_at: TimePoint,
    /// What the service's upstreams bear while cold; `None` if they bear as much as others.
    pub(super) cold_rule: Option<ColdRule>,
    /// Until when the upstream is cold, as far as known.
    pub(super) cold_until: TimePoint,
    /// Permits under the lower one of the named limit and that of a cold upstream; `None` if there is neither.
    pub(super) pool: Option<PermitPool>,
    /// When the upstream last responded to this daemon; `None` before its first response.
    pub(super) responded_at: Option<TimePoint>,
    /// Number of requests sent since the last call of [`SamplerTable::take_limited_counts`].
    pub(super) sent_count: u64,
}

impl SamplerEntry {
    pub(super) fn new(record: SamplerRecord) -> Self {
        Self {
            record,
            region: "".into(),
            is_evacuated: false,
            missing_until: None,
            inflight: 0,
            others_load: 0,
            others_load_until: TimePoint(0),
            failures: 0,
            backoff_until: TimePoint(0),
            refused_until: TimePoint(0),
            pathless_until: TimePoint(0),
            model_backoff_until: BTreeMap::new(),
            latency_ms: None,
            latency_until: TimePoint(0),
            named_limit: None,
            named_at: TimePoint(0),
            cold_rule: None,
            cold_until: TimePoint(0),
            pool: None,
            responded_at: None,
            sent_count: 0,
        }
    }

    /// Records the latency of a request, in milliseconds per unit of work.
    pub(super) fn latency_measured(&mut self, ms: u64, now: TimePoint) {
        let latency_ms = self.latency_ms.map_or(ms, |average| (average * (AVERAGE_DIVISOR - 1) + ms) / AVERAGE_DIVISOR);
        self.latency_ms = Some(latency_ms.max(1));
        self.latency_until = now.plus_ms(LATENCY_TTL_MS);
    }

    /// Latency per unit of work, unless it was measured long ago.
    pub(super) fn recent_latency_ms(&self, now: TimePoint) -> Option<u64> {
        self.latency_ms.filter(|_| now < self.latency_until)
    }

    /// Starts the backoff after a failed request.
    pub(super) fn failed(&mut self, now: TimePoint) {
        let backoff_ms = (BACKOFF_BASE_MS << self.failures.min(8)).min(BACKOFF_MAX_MS);
        self.backoff_until = self.backoff_until.max(now.plus_ms(backoff_ms));
        self.failures += 1;
        // Its process may have started again under its id.
        let start_ms = self.cold_rule.map_or(0, |rule| rule.start_ms);
        self.turn_cold(self.backoff_until.plus_ms(start_ms), now);
    }

    /// Treats the upstream as cold until `until`, if its service has a rule for that. Returns whether it was not cold before.
    pub(super) fn turn_cold(&mut self, until: TimePoint, now: TimePoint) -> bool {
        let was_cold = self.cold_period(now).is_some();
        self.cold_until = self.cold_until.max(until);
        self.update_pool(now);
        !was_cold && self.cold_period(now).is_some()
    }

    /// The time for which the upstream is cold, if it is at `now`.
    pub(super) fn cold_period(&self, now: TimePoint) -> Option<ColdPeriod> {
        let rule = self.cold_rule.filter(|_| now < self.cold_until)?;
        Some(ColdPeriod { limit: rule.rate, until: self.cold_until })
    }

    /// Whether neither the upstream nor its cold start limits requests at `now`.
    pub(super) fn is_unlimited(&self, now: TimePoint) -> bool {
        self.named_limit.is_none() && self.cold_period(now).is_none()
    }

    /// Sets the limit of the pool to the one that holds at `now`.
    pub(super) fn update_pool(&mut self, now: TimePoint) {
        let cold_limit = self.cold_period(now).map(|period| period.limit);
        let limit = self.named_limit.into_iter().chain(cold_limit).min();
        match (limit, &mut self.pool) {
            (Some(limit), Some(pool)) => pool.limit_named(limit, self.named_at),
            (Some(limit), None) => self.pool = Some(PermitPool::new(limit, self.named_at)),
            (None, _) => self.pool = None,
        }
    }

    /// Records the limit that a response named, or that it named none.
    pub(super) fn observe(&mut self, observation: LimitObservation, now: TimePoint) {
        self.named_limit = observation.limit;
        self.named_at = observation.seen_at;
        self.update_pool(now);
    }

    /// What is known of the upstream's limits; `None` if there is nothing.
    pub(super) fn last_observation(&self, now: TimePoint) -> Option<LimitObservation> {
        let cold = self.cold_period(now);
        let is_known = self.named_at > TimePoint(0) || cold.is_some();
        is_known.then_some(LimitObservation { limit: self.named_limit, seen_at: self.named_at, cold })
    }

    /// Number of requests at the upstream: the exact number of this daemon's, and that of other daemons as last
    /// reported.
    pub(super) fn load(&self, now: TimePoint) -> u64 {
        let others_load = if now < self.others_load_until { self.others_load } else { 0 };
        self.inflight + others_load
    }

    /// Whether there is a path to the upstream, and it is not backing off for the query.
    pub(super) fn is_available(&self, query: &SamplerQuery<'_>, now: TimePoint) -> bool {
        self.available_at(query) <= now
    }

    /// When the upstream is available to the query, unless more requests fail or the path returns sooner.
    pub(super) fn available_at(&self, query: &SamplerQuery<'_>) -> TimePoint {
        let model_backoff_until = query.model.and_then(|(model, _)| self.model_backoff_until.get(model));
        let backoff_until = self.backoff_until.max(self.refused_until).max(self.pathless_until);
        backoff_until.max(model_backoff_until.copied().unwrap_or_default())
    }

    /// Whether the upstream is not available because it has refused a request, and for no other reason.
    pub(super) fn is_refusing(&self, now: TimePoint) -> bool {
        self.refused_until > now && self.backoff_until.max(self.pathless_until) <= now
    }

    /// Whether the query's request may be sent under the upstream's limit, if it names one.
    pub(super) fn is_permitted(&self, query: &SamplerQuery<'_>, now: TimePoint) -> bool {
        self.is_unlimited(now) || self.pool.as_ref().is_none_or(|pool| pool.has_permit(query.permits.urgency, now))
    }

    /// Whether no response has named the upstream's limit for so long that it may have ended.
    pub(super) fn is_limit_outdated(&self, now: TimePoint) -> bool {
        self.named_limit.is_some() && now.since_ms(self.named_at) >= LIMIT_RECHECK_MS
    }

    /// Whether the upstream accepts new requests, and its entry is not overdue.
    fn is_accepting(&self, now: TimePoint) -> bool {
        self.record.state == SamplerState::Ready && self.missing_until.is_none_or(|until| now < until)
    }

    /// Whether the upstream may get requests: it accepts new ones, and its failure domain is not evacuated.
    pub(super) fn is_usable(&self, now: TimePoint) -> bool {
        self.is_accepting(now) && !self.is_evacuated
    }

    /// Whether the upstream may get requests for the service, and has an acceptable version of the model and the software.
    pub(super) fn serves(&self, query: &SamplerQuery<'_>, now: TimePoint) -> bool {
        self.is_suitable(query, now) && self.withhold_reason(query).is_none()
    }

    /// Why the query's request may not be sent to the upstream although it could serve it.
    pub(super) fn withhold_reason(&self, query: &SamplerQuery<'_>) -> Option<WithholdReason> {
        if self.is_evacuated {
            return Some(WithholdReason::Evacuated);
        }
        query.homes.is_some_and(|homes| !homes.contains(&self.region)).then_some(WithholdReason::OutsideHomes)
    }

    /// Whether the upstream accepts requests for the service, and has an acceptable version of the model and the software.
    pub(super) fn is_suitable(&self, query: &SamplerQuery<'_>, now: TimePoint) -> bool {
        let record = &self.record;
        let has_model = query
            .model
            .is_none_or(|(model, oldest)| record.versions.get(model).is_some_and(|version| *version >= oldest));
        let has_software = query.software.is_none_or(|software| *record.software == *software);
        self.is_accepting(now) && *record.service == *query.service && has_model && has_software
    }
}
