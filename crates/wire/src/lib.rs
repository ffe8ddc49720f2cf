//! Messages on every interface of the service, apart from the kernel's own types.
//!
//! JSON is spoken to callers, operators, upstreams and the platform; MessagePack between daemons.

pub mod admin;
pub mod caller;
pub mod engine;
pub mod kv;
pub mod peer;
pub mod provider;
pub mod stored;

mod codec;
mod headers;

pub use codec::{CodecError, Result as CodecResult, decode, encode};
pub use headers::*;
