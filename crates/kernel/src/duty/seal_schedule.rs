//! Decides which usage windows are sealed, and when.

use crate::TimePoint;

/// Times at which usage windows are sealed. What is not read in the store may still be kept by daemons, so a window counts as
/// empty only once all of them have had time to store their counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SealSchedule {
    /// Length of a window.
    pub window_ms: u64,
    /// Time from the end of a window until it is sealed; by then, all daemons have stored their counts.
    pub seal_delay_ms: u64,
    /// Time from the return of the store after an outage until all daemons have stored the counts that they kept.
    pub return_delay_ms: u64,
    /// Number of windows before the current one that may still be sealed.
    pub look_back_windows: u64,
}

impl SealSchedule {
    /// First window to be sealed by a new holder, given the last sealed window and the oldest one of which counts are stored.
    #[must_use]
    pub fn first_window(&self, last_sealed: Option<u64>, oldest_counted: Option<u64>, unix_ms: u64) -> u64 {
        let current = unix_ms / self.window_ms;
        // Counts of windows that are not due may not be stored yet.
        let oldest_not_due = unix_ms.saturating_sub(self.seal_delay_ms) / self.window_ms;
        let oldest_unsealed = match last_sealed {
            Some(window) => window + 1,
            None => oldest_counted.map_or(oldest_not_due, |window| window.min(oldest_not_due)),
        };
        oldest_unsealed.max(current.saturating_sub(self.look_back_windows))
    }

    /// Whether `window` is due to be sealed at `unix_ms`.
    #[must_use]
    pub fn is_due(&self, window: u64, unix_ms: u64) -> bool {
        unix_ms >= (window + 1) * self.window_ms + self.seal_delay_ms
    }

    /// Whether daemons may still keep counts at `now` that they could not store during an outage; `failed_at` is the last
    /// failed call to the store during it.
    #[must_use]
    pub fn is_settling(&self, failed_at: Option<TimePoint>, now: TimePoint) -> bool {
        failed_at.is_some_and(|at| now < at.plus_ms(self.return_delay_ms))
    }
}
