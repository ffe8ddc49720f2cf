//! The administration API.

mod change;
mod key_change;
mod status;

pub use change::{ApplyRequest, ChangeAnswer, RecordBody, ShowAnswer};
pub use key_change::{KeyBody, KeyCreateAnswer, KeyListAnswer, KeyRequest};
pub use status::{DaemonStatus, DutyStatus, StatusAnswer, StepStatus, UpstreamStatus};
