//! Keeps the shared state up to date with the store keys through which daemons coordinate.

use super::PrefixHandler;
use crate::{edge_state::EdgeState, suspect::mark_stored};
use pimentoslip_kernel::{DaemonPresence, TimePoint};
use pimentoslip_platform::{RangePage, StoreChange, StoreEntry};
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::{
    decode,
    stored::{DaemonEntry, JobEntry, KeyLayout, PresenceEntry, SoftwareEntry},
};
use std::{collections::BTreeSet, sync::Arc};

/// Handler for the keys of batch jobs, their owners, the daemons' presence, the duty's holder, crash marks, and the
/// versions of the software of services.
#[derive(Debug)]
pub struct CoordinationKeys {
    state: Arc<EdgeState>,
    /// Keys that exist in the store as last observed, to find those that are missing from a later snapshot.
    stored_keys: BTreeSet<String>,
}

impl CoordinationKeys {
    /// Creates a handler that updates `state`.
    #[must_use]
    pub fn new(state: Arc<EdgeState>) -> Self {
        Self { state, stored_keys: BTreeSet::new() }
    }

    /// Applies an entry that is in the snapshot or was written after it.
    fn entry_written(&mut self, store_entry: &StoreEntry, now: TimePoint) {
        self.stored_keys.insert(store_entry.key.clone());
        if let Some((fingerprint, process)) = KeyLayout::parse_crash_key(&store_entry.key) {
            match decode(&store_entry.value) {
                Ok(entry) => mark_stored(&self.state, fingerprint, process, &entry),
                Err(error) => log_unreadable(store_entry, &error),
            }
        } else if let Some((fingerprint, number)) = KeyLayout::parse_trial_key(&store_entry.key) {
            self.state.suspects().trial_known(fingerprint, number, now);
        } else if let Some(service) = KeyLayout::parse_software_key(&store_entry.key) {
            match decode::<SoftwareEntry>(&store_entry.value) {
                Ok(uses) => {
                    self.state.software_history().uses_stored(service, uses.into(), store_entry.revision);
                }
                Err(error) => log_unreadable(store_entry, &error),
            }
        } else if let Some(job) = KeyLayout::parse_job_key(&store_entry.key) {
            match decode::<JobEntry>(&store_entry.value) {
                Ok(entry) => {
                    self.state.jobs().job_accepted(job.into(), entry);
                    let ended = self.state.jobs().is_ended(job);
                    let mut ownership = self.state.ownership();
                    ownership.job_accepted(job.into(), now);
                    if ended {
                        ownership.job_closed(job);
                    }
                }
                Err(error) => log_unreadable(store_entry, &error),
            }
        } else if let Some(job) = KeyLayout::parse_end_key(&store_entry.key) {
            self.state.jobs().job_ended(job);
            self.state.ownership().job_closed(job);
        } else if let Some(daemon) = KeyLayout::parse_presence_key(&store_entry.key) {
            match decode::<PresenceEntry>(&store_entry.value) {
                Ok(entry) => {
                    let PresenceEntry { incarnation, lease, control_address, failure_domain, region, relay_token } =
                        entry;
                    let presence =
                        DaemonPresence { incarnation, lease, control_address, failure_domain, region, relay_token };
                    self.state.ownership().daemon_joined(daemon.into(), presence);
                }
                Err(error) => log_unreadable(store_entry, &error),
            }
        } else {
            match decode::<DaemonEntry>(&store_entry.value) {
                Ok(entry) => self.owner_written(store_entry, entry, now),
                Err(error) => log_unreadable(store_entry, &error),
            }
        }
    }

    /// Applies an entry whose value is the daemon that owns a job or holds the duty.
    fn owner_written(&self, store_entry: &StoreEntry, entry: DaemonEntry, now: TimePoint) {
        if let Some(job) = KeyLayout::parse_owner_key(&store_entry.key) {
            self.state.ownership().owner_recorded(job.into(), entry.into_owner(store_entry.revision), now);
        } else if store_entry.key == KeyLayout::DUTY_HOLDER_KEY {
            LogLine::new("duty_holder")
                .field("holder", &entry.daemon)
                .field("fencing_token", store_entry.revision)
                .info();
            self.state.lease_view().duty_observed(store_entry.revision, entry);
        }
    }

    /// Applies the removal of the entry at `key`, which was observed at `revision`.
    fn entry_removed(&mut self, key: &str, revision: u64, now: TimePoint) {
        self.stored_keys.remove(key);
        if let Some((fingerprint, process)) = KeyLayout::parse_crash_key(key) {
            self.state.suspects().remove(fingerprint, process);
        } else if let Some((fingerprint, number)) = KeyLayout::parse_trial_key(key) {
            self.state.suspects().trial_removed(fingerprint, number);
        } else if let Some(job) = KeyLayout::parse_owner_key(key) {
            self.state.ownership().owner_removed(job, revision, now);
        } else if let Some(daemon) = KeyLayout::parse_presence_key(key) {
            LogLine::new("daemon_left").field("daemon", daemon).info();
            self.state.ownership().daemon_left(daemon, now);
        } else if let Some(job) = KeyLayout::parse_job_key(key) {
            self.state.jobs().job_deleted(job);
            self.state.ownership().job_deleted(job);
        } else if key == KeyLayout::DUTY_HOLDER_KEY {
            self.state.lease_view().duty_removed(revision);
        }
    }
}

/// Logs an entry whose value cannot be decoded; it is otherwise ignored.
fn log_unreadable(store_entry: &StoreEntry, error: &impl std::fmt::Display) {
    LogLine::new("entry_unreadable").field("key", &store_entry.key).field("reason", error).warn();
}

impl PrefixHandler for CoordinationKeys {
    const PREFIX: &'static str = KeyLayout::WATCHED_PREFIX;
    const BATCH_DELAY_MS: u64 = 300;

    fn apply_snapshot(&mut self, page: RangePage, now: TimePoint) {
        let listed_keys: BTreeSet<String> = page.entries.iter().map(|store_entry| store_entry.key.clone()).collect();
        for key in std::mem::take(&mut self.stored_keys) {
            if !listed_keys.contains(&key) {
                self.entry_removed(&key, page.revision, now);
            }
        }
        for store_entry in &page.entries {
            self.entry_written(store_entry, now);
        }
        self.state.job_changed.notify_waiters();
    }

    fn apply_change(&mut self, change: StoreChange, now: TimePoint) {
        match change {
            StoreChange::Written(store_entry) => self.entry_written(&store_entry, now),
            StoreChange::Removed { key, revision } => self.entry_removed(&key, revision, now),
        }
        self.state.job_changed.notify_waiters();
    }
}
