//! Requests that crash upstreams: observes crashes, shares them with the other daemons through the store, and keeps
//! requests that caused several of them from running.

mod crash_outbox;
mod crash_task;
mod crash_watch;
mod reach_check;
mod suspect_trial;

pub use crash_outbox::CrashOutbox;
pub use crash_task::{CRASHES_PATH, receive_marks, store_crash_marks};
pub use crash_watch::{examine_loss, mark_stored, request_completed, upstream_delisted, upstream_listed};
pub use reach_check::{REACH_PATH, ask_peers, distant_peers, try_connection};
pub use suspect_trial::SuspectTrial;
