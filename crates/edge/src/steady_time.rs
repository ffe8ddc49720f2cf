//! Time of day that does not follow jumps of the VM's clock.

use pimentoslip_client::OwnerClock;
use pimentoslip_kernel::WallClockOffset;
use std::sync::{Mutex, PoisonError};

/// Milliseconds since the Unix epoch, from the steady clock and an offset that changes only when the
/// VM's clock has differed for long.
#[derive(Debug)]
pub struct SteadyTime {
    offset: Mutex<WallClockOffset>,
}

impl SteadyTime {
    /// Starts with the VM's clock as it is.
    #[must_use]
    pub fn new(clock: &OwnerClock) -> Self {
        Self { offset: Mutex::new(WallClockOffset::new(clock.steady(), clock.unix_ms())) }
    }

    /// The time of day.
    #[must_use]
    pub fn unix_ms(&self, clock: &OwnerClock) -> u64 {
        let mut offset = self.offset.lock().unwrap_or_else(PoisonError::into_inner);
        offset.corrected_unix_ms(clock.steady(), clock.unix_ms())
    }
}
