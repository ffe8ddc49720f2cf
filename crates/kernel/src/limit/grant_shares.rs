//! Shares of the limits of an upstream that a daemon may grant.

use super::RateShare;

/// Shares of the limit that an upstream names and of the rate that it bears while cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantShares {
    /// Share of the named limit.
    pub named: RateShare,
    /// Share of the rate while the upstream is cold.
    pub cold: RateShare,
}

impl GrantShares {
    /// Shares of the daemon that is the coordinator for certain.
    pub const WHOLE: Self = Self { named: RateShare::WHOLE, cold: RateShare::WHOLE };
}
