//! Request of a daemon for permits.

use super::{LimitObservation, RequestUrgency};
use crate::{SharedName, TimePoint};

/// Number of permits that a daemon wants for requests of one urgency.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PermitWant {
    /// Urgency of the requests.
    pub urgency: RequestUrgency,
    /// Number of requests.
    pub count: u32,
    /// Time until which the requests can wait for their permits.
    pub useful_until: TimePoint,
}

/// Request for permits of one upstream, sent to its coordinator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PermitAsk {
    /// Id of the upstream.
    pub upstream: SharedName,
    /// Start of the upstream's process, in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
    /// Limit that the sender observed last.
    pub observation: LimitObservation,
    /// Wanted permits, the most urgent first.
    pub wants: Vec<PermitWant>,
}
