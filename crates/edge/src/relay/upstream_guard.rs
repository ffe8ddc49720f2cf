//! Counts a request on its upstream.

use crate::edge_state::EdgeState;
use pimentoslip_kernel::{SamplerOutcome, SamplerQuery, SamplerRecord};
use std::sync::Arc;

/// Keeps a request counted on an upstream until the guard is closed or dropped.
#[derive(Debug)]
pub struct UpstreamGuard {
    state: Arc<EdgeState>,
    /// The upstream.
    pub record: SamplerRecord,
    outcome: SamplerOutcome,
}

impl UpstreamGuard {
    /// Chooses an upstream for `query`.
    #[must_use]
    pub fn pick(state: &Arc<EdgeState>, query: &SamplerQuery<'_>) -> Option<Self> {
        let record = state.upstreams().pick(query, state.now())?;
        Some(Self { state: state.clone(), record, outcome: SamplerOutcome::Abandoned })
    }

    /// Sets how the attempt ended; without this nothing is learned from it.
    pub fn set_outcome(&mut self, outcome: SamplerOutcome) {
        self.outcome = outcome;
    }

    /// The upstream reported its load.
    pub fn load_reported(&self, requests: u64) {
        self.state.upstreams().load_reported(&self.record.id, requests, self.state.now());
    }
}

impl Drop for UpstreamGuard {
    fn drop(&mut self) {
        let now = self.state.now();
        self.state.upstreams().request_ended(&self.record.id, self.outcome, now);
    }
}
