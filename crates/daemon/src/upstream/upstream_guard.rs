//! Counts a request as in flight on its upstream, and detects crashes of the upstream.

use super::UpstreamRequest;
use crate::shared_state::SharedState;
use pimentoslip_client::is_refusing_connections;
use pimentoslip_kernel::{TimePoint, UpstreamEntry};
use pimentoslip_telemetry::LogLine;
use std::sync::Arc;

/// Counts a request as in flight on its upstream until it is dropped, and records there whether the attempt failed.
pub struct UpstreamGuard {
    shared: Arc<SharedState>,
    /// The upstream's route table entry at the time of the pick.
    pub entry: UpstreamEntry,
    /// Fingerprint under which crashes count against the request; `None` for one that is owed.
    suspect_fingerprint: Option<u64>,
    started_at: TimePoint,
    /// Whether the attempt counts as a failure of the upstream.
    failed: bool,
}

impl UpstreamGuard {
    /// Counts `request` as in flight on `entry`, which was picked for it.
    #[must_use]
    pub fn new(shared: Arc<SharedState>, entry: UpstreamEntry, request: &UpstreamRequest) -> Self {
        let started_at = shared.now();
        Self { shared, entry, suspect_fingerprint: request.suspect_fingerprint(), started_at, failed: false }
    }

    /// Records that the attempt failed: the upstream refused the request, did not respond in time, or returned the
    /// response to another request.
    pub fn attempt_failed(&mut self) {
        self.failed = true;
    }

    /// Records that no connection to the upstream could be opened, so that it is avoided for a while.
    pub fn connect_failed(&mut self) {
        self.failed = true;
        let now = self.shared.now();
        self.shared.routes().connection_refused(&self.entry.name, now);
    }

    /// Records that the connection was lost while the upstream may have been running the request. If the upstream has
    /// crashed, the crash counts against the request, and the peers know of it when this returns, so that a retry by the
    /// caller finds it known at any daemon.
    pub async fn connection_lost(&mut self) {
        self.failed = true;
        let mark_count =
            mark_if_crashed(&self.shared, &self.entry, self.suspect_fingerprint, self.sent_unix_ms()).await;
        if let Some(count) = mark_count {
            self.shared.crash_push.wait_sent(count).await;
        }
    }

    /// Does the same as [`connection_lost`](Self::connection_lost) in a background task, for callers that cannot await.
    pub fn connection_lost_in_background(&mut self) {
        self.failed = true;
        let (shared, entry, fingerprint) = (self.shared.clone(), self.entry.clone(), self.suspect_fingerprint);
        let sent_unix_ms = self.sent_unix_ms();
        actix_rt::spawn(async move { mark_if_crashed(&shared, &entry, fingerprint, sent_unix_ms).await });
    }

    /// When the request was sent, in milliseconds since the Unix epoch.
    fn sent_unix_ms(&self) -> u64 {
        let shared = &self.shared;
        shared.clock.unix_ms().saturating_sub(shared.now().since_ms(self.started_at))
    }

    /// Records that the upstream completed the request, and clears the crashes that counted against it.
    pub fn request_completed(&self) {
        if let Some(fingerprint) = self.suspect_fingerprint {
            let (now, unix_ms) = (self.shared.now(), self.shared.clock.unix_ms());
            let cleared = self.shared.suspects().request_completed(fingerprint, unix_ms, now);
            self.shared.crash_push.add(cleared);
        }
        let duration_ms = self.shared.now().since_ms(self.started_at);
        self.shared.routes().duration_observed(&self.entry.name, duration_ms);
    }
}

/// Probes the upstream and, if it has crashed, counts the crash against the request with `fingerprint`, which was sent to it
/// at `sent_unix_ms`. Returns the number of marks to wait for until the peers know of it; `None` if nothing was marked.
async fn mark_if_crashed(
    shared: &SharedState,
    entry: &UpstreamEntry,
    fingerprint: Option<u64>,
    sent_unix_ms: u64,
) -> Option<u64> {
    let has_crashed = is_refusing_connections(&entry.address).await;
    let now = shared.now();
    let mut crash_count = 0;
    let mut mark = None;
    if has_crashed {
        shared.routes().connection_refused(&entry.name, now);
        if let Some(fingerprint) = fingerprint {
            let mut suspects = shared.suspects();
            mark = suspects.upstream_crashed(fingerprint, &entry.name, Some(sent_unix_ms), now);
            crash_count = suspects.crash_count(fingerprint, now);
        }
    }
    LogLine::new("upstream_lost")
        .field("upstream", &entry.name)
        .field("dead", has_crashed)
        .field(
            "fingerprint",
            fingerprint.map_or_else(|| "none".to_owned(), |fingerprint| format!("{fingerprint:016x}")),
        )
        .field("crashes", crash_count)
        .warn();
    Some(shared.crash_push.add(vec![mark?]))
}

impl Drop for UpstreamGuard {
    fn drop(&mut self) {
        let now = self.shared.now();
        self.shared.routes().request_ended(&self.entry.name, self.failed, now);
    }
}
