//! Keeps the table of upstreams up to date with the upstreams listed in the store.

use super::{PrefixHandler, PrefixLog};
use crate::{
    edge_metrics::EdgeMetrics,
    edge_state::EdgeState,
    peer_client::PeerClient,
    suspect::{upstream_delisted, upstream_listed},
};
use pimentoslip_kernel::{ColdPeriod, LapseWindow, SharedName, TimePoint};
use pimentoslip_platform::{
    RangePage, StoreChange, StoreEntry, UPSTREAM_PREFIX, UpstreamRegistration, decode_upstream_record, upstream_id,
};
use pimentoslip_telemetry::LogLine;
use std::{ops::RangeInclusive, sync::Arc};

/// Handler for the keys at which the running upstreams are listed.
#[derive(Debug)]
pub struct UpstreamKeys {
    state: Arc<EdgeState>,
    peer_client: PeerClient,
    /// Revision up to which changes have been applied.
    revision: u64,
}

impl UpstreamKeys {
    /// Creates a handler that updates `state`.
    #[must_use]
    pub fn new(state: Arc<EdgeState>) -> Self {
        Self { state, peer_client: PeerClient::default(), revision: 0 }
    }

    /// Applies the entry of an upstream that is in the snapshot or was written after it.
    fn entry_written(&self, store_entry: &StoreEntry, now: TimePoint) {
        let Some(id) = upstream_id(&store_entry.key) else { return };
        if self.state.upstreams().is_missing(id) {
            count_missing("listed_again");
            LogLine::new("upstream_listed_again").field("upstream", id).field("revision", store_entry.revision).info();
        }
        match decode_upstream_record(id, &store_entry.value) {
            Ok(UpstreamRegistration { record, cold_ms }) => {
                upstream_listed(&self.state, &record);
                let is_new = {
                    let upstreams = self.state.upstreams();
                    upstreams.get(id).is_none_or(|previous| !previous.is_same_process(&record))
                };
                if is_new {
                    self.state.paths().forget(&record.address);
                }
                let mut upstreams = self.state.upstreams();
                let previous = upstreams.get(id);
                if previous.is_none_or(|previous| {
                    previous.state != record.state
                        || previous.address != record.address
                        || previous.software != record.software
                }) {
                    LogLine::new("upstream_listed")
                        .field("upstream", id)
                        .field("service", &record.service)
                        .field("address", &record.address)
                        .field("failure_domain", &record.failure_domain)
                        .field("software", &record.software)
                        .field("state", format!("{:?}", record.state).to_lowercase())
                        .field("revision", store_entry.revision)
                        .info();
                }
                let age_ms = if is_new { self.process_age_ms(record.started_unix_ms) } else { None };
                upstreams.upsert(record);
                if let Some(period) = upstreams.cold_listed(id, cold_ms, age_ms, now) {
                    log_cold(id, period, cold_ms, age_ms, now);
                }
            }
            Err(error) => {
                LogLine::new("upstream_unreadable").field("upstream", id).field("reason", error).warn();
                self.state.upstreams().remove(id);
            }
        }
    }

    /// Age in milliseconds of a process that was not listed before: 0 if it has appeared since the first list, which holds all
    /// older ones. `None` if that list names no start.
    fn process_age_ms(&self, started_unix_ms: u64) -> Option<u64> {
        if self.revision > 0 {
            return Some(0);
        }
        (started_unix_ms > 0).then(|| self.state.unix_ms().saturating_sub(started_unix_ms))
    }

    /// Removes an upstream whose entry was removed from the store at one of `revisions`. One whose entry may have lapsed in an outage of the store is
    /// kept until the entry is overdue.
    fn entry_removed(&self, id: &str, revisions: &RangeInclusive<u64>, now: TimePoint) {
        if self.state.upstreams().is_missing(id) {
            return;
        }
        let relist_deadline = self.state.change_log(Self::PREFIX).and_then(|log| log.relist_deadline(revisions));
        if let Some(deadline) = relist_deadline {
            self.state.upstreams().entry_missing(id, deadline);
            count_missing("missing");
            self.removal_line("upstream_missing", id, *revisions.end(), now)
                .field("kept_ms", deadline.since_ms(now))
                .info();
            return;
        }
        count_missing("delisted_at_once");
        self.removal_line("upstream_delisted", id, *revisions.end(), now).info();
        self.remove(id);
    }

    /// A line on the removal of an entry, which was read at `now`: the revision of the removal, and how old the list of this
    /// daemon may be.
    fn removal_line(&self, event: &'static str, id: &str, revision: u64, now: TimePoint) -> LogLine {
        let current_as_of = self.state.change_log(Self::PREFIX).map_or(TimePoint(0), PrefixLog::current_as_of);
        LogLine::new(event)
            .field("upstream", id)
            .field("revision", revision)
            .field("list_age_ms", now.since_ms(current_as_of))
    }

    /// Removes an upstream that is not listed any more.
    fn remove(&self, id: &str) {
        let removed = self.state.upstreams().remove(id);
        if let Some(record) = removed {
            self.state.paths().forget(&record.address);
        }
        upstream_delisted(&self.state, &self.peer_client, id);
    }
}

/// Logs that an upstream is cold from now on, with what its entry says and whether its process is new.
fn log_cold(id: &str, period: ColdPeriod, listed_ms: u64, age_ms: Option<u64>, now: TimePoint) {
    let reason = if age_ms.is_some() { "started" } else { "listed" };
    EdgeMetrics::increment(&EdgeMetrics::global().cold_upstreams, reason);
    LogLine::new("upstream_cold")
        .field("upstream", id)
        .field("reason", reason)
        .field("limit", period.limit)
        .field("listed_ms", listed_ms)
        .field("left_ms", period.until.since_ms(now))
        .info();
}

/// Counts a change of an upstream whose entry was removed.
fn count_missing(reason: &'static str) {
    EdgeMetrics::increment(&EdgeMetrics::global().removed_upstreams, reason);
}

impl PrefixHandler for UpstreamKeys {
    const PREFIX: &'static str = UPSTREAM_PREFIX;
    const BATCH_DELAY_MS: u64 = 100;

    fn apply_snapshot(&mut self, page: RangePage, now: TimePoint) {
        for store_entry in &page.entries {
            self.entry_written(store_entry, now);
        }
        let is_listed = |id: &str| page.entries.iter().any(|store_entry| upstream_id(&store_entry.key) == Some(id));
        let delisted: Vec<SharedName> =
            self.state.upstreams().records().map(|record| record.id.clone()).filter(|id| !is_listed(id)).collect();
        let revisions = self.revision + 1..=page.revision;
        for id in delisted {
            self.entry_removed(&id, &revisions, now);
        }
        self.revision = page.revision;
        self.state.job_changed.notify_waiters();
        self.state.upstreams_changed.notify_waiters();
        self.state.lines.room_changed();
    }

    fn apply_change(&mut self, change: StoreChange, now: TimePoint) {
        match change {
            StoreChange::Written(store_entry) => {
                self.entry_written(&store_entry, now);
                self.revision = self.revision.max(store_entry.revision);
            }
            StoreChange::Removed { key, revision } => {
                if let Some(id) = upstream_id(&key) {
                    self.entry_removed(id, &(revision..=revision), now);
                }
                self.revision = self.revision.max(revision);
            }
        }
        self.state.job_changed.notify_waiters();
        self.state.upstreams_changed.notify_waiters();
        self.state.lines.room_changed();
    }

    fn after_poll(&mut self, now: TimePoint) {
        if self.state.change_log(Self::PREFIX).is_some_and(PrefixLog::is_unread) {
            // No entry returns before the store.
            self.state.upstreams().keep_missing(LapseWindow::relist_deadline(now));
        }
        let overdue = self.state.upstreams().overdue(now);
        for id in overdue {
            count_missing("delisted_late");
            LogLine::new("upstream_delisted")
                .field("upstream", &id)
                .field("reason", "not listed again after an outage of the store")
                .info();
            self.remove(&id);
        }
    }
}
