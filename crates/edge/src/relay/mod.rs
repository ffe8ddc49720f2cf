//! Sends requests to upstreams and reads their responses.

mod attempt;
mod complete_response;
mod header_filter;
mod open_stream;
mod upstream_call;
mod upstream_guard;

pub use attempt::{AttemptFailure, Result, start_attempt};
pub use complete_response::{CompleteResponse, fetch_complete, is_clean_close, is_delimited_by_close, read_response};
pub use header_filter::{forwarded_request_headers, forwarded_response_headers};
pub use open_stream::{OpenStream, StreamAttempt, StreamPortion, open_stream};
pub use upstream_call::UpstreamCall;
pub use upstream_guard::UpstreamGuard;
