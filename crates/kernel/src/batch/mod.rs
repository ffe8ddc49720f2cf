//! Batch jobs: scheduling of items, partial texts and results.

mod acceptance_bound;
mod batch_ledger;
mod batch_options;
mod item_pool;
mod item_result;
mod job_checkpoint;
mod ledger_state;
mod pool_queue;
mod run_monitor;
mod sample_text;
mod write_schedule;

pub use acceptance_bound::AcceptanceBound;
pub use batch_ledger::BatchLedger;
pub use batch_options::{BatchOptions, EventOutcome, ItemSpec, RunAssignment, RunOutcome, ScoreOutcome};
pub use item_pool::ItemPool;
pub use item_result::{ItemResult, ItemState};
pub use job_checkpoint::{FailureCount, JobCheckpoint, TextPart};
pub use ledger_state::{LedgerState, ResultChunk, UnfinishedItem};
pub use run_monitor::RunMonitor;
pub use sample_text::{FIRST_EVENT_NUMBER, SampleText};
pub use write_schedule::WriteSchedule;
