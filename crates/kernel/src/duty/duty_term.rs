//! Period in which a daemon holds a duty and may act on it.

use crate::TimePoint;

/// Last observed state of this process's lease and of the duty's entry in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseStatus {
    /// Id of the lease; `None` once the lease is known to have ended.
    pub lease: Option<u64>,
    /// Time at which the lease ends unless it is renewed.
    pub expires_at: TimePoint,
    /// Revision of the duty's entry in the store, if an entry was observed.
    pub duty_revision: Option<u64>,
}

/// Term of a duty's holder, which may act within a time range under one fencing token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DutyTerm {
    /// Revision at which the duty's entry was stored; increases with each change of holder.
    pub fencing_token: u64,
    /// Id of the lease that the duty's entry depends on. The term doesn't continue under a later lease of the same
    /// process.
    lease: u64,
    acquired_at: TimePoint,
    /// Whether the holder is giving up the duty; another daemon may hold it at any time.
    is_ending: bool,
    /// Earliest time to act. Earlier actions could alternate with those of the previous holder.
    acts_from: TimePoint,
    /// End of the lease, from which on another daemon may hold the duty.
    ends_at: TimePoint,
}

impl DutyTerm {
    /// Starts the term of a duty that was acquired at `acquired_at` under `lease`, which ends at `ends_at` unless it is
    /// renewed. The holder waits for `wait_ms` before it acts.
    #[must_use]
    pub fn start(fencing_token: u64, lease: u64, acquired_at: TimePoint, ends_at: TimePoint, wait_ms: u64) -> Self {
        let acts_from = acquired_at.plus_ms(wait_ms);
        Self { fencing_token, lease, acquired_at, is_ending: false, acts_from, ends_at }
    }

    /// When the duty was acquired.
    #[must_use]
    pub fn acquired_at(&self) -> TimePoint {
        self.acquired_at
    }

    /// Ends the actions of the holder for good, before the duty's entry is removed.
    pub fn end(&mut self) {
        self.is_ending = true;
    }

    /// Whether the holder is giving up the duty.
    #[must_use]
    pub fn is_ending(&self) -> bool {
        self.is_ending
    }

    /// Updates the term and returns whether it continues; false means that it is over for good. A late renewal of the
    /// lease doesn't end the term: if the renewal succeeds, the lease and the duty's entry have existed all along.
    pub fn refresh(&mut self, status: LeaseStatus) -> bool {
        let replaced = status.duty_revision.is_some_and(|revision| revision != self.fencing_token);
        if status.lease != Some(self.lease) || replaced {
            return false;
        }
        self.ends_at = self.ends_at.max(status.expires_at);
        true
    }

    /// Whether the holder may act at `now` with a call that takes up to `call_ms`.
    #[must_use]
    pub fn may_act(&self, now: TimePoint, call_ms: u64) -> bool {
        !self.is_ending && now >= self.acts_from && now.plus_ms(call_ms) < self.ends_at
    }
}
