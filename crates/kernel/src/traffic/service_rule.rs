//! Services that routes send requests to, with their scaling limits.

use crate::{ColdRule, SharedName};
use std::collections::BTreeMap;

/// Limits and prices for the upstreams that may be ordered for a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScalingRule {
    /// Lowest number of upstreams per failure domain, standing and reclaimable ones together.
    pub upstreams_min: u64,
    /// Highest number of upstreams per failure domain, standing and reclaimable ones together.
    pub upstreams_max: u64,
    /// Time in milliseconds from an order until its upstreams are ready.
    pub startup_ms: u64,
    /// Price of a reclaimable upstream, in thousandths of the price of a standing one; `None` if the service has no
    /// reclaimable upstreams.
    pub reclaimable_price: Option<u64>,
    /// Relative price of an upstream in each failure domain in which the service runs, in thousandths.
    pub domain_prices: BTreeMap<SharedName, u64>,
}

impl ScalingRule {
    /// The rule without the failure domains that `is_excluded` names: nothing is ordered there, and the others get their share.
    #[must_use]
    pub fn without_domains(&self, is_excluded: impl Fn(&str) -> bool) -> Self {
        let mut rule = self.clone();
        rule.domain_prices.retain(|failure_domain, _| !is_excluded(failure_domain));
        rule
    }
}

/// Configuration of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRule {
    /// Name of the service.
    pub name: SharedName,
    /// Models whose weights the upstreams load; empty for services without models.
    pub models: Vec<SharedName>,
    /// Limits for the number of upstreams; `None` if no upstreams may be ordered.
    pub scaling: Option<ScalingRule>,
    /// What the upstreams bear while they are cold; `None` if they bear as much as others.
    pub cold: Option<ColdRule>,
}
