//! Entries that lapsed in an outage of the store.

use crate::TimePoint;
use std::ops::RangeInclusive;

/// Time from the return of the store until all entries that lapsed in an outage are written again: about two seconds, and the
/// time of a change to reach this daemon.
const RELIST_MS: u64 = 2_300;

/// Revisions in which entries may have been removed because nobody could renew them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LapseWindow {
    /// Last revision that was read before the outage.
    pub after: u64,
    /// First revision that was read after it.
    pub through: u64,
    /// When the store was known to serve again.
    pub returned_at: TimePoint,
    /// When an entry that has not been written again belongs to nobody.
    pub ends_at: TimePoint,
}

impl LapseWindow {
    /// The window of an outage that lies between reads of the revisions `after` and `through`.
    #[must_use]
    pub fn new(after: u64, through: u64, returned_at: TimePoint) -> Self {
        Self { after, through, returned_at, ends_at: Self::relist_deadline(returned_at) }
    }

    /// The revisions in both windows, with the earlier return.
    #[must_use]
    pub fn intersection(self, other: Self) -> Self {
        let returned_at = self.returned_at.min(other.returned_at);
        Self::new(self.after.max(other.after), self.through.min(other.through), returned_at)
    }

    /// When entries that lapsed are written again at the latest, if the store returns at `returned_at`.
    #[must_use]
    pub fn relist_deadline(returned_at: TimePoint) -> TimePoint {
        returned_at.plus_ms(RELIST_MS)
    }

    /// Whether an entry that was removed at one of `revisions` may be written again after `as_of`, until when it is known to be
    /// missing.
    #[must_use]
    pub fn covers(&self, revisions: &RangeInclusive<u64>, as_of: TimePoint) -> bool {
        self.after < *revisions.end() && *revisions.start() <= self.through && as_of < self.ends_at
    }
}
