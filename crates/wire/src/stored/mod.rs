//! Keys and values of this service's entries in the platform's store.

mod crash_entry;
mod daemon_entry;
mod duty_history_entry;
mod floor_entry;
mod job_checkpoint_entry;
mod job_entry;
mod key_layout;
mod result_entry;
mod stream_entry;
mod usage_entry;

pub use crash_entry::CrashEntry;
pub use daemon_entry::{DaemonEntry, PresenceEntry};
pub use duty_history_entry::DutyHistoryEntry;
pub use floor_entry::FloorEntry;
pub use job_checkpoint_entry::JobCheckpointEntry;
pub use job_entry::JobEntry;
pub use key_layout::KeyLayout;
pub use result_entry::{ResultEntry, ResultsEntry};
pub use stream_entry::{SoftwareEntry, StreamsEntry};
pub use usage_entry::{SealedUsageEntry, UsageBatchEntry, UsageBatchesEntry};
