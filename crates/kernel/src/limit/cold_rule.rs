//! Rate of requests that the upstreams of a service bear while they are cold.

use super::{RateLimit, RateShare, permit_pool::COLD_PERMIT_TTL_MS};

const PER_THOUSAND: u64 = 1_000;
/// Span in which the platform counts the requests to a cold upstream.
const SPAN_MS: u64 = 1_000;
/// The rate is lowered to this fraction at most where the allowance is small, so that cold upstreams are still used.
const RATE_DIVISOR_MAX: u64 = 8;

/// How many requests a cold upstream may get in any second, as the platform's settings say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdAllowance {
    /// Factor on the rate that the service names, in thousandths.
    pub factor_permille: u64,
    /// Requests beyond that, in thousandths.
    pub slack_millis: u64,
}

impl Default for ColdAllowance {
    fn default() -> Self {
        Self { factor_permille: PER_THOUSAND, slack_millis: 0 }
    }
}

impl ColdAllowance {
    /// Most requests in any second at `rate`, in thousandths.
    #[must_use]
    pub fn requests_max_millis(self, rate: RateLimit) -> u64 {
        (rate.millihertz().saturating_mul(self.factor_permille) / PER_THOUSAND).saturating_add(self.slack_millis)
    }
}

/// When an upstream of a service counts as cold, and the requests that it then gets from all daemons together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdRule {
    /// Time from the start of a process for which it is cold, in milliseconds.
    pub start_ms: u64,
    /// Requests a second that it bears meanwhile.
    pub rate: RateLimit,
}

impl ColdRule {
    /// The rule with the rate at which permits may be granted, so that no second has more requests than `allowance`
    /// names. All daemons that grant have the same second's permits and those of the time before it in which a permit
    /// stays valid, and each may have one permit more than its share of that time.
    #[must_use]
    pub fn within(self, allowance: ColdAllowance) -> Self {
        let spare_millis = allowance
            .requests_max_millis(self.rate)
            .saturating_sub(RateShare::COLD_GRANTERS.saturating_mul(PER_THOUSAND));
        let millihertz = spare_millis.saturating_mul(SPAN_MS) / (SPAN_MS + COLD_PERMIT_TTL_MS) * RateShare::PARTS
            / RateShare::COLD_PARTS_SUM;
        let named = self.rate.millihertz();
        let rate = RateLimit::from_millihertz(millihertz.clamp(named / RATE_DIVISOR_MAX, named));
        Self { rate, ..self }
    }
}
