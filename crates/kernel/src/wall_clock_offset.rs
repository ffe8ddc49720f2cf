//! Tells a jump of the clock from its true time.

use crate::TimePoint;

/// A difference up to this is drift and taken over at once, in milliseconds.
const DRIFT_MS: u64 = 100;
/// A larger difference is believed after it has lasted this long.
const PROOF_MS: u64 = 60_000;

/// The offset between a steady clock and the time of day.
#[derive(Clone, Copy, Debug)]
pub struct WallClockOffset {
    offset_ms: u64,
    differs_since: Option<(TimePoint, u64)>,
}

impl WallClockOffset {
    /// Starts from both clocks.
    #[must_use]
    pub fn new(steady: TimePoint, unix_ms: u64) -> Self {
        Self { offset_ms: unix_ms.saturating_sub(steady.0), differs_since: None }
    }

    /// The time of day in milliseconds since the Unix epoch.
    pub fn corrected_unix_ms(&mut self, steady: TimePoint, unix_ms: u64) -> u64 {
        let offset_ms = unix_ms.saturating_sub(steady.0);
        if offset_ms.abs_diff(self.offset_ms) <= DRIFT_MS {
            self.offset_ms = offset_ms;
            self.differs_since = None;
        } else {
            match self.differs_since {
                Some((since, seen_ms)) if seen_ms.abs_diff(offset_ms) <= DRIFT_MS => {
                    if steady.since_ms(since) >= PROOF_MS {
                        self.offset_ms = offset_ms;
                        self.differs_since = None;
                    }
                }
                _ => self.differs_since = Some((steady, offset_ms)),
            }
        }
        steady.0.saturating_add(self.offset_ms)
    }
}
