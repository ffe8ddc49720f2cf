//! Time for which an upstream is cold.

use super::RateLimit;
use crate::TimePoint;

/// Time for which an upstream is cold, and the rate of requests that it gets until then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdPeriod {
    /// Requests from all daemons together.
    pub limit: RateLimit,
    /// End of the time.
    pub until: TimePoint,
}

impl ColdPeriod {
    /// The period that covers `self` and `other`, at the lower limit.
    #[must_use]
    pub fn joined(self, other: Self) -> Self {
        Self { limit: self.limit.min(other.limit), until: self.until.max(other.until) }
    }
}
