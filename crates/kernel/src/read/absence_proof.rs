//! Evidence that no result is stored at a position.

use crate::TimePoint;

/// What shows that no result was stored at a position.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProofBasis {
    /// The position is after the last item of the job.
    JobSize,
    /// A call to the store that was sent after the read had arrived; it was answered as of this revision.
    StoreCall {
        /// Revision of the store.
        revision: u64,
    },
    /// The memory of this process, which owns the job.
    OwnMemory,
    /// The memory of the owner, which answered a call that was sent after the read had arrived.
    OwnerCall,
}

/// Evidence that, at some time after a read had arrived, no result was stored at its position. Each constructor checks one
/// kind of evidence; nothing that was remembered from before the read is one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AbsenceProof {
    basis: ProofBasis,
}

impl AbsenceProof {
    /// From the number of items of the job. `None` unless `position` is after the last one.
    #[must_use]
    pub fn from_job_size(position: usize, item_count: usize) -> Option<Self> {
        (position >= item_count).then_some(Self { basis: ProofBasis::JobSize })
    }

    /// From a read or a completed watch of the store that was sent at `sent_at`. The caller has found no result at the position in
    /// its answer, which is as of `revision`. `None` if it was sent before the read arrived, at `arrived_at`.
    #[must_use]
    pub fn from_store_call(arrived_at: TimePoint, sent_at: TimePoint, revision: u64) -> Option<Self> {
        (sent_at >= arrived_at).then_some(Self { basis: ProofBasis::StoreCall { revision } })
    }

    /// From the owner, which has proved the absence itself in its answer to a call that was sent at `sent_at`. `None` if that was
    /// before the read arrived, at `arrived_at`.
    #[must_use]
    pub fn from_owner_call(arrived_at: TimePoint, sent_at: TimePoint) -> Option<Self> {
        (sent_at >= arrived_at).then_some(Self { basis: ProofBasis::OwnerCall })
    }

    /// From the memory of the owner; only [`super::ListingRecord`] knows whether that is complete.
    pub(super) const fn from_own_memory() -> Self {
        Self { basis: ProofBasis::OwnMemory }
    }

    /// What the proof is based on.
    #[must_use]
    pub const fn basis(&self) -> ProofBasis {
        self.basis
    }
}
