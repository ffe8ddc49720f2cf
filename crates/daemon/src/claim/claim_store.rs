//! Claims on record in the platform's service.

use crate::shared_state::SharedState;
use pimentoslip_client::{KeyValueClient, PlatformError, Result};
use pimentoslip_kernel::{ClaimKey, SharedName};
use pimentoslip_wire::kv::TxnRequest;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// How long a claim is remembered.
const RETENTION_MS: u64 = 24 * 3_600 * 1_000;
/// A lease serves the batches of this span, so that claims end no earlier than their retention.
const LEASE_SPAN_MS: u64 = 3_600 * 1_000;

/// One claim of a batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimBody {
    /// Organisation, service and idempotency key.
    pub key: SharedName,
    /// Fingerprint of the request.
    pub fingerprint: u64,
}

/// Reads and writes claim records of a site.
pub struct ClaimStore<K> {
    kv: K,
    shared: Arc<SharedState>,
    lease: Option<(u64, pimentoslip_kernel::TimePoint)>,
    batches: u64,
}

/// A shard's owner record as it was read back.
enum OwnerRecord {
    Mine(u64),
    Others(u64),
}

impl<K: KeyValueClient> ClaimStore<K> {
    /// Creates a store through `kv`.
    pub fn new(kv: K, shared: Arc<SharedState>) -> Self {
        Self { kv, shared, lease: None, batches: 0 }
    }

    fn owner_key(&self, shard: u64) -> String {
        format!("pimentoslip/{}/claim-owner/{shard}", self.shared.settings.site)
    }

    fn batch_prefix(&self, shard: u64) -> String {
        format!("pimentoslip/{}/claims/{shard}/", self.shared.settings.site)
    }

    async fn owner_record(&self, shard: u64) -> Result<OwnerRecord> {
        let answer = self.kv.get(&self.owner_key(shard)).await?;
        let Some(entry) = answer.kvs.first() else { return Ok(OwnerRecord::Others(0)) };
        if entry.value == self.shared.process().as_bytes() {
            return Ok(OwnerRecord::Mine(entry.mod_revision));
        }
        Ok(OwnerRecord::Others(entry.mod_revision))
    }

    /// Becomes the owner of `shard`: writes the owner record first, so that the former owner can commit
    /// nothing more, and then reads all that is on record.
    pub async fn take_over(&self, shard: u64) -> Result<(u64, Vec<(ClaimKey, u64)>)> {
        let epoch = match self.owner_record(shard).await? {
            OwnerRecord::Mine(epoch) => epoch,
            OwnerRecord::Others(revision) => self.write_owner(shard, revision).await?,
        };
        let mut recorded = Vec::new();
        for entry in self.kv.range(&self.batch_prefix(shard), 0).await?.kvs {
            let batch: Vec<ClaimBody> = serde_json::from_slice(&entry.value).map_err(|error| {
                PlatformError::Malformed { endpoint: "claims".to_owned(), problem: error.to_string() }
            })?;
            recorded.extend(batch.into_iter().map(|claim| (ClaimKey(claim.key), claim.fingerprint)));
        }
        Ok((epoch, recorded))
    }

    async fn write_owner(&self, shard: u64, revision: u64) -> Result<u64> {
        let key = self.owner_key(shard);
        let txn = TxnRequest::default().expect(&key, revision).put(&key, self.shared.process().as_bytes().to_vec(), 0);
        match self.kv.commit(&txn).await {
            Ok(answer) if answer.succeeded => Ok(answer.header.revision),
            // Another one was faster, or the answer was lost: the record itself tells.
            Ok(_) | Err(_) => match self.owner_record(shard).await? {
                OwnerRecord::Mine(epoch) => Ok(epoch),
                OwnerRecord::Others(_) => Err(PlatformError::LeaseNotFound),
            },
        }
    }

    /// Puts batches of several shards on record in one write, if this daemon still owns all of them.
    pub async fn commit(&mut self, batches: &[(u64, u64, Vec<ClaimBody>)]) -> Result<bool> {
        let lease = self.lease().await?;
        self.batches += 1;
        let mut txn = TxnRequest::default();
        for (shard, epoch, claims) in batches {
            let key = format!("{}{epoch:016x}-{:08x}", self.batch_prefix(*shard), self.batches);
            let value = serde_json::to_vec(claims).map_err(|error| PlatformError::Malformed {
                endpoint: "claims".to_owned(),
                problem: error.to_string(),
            })?;
            txn = txn.expect(&self.owner_key(*shard), *epoch).put(&key, value, lease);
        }
        Ok(self.kv.commit(&txn).await?.succeeded)
    }

    async fn lease(&mut self) -> Result<u64> {
        let now = self.shared.now();
        if let Some((lease, until)) = self.lease
            && now < until
        {
            return Ok(lease);
        }
        let lease = self.kv.grant_lease(RETENTION_MS + LEASE_SPAN_MS).await?;
        self.lease = Some((lease, now.plus_ms(LEASE_SPAN_MS)));
        Ok(lease)
    }
}
