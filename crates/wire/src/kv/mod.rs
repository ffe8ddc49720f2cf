//! Messages of the key-value service, in the JSON form of the etcd v3 protocol: integers are decimal strings, keys and
//! values are base64 text.

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
