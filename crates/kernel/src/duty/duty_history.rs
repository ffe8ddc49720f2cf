//! Who held the duty, newest last, and how long the next holder waits.

use crate::SharedName;

/// Holders that are remembered.
const HOLDERS_MAX: usize = 8;
/// Clocks of two VMs may differ by this much, in milliseconds: they jump by seconds.
const CLOCK_ERROR_MS: u64 = 10_000;

/// When a daemon took the duty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyAcquisition {
    /// Daemon.
    pub daemon: SharedName,
    /// When it took it, in milliseconds since the Unix epoch.
    pub acquired_unix_ms: u64,
}

/// Former holders.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DutyHistory {
    /// Holders, newest last.
    pub acquisitions: Vec<DutyAcquisition>,
}

impl DutyHistory {
    /// The last holder.
    #[must_use]
    pub fn last_holder(&self) -> Option<&SharedName> {
        self.acquisitions.last().map(|taker| &taker.daemon)
    }

    /// How long `daemon` waits after it took the duty, if it takes it now. A holder acts only under its lease, and the
    /// next one takes the duty after that lease; so only one whose own last term is still within `handover_ms` could
    /// act in turn with another.
    #[must_use]
    pub fn handover_wait_ms(&self, daemon: &str, unix_ms: u64, handover_ms: u64) -> u64 {
        let own = self.acquisitions.iter().rposition(|taker| *taker.daemon == *daemon);
        let Some(successor) = own.and_then(|own| self.acquisitions.get(own + 1)) else { return 0 };
        let since_ms = unix_ms.checked_sub(successor.acquired_unix_ms);
        if since_ms.is_some_and(|ms| ms > handover_ms + CLOCK_ERROR_MS) { 0 } else { handover_ms }
    }

    /// Adds the holder that takes the duty now.
    #[must_use]
    pub fn with_acquisition(mut self, daemon: SharedName, unix_ms: u64) -> Self {
        self.acquisitions.push(DutyAcquisition { daemon, acquired_unix_ms: unix_ms });
        let over = self.acquisitions.len().saturating_sub(HOLDERS_MAX);
        self.acquisitions.drain(..over);
        self
    }
}
