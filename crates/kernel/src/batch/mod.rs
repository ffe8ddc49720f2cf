//! Batch jobs: which items run, which are finished, which are listed.

mod batch_ledger;
mod batch_terms;
mod item_result;
mod ledger_state;
mod run_pace;
mod sample_text;
mod text_checkpoint;

pub use batch_ledger::BatchLedger;
pub use batch_terms::{BatchTerms, EventVerdict, ItemSpec, ItemWork, RunEnd, ScoreEnd};
pub use item_result::{ItemResult, ItemState};
pub use ledger_state::{LedgerState, PartialItem, ResultChunk};
pub use run_pace::RunPace;
pub use sample_text::{FIRST_EVENT, SampleText};
pub use text_checkpoint::{TextCheckpoint, TextPart};
