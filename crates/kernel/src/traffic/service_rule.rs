//! Services behind routes.

use crate::SharedName;
use std::collections::BTreeMap;

/// Bounds on the number of a service's upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct ScalingRule {
    /// Fewest in each failure domain.
    pub min: u32,
    /// Most in each failure domain.
    pub max: u32,
    /// Price of an upstream's second by failure domain.
    pub domain_prices: BTreeMap<SharedName, f64>,
    /// Price of the reclaimable kind relative to the standing kind.
    pub reclaimable_price: f64,
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// Name.
    pub name: SharedName,
    /// Models whose weights its upstreams hold; empty for plain services.
    pub models: Vec<SharedName>,
    /// Bounds on its size, if upstreams may be ordered.
    pub scaling: Option<ScalingRule>,
}
