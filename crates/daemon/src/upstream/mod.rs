//! Calls to upstreams.

mod attempt;
mod dispatcher;
mod running_table;
mod stream_body;
mod upstream_guard;
mod upstream_request;

pub use attempt::{AttemptError, AttemptFailure, send_once};
pub use dispatcher::{Dispatched, dispatch};
pub use running_table::RunningTable;
pub use stream_body::{StreamBody, StreamOwner};
pub use upstream_guard::UpstreamGuard;
pub use upstream_request::UpstreamRequest;
