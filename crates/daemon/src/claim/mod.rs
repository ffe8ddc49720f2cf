//! Idempotency claims: the owner's actor, and the way to it.

mod claim_actor;
mod claim_client;
mod claim_store;

pub use claim_actor::{ClaimActor, ClaimMessage, SettleMessage};
pub use claim_client::{ClaimClient, ClaimGrant};

use pimentoslip_kernel::{SharedName, fingerprint};

/// Shards of claims in a site. Each has one owner, which commits its claims in groups.
const CLAIM_SHARDS: u64 = 8;

/// The shard of a claim.
#[must_use]
pub fn shard_of(key: &str) -> u64 {
    fingerprint(&[key.as_bytes()]) % CLAIM_SHARDS
}

/// The daemon among `active` that should own `shard`.
#[must_use]
pub fn shard_owner(shard: u64, active: &[SharedName]) -> Option<SharedName> {
    pimentoslip_kernel::highest_ranked(&format!("claim/{shard}"), active).cloned()
}
