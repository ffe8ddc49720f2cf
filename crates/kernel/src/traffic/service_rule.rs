//! Services behind routes.

use crate::SharedName;
use std::collections::BTreeMap;

/// How many upstreams of a service may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScalingRule {
    /// Fewest in a failure domain, of both kinds together.
    pub upstreams_min: u64,
    /// Most in a failure domain, of both kinds together.
    pub upstreams_max: u64,
    /// Time in milliseconds from an order until its upstreams serve.
    pub startup_ms: u64,
    /// Price of a reclaimable upstream, in thousandths of that of a standing one; none if there are none.
    pub reclaimable_price: Option<u64>,
    /// Price of an upstream in each failure domain in which the service runs, in thousandths.
    pub domain_prices: BTreeMap<SharedName, u64>,
}

/// One service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRule {
    /// Name.
    pub name: SharedName,
    /// Models whose weights its upstreams hold; empty for plain services.
    pub models: Vec<SharedName>,
    /// Bounds of its size, if upstreams may be ordered.
    pub scaling: Option<ScalingRule>,
}
