//! Idempotency claims: grants them for the shards that this daemon owns, and requests them from the owners of the
//! others.

mod claim_actor;
mod claim_client;
mod claim_store;

pub use claim_actor::{ClaimActor, ClaimMessage, SettleMessage};
pub use claim_client::{ClaimClient, ClaimGrant};

use pimentoslip_kernel::{SharedName, fingerprint};

/// Number of claim shards in a site. Each shard is owned by one daemon, which commits its claims in groups.
const CLAIM_SHARDS: u64 = 8;

/// Index of the shard that holds the claim with `key`.
#[must_use]
pub fn shard_of(key: &str) -> u64 {
    fingerprint(&[key.as_bytes()]) % CLAIM_SHARDS
}

/// Daemon among the `active` ones that should own `shard`; `None` if none is active.
#[must_use]
pub fn shard_owner(shard: u64, active: &[SharedName]) -> Option<SharedName> {
    pimentoslip_kernel::highest_ranked(&format!("claim/{shard}"), active).cloned()
}
