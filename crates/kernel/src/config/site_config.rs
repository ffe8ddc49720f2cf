//! Settings of a whole site.

use crate::SharedName;
use serde::{Deserialize, Serialize};

/// The `[site]` table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SiteConfig {
    /// Name of the site.
    pub name: SharedName,
    /// Failure domains that upstreams may be ordered in.
    pub failure_domains: Vec<SharedName>,
    /// Versions by which a delivered sample may trail the newest published weights.
    pub staleness_bound: u64,
    /// Minimum spend owed, in hundredths of a currency unit an hour.
    pub spend_floor_cents_per_hour: u64,
    /// Most that may be spent, in hundredths of a currency unit an hour.
    pub spend_ceiling_cents_per_hour: u64,
    /// Length of a billing window in seconds.
    #[serde(default = "default_usage_window_seconds")]
    pub usage_window_seconds: u64,
    /// Whether the ordering interface refuses an old fencing number.
    #[serde(default)]
    pub orders_check_fencing: bool,
    /// Whether the usage interface refuses an old fencing number.
    #[serde(default)]
    pub usage_checks_fencing: bool,
}

fn default_usage_window_seconds() -> u64 {
    300
}
