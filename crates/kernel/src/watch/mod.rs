//! Decides how each daemon receives the changes of a watched key prefix: from the store, or from a daemon that watches
//! the store for it.

mod change_log;
mod watch_selector;
mod watch_timing;

pub use change_log::{ChangeLog, LogRead};
pub use watch_selector::{WatchCall, WatchSelector, WatchSource, WatchTarget};
pub use watch_timing::WatchTiming;
