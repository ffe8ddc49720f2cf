//! What the owner of a job knows of the job's stored results.

use super::{AbsenceProof, OwnerStanding, OwnerView};
use crate::TimePoint;

/// Whether the results that an owner holds in memory are all that are stored.
#[derive(Clone, Debug, Default)]
pub struct ListingRecord {
    /// Revision of the ownership entry under which the results in memory were complete. Under that entry, only this process writes
    /// results.
    complete_entry: Option<u64>,
    /// Whether a write has been sent and not answered yet.
    is_writing: bool,
    /// Whether a write without an answer may have stored results, or may still store them.
    is_outcome_unknown: bool,
}

impl ListingRecord {
    /// Creates the record of a job whose stored results were all read, or could not exist yet, while the ownership entry of
    /// `owner_revision` named this process.
    #[must_use]
    pub fn new(owner_revision: u64) -> Self {
        Self { complete_entry: Some(owner_revision), ..Self::default() }
    }

    /// Creates the record of a job that this process has run before under the same ownership entry: an earlier write may still be
    /// carried out, until the next one is.
    #[must_use]
    pub fn unresolved() -> Self {
        Self { is_outcome_unknown: true, ..Self::default() }
    }

    /// Records that a write of the next results is sent.
    pub fn write_sent(&mut self) {
        self.is_writing = true;
    }

    /// Records that the write was carried out under the ownership entry of `owner_revision`, and its results are in memory. No
    /// result was stored after them then, and an earlier write of the same position is without effect.
    pub fn write_stored(&mut self, owner_revision: u64) {
        *self = Self::new(owner_revision);
    }

    /// Records that the store holds the results of the write already, and they are in memory. Others may be stored after them.
    pub fn write_found(&mut self) {
        self.is_writing = false;
        self.is_outcome_unknown = false;
    }

    /// Records that the write was not carried out and will not be; an earlier one without an answer still may.
    pub fn write_refused(&mut self) {
        self.is_writing = false;
    }

    /// Records that the write has no answer.
    pub fn write_unanswered(&mut self) {
        self.is_writing = false;
        self.is_outcome_unknown = true;
    }

    /// Records that the write failed because another process has written to the job.
    pub fn write_superseded(&mut self) {
        self.is_writing = false;
        self.complete_entry = None;
    }

    /// What the owner can say at `now` of a position at which it holds no result.
    #[must_use]
    pub fn view(&self, standing: &OwnerStanding, now: TimePoint) -> OwnerView {
        let is_complete = standing.valid_revision(now).is_some_and(|revision| self.complete_entry == Some(revision));
        match (is_complete && !self.is_outcome_unknown, self.is_writing) {
            (false, _) => OwnerView::Unsure,
            (true, true) => OwnerView::WriteInProgress,
            (true, false) => OwnerView::Absent(AbsenceProof::from_own_memory()),
        }
    }
}
