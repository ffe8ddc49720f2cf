//! Waits and time limits of watches, derived from the time within which a change must be in force.

/// Longest wait of a watch at the store, as a percentage of the bound.
const STORE_WAIT_PERCENT: u64 = 20;
/// Range of bounds that the timing follows. A shorter bound would only multiply the calls, and with a longer one failed
/// watchers would be noticed late.
const BOUND_MS_RANGE: std::ops::RangeInclusive<u64> = 1_000..=10_000;
/// Longest wait of a watch at the store by a daemon whose sources are all unavailable, as a percentage of the bound.
/// Nobody waits for such a daemon, so that it can wait longer than a watcher and calls the store less often.
const FALLBACK_WAIT_PERCENT: u64 = 40;
/// Longest wait of a request for changes at the watcher of the region, as a percentage of the bound.
const REGION_WAIT_PERCENT: u64 = 15;
/// Longest wait of a request for changes at the watcher of the failure domain, as a percentage of the bound.
const DOMAIN_WAIT_PERCENT: u64 = 20;
/// Age of knowledge, as a percentage of the bound, at which a daemon requests the changes from the store itself. More
/// than the sum of the waits above, which is the highest age while all watchers work; the rest of the bound is left for
/// that request.
const REFRESH_PERCENT: u64 = 70;
/// Age of a peer's knowledge, as a percentage of the bound, above which another source is used.
const STALE_PERCENT: u64 = 50;

/// Times of one watched prefix. All of them are shares of one bound, so that the delay of a change stays below the bound
/// whichever of the watchers fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchTiming {
    /// Time in milliseconds within which a change must be in force at every daemon.
    bound_ms: u64,
}

impl WatchTiming {
    /// Creates the timing for changes that must be in force within `bound_ms` milliseconds.
    #[must_use]
    pub fn new(bound_ms: u64) -> Self {
        Self { bound_ms: bound_ms.clamp(*BOUND_MS_RANGE.start(), *BOUND_MS_RANGE.end()) }
    }

    fn percent(self, percent: u64) -> u64 {
        self.bound_ms * percent / 100
    }

    /// Longest wait of a watch at the store by a daemon that watches for others.
    #[must_use]
    pub fn store_wait_ms(self) -> u64 {
        self.percent(STORE_WAIT_PERCENT)
    }

    /// Longest wait of a watch at the store by a daemon whose sources are all unavailable.
    #[must_use]
    pub fn fallback_wait_ms(self) -> u64 {
        self.percent(FALLBACK_WAIT_PERCENT)
    }

    /// Longest wait of a request at a peer. A daemon that watches for its failure domain requests changes from the
    /// watcher of the region with a shorter one.
    #[must_use]
    pub fn peer_wait_ms(self, watches_region: bool) -> u64 {
        self.percent(if watches_region { REGION_WAIT_PERCENT } else { DOMAIN_WAIT_PERCENT })
    }

    /// Age at which knowledge is refreshed by a request to the store.
    #[must_use]
    pub fn refresh_age_ms(self) -> u64 {
        self.percent(REFRESH_PERCENT)
    }

    /// Age above which the knowledge of a peer is outdated, so that another source is used.
    #[must_use]
    pub fn stale_age_ms(self) -> u64 {
        self.percent(STALE_PERCENT)
    }
}
