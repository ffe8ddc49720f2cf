//! The configuration that is in effect on one daemon.

use super::{ConfigRecord, KeySecret, OrganisationConfig, RecordName, ServiceConfig, SiteConfig};
use crate::SharedName;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, sync::Arc};

/// A configuration record with its store revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordEntry {
    /// Name of the record.
    pub name: RecordName,
    /// Revision of the platform's key-value service at which the record was written.
    pub revision: u64,
    /// Content of the record.
    pub record: Arc<ConfigRecord>,
}

/// Cached configuration records by name. A record is only ever replaced by one of a higher revision.
#[derive(Clone, Debug, Default)]
pub struct ConfigView {
    records: BTreeMap<RecordName, RecordEntry>,
    /// Revision up to which every change has been applied.
    complete_revision: u64,
    /// Organisations by the ids of their keys.
    key_owners: BTreeMap<SharedName, SharedName>,
}

impl ConfigView {
    /// Applies a record unless the cached one has the same or a higher revision. Returns true if it was applied.
    pub fn apply(&mut self, entry: RecordEntry) -> bool {
        let is_newer = self.records.get(&entry.name).is_none_or(|old| old.revision < entry.revision);
        if !is_newer {
            return false;
        }
        self.index_keys(&entry);
        self.records.insert(entry.name.clone(), entry);
        true
    }

    /// Records that every change up to `revision` has been applied.
    pub fn revision_completed(&mut self, revision: u64) {
        self.complete_revision = self.complete_revision.max(revision);
    }

    /// Revision up to which every change has been applied.
    #[must_use]
    pub fn complete_revision(&self) -> u64 {
        self.complete_revision
    }

    /// Highest revision of the cached records; 0 if there are none.
    #[must_use]
    pub fn newest_revision(&self) -> u64 {
        self.records.values().map(|entry| entry.revision).max().unwrap_or(0)
    }

    /// Cached records that were written after `revision`.
    #[must_use]
    pub fn entries_since(&self, revision: u64) -> Vec<RecordEntry> {
        self.records.values().filter(|entry| entry.revision > revision).cloned().collect()
    }

    /// The cached record `name`, or `None` if there is none.
    #[must_use]
    pub fn get(&self, name: &RecordName) -> Option<&RecordEntry> {
        self.records.get(name)
    }

    /// All cached records, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = &RecordEntry> {
        self.records.values()
    }

    /// Settings of the whole site, or `None` if they have not been received.
    #[must_use]
    pub fn site(&self) -> Option<&SiteConfig> {
        match &*self.records.get(&RecordName::Site)?.record {
            ConfigRecord::Site(site) => Some(site),
            _ => None,
        }
    }

    /// Settings of the service `name`, or `None` if there is no such service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceConfig> {
        match &*self.records.get(&RecordName::Service(name.into()))?.record {
            ConfigRecord::Service(service) => Some(service),
            _ => None,
        }
    }

    /// Names and settings of all services, sorted by name.
    pub fn services(&self) -> impl Iterator<Item = (&SharedName, &ServiceConfig)> {
        self.records.values().filter_map(|entry| match (&entry.name, &*entry.record) {
            (RecordName::Service(name), ConfigRecord::Service(service)) => Some((name, service)),
            _ => None,
        })
    }

    /// Sorted names of all services.
    #[must_use]
    pub fn service_names(&self) -> Vec<SharedName> {
        self.services().map(|(name, _)| name.clone()).collect()
    }

    /// Settings of the organisation `name`, or `None` if there is no such organisation.
    #[must_use]
    pub fn organisation(&self, name: &str) -> Option<&OrganisationConfig> {
        match &*self.records.get(&RecordName::Organisation(name.into()))?.record {
            ConfigRecord::Organisation(organisation) => Some(organisation),
            _ => None,
        }
    }

    /// Newest published weight version of `service`; 0 if none has been published.
    #[must_use]
    pub fn published_version(&self, service: &str) -> u64 {
        let Some(entry) = self.records.get(&RecordName::Weights(service.into())) else { return 0 };
        match &*entry.record {
            ConfigRecord::Weights(version) => *version,
            _ => 0,
        }
    }

    /// The organisation that `secret` belongs to; `None` if the key is unknown or withdrawn, or the organisation does
    /// not exist.
    #[must_use]
    pub fn authenticate(&self, secret: &KeySecret) -> Option<SharedName> {
        let owner = self.key_owners.get(&secret.id)?;
        self.organisation(owner)?;
        match &*self.records.get(&RecordName::Keys(owner.clone()))?.record {
            ConfigRecord::Keys(keys) if keys.accepts(secret) => Some(owner.clone()),
            _ => None,
        }
    }

    /// Whether the key with the id `id` belongs to `organisation`, is not withdrawn, and the organisation exists.
    #[must_use]
    pub fn is_key_valid(&self, organisation: &str, id: &str) -> bool {
        let Some(entry) = self.records.get(&RecordName::Keys(organisation.into())) else { return false };
        match &*entry.record {
            ConfigRecord::Keys(keys) => {
                self.organisation(organisation).is_some() && keys.keys.get(id).is_some_and(|key| !key.withdrawn)
            }
            _ => false,
        }
    }

    /// Whether an organisation has or had a key with the id `id`, which may be withdrawn.
    #[must_use]
    pub fn has_key(&self, id: &str) -> bool {
        self.key_owners.contains_key(id)
    }

    /// Records the owner of each key in `entry`, if it holds keys.
    fn index_keys(&mut self, entry: &RecordEntry) {
        let (RecordName::Keys(owner), ConfigRecord::Keys(keys)) = (&entry.name, &*entry.record) else { return };
        for id in keys.keys.keys() {
            self.key_owners.insert(id.clone(), owner.clone());
        }
    }
}
