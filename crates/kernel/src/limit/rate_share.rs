//! Share of a limit that a coordinator may grant.

/// Share of a limit, in parts per million.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateShare(u64);

/// Share of the first daemon after the coordinator, as a divisor. Each later one may grant half as much.
const FIRST_RESERVE_DIVISOR: u64 = 8;
/// All daemons together may grant at least the limit divided by this without their coordinator.
const FLOOR_DIVISOR: u64 = 8;
/// Number of daemons that may grant permits of a cold upstream, the coordinator included.
const COLD_GRANTERS: u32 = 4;

impl RateShare {
    /// Parts of the whole.
    pub(super) const PARTS: u64 = 1_000_000;
    /// Share of the daemon that is the coordinator for certain.
    pub const WHOLE: Self = Self(Self::PARTS);
    /// No share.
    pub const NONE: Self = Self(0);
    /// Number of daemons that may grant permits of a cold upstream.
    pub(super) const COLD_GRANTERS: u64 = COLD_GRANTERS as u64;
    /// Sum of their shares, in [`Self::PARTS`]: the whole, an eighth, and half as much each.
    pub(super) const COLD_PARTS_SUM: u64 = Self::PARTS + 2 * Self::PARTS / FIRST_RESERVE_DIVISOR;

    /// Share of a daemon that `rank` of `daemons` daemons precede. The shares of all daemons add up to less than 1.4, so
    /// that the sum stays near the limit even if no daemon reaches another one.
    #[must_use]
    pub fn of_rank(rank: usize, daemons: usize) -> Self {
        let Some(halvings) = rank.checked_sub(1) else { return Self::WHOLE };
        let halvings = u32::try_from(halvings).unwrap_or(u32::MAX);
        let reserve = (Self::PARTS / FIRST_RESERVE_DIVISOR).checked_shr(halvings).unwrap_or(0);
        Self(reserve.max(Self::PARTS / FLOOR_DIVISOR / (daemons.max(1) as u64)).max(1))
    }

    /// Share of the rate of a cold upstream of a daemon that `rank` of `daemons` daemons precede. Only the first few
    /// daemons grant any: a permit of each daemon of a large fleet would be more than the upstream bears.
    #[must_use]
    pub fn of_cold_rank(rank: usize, daemons: usize) -> Self {
        if rank < COLD_GRANTERS as usize { Self::of_rank(rank, daemons) } else { Self::NONE }
    }

    /// Time between two permits at this share, if it is `interval_us` at the whole limit.
    #[must_use]
    pub fn stretch_us(self, interval_us: u64) -> u64 {
        interval_us.saturating_mul(Self::PARTS).checked_div(self.0).unwrap_or(u64::MAX)
    }
}
