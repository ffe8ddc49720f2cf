//! Configuration records as stored in the platform's key-value service, one entry for each record.

use super::{KeySet, OrganisationConfig, ServiceConfig, SiteConfig};
use crate::SharedName;
use serde::{Deserialize, Serialize};

/// Name of a configuration record, unique in a site.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "of", content = "name")]
pub enum RecordName {
    /// Settings of the whole site.
    Site,
    /// Settings of the named service.
    Service(SharedName),
    /// Settings of the named organisation.
    Organisation(SharedName),
    /// API keys of the named organisation.
    Keys(SharedName),
    /// Newest published weight version of the named service.
    Weights(SharedName),
}

impl RecordName {
    /// Key of the record's entry, relative to the site's prefix.
    #[must_use]
    pub fn path(&self) -> String {
        match self {
            Self::Site => "site".to_owned(),
            Self::Service(name) => format!("service/{name}"),
            Self::Organisation(name) => format!("organisation/{name}"),
            Self::Keys(name) => format!("keys/{name}"),
            Self::Weights(name) => format!("weights/{name}"),
        }
    }

    /// Parses the result of [`path`](Self::path); `None` if it is not the path of a record.
    #[must_use]
    pub fn parse(path: &str) -> Option<Self> {
        if path == "site" {
            return Some(Self::Site);
        }
        let (record_type, name) = path.split_once('/')?;
        let name = SharedName::from(name);
        match record_type {
            "service" => Some(Self::Service(name)),
            "organisation" => Some(Self::Organisation(name)),
            "keys" => Some(Self::Keys(name)),
            "weights" => Some(Self::Weights(name)),
            _ => None,
        }
    }
}

/// Content of a configuration record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigRecord {
    /// Settings of the whole site.
    Site(SiteConfig),
    /// Settings of a service.
    Service(ServiceConfig),
    /// Settings of an organisation.
    Organisation(OrganisationConfig),
    /// API keys of an organisation.
    Keys(KeySet),
    /// Newest published weight version of a service.
    Weights(u64),
    /// Marks a removed record. The mark stays stored, so that it supersedes older copies of the record on daemons.
    Removed,
}
