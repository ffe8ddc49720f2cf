//! Rate of requests that an upstream accepts.

use std::fmt;

/// Requests per second that an upstream accepts from all daemons together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RateLimit {
    /// Requests per 1,000 seconds.
    millihertz: u64,
}

/// Why a number is no rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a rate of requests must be finite and not negative; correct the limit that the upstream names")]
pub struct InvalidRate;

/// Result of a conversion to a rate.
pub type Result<T> = std::result::Result<T, InvalidRate>;

const MILLIHERTZ_PER_HERTZ: f64 = 1_000.0;
const MICROSECONDS_PER_KILOSECOND: u64 = 1_000_000_000;
/// Longest time between two requests to an upstream. At a limit of 0 nothing else would show that the upstream has
/// recovered.
const INTERVAL_US_MAX: u64 = 10_000_000;
/// Highest rate that is told apart from higher ones: a million requests per second, which no upstream reaches.
const MILLIHERTZ_MAX: u64 = 1_000_000_000;

impl RateLimit {
    /// Creates the limit of `millihertz` requests per 1,000 seconds.
    #[must_use]
    pub const fn from_millihertz(millihertz: u64) -> Self {
        Self { millihertz: if millihertz < MILLIHERTZ_MAX { millihertz } else { MILLIHERTZ_MAX } }
    }

    /// Time between two requests at this rate, ten seconds at most.
    #[must_use]
    pub fn interval_us(self) -> u64 {
        MICROSECONDS_PER_KILOSECOND.checked_div(self.millihertz).map_or(INTERVAL_US_MAX, |us| us.min(INTERVAL_US_MAX))
    }

    /// Requests per 1,000 seconds.
    #[must_use]
    pub fn millihertz(self) -> u64 {
        self.millihertz
    }
}

impl TryFrom<f64> for RateLimit {
    type Error = InvalidRate;

    /// Converts a number of requests per second. Rates above the highest one that is told apart count as that one.
    fn try_from(per_second: f64) -> Result<Self> {
        if !per_second.is_finite() || per_second < 0.0 {
            return Err(InvalidRate);
        }
        // The cast saturates.
        Ok(Self::from_millihertz((per_second * MILLIHERTZ_PER_HERTZ) as u64))
    }
}

impl fmt::Display for RateLimit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.millihertz as f64 / MILLIHERTZ_PER_HERTZ)
    }
}
