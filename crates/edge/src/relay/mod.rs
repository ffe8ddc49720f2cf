//! Sends requests to upstreams and reads their responses.

mod attempt;
mod complete_response;
mod header_filter;
mod upstream_call;
mod upstream_guard;

pub use attempt::{AttemptFailure, Result, start_attempt};
pub use complete_response::{CompleteResponse, fetch_complete, is_clean_close, is_delimited_by_close};
pub use header_filter::{forwarded_request_headers, forwarded_response_headers};
pub use upstream_call::UpstreamCall;
pub use upstream_guard::UpstreamGuard;
