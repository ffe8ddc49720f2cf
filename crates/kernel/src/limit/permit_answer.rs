//! Response of a coordinator to a request for permits.

use super::{LimitObservation, RequestUrgency};
use crate::{SharedName, TimePoint};

/// Permission to send one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantedPermit {
    /// Urgency of the request for which it was granted.
    pub urgency: RequestUrgency,
    /// When the request may be sent.
    pub usable_from: TimePoint,
}

/// Permits for one upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PermitAnswer {
    /// Id of the upstream.
    pub upstream: SharedName,
    /// Start of the upstream's process, in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
    /// Newest limit that the coordinator knows.
    pub observation: LimitObservation,
    /// Granted permits.
    pub permits: Vec<GrantedPermit>,
    /// Urgency of the first want that is not met in full, and when there may be permits for it. Less urgent requests
    /// get none before either.
    pub blocked: Option<(RequestUrgency, TimePoint)>,
}
