//! Points in time in milliseconds, passed in by the caller.

use serde::{Deserialize, Serialize};

/// A point in time, in milliseconds since an origin that the caller chooses. All deadlines are stored in this form.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TimePoint(pub u64);

impl TimePoint {
    /// The point `ms` milliseconds later.
    #[must_use]
    pub fn plus_ms(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms))
    }

    /// The point `ms` milliseconds earlier, no earlier than the origin.
    #[must_use]
    pub fn minus_ms(self, ms: u64) -> Self {
        Self(self.0.saturating_sub(ms))
    }

    /// Milliseconds from `earlier` to this point; 0 if `earlier` is later than this point.
    #[must_use]
    pub fn since_ms(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// The point `ms` milliseconds later, or earlier if `ms` is negative.
    #[must_use]
    pub fn plus_signed_ms(self, ms: i64) -> Self {
        Self(self.0.saturating_add_signed(ms))
    }

    /// Milliseconds from `other` to this point; negative if `other` is later.
    #[must_use]
    pub fn signed_since_ms(self, other: Self) -> i64 {
        let later = i64::try_from(self.since_ms(other)).unwrap_or(i64::MAX);
        let earlier = i64::try_from(other.since_ms(self)).unwrap_or(i64::MAX);
        later - earlier
    }
}
