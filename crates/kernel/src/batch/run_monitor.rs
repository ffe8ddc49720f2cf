//! How fast a run brings events, and when it is worth moving elsewhere.

use crate::TimePoint;

/// A gap's share in the moving average is one in this many.
const GAP_WEIGHT: u64 = 8;
/// Events before a run's pace says anything.
const EVENTS_MIN: u64 = 6;
/// A run that is slower than elsewhere by this factor is moved. Starting again costs about one event.
const SLOW_FACTOR: u64 = 2;
/// A silence of this many events elsewhere is no pause any more.
const SILENT_EVENTS: u64 = 12;
/// Shortest silence that counts, in milliseconds; a preempted run is read in again within it.
const SILENCE_MS_MIN: u64 = 600;
/// Longest silence that is waited for, in milliseconds.
const SILENCE_MS_MAX: u64 = 2_500;

/// The pace of one run.
#[derive(Clone, Copy, Debug)]
pub struct RunMonitor {
    last: TimePoint,
    events: u64,
    gap_us: u64,
}

impl RunMonitor {
    /// Starts at the moment at which the run was sent.
    #[must_use]
    pub fn new(now: TimePoint) -> Self {
        Self { last: now, events: 0, gap_us: 0 }
    }

    /// `count` events arrived together.
    pub fn events_received(&mut self, count: u64, now: TimePoint) {
        if count == 0 {
            return;
        }
        let gap_us = now.since_ms(self.last) * 1_000 / count;
        // The first gap holds the time of reading the prompt.
        self.gap_us = match self.events {
            0 => 0,
            1 => gap_us,
            _ => (self.gap_us * (GAP_WEIGHT - 1) + gap_us) / GAP_WEIGHT,
        };
        self.last = now;
        self.events += count;
    }

    /// Moving average of the time between two events in milliseconds, once it says something.
    #[must_use]
    pub fn event_interval_ms(&self) -> Option<u64> {
        (self.events >= EVENTS_MIN).then_some(self.gap_us / 1_000)
    }

    /// Whether a run elsewhere, at `best_ms` an event, would be faster by far.
    #[must_use]
    pub fn is_slower_than(&self, best_ms: u64) -> bool {
        self.event_interval_ms().is_some_and(|pace_ms| pace_ms > best_ms.max(1) * SLOW_FACTOR)
    }

    /// When the run counts as silent unless an event arrives. `best_ms` is the time of an event elsewhere, if known.
    #[must_use]
    pub fn unresponsive_at(&self, best_ms: Option<u64>) -> TimePoint {
        let limit_ms = best_ms.map_or(SILENCE_MS_MAX, |ms| (ms * SILENT_EVENTS).clamp(SILENCE_MS_MIN, SILENCE_MS_MAX));
        self.last.plus_ms(limit_ms)
    }
}
