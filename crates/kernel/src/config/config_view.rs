//! The configuration in force in one daemon.

use super::{ConfigRecord, KeySecret, OrganisationConfig, RecordName, ServiceConfig, SiteConfig};
use crate::SharedName;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, sync::Arc};

/// A record with the revision that wrote it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordEntry {
    /// Name.
    pub name: RecordName,
    /// Revision of the platform's service that wrote it.
    pub revision: u64,
    /// Content.
    pub record: Arc<ConfigRecord>,
}

/// Records by name. Each moves to higher revisions only.
#[derive(Clone, Debug, Default)]
pub struct ConfigView {
    records: BTreeMap<RecordName, RecordEntry>,
    /// Every change up to this revision is held.
    complete: u64,
    key_owners: BTreeMap<SharedName, SharedName>,
}

impl ConfigView {
    /// Applies a record unless a newer one is in force. True when it changed something.
    pub fn apply(&mut self, entry: RecordEntry) -> bool {
        let newer = self.records.get(&entry.name).is_none_or(|old| old.revision < entry.revision);
        if !newer {
            return false;
        }
        self.index_keys(&entry);
        self.records.insert(entry.name.clone(), entry);
        true
    }

    /// Everything up to `revision` has been applied.
    pub fn revision_completed(&mut self, revision: u64) {
        self.complete = self.complete.max(revision);
    }

    /// Revision up to which nothing is missing.
    #[must_use]
    pub fn complete_revision(&self) -> u64 {
        self.complete
    }

    /// Highest revision of any held record.
    #[must_use]
    pub fn newest_revision(&self) -> u64 {
        self.records.values().map(|entry| entry.revision).max().unwrap_or(0)
    }

    /// Records newer than `revision`.
    #[must_use]
    pub fn entries_since(&self, revision: u64) -> Vec<RecordEntry> {
        self.records.values().filter(|entry| entry.revision > revision).cloned().collect()
    }

    /// The entry called `name`.
    #[must_use]
    pub fn get(&self, name: &RecordName) -> Option<&RecordEntry> {
        self.records.get(name)
    }

    /// All entries, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = &RecordEntry> {
        self.records.values()
    }

    /// The site's settings.
    #[must_use]
    pub fn site(&self) -> Option<&SiteConfig> {
        match &*self.records.get(&RecordName::Site)?.record {
            ConfigRecord::Site(site) => Some(site),
            _ => None,
        }
    }

    /// Settings of a service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceConfig> {
        match &*self.records.get(&RecordName::Service(name.into()))?.record {
            ConfigRecord::Service(service) => Some(service),
            _ => None,
        }
    }

    /// All services with their settings, sorted by name.
    pub fn services(&self) -> impl Iterator<Item = (&SharedName, &ServiceConfig)> {
        self.records.values().filter_map(|entry| match (&entry.name, &*entry.record) {
            (RecordName::Service(name), ConfigRecord::Service(service)) => Some((name, service)),
            _ => None,
        })
    }

    /// Names of all services.
    #[must_use]
    pub fn service_names(&self) -> Vec<SharedName> {
        self.services().map(|(name, _)| name.clone()).collect()
    }

    /// Settings of an organisation.
    #[must_use]
    pub fn organisation(&self, name: &str) -> Option<&OrganisationConfig> {
        match &*self.records.get(&RecordName::Organisation(name.into()))?.record {
            ConfigRecord::Organisation(organisation) => Some(organisation),
            _ => None,
        }
    }

    /// Newest published weight version of a service, zero before the first.
    #[must_use]
    pub fn published_version(&self, service: &str) -> u64 {
        let Some(entry) = self.records.get(&RecordName::Weights(service.into())) else { return 0 };
        match &*entry.record {
            ConfigRecord::Weights(version) => *version,
            _ => 0,
        }
    }

    /// The organisation that `secret` belongs to, if the key holds.
    #[must_use]
    pub fn authenticate(&self, secret: &KeySecret) -> Option<SharedName> {
        let owner = self.key_owners.get(&secret.id)?;
        self.organisation(owner)?;
        match &*self.records.get(&RecordName::Keys(owner.clone()))?.record {
            ConfigRecord::Keys(keys) if keys.accepts(secret) => Some(owner.clone()),
            _ => None,
        }
    }

    /// Whether the key called `id` still holds for `organisation`.
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

    /// Whether `id` names a key of any organisation.
    #[must_use]
    pub fn has_key(&self, id: &str) -> bool {
        self.key_owners.contains_key(id)
    }

    fn index_keys(&mut self, entry: &RecordEntry) {
        let (RecordName::Keys(owner), ConfigRecord::Keys(keys)) = (&entry.name, &*entry.record) else { return };
        for id in keys.keys.keys() {
            self.key_owners.insert(id.clone(), owner.clone());
        }
    }
}
