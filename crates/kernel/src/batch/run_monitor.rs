//! Detection of slow and unresponsive runs, which are then moved to another upstream.

use crate::TimePoint;

/// Reciprocal of the weight of a new interval in the moving average.
const AVERAGE_DIVISOR: u64 = 8;
/// Minimum number of events for a meaningful average interval.
const EVENTS_MIN: u64 = 6;
/// A run is moved if its interval is more than this many times that of another upstream. Resuming the text there costs
/// about the time of one event.
const SLOW_FACTOR: u64 = 2;
/// A run is unresponsive after this many event intervals of another upstream without an event.
const TIMEOUT_INTERVALS: u64 = 12;
/// Lower limit of the timeout. An upstream that preempted a run takes less time than this to process its text again.
const TIMEOUT_MIN_MS: u64 = 600;
/// Upper limit of the timeout, also used while the interval of other upstreams is unknown.
const TIMEOUT_MAX_MS: u64 = 2_500;

/// Measures the interval between the events of one run.
#[derive(Clone, Copy, Debug)]
pub struct RunMonitor {
    /// Arrival of the last event, or the start of the run.
    last_event_at: TimePoint,
    /// Number of events received.
    event_count: u64,
    /// Moving average of the interval between two events; `None` before the second arrival.
    interval_us: Option<u64>,
}

impl RunMonitor {
    /// Creates the monitor of a run whose request is sent at `now`.
    #[must_use]
    pub fn new(now: TimePoint) -> Self {
        Self { last_event_at: now, event_count: 0, interval_us: None }
    }

    /// Handles the arrival of `count` events at once.
    pub fn events_received(&mut self, count: u64, now: TimePoint) {
        if count == 0 {
            return;
        }
        let interval_us = now.since_ms(self.last_event_at) * 1_000 / count;
        // The first arrival is not measured, since its interval includes the processing of the prompt.
        if self.event_count > 0 {
            self.interval_us = Some(match self.interval_us {
                None => interval_us,
                Some(average_us) => (average_us * (AVERAGE_DIVISOR - 1) + interval_us) / AVERAGE_DIVISOR,
            });
        }
        self.last_event_at = now;
        self.event_count += count;
    }

    /// Moving average of the interval between two events in milliseconds; `None` until enough events have been
    /// received.
    #[must_use]
    pub fn event_interval_ms(&self) -> Option<u64> {
        self.interval_us.filter(|_| self.event_count >= EVENTS_MIN).map(|interval_us| interval_us / 1_000)
    }

    /// Whether the run is so slow that it should be moved to an upstream with an event interval of `other_interval_ms`.
    #[must_use]
    pub fn is_slower_than(&self, other_interval_ms: u64) -> bool {
        self.event_interval_ms().is_some_and(|interval_ms| interval_ms > other_interval_ms.max(1) * SLOW_FACTOR)
    }

    /// Time at which the run counts as unresponsive unless an event arrives before. `other_interval_ms` is the event
    /// interval of the fastest other upstream, if known.
    #[must_use]
    pub fn unresponsive_at(&self, other_interval_ms: Option<u64>) -> TimePoint {
        let timeout_ms = other_interval_ms
            .map_or(TIMEOUT_MAX_MS, |ms| (ms * TIMEOUT_INTERVALS).clamp(TIMEOUT_MIN_MS, TIMEOUT_MAX_MS));
        self.last_event_at.plus_ms(timeout_ms)
    }
}
