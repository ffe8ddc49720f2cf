//! Writes configuration records by compare-and-swap, so that concurrent changes do not overwrite each other.

use crate::shared_state::SharedState;
use pimentoslip_client::{KeyValueClient, PlatformError};
use pimentoslip_kernel::{ConfigRecord, RecordEntry, RecordName, SharedName};
use pimentoslip_wire::kv::TxnRequest;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Result of reading or changing a stored record.
pub type Result<T> = std::result::Result<T, WriteError>;

/// Maximum number of attempts of one compare-and-swap.
const WRITE_ATTEMPTS_MAX: u32 = 8;

/// Reason why a change of the configuration failed.
#[derive(Clone, Debug, thiserror::Error)]
pub enum WriteError {
    /// The key-value service failed, and the change may or may not have been written.
    #[error("the change may or may not have been written: {0}; send it again with the same change ID")]
    Unconfirmed(#[from] PlatformError),
    /// No attempt succeeded: each one was overtaken by a concurrent change of the record, or its commit failed.
    #[error("{0} was changed by others at the same time; check its content and send the change again")]
    Conflicting(String),
    /// The stored record cannot be parsed.
    #[error("the stored record {0} is malformed; run the same release on all daemons")]
    Malformed(String),
    /// The change is invalid or contradicts the stored configuration.
    #[error("{0}")]
    Rejected(String),
}

/// Configuration record as stored, with the change that wrote it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRecord {
    /// ID of the change that wrote the record, by which a repeated change is recognised.
    pub change: SharedName,
    /// Content of the record.
    pub record: Arc<ConfigRecord>,
}

/// Key prefix of a site's configuration records in the key-value service.
#[must_use]
pub fn config_prefix(site: &str) -> String {
    format!("pimentoslip/{site}/config/")
}

/// Reads and changes single configuration records.
pub struct ConfigWriter<'a, K> {
    kv: &'a K,
    shared: &'a SharedState,
}

impl<'a, K: KeyValueClient> ConfigWriter<'a, K> {
    /// Creates a writer that uses the client `kv`.
    pub fn new(kv: &'a K, shared: &'a SharedState) -> Self {
        Self { kv, shared }
    }

    /// Replaces the record `name` by the result of `edit`, which is passed the stored record and may be called again
    /// after a concurrent change. If `edit` returns `None`, the record stays as it is and `None` is returned. A change
    /// that was already written is not repeated.
    pub async fn update(
        &self,
        name: &RecordName,
        change: &SharedName,
        edit: impl Fn(Option<&ConfigRecord>) -> Result<Option<ConfigRecord>>,
    ) -> Result<Option<RecordEntry>> {
        let key = format!("{}{}", config_prefix(&self.shared.settings.site), name.path());
        for _ in 0..WRITE_ATTEMPTS_MAX {
            let (revision, stored) = self.read_record(&key).await?;
            if let Some(stored) = stored.as_ref().filter(|stored| stored.change == *change) {
                return Ok(Some(RecordEntry { name: name.clone(), revision, record: stored.record.clone() }));
            }
            let Some(record) = edit(stored.as_ref().map(|stored| &*stored.record))? else { return Ok(None) };
            let record = Arc::new(record);
            let value = StoredRecord { change: change.clone(), record: record.clone() };
            let bytes = serde_json::to_vec(&value).map_err(|_| WriteError::Malformed(name.path()))?;
            let txn = TxnRequest::default().expect(&key, revision).put(&key, bytes, 0);
            match self.kv.commit(&txn).await {
                Ok(response) if response.succeeded => {
                    return Ok(Some(RecordEntry { name: name.clone(), revision: response.header.revision, record }));
                }
                // Either a concurrent change was faster or the answer was lost. The next read shows which, by the
                // change ID.
                Ok(_) | Err(_) => {}
            }
        }
        Err(WriteError::Conflicting(name.path()))
    }

    /// The record `name` as stored, which this daemon may not have cached yet; `None` if there is none.
    pub async fn stored_record(&self, name: &RecordName) -> Result<Option<Arc<ConfigRecord>>> {
        let key = format!("{}{}", config_prefix(&self.shared.settings.site), name.path());
        let (_, stored) = self.read_record(&key).await?;
        Ok(stored.map(|stored| stored.record))
    }

    /// Revision and content stored under `key`; revision 0 if there is none.
    async fn read_record(&self, key: &str) -> Result<(u64, Option<StoredRecord>)> {
        let response = self.kv.get(key).await?;
        let Some(entry) = response.kvs.first() else { return Ok((0, None)) };
        let stored = serde_json::from_slice(&entry.value).map_err(|_| WriteError::Malformed(key.to_owned()))?;
        Ok((entry.mod_revision, Some(stored)))
    }
}
