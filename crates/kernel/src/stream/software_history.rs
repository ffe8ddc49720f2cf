//! Versions of the software with which the upstreams of each service have served.

use super::STREAM_TTL_MS;
use crate::{SharedName, TimePoint};
use std::collections::{BTreeMap, BTreeSet};

/// Time for which no upstream with a version must be listed until the version counts as left. Entries of upstreams may be
/// missing for some seconds after an outage of the store.
const ABSENT_MS: u64 = 5_000;
/// Additional delay of an update for each daemon that precedes this one, so that one of them writes it.
const UPDATE_DELAY_MS: u64 = 400;

/// A version of the software of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SoftwareUse {
    /// The version.
    pub software: SharedName,
    /// When the last upstream with it left, in milliseconds since the Unix epoch; `None` while one serves.
    pub left_unix_ms: Option<u64>,
}

/// Change of a service's versions that is to be stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HistoryUpdate {
    /// All versions after the change.
    pub uses: Vec<SoftwareUse>,
    /// Revision of the stored versions that it replaces; 0 if there are none.
    pub replaced_revision: u64,
}

/// Versions of one service.
#[derive(Clone, Debug, Default)]
struct ServiceEntry {
    uses: Vec<SoftwareUse>,
    /// Revision at which they were stored; 0 if they are not.
    revision: u64,
    /// Since when no upstream with a version is listed.
    absent_since: BTreeMap<SharedName, TimePoint>,
    /// Since when an update is due.
    due_since: Option<TimePoint>,
}

/// Versions of all services, as stored. While one version alone has served for as long as streams live, it is the origin
/// of every stream.
#[derive(Debug, Default)]
pub struct SoftwareHistory {
    services: BTreeMap<SharedName, ServiceEntry>,
}

impl SoftwareHistory {
    /// Applies the stored versions of a service, unless newer ones are known.
    pub fn uses_stored(&mut self, service: &str, uses: Vec<SoftwareUse>, revision: u64) {
        let entry = self.services.entry(service.into()).or_default();
        if entry.revision >= revision {
            return;
        }
        entry.revision = revision;
        entry.uses = uses;
        entry.due_since = None;
    }

    /// The only version that can have started the streams that may still be resumed. `None` if there were several, or
    /// nothing is stored. Certain only right after the store was read.
    #[must_use]
    pub fn sole_software(&self, service: &str, unix_ms: u64) -> Option<SharedName> {
        let is_recent = |software_use: &&SoftwareUse| {
            software_use.left_unix_ms.is_none_or(|left| unix_ms.saturating_sub(left) < STREAM_TTL_MS)
        };
        let mut recent = self.services.get(service)?.uses.iter().filter(is_recent);
        let (sole, other) = (recent.next()?, recent.next());
        other.is_none().then(|| sole.software.clone())
    }

    /// Whether the version is stored as one that serves, so that no daemon that reads the store takes another one for the
    /// only one. Resumable streams start only at such versions.
    #[must_use]
    pub fn is_in_service(&self, service: &str, software: &str) -> bool {
        let uses = self.services.get(service).into_iter().flat_map(|entry| &entry.uses);
        let serves =
            |software_use: &SoftwareUse| software_use.left_unix_ms.is_none() && *software_use.software == *software;
        uses.into_iter().any(serves)
    }

    /// The change that this daemon should store now; `None` if there is none, or daemons that precede this one have time
    /// to store it. `listed` holds the versions of the listed upstreams.
    pub fn due_update(
        &mut self,
        service: &SharedName,
        listed: &BTreeSet<SharedName>,
        own_rank: usize,
        now: TimePoint,
        unix_ms: u64,
    ) -> Option<HistoryUpdate> {
        let entry = self.services.entry(service.clone()).or_default();
        entry.absent_since.retain(|software, _| !listed.contains(software));
        let mut uses = entry.uses.clone();
        for software_use in &mut uses {
            if listed.contains(&software_use.software) {
                software_use.left_unix_ms = None;
            } else if software_use.left_unix_ms.is_none() {
                let absent_since = *entry.absent_since.entry(software_use.software.clone()).or_insert(now);
                software_use.left_unix_ms = (now.since_ms(absent_since) >= ABSENT_MS).then_some(unix_ms);
            }
        }
        let is_missing = |software: &&SharedName| uses.iter().all(|software_use| software_use.software != **software);
        let missing: Vec<SoftwareUse> = listed
            .iter()
            .filter(is_missing)
            .map(|software| SoftwareUse { software: software.clone(), left_unix_ms: None })
            .collect();
        uses.extend(missing);
        if uses == entry.uses {
            entry.due_since = None;
            return None;
        }
        let due_since = *entry.due_since.get_or_insert(now);
        if now.since_ms(due_since) < own_rank as u64 * UPDATE_DELAY_MS {
            return None;
        }
        // Streams that a version started long ago are not resumed any more.
        uses.retain(|software_use| {
            software_use.left_unix_ms.is_none_or(|left| unix_ms.saturating_sub(left) < 2 * STREAM_TTL_MS)
        });
        Some(HistoryUpdate { uses, replaced_revision: entry.revision })
    }
}
