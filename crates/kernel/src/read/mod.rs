//! Reads of a job's results: what a reader may answer when it has found no result.

mod absence_proof;
mod listing_record;
mod owner_standing;
mod owner_view;
mod read_answer;
mod watch_start;

pub use absence_proof::{AbsenceProof, ProofBasis};
pub use listing_record::ListingRecord;
pub use owner_standing::OwnerStanding;
pub use owner_view::OwnerView;
pub use read_answer::ReadAnswer;
pub use watch_start::WatchStart;
