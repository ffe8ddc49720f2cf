//! Which entry of the duty a process may replace with its own.

use crate::OwnerRecord;

/// Decision of a process that does not hold the duty to acquire it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DutyClaim {
    /// Revision of the entry to be replaced; 0 if there is none.
    pub replaced_revision: u64,
}

impl DutyClaim {
    /// The claim of the process `incarnation` of `daemon`, which holds no term, on the duty whose entry is `observed`. `None` if
    /// another daemon may hold the duty.
    ///
    /// An entry that names this daemon may be replaced, whichever of its processes wrote it: an earlier one has ended, and this one
    /// does not act without a term. Its write may have been carried out although no response arrived.
    #[must_use]
    pub fn of(observed: Option<&OwnerRecord>, daemon: &str, incarnation: u64) -> Option<Self> {
        let Some(entry) = observed else { return Some(Self { replaced_revision: 0 }) };
        let is_own = *entry.daemon == *daemon && entry.incarnation <= incarnation;
        is_own.then_some(Self { replaced_revision: entry.revision })
    }
}
