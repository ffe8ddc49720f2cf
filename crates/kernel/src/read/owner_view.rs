//! What the owner of a job can say of a position.

use super::AbsenceProof;

/// What the owner can say of a position at which it holds no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnerView {
    /// No result is stored there.
    Absent(AbsenceProof),
    /// A write of results is in progress, and its outcome will be known within the timeout of the call.
    WriteInProgress,
    /// Results may be stored that this process does not hold; the store must be read.
    Unsure,
}
