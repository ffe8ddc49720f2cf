//! Batch jobs: scheduling of items, partial texts and results.

mod batch_ledger;
mod batch_options;
mod item_result;
mod ledger_state;
mod run_monitor;
mod sample_text;
mod text_checkpoint;
mod write_schedule;

pub use batch_ledger::BatchLedger;
pub use batch_options::{BatchOptions, EventOutcome, ItemSpec, RunAssignment, RunOutcome, ScoreOutcome};
pub use item_result::{ItemResult, ItemState};
pub use ledger_state::{LedgerState, ResultChunk, UnfinishedItem};
pub use run_monitor::RunMonitor;
pub use sample_text::{FIRST_EVENT_NUMBER, SampleText};
pub use text_checkpoint::{TextCheckpoint, TextPart};
pub use write_schedule::WriteSchedule;
