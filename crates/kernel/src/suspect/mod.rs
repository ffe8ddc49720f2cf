//! Detects requests that crash the upstreams running them, and quarantines them.

mod crash_mark;
mod suspect_table;
mod suspect_verdict;

pub use crash_mark::CrashMark;
pub use suspect_table::SuspectTable;
pub use suspect_verdict::SuspectVerdict;
