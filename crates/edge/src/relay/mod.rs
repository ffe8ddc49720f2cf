//! Calls to upstreams.

mod attempt;
mod header_filter;
mod sampler_guard;
mod upstream_call;
mod whole_answer;

pub use attempt::{AttemptFailure, Result, begin};
pub use header_filter::{forwarded_request_headers, forwarded_response_headers};
pub use sampler_guard::SamplerGuard;
pub use upstream_call::UpstreamCall;
pub use whole_answer::{WholeAnswer, attempt_whole, ends_with_connection, is_orderly_end};
