//! Request limits that upstreams name in their responses, and their division among the daemons.

mod rate_limit;

pub use rate_limit::{InvalidRate, RateLimit};
