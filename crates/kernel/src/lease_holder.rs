//! Decides when a daemon may act as the holder of a duty that at most one process may perform at a time.

use crate::{SharedName, TimePoint};
use serde::{Deserialize, Serialize};

/// Time to live of the lease in the platform's key-value service.
const LEASE_TTL_MS: u64 = 6_000;
/// Time before the end of the lease at which the holder stops acting, so that its last messages arrive before a
/// successor acts. A successor waits as long after a previous holder is proved to have ended.
const LEASE_GUARD_MS: u64 = 2_000;
/// Time between renewals of the lease.
const RENEW_AFTER_MS: u64 = 1_500;

/// A previous holder that has not been proved to have ended. Its entry stays stored until a successor has that proof,
/// also across other holders in between.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PreviousHolder {
    /// Name of the holder's daemon.
    pub daemon: SharedName,
    /// Incarnation of the holder's process.
    pub incarnation: u64,
}

/// Evidence on whether a previous holder can still act. With several holders the greatest value applies.
/// The daemon logs the variant names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum HolderEvidence {
    /// No previous holder is stored, or it is this process.
    Clear,
    /// The holder's process ended: a newer incarnation runs, its port refuses connections, or its VM is not listed.
    Ended,
    /// The holder is unresponsive, which does not prove that it has ended.
    Silent,
}

/// State of this daemon's lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseState {
    /// No lease is held.
    Idle,
    /// The lease is held, but orders of previous holders may still arrive until `settled_at`.
    Settling {
        /// Fencing number: the store revision of the grant, higher than those of previous holders.
        fencing_number: u64,
        /// When the holder stops acting unless the lease is renewed.
        deadline: TimePoint,
        /// When no message of a previous holder can be in flight any more; `TimePoint(u64::MAX)` while one is not
        /// proved to have ended.
        settled_at: TimePoint,
    },
    /// The lease is held and the daemon may act.
    Held {
        /// Fencing number: the store revision of the grant, higher than those of previous holders.
        fencing_number: u64,
        /// When the holder stops acting unless the lease is renewed.
        deadline: TimePoint,
    },
}

/// This daemon's lease for one duty.
#[derive(Debug)]
pub struct LeaseHolder {
    state: LeaseState,
    /// Whether the receiver of the duty's orders refuses outdated fencing numbers.
    receiver_checks_fencing: bool,
    /// When the next renewal is due.
    renew_at: TimePoint,
    /// Highest fencing number granted to this process so far.
    highest_fencing_number: u64,
}

impl LeaseHolder {
    /// Creates a holder without a lease. If `receiver_checks_fencing` is set, the receiver of the duty's orders refuses
    /// outdated fencing numbers, and the holder need not wait for previous ones.
    #[must_use]
    pub fn new(receiver_checks_fencing: bool) -> Self {
        Self { state: LeaseState::Idle, receiver_checks_fencing, renew_at: TimePoint(0), highest_fencing_number: 0 }
    }

    /// Time to live to request for the lease, in milliseconds.
    #[must_use]
    pub fn ttl_ms(&self) -> u64 {
        LEASE_TTL_MS
    }

    /// Current state of the lease.
    #[must_use]
    pub fn state(&self) -> LeaseState {
        self.state
    }

    /// Records a lease granted by a write that was sent at `requested_at`. A late answer for an older grant is ignored.
    pub fn lease_acquired(
        &mut self,
        fencing_number: u64,
        requested_at: TimePoint,
        evidence: HolderEvidence,
        now: TimePoint,
    ) {
        if fencing_number <= self.highest_fencing_number {
            return;
        }
        self.highest_fencing_number = fencing_number;
        let deadline = requested_at.plus_ms(LEASE_TTL_MS - LEASE_GUARD_MS);
        self.renew_at = requested_at.plus_ms(RENEW_AFTER_MS);
        self.state = match evidence {
            HolderEvidence::Clear => LeaseState::Held { fencing_number, deadline },
            HolderEvidence::Ended | HolderEvidence::Silent if self.receiver_checks_fencing => {
                LeaseState::Held { fencing_number, deadline }
            }
            HolderEvidence::Ended => {
                LeaseState::Settling { fencing_number, deadline, settled_at: now.plus_ms(LEASE_GUARD_MS) }
            }
            HolderEvidence::Silent => {
                LeaseState::Settling { fencing_number, deadline, settled_at: TimePoint(u64::MAX) }
            }
        };
    }

    /// Applies new evidence on previous holders while the lease is settling.
    pub fn evidence_updated(&mut self, evidence: HolderEvidence, now: TimePoint) {
        let LeaseState::Settling { fencing_number, deadline, settled_at } = self.state else { return };
        let settled_at = match evidence {
            HolderEvidence::Clear => now,
            HolderEvidence::Ended => settled_at.min(now.plus_ms(LEASE_GUARD_MS)),
            HolderEvidence::Silent => settled_at,
        };
        self.state = if settled_at <= now {
            LeaseState::Held { fencing_number, deadline }
        } else {
            LeaseState::Settling { fencing_number, deadline, settled_at }
        };
    }

    /// Whether the lease is held and its renewal is due.
    #[must_use]
    pub fn is_renewal_due(&self, now: TimePoint) -> bool {
        self.state != LeaseState::Idle && now >= self.renew_at
    }

    /// Records a confirmed renewal, sent at `requested_at`, of the lease with the fencing number `renewed`. Must
    /// not be called when the answer was lost.
    pub fn lease_renewed(&mut self, renewed: u64, requested_at: TimePoint) {
        let renewed_deadline = requested_at.plus_ms(LEASE_TTL_MS - LEASE_GUARD_MS);
        match &mut self.state {
            LeaseState::Idle => return,
            LeaseState::Held { fencing_number, .. } | LeaseState::Settling { fencing_number, .. }
                if *fencing_number != renewed =>
            {
                return;
            }
            LeaseState::Held { deadline, .. } | LeaseState::Settling { deadline, .. } => {
                *deadline = (*deadline).max(renewed_deadline);
            }
        }
        self.renew_at = requested_at.plus_ms(RENEW_AFTER_MS);
    }

    /// Fencing number and deadline for acting; `None` while the daemon may not act.
    #[must_use]
    pub fn authority(&self, now: TimePoint) -> Option<(u64, TimePoint)> {
        match self.state {
            LeaseState::Held { fencing_number, deadline } if now < deadline => Some((fencing_number, deadline)),
            _ => None,
        }
    }

    /// Drops the lease if its deadline has passed. Returns true if it was dropped.
    pub fn expire(&mut self, now: TimePoint) -> bool {
        let is_expired = match self.state {
            LeaseState::Idle => false,
            LeaseState::Held { deadline, .. } | LeaseState::Settling { deadline, .. } => now >= deadline,
        };
        if is_expired {
            self.state = LeaseState::Idle;
        }
        is_expired
    }

    /// Drops the lease, so that the daemon no longer acts.
    pub fn step_down(&mut self) {
        self.state = LeaseState::Idle;
    }
}
