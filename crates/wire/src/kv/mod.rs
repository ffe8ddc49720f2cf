//! The key-value service, by the JSON form of the etcd v3 protocol: integers travel as strings,
//! keys and values in base64.

mod base64_bytes;
mod int_string;
mod key_value;
mod lease;
mod range;
mod txn;
mod watch;

pub use key_value::{KeyValue, ResponseHeader};
pub use lease::{KeepAliveResponse, KeepAliveResult, LeaseGrantRequest, LeaseGrantResponse, LeaseId};
pub use range::{RangeRequest, RangeResponse, prefix_end};
pub use txn::{Compare, CompareTarget, PutRequest, RequestOp, TxnRequest, TxnResponse};
pub use watch::{WatchCreate, WatchEvent, WatchRequest, WatchResponse, WatchResult};
