//! One term of a duty's holder.

use crate::TimePoint;

/// The lease under which this process holds things, as known now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseStatus {
    /// The lease, while it is not known to have ended.
    pub lease: Option<u64>,
    /// The end of the lease unless it is renewed.
    pub expires_at: TimePoint,
    /// Revision of the duty's record, if there is one.
    pub duty_revision: Option<u64>,
}

/// What a holder may do: act from one point in time to another, under one fencing token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DutyTerm {
    /// Grows with each change of holder.
    pub fencing_token: u64,
    /// The lease on which the duty's record hangs. A later lease of the same process is no part of the term.
    lease: u64,
    /// Before this the holder would act in turn with the one before.
    acts_from: TimePoint,
    /// From here on another may hold the duty.
    ends_at: TimePoint,
}

impl DutyTerm {
    /// Begins a term under `lease`, which ends at `ends_at`. The holder waits for `wait_ms` before it acts.
    #[must_use]
    pub fn start(fencing_token: u64, lease: u64, granted: TimePoint, ends_at: TimePoint, wait_ms: u64) -> Self {
        Self { fencing_token, lease, acts_from: granted.plus_ms(wait_ms), ends_at }
    }

    /// Brings the term up to date. False if it is over for good. A lease that could not be renewed in time is no
    /// end: if a later renewal succeeds, the lease and the record on it never ended.
    pub fn refresh(&mut self, standing: LeaseStatus) -> bool {
        let replaced = standing.duty_revision.is_some_and(|revision| revision != self.fencing_token);
        if standing.lease != Some(self.lease) || replaced {
            return false;
        }
        self.ends_at = self.ends_at.max(standing.expires_at);
        true
    }

    /// Whether the holder may act at `now` with a call that takes up to `call_ms`.
    #[must_use]
    pub fn may_act(&self, now: TimePoint, call_ms: u64) -> bool {
        now >= self.acts_from && now.plus_ms(call_ms) < self.ends_at
    }
}
