//! A limit as named, or not named, by a response.

use super::{ColdPeriod, RateLimit};
use crate::TimePoint;

/// Limit that a response of an upstream named.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitObservation {
    /// The limit; `None` if the response named none, so that the upstream is not in need.
    pub limit: Option<RateLimit>,
    /// When the response was received; the origin of time if there was none.
    pub seen_at: TimePoint,
    /// Time for which the upstream is cold; `None` if it is not known to be.
    pub cold: Option<ColdPeriod>,
}

impl LimitObservation {
    /// The newer one of two observations, of two at the same time the lower limit, with the longer cold period.
    #[must_use]
    pub fn newer(self, other: Self) -> Self {
        let strictness = |observation: &Self| {
            (observation.seen_at, observation.limit.is_some(), std::cmp::Reverse(observation.limit))
        };
        let newer = if strictness(&other) > strictness(&self) { other } else { self };
        let cold = match (self.cold, other.cold) {
            (Some(own), Some(other)) => Some(own.joined(other)),
            (own, other) => own.or(other),
        };
        Self { cold, ..newer }
    }

    /// The cold period at `now`, if there is one.
    #[must_use]
    pub fn cold_at(&self, now: TimePoint) -> Option<ColdPeriod> {
        self.cold.filter(|period| now < period.until)
    }

    /// The lower one of the named limit and that of a cold upstream at `now`; `None` if there is neither.
    #[must_use]
    pub fn limit_at(&self, now: TimePoint) -> Option<RateLimit> {
        let cold_limit = self.cold_at(now).map(|period| period.limit);
        self.limit.into_iter().chain(cold_limit).min()
    }
}
