//! Stores claims and the owners of their shards in the platform's key-value service.

use crate::shared_state::SharedState;
use pimentoslip_client::{KeyValueClient, PlatformError, Result};
use pimentoslip_kernel::{ClaimKey, SharedName};
use pimentoslip_wire::kv::TxnRequest;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Minimum time for which a claim is stored.
const RETENTION_MS: u64 = 24 * 3_600 * 1_000;
/// Time for which a lease is used for new batches. The lease lives for this time plus the retention time, so that no
/// claim expires before its retention time is over.
const LEASE_SPAN_MS: u64 = 3_600 * 1_000;

/// A claim as stored in a batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredClaim {
    /// `ORGANISATION/SERVICE/KEY`, where `KEY` is the caller's idempotency key.
    pub key: SharedName,
    /// Fingerprint of the request, which detects that a key is reused for a different request.
    pub fingerprint: u64,
}

/// Reads and writes the stored claims of a site.
pub struct ClaimStore<K> {
    kv: K,
    shared: Arc<SharedState>,
    /// ID of the lease for new batches, and the time until which it is used.
    lease: Option<(u64, pimentoslip_kernel::TimePoint)>,
    /// Number of commits so far. It is part of the batch keys and makes them unique.
    commit_count: u64,
}

/// Owner record of a shard, with its revision.
enum OwnerRecord {
    /// Written by this process.
    OwnProcess(u64),
    /// Written by another process, or missing if the revision is 0.
    OtherProcess(u64),
}

impl<K: KeyValueClient> ClaimStore<K> {
    /// Creates a store that uses the key-value service through `kv`.
    pub fn new(kv: K, shared: Arc<SharedState>) -> Self {
        Self { kv, shared, lease: None, commit_count: 0 }
    }

    /// Key of the owner record of `shard`.
    fn owner_key(&self, shard: u64) -> String {
        format!("pimentoslip/{}/claim-owner/{shard}", self.shared.settings.site)
    }

    /// Prefix of the keys under which the batches of `shard` are stored.
    fn batch_prefix(&self, shard: u64) -> String {
        format!("pimentoslip/{}/claims/{shard}/", self.shared.settings.site)
    }

    /// Reads the owner record of `shard`.
    async fn read_owner_record(&self, shard: u64) -> Result<OwnerRecord> {
        let response = self.kv.get(&self.owner_key(shard)).await?;
        let Some(entry) = response.kvs.first() else { return Ok(OwnerRecord::OtherProcess(0)) };
        if entry.value == self.shared.process_name().as_bytes() {
            return Ok(OwnerRecord::OwnProcess(entry.mod_revision));
        }
        Ok(OwnerRecord::OtherProcess(entry.mod_revision))
    }

    /// Makes this process the owner of `shard`. The owner record is written first, so that the previous owner cannot
    /// commit any more claims; then the stored claims are read. Returns the revision of the owner record, and the keys
    /// and request fingerprints of the stored claims. Returns an error if another process became the owner first.
    pub async fn take_over(&self, shard: u64) -> Result<(u64, Vec<(ClaimKey, u64)>)> {
        let epoch = match self.read_owner_record(shard).await? {
            OwnerRecord::OwnProcess(epoch) => epoch,
            OwnerRecord::OtherProcess(revision) => self.write_owner_record(shard, revision).await?,
        };
        let mut stored = Vec::new();
        for entry in self.kv.range(&self.batch_prefix(shard), 0).await?.kvs {
            let batch: Vec<StoredClaim> = serde_json::from_slice(&entry.value).map_err(|error| {
                PlatformError::Malformed { endpoint: "claims".to_owned(), problem: error.to_string() }
            })?;
            stored.extend(batch.into_iter().map(|claim| (ClaimKey(claim.key), claim.fingerprint)));
        }
        Ok((epoch, stored))
    }

    /// Writes the owner record of `shard` if its revision is still `revision`, and returns its new revision.
    async fn write_owner_record(&self, shard: u64, revision: u64) -> Result<u64> {
        let key = self.owner_key(shard);
        let txn =
            TxnRequest::default().expect(&key, revision).put(&key, self.shared.process_name().as_bytes().to_vec(), 0);
        match self.kv.commit(&txn).await {
            Ok(response) if response.succeeded => Ok(response.header.revision),
            // Another process wrote the record first, or the response was lost. Read the record to find out.
            Ok(_) | Err(_) => match self.read_owner_record(shard).await? {
                OwnerRecord::OwnProcess(epoch) => Ok(epoch),
                OwnerRecord::OtherProcess(_) => Err(PlatformError::LeaseNotFound),
            },
        }
    }

    /// Stores batches of claims in one transaction. Each batch has its shard, the revision of this process's owner
    /// record and the claims. Returns false, and stores nothing, if another process owns one of the shards.
    pub async fn commit(&mut self, batches: &[(u64, u64, Vec<StoredClaim>)]) -> Result<bool> {
        let lease = self.get_or_grant_lease().await?;
        self.commit_count += 1;
        let mut txn = TxnRequest::default();
        for (shard, epoch, claims) in batches {
            let key = format!("{}{epoch:016x}-{:08x}", self.batch_prefix(*shard), self.commit_count);
            let value = serde_json::to_vec(claims).map_err(|error| PlatformError::Malformed {
                endpoint: "claims".to_owned(),
                problem: error.to_string(),
            })?;
            txn = txn.expect(&self.owner_key(*shard), *epoch).put(&key, value, lease);
        }
        Ok(self.kv.commit(&txn).await?.succeeded)
    }

    /// Returns the ID of the lease for a new batch. Grants a new lease once the current one has been used for
    /// [`LEASE_SPAN_MS`].
    async fn get_or_grant_lease(&mut self) -> Result<u64> {
        let now = self.shared.now();
        if let Some((lease, used_until)) = self.lease
            && now < used_until
        {
            return Ok(lease);
        }
        let lease = self.kv.grant_lease(RETENTION_MS + LEASE_SPAN_MS).await?;
        self.lease = Some((lease, now.plus_ms(LEASE_SPAN_MS)));
        Ok(lease)
    }
}
