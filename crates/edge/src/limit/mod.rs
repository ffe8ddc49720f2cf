//! Permits for requests to upstreams that name a limit.

mod call_budget;
mod permit_need;
mod permit_task;

pub use permit_need::{caller_permit, queued_permits};
pub use permit_task::{PERMITS_PATH, grant_permits, request_permits};
