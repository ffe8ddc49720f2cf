//! Counts a request towards the load of its upstream while it is in flight.

use crate::{buffer_budget::BufferShare, edge_metrics::EdgeMetrics, edge_state::EdgeState};
use pimentoslip_kernel::{RateLimit, SamplerOutcome, SamplerQuery, SamplerRecord, TimePoint};
use pimentoslip_telemetry::LogLine;
use std::sync::Arc;

/// Counts a request as in flight at an upstream; when dropped, records the outcome of the attempt.
#[derive(Debug)]
pub struct UpstreamGuard {
    state: Arc<EdgeState>,
    /// The upstream's record at the time when it was picked.
    pub record: SamplerRecord,
    /// When the upstream was picked.
    pub picked_at: TimePoint,
    outcome: SamplerOutcome,
}

impl UpstreamGuard {
    /// Picks an upstream for `query` and counts the request there. `None` if no upstream has capacity.
    #[must_use]
    pub fn pick(state: &Arc<EdgeState>, query: &SamplerQuery<'_>) -> Option<Self> {
        let now = state.now();
        let (record, wants_permits) = {
            let mut upstreams = state.upstreams();
            (upstreams.pick(query, now), upstreams.wants_permits())
        };
        if wants_permits {
            state.permits_wanted.notify_one();
        }
        let record = record?;
        Some(Self { state: state.clone(), record, picked_at: now, outcome: SamplerOutcome::Abandoned })
    }

    /// Sets the outcome that is recorded on drop. Without it the attempt counts as abandoned, which does not affect the
    /// upstream's availability.
    pub fn set_outcome(&mut self, outcome: SamplerOutcome) {
        self.outcome = outcome;
    }

    /// Whether the list names another process under the upstream's id by now, or one with other software.
    #[must_use]
    pub fn is_replaced(&self) -> bool {
        self.state.upstreams().get(&self.record.id).is_some_and(|record| !record.is_same_process(&self.record))
    }

    /// Whether the upstream has responded to a request of this daemon since it was picked.
    #[must_use]
    pub fn has_responded_since(&self) -> bool {
        self.state.upstreams().responded_at(&self.record.id).is_some_and(|at| at > self.picked_at)
    }

    /// Number of this daemon's requests in progress at the upstream, this one included.
    #[must_use]
    pub fn inflight(&self) -> u64 {
        self.state.upstreams().inflight(&self.record.id)
    }

    /// Memory for the body of the upstream's response.
    #[must_use]
    pub fn buffer_share(&self) -> BufferShare {
        self.state.buffers.share()
    }

    /// Records that the request is being sent.
    pub fn request_sent(&self) {
        self.state.upstreams().request_sent(&self.record.id);
    }

    /// Records the limit that the response to a request which was sent at `sent_at` names; `None` if it names none.
    pub fn limit_reported(&self, limit: Option<RateLimit>, sent_at: TimePoint) {
        let now = self.state.now();
        if !self.state.upstreams().limit_reported(&self.record, limit, sent_at, now) {
            return;
        }
        let (event, reason) = if limit.is_some() { ("limit_named", "named") } else { ("limit_ended", "ended") };
        EdgeMetrics::increment(&EdgeMetrics::global().limit_changes, reason);
        let limit = limit.map_or_else(|| "none".to_owned(), |limit| limit.to_string());
        LogLine::new(event).field("upstream", &self.record.id).field("limit", limit).info();
    }

    /// Records the number of requests that the upstream reported as running and queued.
    pub fn load_reported(&self, requests: u64) {
        self.state.upstreams().load_reported(&self.record.id, requests, self.state.now());
    }
}

impl Drop for UpstreamGuard {
    fn drop(&mut self) {
        let now = self.state.now();
        self.state.upstreams().request_ended(&self.record, self.outcome, now);
    }
}
