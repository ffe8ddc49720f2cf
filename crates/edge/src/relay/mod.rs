//! Sends requests to upstreams and reads their responses.

mod attempt;
mod body_blocks;
mod complete_response;
mod direct_attempt;
mod header_filter;
mod leaving_notice;
mod open_stream;
mod portion_reader;
mod relay_refusal;
mod relayed_attempt;
mod upstream_call;
mod upstream_guard;

pub use attempt::{AttemptFailure, Result, check_response, observe_upstream, start_attempt};
pub use body_blocks::BodyBlocks;
pub use complete_response::{CompleteResponse, fetch_complete, is_clean_close, is_delimited_by_close, read_response};
pub use direct_attempt::send_direct;
pub use header_filter::{forwarded_request_headers, forwarded_response_headers};
pub use leaving_notice::observe_leaving;
pub use open_stream::{OpenStream, StreamAttempt, StreamPortion, open_stream};
pub use portion_reader::{EventPortion, PortionReader};
pub use relay_refusal::RelayRefusal;
pub use relayed_attempt::{PEER_CHECK_PATH, UPSTREAM_RELAY_PATH};
pub use upstream_call::UpstreamCall;
pub use upstream_guard::UpstreamGuard;
