//! Sends requests to upstreams, retries failed attempts and streams the responses.

mod attempt;
mod dispatcher;
mod inflight_table;
mod stream_body;
mod upstream_guard;
mod upstream_request;

pub use attempt::{AttemptError, AttemptFailure, start_attempt};
pub use dispatcher::{UpstreamResponse, dispatch};
pub use inflight_table::InflightTable;
pub use stream_body::{StreamBody, StreamContext};
pub use upstream_guard::UpstreamGuard;
pub use upstream_request::UpstreamRequest;
