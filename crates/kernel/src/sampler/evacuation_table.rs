//! Failure domains to whose upstreams operators let nothing be sent.

use crate::SharedName;
use std::collections::BTreeMap;

/// Evacuated failure domains, with the revisions at which operators requested that.
#[derive(Clone, Debug, Default)]
pub struct EvacuationTable {
    domains: BTreeMap<SharedName, u64>,
}

impl EvacuationTable {
    /// Replaces all requests by those of a snapshot.
    pub fn replace_all(&mut self, domains: BTreeMap<SharedName, u64>) {
        self.domains = domains;
    }

    /// Handles a request that was written at `revision`. Returns whether the failure domain was not evacuated before.
    pub fn requested(&mut self, failure_domain: SharedName, revision: u64) -> bool {
        let is_new = !self.contains(&failure_domain);
        let requested = self.domains.entry(failure_domain).or_default();
        *requested = (*requested).max(revision);
        is_new
    }

    /// Handles the withdrawal, at `revision`, of the request for a failure domain. Returns whether it ends an evacuation: one that
    /// was requested again later does not end, as a page of a snapshot may be newer than the changes that follow it.
    pub fn withdrawn(&mut self, failure_domain: &str, revision: u64) -> bool {
        let is_ended = self.domains.get(failure_domain).is_some_and(|requested| *requested < revision);
        if is_ended {
            self.domains.remove(failure_domain);
        }
        is_ended
    }

    /// Whether nothing may be sent to the upstreams of `failure_domain`.
    #[must_use]
    pub fn contains(&self, failure_domain: &str) -> bool {
        self.domains.contains_key(failure_domain)
    }

    /// The evacuated failure domains.
    pub fn domains(&self) -> impl Iterator<Item = &SharedName> {
        self.domains.keys()
    }
}
