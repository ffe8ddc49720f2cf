//! Sends requests to upstreams, retries failed attempts and streams the responses.

mod attempt;
mod crash_push;
mod dispatcher;
mod stream_body;
mod upstream_guard;
mod upstream_request;

pub use attempt::{AttemptError, AttemptFailure, start_attempt};
pub use crash_push::CrashPush;
pub use dispatcher::{UpstreamResponse, dispatch};
pub use stream_body::{StreamBody, StreamContext};
pub use upstream_guard::UpstreamGuard;
pub use upstream_request::UpstreamRequest;
