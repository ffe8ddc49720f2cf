//! Permits that this daemon grants as the coordinator of upstreams.

use super::{
    ColdPeriod, GrantShares, GrantedPermit, LimitObservation, PermitAnswer, PermitAsk, PermitWant, RateLimit,
    RateShare, RequestUrgency,
};
use crate::{SharedName, TimePoint};
use std::collections::HashMap;

/// Time for which permits that nobody wanted can be granted later, all at once.
const BURST_US: u64 = 250_000;
/// Time for which a free permit is kept for more urgent requests, if such requests recently went without.
const HOLD_BACK_US: u64 = 500_000;
/// Time for which an unmet want makes less urgent requests wait.
const UNMET_MEMORY_MS: u64 = 2_000;
/// Shortest time after which a daemon asks again.
const RETRY_MS_MIN: u64 = 20;
/// Longest time after which a daemon asks again; the longest time between two permits at the whole limit.
const RETRY_MS_MAX: u64 = 10_000;
/// Highest number of permits that one want gets at once.
const COUNT_MAX: u32 = 64;
/// Number of upstreams above which those that nobody asked for lately are forgotten.
const ENTRIES_MAX: usize = 16_384;
/// Time after which an upstream that nobody asked for may be forgotten.
const IDLE_MS: u64 = 30_000;
const MICROSECONDS_PER_MS: u64 = 1_000;

/// Permits of one upstream.
#[derive(Debug)]
struct GrantEntry {
    started_unix_ms: u64,
    observation: LimitObservation,
    /// Time of the next permit, in microseconds of the clock of [`TimePoint`].
    next_us: u64,
    /// Time between two permits, as of the last request for permits.
    interval_us: u64,
    /// Time for which permits that nobody wanted can be granted later.
    burst_us: u64,
    /// Until when the upstream is known to be cold.
    cold_until: TimePoint,
    /// Number of daemons that were told to ask again for queued requests, since as many permits were granted.
    backlog: u64,
    /// Most urgent want that was not met lately, and until when less urgent ones wait for it.
    unmet: Option<(RequestUrgency, TimePoint)>,
    asked_at: TimePoint,
}

impl GrantEntry {
    fn new(ask: &PermitAsk, now: TimePoint) -> Self {
        Self {
            started_unix_ms: ask.started_unix_ms,
            observation: ask.observation,
            next_us: 0,
            interval_us: 0,
            burst_us: BURST_US,
            cold_until: TimePoint(0),
            backlog: 0,
            unmet: None,
            asked_at: now,
        }
    }

    /// Sets the time between two permits. A shorter one than before also brings the next permit forward.
    fn set_interval(&mut self, interval_us: u64, now: TimePoint) {
        if interval_us < self.interval_us {
            self.next_us = self.next_us.min(microseconds(now).saturating_add(interval_us));
        }
        self.interval_us = interval_us;
    }

    /// Applies the limits that hold at `now`: a daemon grants its shares of them.
    fn apply_limits(
        &mut self,
        named: Option<RateLimit>,
        cold: Option<ColdPeriod>,
        shares: GrantShares,
        now: TimePoint,
    ) {
        let stretched = |limit: RateLimit, share: RateShare| share.stretch_us(limit.interval_us());
        let named_us = named.map_or(0, |limit| stretched(limit, shares.named));
        let cold_us = cold.map_or(0, |period| stretched(period.limit, shares.cold));
        if let Some(period) = cold {
            if self.cold_until <= now {
                self.cold_started(named.is_some(), shares.cold, cold_us, now);
            }
            self.cold_until = period.until;
        }
        self.burst_us = if cold.is_some() { 0 } else { BURST_US };
        self.set_interval(named_us.max(cold_us), now);
    }

    /// Schedules the first permit of a cold upstream. A daemon that may not be the coordinator leaves the first ones to it.
    fn cold_started(&mut self, is_limited: bool, share: RateShare, interval_us: u64, now: TimePoint) {
        let delay_us = if share == RateShare::WHOLE { 0 } else { interval_us };
        let earliest_us = if is_limited { self.next_us } else { 0 };
        self.next_us = earliest_us.max(microseconds(now).saturating_add(delay_us));
    }

    /// Grants permits for `want` as far as there are any. Returns the time at which the daemon should ask for the rest.
    fn grant(&mut self, want: &PermitWant, permits: &mut Vec<GrantedPermit>, now: TimePoint) -> Option<TimePoint> {
        let now_us = microseconds(now);
        if now_us.saturating_sub(self.next_us) > self.interval_us {
            self.backlog = 0;
        }
        let is_held_back = self.unmet.is_some_and(|(urgency, until)| urgency < want.urgency && now < until);
        for _ in 0..want.count.min(COUNT_MAX) {
            let permit_us = self.next_us.max(now_us.saturating_sub(self.burst_us));
            let is_free = if is_held_back {
                self.next_us.saturating_add(HOLD_BACK_US) <= now_us
            } else {
                permit_us <= microseconds(want.useful_until).max(now_us)
            };
            if !is_free {
                return Some(self.retry_at(want.urgency, is_held_back, now));
            }
            let usable_from = TimePoint(permit_us.max(now_us).div_ceil(MICROSECONDS_PER_MS));
            permits.push(GrantedPermit { urgency: want.urgency, usable_from });
            self.next_us = permit_us.saturating_add(self.interval_us);
            self.backlog = self.backlog.saturating_sub(1);
        }
        None
    }

    /// When a daemon whose want of `urgency` was not met should ask again: at the time of the next permit, or after the
    /// daemons that were told to ask again before it.
    fn retry_at(&mut self, urgency: RequestUrgency, is_held_back: bool, now: TimePoint) -> TimePoint {
        let now_us = microseconds(now);
        let hold_back_us = if is_held_back { HOLD_BACK_US } else { 0 };
        let mut wait_us = self.next_us.saturating_add(hold_back_us).saturating_sub(now_us);
        if urgency.is_queued() {
            wait_us = wait_us.saturating_add(self.backlog.saturating_mul(self.interval_us));
            self.backlog = self.backlog.saturating_add(1);
        }
        now.plus_ms(wait_us.div_ceil(MICROSECONDS_PER_MS).clamp(RETRY_MS_MIN, RETRY_MS_MAX))
    }

    /// Makes less urgent requests wait for one of `urgency` that was not met.
    fn want_unmet(&mut self, urgency: RequestUrgency, now: TimePoint) {
        let is_more_urgent = self.unmet.is_none_or(|(known, until)| urgency <= known || until <= now);
        if is_more_urgent {
            self.unmet = Some((urgency, now.plus_ms(UNMET_MEMORY_MS)));
        }
    }
}

/// Upstreams for which daemons asked this one for permits, with the time of the next permit of each.
#[derive(Debug, Default)]
pub struct GrantTable {
    entries: HashMap<SharedName, GrantEntry>,
}

impl GrantTable {
    /// Grants permits to a daemon. `shares` are the shares of the limits that this daemon may grant, and `own_observation`
    /// is what it observed of the upstream itself.
    ///
    /// No more permits than the share allows become usable in any span, but for those that nobody wanted in the
    /// quarter of a second before it. Of a cold upstream there are none of these.
    pub fn grant(
        &mut self,
        ask: &PermitAsk,
        own_observation: Option<LimitObservation>,
        shares: GrantShares,
        now: TimePoint,
    ) -> PermitAnswer {
        self.make_room(now);
        let entry = self.entries.entry(ask.upstream.clone()).or_insert_with(|| GrantEntry::new(ask, now));
        if entry.started_unix_ms < ask.started_unix_ms {
            *entry = GrantEntry::new(ask, now);
        }
        let mut answer = PermitAnswer {
            upstream: ask.upstream.clone(),
            started_unix_ms: entry.started_unix_ms,
            observation: entry.observation,
            permits: Vec::new(),
            blocked: None,
        };
        if entry.started_unix_ms > ask.started_unix_ms {
            return answer;
        }
        entry.asked_at = now;
        entry.observation = entry.observation.newer(ask.observation);
        entry.observation = own_observation.map_or(entry.observation, |own| entry.observation.newer(own));
        answer.observation = entry.observation;
        let LimitObservation { limit, .. } = entry.observation;
        let cold = entry.observation.cold_at(now);
        if limit.is_none() && cold.is_none() {
            return answer;
        }
        entry.apply_limits(limit, cold, shares, now);
        for want in &ask.wants {
            if let Some(retry_at) = entry.grant(want, &mut answer.permits, now) {
                entry.want_unmet(want.urgency, now);
                answer.blocked = Some((want.urgency, retry_at));
                break;
            }
        }
        answer
    }

    /// Forgets upstreams that nobody asked for lately, if there are many.
    fn make_room(&mut self, now: TimePoint) {
        if self.entries.len() >= ENTRIES_MAX {
            self.entries.retain(|_, entry| now.since_ms(entry.asked_at) < IDLE_MS);
        }
    }
}

fn microseconds(time: TimePoint) -> u64 {
    time.0.saturating_mul(MICROSECONDS_PER_MS)
}
