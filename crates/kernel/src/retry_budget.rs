//! Caps retries to a share of first attempts.

/// Credit units a first attempt earns; a retry costs [`RETRY_COST`].
const ATTEMPT_CREDIT: u32 = 1;
/// One retry for every ten first attempts.
const RETRY_COST: u32 = 10;
const CREDIT_MAX: u32 = 100;
const CREDIT_START: u32 = 30;

/// A token bucket filled by traffic rather than by time, so that an outage cannot multiply load.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    credit: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { credit: CREDIT_START }
    }
}

impl RetryBudget {
    /// Counts a first attempt.
    pub fn record_attempt(&mut self) {
        self.credit = (self.credit + ATTEMPT_CREDIT).min(CREDIT_MAX);
    }

    /// Takes one retry out of the budget; false when none is left.
    pub fn try_spend(&mut self) -> bool {
        if self.credit < RETRY_COST {
            return false;
        }
        self.credit -= RETRY_COST;
        true
    }
}
