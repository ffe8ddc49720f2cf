//! Limits retries to a share of first attempts.

/// Credit added by a first attempt.
const CREDIT_PER_ATTEMPT: u32 = 1;
/// Credit taken by a retry. Ten first attempts pay for one retry.
const CREDIT_PER_RETRY: u32 = 10;
/// Maximum credit, enough for ten retries in a row.
const CREDIT_MAX: u32 = 100;
/// Initial credit, enough for three retries before any traffic has been seen.
const CREDIT_START: u32 = 30;

/// Token bucket that is filled by first attempts rather than by time, so that retries during an outage cannot multiply
/// the load.
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
    /// Adds the credit for a first attempt.
    pub fn record_attempt(&mut self) {
        self.credit = (self.credit + CREDIT_PER_ATTEMPT).min(CREDIT_MAX);
    }

    /// Takes the credit for one retry. Returns false, and takes nothing, if there is not enough.
    pub fn try_spend(&mut self) -> bool {
        if self.credit < CREDIT_PER_RETRY {
            return false;
        }
        self.credit -= CREDIT_PER_RETRY;
        true
    }
}
