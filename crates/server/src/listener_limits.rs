//! Numbers of connections that listeners accept.

use crate::client_connection::CONNECTION_BYTES;

/// Descriptors of a process that are left to files.
const FILE_DESCRIPTORS: usize = 200;
/// Fewest connections of a listener.
const CONNECTIONS_MIN: usize = 8;

/// Connections that the listeners of a process accept. The remaining descriptors are left to connections to upstreams, peers and
/// the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenerLimits {
    /// Connections of callers: half of the descriptors, and no more than take half of the budget.
    pub callers: usize,
    /// Connections of peers and operators: an eighth of the descriptors.
    pub control: usize,
    /// Connections of readiness probes, or of clients that read metrics: one in 32 descriptors each.
    pub probes: usize,
}

impl ListenerLimits {
    /// The limits of a process that may open `descriptors_max` descriptors, and whose clients may use `budget_bytes` of memory.
    #[must_use]
    pub fn new(descriptors_max: usize, budget_bytes: usize) -> Self {
        let descriptors = descriptors_max.saturating_sub(FILE_DESCRIPTORS);
        let part = |divisor: usize| (descriptors / divisor).max(CONNECTIONS_MIN);
        let affordable = (budget_bytes / 2 / CONNECTION_BYTES).max(CONNECTIONS_MIN);
        Self { callers: part(2).min(affordable), control: part(8), probes: part(32) }
    }
}
