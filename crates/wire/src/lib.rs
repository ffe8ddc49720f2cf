//! Messages of the service's interfaces, apart from the kernel's own types.
//!
//! Callers, operators, upstreams and the platform use JSON; daemons use MessagePack among themselves.

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
