//! Writes configuration records, so that racing operators do not lose each other's changes.

use crate::shared_state::SharedState;
use pimentoslip_client::{KeyValueClient, PlatformError};
use pimentoslip_kernel::{ConfigRecord, RecordEntry, RecordName, SharedName};
use pimentoslip_wire::kv::TxnRequest;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Result of a change.
pub type Result<T> = std::result::Result<T, WriteError>;

const ATTEMPTS_MAX: u32 = 8;

/// Why a change was not accepted.
#[derive(Clone, Debug, thiserror::Error)]
pub enum WriteError {
    /// The service failed before anything was known to be written.
    #[error("the change may or may not be in force: {0}; send it again with the same change id")]
    Unconfirmed(#[from] PlatformError),
    /// Others kept changing the record.
    #[error("others changed {0} at the same time; look at it and send the change again")]
    Conflicting(String),
    /// The stored record cannot be read.
    #[error("the stored record {0} is malformed; run the same release everywhere")]
    Malformed(String),
    /// The change contradicts what is stored.
    #[error("{0}")]
    Rejected(String),
}

/// A record as stored, with the change that wrote it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRecord {
    /// Change that wrote it.
    pub change: SharedName,
    /// Content.
    pub record: Arc<ConfigRecord>,
}

/// Prefix of a site's configuration in the key-value service.
#[must_use]
pub fn config_prefix(site: &str) -> String {
    format!("pimentoslip/{site}/config/")
}

/// Reads, changes and writes single records by compare-and-swap.
pub struct ConfigWriter<'a, K> {
    kv: &'a K,
    shared: &'a SharedState,
}

impl<'a, K: KeyValueClient> ConfigWriter<'a, K> {
    /// Creates a writer through `kv`.
    pub fn new(kv: &'a K, shared: &'a SharedState) -> Self {
        Self { kv, shared }
    }

    /// Replaces the record called `name` by what `edit` makes of it; None leaves it as it is. A change
    /// that is already in force is not made twice.
    pub async fn update(
        &self,
        name: &RecordName,
        change: &SharedName,
        edit: impl Fn(Option<&ConfigRecord>) -> Result<Option<ConfigRecord>>,
    ) -> Result<Option<RecordEntry>> {
        let key = format!("{}{}", config_prefix(&self.shared.settings.site), name.path());
        for _ in 0..ATTEMPTS_MAX {
            let (revision, stored) = self.read(&key).await?;
            if let Some(stored) = stored.as_ref().filter(|stored| stored.change == *change) {
                return Ok(Some(RecordEntry { name: name.clone(), revision, record: stored.record.clone() }));
            }
            let Some(record) = edit(stored.as_ref().map(|stored| &*stored.record))? else { return Ok(None) };
            let record = Arc::new(record);
            let value = StoredRecord { change: change.clone(), record: record.clone() };
            let bytes = serde_json::to_vec(&value).map_err(|_| WriteError::Malformed(name.path()))?;
            let txn = TxnRequest::default().expect(&key, revision).put(&key, bytes, 0);
            match self.kv.commit(&txn).await {
                Ok(answer) if answer.succeeded => {
                    return Ok(Some(RecordEntry { name: name.clone(), revision: answer.header.revision, record }));
                }
                // Lost the race, or lost the answer: reading back tells which by the change id.
                Ok(_) | Err(_) => {}
            }
        }
        Err(WriteError::Conflicting(name.path()))
    }

    /// The stored content of `name`, whether or not it has reached this daemon yet.
    pub async fn stored_record(&self, name: &RecordName) -> Result<Option<Arc<ConfigRecord>>> {
        let key = format!("{}{}", config_prefix(&self.shared.settings.site), name.path());
        let (_, stored) = self.read(&key).await?;
        Ok(stored.map(|stored| stored.record))
    }

    async fn read(&self, key: &str) -> Result<(u64, Option<StoredRecord>)> {
        let answer = self.kv.get(key).await?;
        let Some(entry) = answer.kvs.first() else { return Ok((0, None)) };
        let stored = serde_json::from_slice(&entry.value).map_err(|_| WriteError::Malformed(key.to_owned()))?;
        Ok((entry.mod_revision, Some(stored)))
    }
}
