//! The clock for anything with an owner.

use nix::time::{ClockId, clock_gettime};
use pimentoslip_kernel::TimePoint;
use std::sync::atomic::{AtomicU64, Ordering};

const MS_PER_SECOND: i64 = 1_000;
const NS_PER_MS: i64 = 1_000_000;

/// Never stands still: time is the larger of what boot time and wall time say has passed, so that a
/// suspended VM finds its leases over when it resumes. It never runs backwards.
#[derive(Debug)]
pub struct LeaseClock {
    boot_origin_ms: u64,
    wall_origin_ms: u64,
    latest: AtomicU64,
}

impl Default for LeaseClock {
    fn default() -> Self {
        Self {
            boot_origin_ms: read(ClockId::CLOCK_BOOTTIME),
            wall_origin_ms: read(ClockId::CLOCK_REALTIME),
            latest: AtomicU64::new(0),
        }
    }
}

impl LeaseClock {
    /// Milliseconds since the clock was created.
    #[must_use]
    pub fn now(&self) -> TimePoint {
        let boot_ms = read(ClockId::CLOCK_BOOTTIME).saturating_sub(self.boot_origin_ms);
        let wall_ms = read(ClockId::CLOCK_REALTIME).saturating_sub(self.wall_origin_ms);
        let elapsed_ms = boot_ms.max(wall_ms);
        let latest = self.latest.fetch_max(elapsed_ms, Ordering::Relaxed);
        TimePoint(latest.max(elapsed_ms))
    }

    /// Milliseconds since boot, counting the time for which the VM was suspended.
    #[must_use]
    pub fn since_boot(&self) -> TimePoint {
        TimePoint(read(ClockId::CLOCK_BOOTTIME))
    }

    /// Milliseconds since the Unix epoch, for billing windows and file names only.
    #[must_use]
    pub fn unix_ms(&self) -> u64 {
        read(ClockId::CLOCK_REALTIME)
    }
}

fn read(clock: ClockId) -> u64 {
    // Both clocks always exist on the systems that this service runs on.
    let Ok(time) = clock_gettime(clock) else { return 0 };
    let ms = time.tv_sec() * MS_PER_SECOND + time.tv_nsec() / NS_PER_MS;
    u64::try_from(ms).unwrap_or(0)
}
