//! What a process knows of its ownership of a job.

use crate::TimePoint;

/// What a process knows of its ownership of a job: which ownership entry names it, and until when its lease holds that entry.
#[derive(Clone, Copy, Debug)]
pub struct OwnerStanding {
    /// Revision of the ownership entry that names this process; `None` if none does.
    pub owner_revision: Option<u64>,
    /// Revision at which the daemon's presence was stored under its current lease; `None` without a lease. Ownership entries that
    /// are bound to an earlier lease have lower revisions.
    pub presence_revision: Option<u64>,
    /// Time before which the lease cannot expire.
    pub lease_ends_at: TimePoint,
}

impl OwnerStanding {
    /// The revision of the ownership entry, if the store cannot have removed it before `now`.
    pub(super) fn valid_revision(&self, now: TimePoint) -> Option<u64> {
        let (owner_revision, presence_revision) = (self.owner_revision?, self.presence_revision?);
        (owner_revision > presence_revision && now < self.lease_ends_at).then_some(owner_revision)
    }
}
