//! Decides how each daemon receives the changes of a watched key prefix: from the store, or from a daemon that watches
//! the store for it; and whether the store was away.

mod change_log;
mod lapse_window;
mod outage_judge;
mod watch_selector;
mod watch_timing;

pub use change_log::{ChangeLog, LogRead};
pub use lapse_window::LapseWindow;
pub use outage_judge::{OutageJudge, OutageWitness, ReadGap, StoreRead};
pub use watch_selector::{WatchCall, WatchSelector, WatchSource, WatchTarget};
pub use watch_timing::WatchTiming;
