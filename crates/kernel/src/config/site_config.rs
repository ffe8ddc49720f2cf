//! Settings that apply to a whole site.

use crate::SharedName;
use serde::{Deserialize, Serialize};

/// Settings in the `[site]` table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SiteConfig {
    /// Name of the site.
    pub name: SharedName,
    /// Failure domains in which upstreams may be ordered.
    pub failure_domains: Vec<SharedName>,
    /// Largest number of versions by which the weights of a delivered sample may be older than the newest published
    /// ones.
    pub staleness_bound: u64,
    /// Committed minimum spend, in hundredths of a currency unit per hour.
    pub spend_floor_cents_per_hour: u64,
    /// Largest permitted spend, in hundredths of a currency unit per hour.
    pub spend_ceiling_cents_per_hour: u64,
    /// Length of a usage window in seconds, from 1 to 86400.
    #[serde(default = "default_usage_window_seconds")]
    pub usage_window_seconds: u64,
    /// Whether the ordering interface refuses requests with an outdated fencing number.
    #[serde(default)]
    pub orders_check_fencing: bool,
    /// Whether the usage interface refuses requests with an outdated fencing number.
    #[serde(default)]
    pub usage_checks_fencing: bool,
}

fn default_usage_window_seconds() -> u64 {
    300
}
