//! One daemon's side of a duty that at most one process may perform.

use crate::{SharedName, TimePoint};
use serde::{Deserialize, Serialize};

/// Lifetime of the lease in the platform's service.
const LEASE_TTL_MS: u64 = 6_000;
/// Span before the end of the lease in which the holder no longer acts.
const GUARD_MS: u64 = 2_000;
const RENEW_AFTER_MS: u64 = 1_500;

/// A former holder that is not known to have ended. All of them stay on record until a successor has
/// proof, also when other holders came between.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PreviousHolder {
    /// Daemon name.
    pub daemon: SharedName,
    /// Incarnation of its process.
    pub incarnation: u64,
}

/// What is known about whether former holders can still act; the greatest one counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum HolderEvidence {
    /// There is none on record, or it is this process.
    Clear,
    /// Its process ended: a newer incarnation runs, its port refuses, or its VM is off the list.
    Ended,
    /// It cannot be reached, which proves nothing.
    Silent,
}

/// Where a holder stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseState {
    /// Holds nothing.
    Idle,
    /// Holds the lease, but former holders' orders may still arrive until `settled_at`.
    Settling {
        /// Revision that fences earlier holders.
        fencing: u64,
        /// When the holder stops acting unless renewed.
        deadline: TimePoint,
        /// First moment at which nothing of an ended holder is on the wire.
        settled_at: TimePoint,
    },
    /// Holds the lease and may act.
    Held {
        /// Revision that fences earlier holders.
        fencing: u64,
        /// When the holder stops acting unless renewed.
        deadline: TimePoint,
    },
}

/// Decides when this daemon may act for a duty.
#[derive(Debug)]
pub struct LeaseHolder {
    state: LeaseState,
    receiver_checks: bool,
    renew_at: TimePoint,
    /// Highest fencing number ever granted to this process.
    newest: u64,
}

impl LeaseHolder {
    /// Creates a holder; `receiver_checks` says whether the receiver refuses old fencing numbers.
    #[must_use]
    pub fn new(receiver_checks: bool) -> Self {
        Self { state: LeaseState::Idle, receiver_checks, renew_at: TimePoint(0), newest: 0 }
    }

    /// Lifetime to ask for, in milliseconds.
    #[must_use]
    pub fn ttl_ms(&self) -> u64 {
        LEASE_TTL_MS
    }

    /// Current state.
    #[must_use]
    pub fn state(&self) -> LeaseState {
        self.state
    }

    /// The lease was granted by a write sent at `asked_at`. The late answer of an older grant is ignored.
    pub fn lease_acquired(&mut self, fencing: u64, asked_at: TimePoint, evidence: HolderEvidence, now: TimePoint) {
        if fencing <= self.newest {
            return;
        }
        self.newest = fencing;
        let deadline = asked_at.plus_ms(LEASE_TTL_MS - GUARD_MS);
        self.renew_at = asked_at.plus_ms(RENEW_AFTER_MS);
        self.state = match evidence {
            HolderEvidence::Clear => LeaseState::Held { fencing, deadline },
            HolderEvidence::Ended | HolderEvidence::Silent if self.receiver_checks => {
                LeaseState::Held { fencing, deadline }
            }
            HolderEvidence::Ended => LeaseState::Settling { fencing, deadline, settled_at: now.plus_ms(GUARD_MS) },
            HolderEvidence::Silent => LeaseState::Settling { fencing, deadline, settled_at: TimePoint(u64::MAX) },
        };
    }

    /// New evidence about former holders while settling.
    pub fn evidence_updated(&mut self, evidence: HolderEvidence, now: TimePoint) {
        let LeaseState::Settling { fencing, deadline, settled_at } = self.state else { return };
        let settled_at = match evidence {
            HolderEvidence::Clear => now,
            HolderEvidence::Ended => settled_at.min(now.plus_ms(GUARD_MS)),
            HolderEvidence::Silent => settled_at,
        };
        self.state = if settled_at <= now {
            LeaseState::Held { fencing, deadline }
        } else {
            LeaseState::Settling { fencing, deadline, settled_at }
        };
    }

    /// Whether a renewal is due.
    #[must_use]
    pub fn is_renewal_due(&self, now: TimePoint) -> bool {
        self.state != LeaseState::Idle && now >= self.renew_at
    }

    /// A renewal of the lease granted under `renewed`, sent at `asked_at`, was confirmed. A lost answer is
    /// no confirmation.
    pub fn lease_renewed(&mut self, renewed: u64, asked_at: TimePoint) {
        let until = asked_at.plus_ms(LEASE_TTL_MS - GUARD_MS);
        match &mut self.state {
            LeaseState::Idle => return,
            LeaseState::Held { fencing, .. } | LeaseState::Settling { fencing, .. } if *fencing != renewed => return,
            LeaseState::Held { deadline, .. } | LeaseState::Settling { deadline, .. } => {
                *deadline = (*deadline).max(until);
            }
        }
        self.renew_at = asked_at.plus_ms(RENEW_AFTER_MS);
    }

    /// Fencing number and last moment to act, while the duty may be performed.
    #[must_use]
    pub fn authority(&self, now: TimePoint) -> Option<(u64, TimePoint)> {
        match self.state {
            LeaseState::Held { fencing, deadline } if now < deadline => Some((fencing, deadline)),
            _ => None,
        }
    }

    /// Drops the duty once its deadline has passed; true when it was dropped.
    pub fn expire(&mut self, now: TimePoint) -> bool {
        let expired = match self.state {
            LeaseState::Idle => false,
            LeaseState::Held { deadline, .. } | LeaseState::Settling { deadline, .. } => now >= deadline,
        };
        if expired {
            self.state = LeaseState::Idle;
        }
        expired
    }

    /// Gives the duty up.
    pub fn step_down(&mut self) {
        self.state = LeaseState::Idle;
    }
}
