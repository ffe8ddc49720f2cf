//! Daemons that may own a batch job.

use crate::{DaemonPresence, HomeRegions, SharedName};

/// Where a batch job is run.
#[derive(Clone, Debug)]
pub struct JobPlacement {
    /// Jobs with the same key are assigned to the same daemon: the name of the route, or the path if the job has no route any
    /// more.
    pub key: SharedName,
    /// Regions in which the items of the job may be run; `None` for any.
    pub homes: Option<HomeRegions>,
    /// Region of the daemon that accepted the job; empty if it is not known.
    pub accepted_in: SharedName,
}

impl JobPlacement {
    /// Whether the daemon `presence` may get the submission of the job, which it needs to own it.
    #[must_use]
    pub fn allows(&self, presence: &DaemonPresence) -> bool {
        let is_home = self.homes.as_ref().is_none_or(|homes| homes.contains(&presence.region));
        is_home || (!self.accepted_in.is_empty() && presence.region == self.accepted_in)
    }
}

impl From<SharedName> for JobPlacement {
    fn from(key: SharedName) -> Self {
        Self { key, homes: None, accepted_in: "".into() }
    }
}
