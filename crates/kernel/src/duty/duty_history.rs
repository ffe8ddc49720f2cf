//! Recent holders of a duty, and the time that a new holder waits before it acts.

use crate::SharedName;

/// Number of acquisitions that the history keeps.
const ACQUISITIONS_MAX: usize = 8;
/// Largest difference that is tolerated between the wall clocks of two VMs, which can jump by seconds.
const CLOCK_ERROR_MS: u64 = 10_000;

/// Acquisition of the duty by a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyAcquisition {
    /// Daemon that acquired the duty.
    pub daemon: SharedName,
    /// Time of the acquisition by the daemon's wall clock, in milliseconds since the Unix epoch.
    pub acquired_unix_ms: u64,
}

/// The latest acquisitions of the duty, as stored for the next holder.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DutyHistory {
    /// Acquisitions, newest last.
    pub acquisitions: Vec<DutyAcquisition>,
}

impl DutyHistory {
    /// Daemon that acquired the duty last; `None` if the history is empty.
    #[must_use]
    pub fn last_holder(&self) -> Option<&SharedName> {
        self.acquisitions.last().map(|acquisition| &acquisition.daemon)
    }

    /// Time in milliseconds that `daemon` must wait before it acts if it acquires the duty now: `handover_ms` or 0.
    ///
    /// A holder acts only under its lease, and the next daemon acquires the duty only after that lease has ended. So
    /// two daemons can alternate within `handover_ms` only if `daemon` itself lost the duty less than `handover_ms`
    /// ago. Its own latest acquisitions in a row count as one: the duty was not elsewhere in between. `unix_ms` is the current time by the wall clock of `daemon`; the stored times are from other clocks, so a
    /// clock error is added.
    #[must_use]
    pub fn handover_wait_ms(&self, daemon: &str, unix_ms: u64, handover_ms: u64) -> u64 {
        let is_other = |acquisition: &DutyAcquisition| *acquisition.daemon != *daemon;
        let earlier_count = self.acquisitions.iter().rposition(is_other).map_or(0, |position| position + 1);
        let earlier = &self.acquisitions[..earlier_count];
        let own_position = earlier.iter().rposition(|acquisition| !is_other(acquisition));
        let Some(successor) = own_position.and_then(|position| earlier.get(position + 1)) else { return 0 };
        let since_ms = unix_ms.checked_sub(successor.acquired_unix_ms);
        if since_ms.is_some_and(|ms| ms > handover_ms + CLOCK_ERROR_MS) { 0 } else { handover_ms }
    }

    /// The history with an acquisition added at its end; the oldest one is dropped if there are too many.
    #[must_use]
    pub fn with_acquisition(mut self, daemon: SharedName, unix_ms: u64) -> Self {
        self.acquisitions.push(DutyAcquisition { daemon, acquired_unix_ms: unix_ms });
        let excess = self.acquisitions.len().saturating_sub(ACQUISITIONS_MAX);
        self.acquisitions.drain(..excess);
        self
    }
}
