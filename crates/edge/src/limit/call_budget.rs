//! Bound on the calls for permits.

use pimentoslip_kernel::TimePoint;

/// Calls that a daemon may make to its peers in a second on average, and at once. With some 300 bytes for a request and
/// 260 for its response, this bounds what permits cost a daemon as docs/CAPACITY.md says.
const CALLS_PER_SECOND: u64 = 20;
/// Units of which a call takes [`UNITS_PER_CALL`].
const UNITS_MAX: u64 = CALLS_PER_SECOND * UNITS_PER_CALL;
const UNITS_PER_CALL: u64 = 1_000;

/// Calls that may be made now.
#[derive(Debug)]
pub struct CallBudget {
    units: u64,
    updated_at: TimePoint,
}

impl CallBudget {
    /// Creates a full budget.
    #[must_use]
    pub fn new(now: TimePoint) -> Self {
        Self { units: UNITS_MAX, updated_at: now }
    }

    /// Takes one call from the budget. Returns whether there was one.
    pub fn take(&mut self, now: TimePoint) -> bool {
        let gained = now.since_ms(self.updated_at).saturating_mul(CALLS_PER_SECOND);
        self.units = self.units.saturating_add(gained).min(UNITS_MAX);
        self.updated_at = now;
        let is_left = self.units >= UNITS_PER_CALL;
        self.units -= if is_left { UNITS_PER_CALL } else { 0 };
        is_left
    }
}
