//! Corrects the wall clock for temporary jumps, by comparison with a steady clock.

use crate::TimePoint;

/// Largest change of the offset that counts as drift and is applied at once. A larger change is a jump.
const DRIFT_MAX_MS: u64 = 100;
/// Time for which a jump must last before it is applied.
const JUMP_CONFIRMATION_MS: u64 = 60_000;

/// The accepted offset between a steady clock and the wall clock.
#[derive(Clone, Copy, Debug)]
pub struct WallClockOffset {
    offset_ms: u64,
    /// Start and offset of a jump that is not applied yet.
    unconfirmed_jump: Option<(TimePoint, u64)>,
}

impl WallClockOffset {
    /// Creates the offset from one reading of both clocks.
    #[must_use]
    pub fn new(steady: TimePoint, unix_ms: u64) -> Self {
        Self { offset_ms: unix_ms.saturating_sub(steady.0), unconfirmed_jump: None }
    }

    /// The corrected wall clock time in milliseconds since the Unix epoch, from a new reading of both clocks.
    pub fn corrected_unix_ms(&mut self, steady: TimePoint, unix_ms: u64) -> u64 {
        let offset_ms = unix_ms.saturating_sub(steady.0);
        if offset_ms.abs_diff(self.offset_ms) <= DRIFT_MAX_MS {
            self.offset_ms = offset_ms;
            self.unconfirmed_jump = None;
        } else {
            match self.unconfirmed_jump {
                Some((since, jump_offset_ms)) if jump_offset_ms.abs_diff(offset_ms) <= DRIFT_MAX_MS => {
                    if steady.since_ms(since) >= JUMP_CONFIRMATION_MS {
                        self.offset_ms = offset_ms;
                        self.unconfirmed_jump = None;
                    }
                }
                _ => self.unconfirmed_jump = Some((steady, offset_ms)),
            }
        }
        steady.0.saturating_add(self.offset_ms)
    }
}
