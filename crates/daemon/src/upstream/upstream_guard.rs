//! A request counted on its upstream.

use crate::{log_line::LogLine, shared_state::SharedState};
use actix_rt::net::TcpStream;
use pimentoslip_kernel::UpstreamEntry;
use std::{io, sync::Arc, time::Duration};

const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Ends the count when dropped.
pub struct UpstreamGuard {
    shared: Arc<SharedState>,
    /// The upstream.
    pub entry: UpstreamEntry,
    fingerprint: u64,
    failed: bool,
}

impl UpstreamGuard {
    /// Counts a request with `fingerprint`, already picked, on `entry`.
    #[must_use]
    pub fn new(shared: Arc<SharedState>, entry: UpstreamEntry, fingerprint: u64) -> Self {
        shared.running.begin(&entry.address, fingerprint);
        Self { shared, entry, fingerprint, failed: false }
    }

    /// The upstream could not be reached, refused, or was slow.
    pub fn failed(&mut self) {
        self.failed = true;
    }

    /// The connection was lost while the upstream ran the request. If the upstream has died, what was
    /// in flight on it comes under suspicion.
    pub async fn lost(&mut self) {
        self.failed = true;
        let running = self.shared.running.distinct(&self.entry.address);
        blame_if_dead(&self.shared, &self.entry, &running).await;
    }

    /// As [`lost`](Self::lost), where nothing can wait.
    pub fn lost_later(&mut self) {
        self.failed = true;
        let running = self.shared.running.distinct(&self.entry.address);
        let (shared, entry) = (self.shared.clone(), self.entry.clone());
        actix_rt::spawn(async move { blame_if_dead(&shared, &entry, &running).await });
    }

    /// The upstream ran the request to its end, which clears it of suspicion.
    pub fn ran_clean(&self) {
        self.shared.suspects().ran_clean(self.fingerprint);
    }
}

/// A refused connection shows that the process has ended; anything else shows nothing.
async fn blame_if_dead(shared: &SharedState, entry: &UpstreamEntry, running: &[u64]) {
    let probe = actix_rt::time::timeout(PROBE_TIMEOUT, TcpStream::connect(&*entry.address)).await;
    let dead = matches!(probe, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused);
    LogLine::new("upstream_lost")
        .field("upstream", &entry.name)
        .field("dead", dead)
        .field("running", running.len())
        .warn();
    if dead {
        let now = shared.now();
        shared.suspects().upstream_died(running, now);
    }
}

impl Drop for UpstreamGuard {
    fn drop(&mut self) {
        self.shared.running.end(&self.entry.address, self.fingerprint);
        let now = self.shared.now();
        self.shared.routes().ended(&self.entry.name, self.failed, now);
    }
}
