//! Operations that this service needs from the platform's key-value service.

use crate::Result;
use pimentoslip_wire::kv::{RangeResponse, TxnRequest, TxnResponse};
use std::future::Future;

/// Transactions, leases, range reads and watches. A write that returned an error may have been applied.
pub trait KeyValueClient: Clone + 'static {
    /// Entries whose keys start with `prefix` and that were last written at revision `since` or later.
    fn range(&self, prefix: &str, since: u64) -> impl Future<Output = Result<RangeResponse>>;

    /// Entry at `key`; the response is empty if it does not exist.
    fn get(&self, key: &str) -> impl Future<Output = Result<RangeResponse>>;

    /// Writes entries atomically if all comparisons of `txn` hold.
    fn commit(&self, txn: &TxnRequest) -> impl Future<Output = Result<TxnResponse>>;

    /// Obtains a lease of `ttl_ms` milliseconds, rounded up to whole seconds, and returns its id.
    fn grant_lease(&self, ttl_ms: u64) -> impl Future<Output = Result<u64>>;

    /// Renews a lease. Returns [`PlatformError::LeaseNotFound`](crate::PlatformError::LeaseNotFound) if it has ended.
    fn renew_lease(&self, lease: u64) -> impl Future<Output = Result<()>>;

    /// Ends a lease, which removes the keys attached to it.
    fn revoke_lease(&self, lease: u64) -> impl Future<Output = Result<()>>;

    /// Waits until an entry below `prefix` is written at revision `since` or later, and returns the revision; returns
    /// an error if the watch ends or times out before. Counts as one call.
    fn watch(&self, prefix: &str, since: u64) -> impl Future<Output = Result<u64>>;
}
