//! Messages of the administration API.

mod change;
mod key_change;
mod status;

pub use change::{ApplyRequest, ChangeResponse, ConfigResponse, RecordBody};
pub use key_change::{KeyBody, KeyCreateResponse, KeyListResponse, KeyRequest};
pub use status::{DaemonStatus, DutyStatus, StatusResponse, StepStatus, UpstreamStatus};
