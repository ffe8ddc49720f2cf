//! Rules of routes: which requests match, which services receive them, and their timeouts, priorities and retries.

use super::HomeRegions;
use crate::SharedName;

/// Type of a route, which determines whether a request may be sent to an upstream again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests may be sent any number of times.
    Idempotent,
    /// Requests are sent at most once.
    Once,
    /// The route accepts batch jobs, whose items may be run any number of times.
    Batch(BatchRule),
}

/// Rules for the batch jobs of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchRule {
    /// Time in milliseconds from the first submission of a job until all results are due.
    pub due_ms: u64,
    /// Time in milliseconds from the first submission of a job until its unfinished items are terminated.
    pub retention_ms: u64,
    /// Whether all events of a text must come from the same version of the weights.
    pub single_version: bool,
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: SharedName,
    /// Share of the requests, relative to the weights of the route's other targets.
    pub weight: u32,
}

/// Rules for the requests that match a host and a path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteRule {
    /// Name of the route.
    pub name: SharedName,
    /// Value of the `Host` header that requests must have.
    pub host: SharedName,
    /// Prefix that the path must have; starts and ends with a slash.
    pub path_prefix: SharedName,
    /// Whether requests may be sent to an upstream again.
    pub kind: RouteKind,
    /// Longest time in milliseconds that a caller waits for the response.
    pub timeout_ms: u64,
    /// Target for the latency of requests, in milliseconds.
    pub latency_objective_ms: u64,
    /// Priority of the requests; 0 is the highest.
    pub priority: u32,
    /// Services that receive the requests, at least one.
    pub targets: Vec<RouteTarget>,
    /// Highest number of upstreams that one request may be sent to, the first included.
    pub attempts_max: u32,
    /// Whether responses are streams of events, which a caller may continue after the last event that it received.
    pub is_stream: bool,
    /// Whether requests without a key are accepted.
    pub allows_anonymous: bool,
    /// Regions in which the requests may be served; `None` for any.
    pub homes: Option<HomeRegions>,
}

impl RouteRule {
    /// Service for a request, selected in proportion to the weights by `draw`, a uniformly distributed random number or
    /// hash. `None` if the route has no targets.
    #[must_use]
    pub fn service_for_draw(&self, draw: u64) -> Option<&SharedName> {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut offset = draw.checked_rem(total).unwrap_or(0);
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if offset < weight {
                return Some(&target.service);
            }
            offset -= weight;
        }
        self.targets.first().map(|target| &target.service)
    }

    /// Rules for batch jobs; `None` if the route doesn't accept them.
    #[must_use]
    pub fn batch_rule(&self) -> Option<BatchRule> {
        match self.kind {
            RouteKind::Batch(rule) => Some(rule),
            RouteKind::Idempotent | RouteKind::Once => None,
        }
    }
}
