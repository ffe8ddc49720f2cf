//! Clock for leases and deadlines, which continues while the VM is suspended.

use nix::time::{ClockId, clock_gettime};
use pimentoslip_kernel::TimePoint;
use std::sync::atomic::{AtomicU64, Ordering};

const MS_PER_SECOND: i64 = 1_000;
const NS_PER_MS: i64 = 1_000_000;

/// Clock for leases, duties and deadlines. The elapsed time is the larger of the elapsed boot time and the elapsed wall
/// time, so that a VM that was suspended finds its leases expired when it resumes. Never runs backwards.
#[derive(Debug)]
pub struct LeaseClock {
    /// Boot time at which the clock was created.
    boot_origin_ms: u64,
    /// Wall time at which the clock was created.
    wall_origin_ms: u64,
    /// Latest time returned, below which the clock never falls.
    latest_ms: AtomicU64,
}

impl Default for LeaseClock {
    fn default() -> Self {
        Self {
            boot_origin_ms: read_ms(ClockId::CLOCK_BOOTTIME),
            wall_origin_ms: read_ms(ClockId::CLOCK_REALTIME),
            latest_ms: AtomicU64::new(0),
        }
    }
}

impl LeaseClock {
    /// Time since the clock was created.
    #[must_use]
    pub fn now(&self) -> TimePoint {
        let boot_ms = read_ms(ClockId::CLOCK_BOOTTIME).saturating_sub(self.boot_origin_ms);
        let wall_ms = read_ms(ClockId::CLOCK_REALTIME).saturating_sub(self.wall_origin_ms);
        let elapsed_ms = boot_ms.max(wall_ms);
        let latest_ms = self.latest_ms.fetch_max(elapsed_ms, Ordering::Relaxed);
        TimePoint(latest_ms.max(elapsed_ms))
    }

    /// Time since the VM was booted, including the time for which it was suspended.
    #[must_use]
    pub fn since_boot(&self) -> TimePoint {
        TimePoint(read_ms(ClockId::CLOCK_BOOTTIME))
    }

    /// Milliseconds since the Unix epoch by the wall clock, which may jump. Only for incarnations, usage windows and
    /// times that other processes read; leases and deadlines use [`Self::now`].
    #[must_use]
    pub fn unix_ms(&self) -> u64 {
        read_ms(ClockId::CLOCK_REALTIME)
    }
}

fn read_ms(clock: ClockId) -> u64 {
    // Both clocks exist on all systems that this service supports.
    let Ok(time) = clock_gettime(clock) else { return 0 };
    let ms = time.tv_sec() * MS_PER_SECOND + time.tv_nsec() / NS_PER_MS;
    u64::try_from(ms).unwrap_or(0)
}
