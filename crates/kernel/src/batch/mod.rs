//! Batch jobs: which items run, which are finished, which are listed.

mod batch_ledger;
mod item_result;
mod run_pace;
mod sample_text;

pub use batch_ledger::{
    BatchLedger, BatchTerms, EventVerdict, ItemSpec, ItemWork, LedgerState, PartialItem, ResultChunk, RunEnd, ScoreEnd,
};
pub use item_result::{ItemResult, ItemState};
pub use run_pace::RunPace;
pub use sample_text::{FIRST_EVENT, SampleText};
