//! What the service needs of the platform's key-value service.

use crate::Result;
use pimentoslip_wire::kv::{RangeResponse, TxnRequest, TxnResponse};
use std::future::Future;

/// Compare-and-swap, leases and ranges. A failed write may have taken effect.
pub trait KeyValueClient: Clone + 'static {
    /// Entries whose keys begin with `prefix`, written at revision `since` or later.
    fn range(&self, prefix: &str, since: u64) -> impl Future<Output = Result<RangeResponse>>;

    /// The entry of exactly `key`, if any.
    fn get(&self, key: &str) -> impl Future<Output = Result<RangeResponse>>;

    /// Writes under comparisons, all or nothing.
    fn commit(&self, txn: &TxnRequest) -> impl Future<Output = Result<TxnResponse>>;

    /// Grants a lease of `ttl_ms`, rounded up to whole seconds.
    fn grant_lease(&self, ttl_ms: u64) -> impl Future<Output = Result<u64>>;

    /// Renews a lease.
    fn renew_lease(&self, lease: u64) -> impl Future<Output = Result<()>>;

    /// Ends a lease and the keys that hang on it.
    fn revoke_lease(&self, lease: u64) -> impl Future<Output = Result<()>>;

    /// Waits until something below `prefix` is written at revision `since` or later, or until no
    /// answer comes in time. Counts as one call.
    fn watch(&self, prefix: &str, since: u64) -> impl Future<Output = Result<u64>>;
}
