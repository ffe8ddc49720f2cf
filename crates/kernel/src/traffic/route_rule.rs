//! Routes: which requests go to which service, and under which terms.

use crate::SharedName;

/// How often requests of a route may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Any number of times.
    Idempotent,
    /// Once at most.
    Once,
    /// Carries batch jobs, whose items may be repeated.
    Batch(BatchRule),
}

/// Terms of the batch jobs of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchRule {
    /// All results are due this many milliseconds after the first submission.
    pub due_ms: u64,
    /// An item may be given up this many milliseconds after the first submission.
    pub retention_ms: u64,
    /// Whether all events of a text must come from one version of the weights.
    pub single_version: bool,
}

/// A service and its share of a route's traffic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteTarget {
    /// Service.
    pub service: SharedName,
    /// Share relative to the route's other targets.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteRule {
    /// Name.
    pub name: SharedName,
    /// Value of the `Host` header.
    pub host: SharedName,
    /// Beginning of the path, with a slash at both ends.
    pub path_prefix: SharedName,
    /// How often requests may be sent.
    pub kind: RouteKind,
    /// Longest time in milliseconds that a caller is kept waiting.
    pub timeout_ms: u64,
    /// Latency objective in milliseconds.
    pub latency_objective_ms: u64,
    /// Rank, 0 first.
    pub priority: u32,
    /// Services, at least one.
    pub targets: Vec<RouteTarget>,
    /// Upstreams that one request may be sent to.
    pub attempts_max: u32,
    /// Whether callers need no key.
    pub allows_anonymous: bool,
}

impl RouteRule {
    /// The service for a request, by weight; `draw` is any evenly spread number.
    #[must_use]
    pub fn service_for_draw(&self, draw: u64) -> Option<&SharedName> {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut left = draw.checked_rem(total).unwrap_or(0);
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if left < weight {
                return Some(&target.service);
            }
            left -= weight;
        }
        self.targets.first().map(|target| &target.service)
    }

    /// Terms of batch jobs, if the route carries them.
    #[must_use]
    pub fn batch_rule(&self) -> Option<BatchRule> {
        match self.kind {
            RouteKind::Batch(rule) => Some(rule),
            RouteKind::Idempotent | RouteKind::Once => None,
        }
    }
}
