//! A request counted on its upstream.

use crate::shared_state::SharedState;
use actix_rt::net::TcpStream;
use pimentoslip_kernel::{TimePoint, UpstreamEntry};
use pimentoslip_telemetry::LogLine;
use std::{io, sync::Arc, time::Duration};

const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// A dying process closes its connections a little before its port, so that one probe may come too early.
const PROBE_PAUSES_MS: [u64; 3] = [0, 50, 100];

/// Ends the count when dropped.
pub struct UpstreamGuard {
    shared: Arc<SharedState>,
    /// The upstream.
    pub entry: UpstreamEntry,
    fingerprint: u64,
    began: TimePoint,
    failed: bool,
}

impl UpstreamGuard {
    /// Counts a request with `fingerprint`, already picked, on `entry`.
    #[must_use]
    pub fn new(shared: Arc<SharedState>, entry: UpstreamEntry, fingerprint: u64) -> Self {
        shared.running_requests.begin(&entry.address, fingerprint);
        let began = shared.now();
        Self { shared, entry, fingerprint, began, failed: false }
    }

    /// The upstream could not be reached, refused, or was slow.
    pub fn failed(&mut self) {
        self.failed = true;
    }

    /// No connection could be opened.
    pub fn unreachable(&mut self) {
        self.failed = true;
        let now = self.shared.now();
        self.shared.routes().connection_refused(&self.entry.name, now);
    }

    /// The connection was lost while the upstream ran the request. If the upstream has died, what was
    /// in flight on it comes under suspicion.
    pub async fn lost(&mut self) {
        self.failed = true;
        let running = self.shared.running_requests.distinct(&self.entry.address);
        blame_if_dead(&self.shared, &self.entry, &running).await;
    }

    /// As [`lost`](Self::lost), where nothing can wait.
    pub fn lost_later(&mut self) {
        self.failed = true;
        let running = self.shared.running_requests.distinct(&self.entry.address);
        let (shared, entry) = (self.shared.clone(), self.entry.clone());
        actix_rt::spawn(async move { blame_if_dead(&shared, &entry, &running).await });
    }

    /// The upstream ran the request to its end, which clears it of suspicion.
    pub fn ran_clean(&self) {
        self.shared.suspects().clear(self.fingerprint);
        let took_ms = self.shared.now().since_ms(self.began);
        self.shared.routes().duration_observed(&self.entry.name, took_ms);
    }
}

/// Whether nothing listens at the upstream's address any more, which shows that its process has ended.
async fn port_refuses(entry: &UpstreamEntry) -> bool {
    for pause_ms in PROBE_PAUSES_MS {
        actix_rt::time::sleep(Duration::from_millis(pause_ms)).await;
        let probe = actix_rt::time::timeout(PROBE_TIMEOUT, TcpStream::connect(&*entry.address)).await;
        if matches!(probe, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused) {
            return true;
        }
    }
    false
}

/// Puts what was running under suspicion if the upstream has died.
async fn blame_if_dead(shared: &SharedState, entry: &UpstreamEntry, running: &[u64]) {
    let dead = port_refuses(entry).await;
    LogLine::new("upstream_lost")
        .field("upstream", &entry.name)
        .field("dead", dead)
        .field("running", running.len())
        .warn();
    if dead {
        let now = shared.now();
        shared.routes().connection_refused(&entry.name, now);
        shared.suspects().upstream_crashed(running, now);
        shared.suspect_added.notify_one();
    }
}

impl Drop for UpstreamGuard {
    fn drop(&mut self) {
        self.shared.running_requests.end(&self.entry.address, self.fingerprint);
        let now = self.shared.now();
        self.shared.routes().request_ended(&self.entry.name, self.failed, now);
    }
}
