//! Detects requests that crash the upstreams running them, and quarantines them.

mod completion_log;
mod connect_outcome;
mod crash_mark;
mod loss_table;
mod suspect_table;
mod suspect_verdict;
mod trial_log;

pub use connect_outcome::{ConnectOutcome, ProcessVerdict};
pub use crash_mark::CrashMark;
pub use loss_table::{LossTable, RequestLoss};
pub use suspect_table::SuspectTable;
pub use suspect_verdict::SuspectVerdict;
