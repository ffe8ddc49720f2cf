//! How fast the requests of this daemon free the slots of a service.

use crate::TimePoint;

/// Reciprocal of the weight of a new run in the moving average of the run times.
const AVERAGE_DIVISOR: u64 = 8;
const MICROSECONDS_PER_MS: u64 = 1_000;

/// Run times of the requests of one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunPace {
    mean_run_us: Option<u64>,
    last_end: TimePoint,
}

impl RunPace {
    /// Records the end of a run that an upstream has completed in `run_ms`.
    pub fn run_ended(&mut self, run_ms: u64, now: TimePoint) {
        self.last_end = self.last_end.max(now);
        let run_us = run_ms.max(1).saturating_mul(MICROSECONDS_PER_MS);
        let mean_us = self.mean_run_us.map_or(run_us, |mean| mean - mean / AVERAGE_DIVISOR + run_us / AVERAGE_DIVISOR);
        self.mean_run_us = Some(mean_us);
    }

    /// Mean run time in milliseconds; `None` before the first completed run.
    #[must_use]
    pub fn mean_run_ms(&self) -> Option<u64> {
        self.mean_run_us.map(|mean| mean.div_ceil(MICROSECONDS_PER_MS))
    }

    /// Expected time in microseconds between two ends of the `running` requests, which have used all slots since
    /// `busy_since`. `None` before the first completed run.
    #[must_use]
    pub fn interval_us(&self, running: u64, busy_since: TimePoint, now: TimePoint) -> Option<u64> {
        let interval_us = self.mean_run_us? / running.max(1);
        // Upstreams that hang end no run.
        let silent_us = now.since_ms(self.last_end.max(busy_since)).saturating_mul(MICROSECONDS_PER_MS);
        Some(interval_us.max(silent_us).max(1))
    }
}
