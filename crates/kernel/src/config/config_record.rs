//! Configuration as stored in the platform's service, one record an entry.

use super::{KeySet, OrganisationConfig, ServiceConfig, SiteConfig};
use crate::SharedName;
use serde::{Deserialize, Serialize};

/// Name of a record, unique in a site.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "of", content = "name")]
pub enum RecordName {
    /// The site's own settings.
    Site,
    /// A service.
    Service(SharedName),
    /// An organisation.
    Organisation(SharedName),
    /// An organisation's keys.
    Keys(SharedName),
    /// A service's newest published weights.
    Weights(SharedName),
}

impl RecordName {
    /// The record's path below the site's prefix.
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

    /// Parses what [`path`](Self::path) made.
    #[must_use]
    pub fn parse(path: &str) -> Option<Self> {
        if path == "site" {
            return Some(Self::Site);
        }
        let (of, name) = path.split_once('/')?;
        let name = SharedName::from(name);
        match of {
            "service" => Some(Self::Service(name)),
            "organisation" => Some(Self::Organisation(name)),
            "keys" => Some(Self::Keys(name)),
            "weights" => Some(Self::Weights(name)),
            _ => None,
        }
    }
}

/// Content of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigRecord {
    /// The site's own settings.
    Site(SiteConfig),
    /// A service.
    Service(ServiceConfig),
    /// An organisation.
    Organisation(OrganisationConfig),
    /// An organisation's keys.
    Keys(KeySet),
    /// Newest published weight version.
    Weights(u64),
    /// The entry was removed. The record stays, so that removal outlives older copies.
    Removed,
}
