//! Counts a request as in flight on its upstream, and detects crashes of the upstream.

use crate::shared_state::SharedState;
use actix_rt::net::TcpStream;
use pimentoslip_kernel::{TimePoint, UpstreamEntry};
use pimentoslip_telemetry::LogLine;
use std::{io, sync::Arc, time::Duration};

/// Timeout of one connection attempt that probes whether an upstream still listens.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Delays before the probes. A process that ends closes its connections shortly before its port, so that a single probe
/// could still find the port open.
const PROBE_DELAYS_MS: [u64; 3] = [0, 50, 100];

/// Counts a request as in flight on its upstream until it is dropped, and records there whether the attempt failed.
pub struct UpstreamGuard {
    shared: Arc<SharedState>,
    /// The upstream's route table entry at the time of the pick.
    pub entry: UpstreamEntry,
    /// Fingerprint of the request.
    fingerprint: u64,
    started_at: TimePoint,
    /// Whether the attempt counts as a failure of the upstream.
    failed: bool,
}

impl UpstreamGuard {
    /// Counts the request with `fingerprint` as in flight on `entry`, which was picked for it.
    #[must_use]
    pub fn new(shared: Arc<SharedState>, entry: UpstreamEntry, fingerprint: u64) -> Self {
        shared.inflight_table.request_started(&entry.address, fingerprint);
        let started_at = shared.now();
        Self { shared, entry, fingerprint, started_at, failed: false }
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
    /// crashed, the requests that were in flight on it are marked as suspects.
    pub async fn connection_lost(&mut self) {
        self.failed = true;
        let fingerprints = self.shared.inflight_table.distinct_fingerprints(&self.entry.address);
        mark_suspects_if_crashed(&self.shared, &self.entry, &fingerprints).await;
    }

    /// Does the same as [`connection_lost`](Self::connection_lost) in a background task, for callers that cannot await.
    pub fn connection_lost_in_background(&mut self) {
        self.failed = true;
        let fingerprints = self.shared.inflight_table.distinct_fingerprints(&self.entry.address);
        let (shared, entry) = (self.shared.clone(), self.entry.clone());
        actix_rt::spawn(async move { mark_suspects_if_crashed(&shared, &entry, &fingerprints).await });
    }

    /// Records that the upstream completed the request, and removes the request's suspect mark.
    pub fn request_completed(&self) {
        self.shared.suspects().clear(self.fingerprint);
        let duration_ms = self.shared.now().since_ms(self.started_at);
        self.shared.routes().duration_observed(&self.entry.name, duration_ms);
    }
}

/// Whether the upstream's address refuses connections, which means that its process has ended.
async fn is_refusing_connections(entry: &UpstreamEntry) -> bool {
    for delay_ms in PROBE_DELAYS_MS {
        actix_rt::time::sleep(Duration::from_millis(delay_ms)).await;
        let probe = actix_rt::time::timeout(PROBE_TIMEOUT, TcpStream::connect(&*entry.address)).await;
        if matches!(probe, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused) {
            return true;
        }
    }
    false
}

/// Probes the upstream and, if it has crashed, marks the requests with `fingerprints` as suspects.
async fn mark_suspects_if_crashed(shared: &SharedState, entry: &UpstreamEntry, fingerprints: &[u64]) {
    let has_crashed = is_refusing_connections(entry).await;
    LogLine::new("upstream_lost")
        .field("upstream", &entry.name)
        .field("dead", has_crashed)
        .field("running", fingerprints.len())
        .warn();
    if has_crashed {
        let now = shared.now();
        shared.routes().connection_refused(&entry.name, now);
        shared.suspects().upstream_crashed(fingerprints, now);
        shared.suspect_added.notify_one();
    }
}

impl Drop for UpstreamGuard {
    fn drop(&mut self) {
        self.shared.inflight_table.request_ended(&self.entry.address, self.fingerprint);
        let now = self.shared.now();
        self.shared.routes().request_ended(&self.entry.name, self.failed, now);
    }
}
