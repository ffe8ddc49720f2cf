//! Permits that this daemon holds for one upstream, and those that it wants.

use super::{LimitObservation, PermitAnswer, PermitAsk, PermitWant, RateLimit, RequestUrgency};
use crate::{SamplerRecord, TimePoint};
use std::collections::BTreeMap;

/// Time after which a permit that was not used is void. Its request must reach the upstream near the time for which it
/// was granted.
const PERMIT_TTL_MS: u64 = 500;

/// The same for a permit of a cold upstream. A second's permits and those of this time before it may be used in one second.
pub(super) const COLD_PERMIT_TTL_MS: u64 = 250;

const MICROSECONDS_PER_MS: u64 = 1_000;

/// A permit that was not used yet.
#[derive(Clone, Copy, Debug)]
struct HeldPermit {
    urgency: RequestUrgency,
    usable_from: TimePoint,
    expires_at: TimePoint,
}

/// Number of wanted permits of one urgency, and until when they are useful.
#[derive(Clone, Copy, Debug, Default)]
struct WantEntry {
    count: u32,
    useful_until: TimePoint,
}

/// The limit of an upstream as this daemon knows it, with its permits.
#[derive(Clone, Debug)]
pub struct PermitPool {
    limit: RateLimit,
    seen_at: TimePoint,
    permits: Vec<HeldPermit>,
    wants: BTreeMap<RequestUrgency, WantEntry>,
    /// Whether a request for permits is in progress.
    is_asking: bool,
    /// Requests of this urgency, or a lower one, get no permit before that time.
    blocked: Option<(RequestUrgency, TimePoint)>,
}

impl PermitPool {
    /// Creates the pool of an upstream that names `limit` at `now`.
    #[must_use]
    pub fn new(limit: RateLimit, now: TimePoint) -> Self {
        Self { limit, seen_at: now, permits: Vec::new(), wants: BTreeMap::new(), is_asking: false, blocked: None }
    }

    /// The limit that the upstream named last.
    #[must_use]
    pub fn limit(&self) -> RateLimit {
        self.limit
    }

    /// When the limit was named last.
    #[must_use]
    pub fn seen_at(&self) -> TimePoint {
        self.seen_at
    }

    /// Handles a limit that the upstream names. A lower one voids the permits, which were granted at a higher rate.
    pub fn limit_named(&mut self, limit: RateLimit, now: TimePoint) {
        if limit < self.limit {
            self.permits.clear();
        }
        if limit != self.limit {
            self.blocked = None;
        }
        self.limit = limit;
        self.seen_at = self.seen_at.max(now);
    }

    /// Whether a request of `urgency` may be sent at `now`.
    #[must_use]
    pub fn has_permit(&self, urgency: RequestUrgency, now: TimePoint) -> bool {
        self.permits.iter().any(|permit| permit.is_usable(urgency, now))
    }

    /// Uses a permit for a request of `urgency`: the one that expires first. Returns whether there was one.
    pub fn take(&mut self, urgency: RequestUrgency, now: TimePoint) -> bool {
        self.permits.retain(|permit| now < permit.expires_at);
        let usable = self.permits.iter().enumerate().filter(|(_, permit)| permit.is_usable(urgency, now));
        let index = usable.min_by_key(|(_, permit)| permit.expires_at).map(|(index, _)| index);
        index.is_some_and(|index| {
            self.permits.swap_remove(index);
            true
        })
    }

    /// Whether the coordinator may have a permit for a request of `urgency` at `now`.
    #[must_use]
    pub fn may_ask(&self, urgency: RequestUrgency, now: TimePoint) -> bool {
        self.blocked_until(urgency) <= now
    }

    /// Records that `count` requests of `urgency` want a permit until `useful_until`.
    pub fn want(&mut self, urgency: RequestUrgency, count: u32, useful_until: TimePoint) {
        let want = self.wants.entry(urgency).or_default();
        want.count = want.count.max(count);
        want.useful_until = want.useful_until.max(useful_until);
    }

    /// The request for the wanted permits, to be sent to the coordinator of the upstream that `record` describes, with what
    /// is known of its limits. `None` if none are wanted or a request is in progress.
    pub fn start_ask(&mut self, record: &SamplerRecord, observation: LimitObservation) -> Option<PermitAsk> {
        if self.is_asking || self.wants.is_empty() {
            return None;
        }
        self.is_asking = true;
        let wants = std::mem::take(&mut self.wants).into_iter();
        let want = |(urgency, want): (RequestUrgency, WantEntry)| PermitWant {
            urgency,
            count: want.count,
            useful_until: want.useful_until,
        };
        Some(PermitAsk {
            upstream: record.id.clone(),
            started_unix_ms: record.started_unix_ms,
            observation,
            wants: wants.map(want).collect(),
        })
    }

    /// Handles the permits of the coordinator.
    pub fn answered(&mut self, answer: &PermitAnswer) {
        self.is_asking = false;
        self.blocked = answer.blocked;
        let ttl_ms = if answer.observation.cold.is_some() { COLD_PERMIT_TTL_MS } else { PERMIT_TTL_MS };
        let permits = answer.permits.iter().map(|permit| HeldPermit {
            urgency: permit.urgency,
            usable_from: permit.usable_from,
            expires_at: permit.usable_from.plus_ms(ttl_ms),
        });
        self.permits.extend(permits);
    }

    /// Handles the failure of a request for permits; the requests that want them ask again.
    pub fn ask_failed(&mut self) {
        self.is_asking = false;
    }

    /// Earliest time at which a request of `urgency` may get a permit; `now` if nothing is known against it. That is one
    /// interval of the limit away at most, as any daemon may be next.
    #[must_use]
    pub fn next_chance(&self, urgency: RequestUrgency, now: TimePoint) -> TimePoint {
        let held = self.permits.iter().filter(|permit| urgency <= permit.urgency && now < permit.expires_at);
        let earliest_held = held.map(|permit| permit.usable_from).min();
        let latest = now.plus_ms(self.limit.interval_us().div_ceil(MICROSECONDS_PER_MS));
        earliest_held.unwrap_or_else(|| self.blocked_until(urgency).min(latest)).max(now)
    }

    fn blocked_until(&self, urgency: RequestUrgency) -> TimePoint {
        self.blocked.filter(|(blocked, _)| *blocked <= urgency).map_or(TimePoint(0), |(_, until)| until)
    }
}

impl HeldPermit {
    /// Whether a request of `urgency` may be sent with this permit. A permit for less urgent requests may be used.
    fn is_usable(&self, urgency: RequestUrgency, now: TimePoint) -> bool {
        urgency <= self.urgency && self.usable_from <= now && now < self.expires_at
    }
}
