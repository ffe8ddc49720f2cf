//! Wall-clock time that does not follow jumps of the VM's clock.

use pimentoslip_client::LeaseClock;
use pimentoslip_kernel::WallClockOffset;
use std::sync::{Mutex, PoisonError};

/// Wall-clock time derived from the monotonic clock and an offset. Drift is applied at once; a jump of the
/// VM's clock changes the offset only once it has lasted for the time that [`WallClockOffset`] requires.
#[derive(Debug)]
pub struct SteadyTime {
    offset: Mutex<WallClockOffset>,
}

impl SteadyTime {
    /// Starts with the current offset between the VM's wall clock and its monotonic clock.
    #[must_use]
    pub fn new(clock: &LeaseClock) -> Self {
        Self { offset: Mutex::new(WallClockOffset::new(clock.since_boot(), clock.unix_ms())) }
    }

    /// Wall-clock time in milliseconds since the Unix epoch.
    #[must_use]
    pub fn unix_ms(&self, clock: &LeaseClock) -> u64 {
        let mut offset = self.offset.lock().unwrap_or_else(PoisonError::into_inner);
        offset.corrected_unix_ms(clock.since_boot(), clock.unix_ms())
    }
}
