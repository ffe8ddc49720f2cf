//! Settings of a service.

use crate::SharedName;
use serde::{Deserialize, Serialize};

/// Type of a service's upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines that stream tokens.
    Engine,
    /// Plain HTTP services.
    Plain,
}

/// Settings in a `[services.NAME]` table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceConfig {
    /// Type of the upstreams.
    pub kind: ServiceKind,
    /// Path prefixes that may be called without an API key. Plain services only.
    #[serde(default)]
    pub open_paths: Vec<SharedName>,
    /// Whether POST requests may be sent again after a failure.
    #[serde(default)]
    pub repeatable: bool,
    /// Largest number of concurrent requests from one daemon to one upstream.
    #[serde(default = "default_inflight_per_upstream")]
    pub inflight_per_upstream: u64,
    /// Largest number of requests of one organisation that may wait on one daemon.
    #[serde(default = "default_queue_depth")]
    pub queue_depth: usize,
    /// Timeout of a request in milliseconds. Callers may request a shorter one.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// Desired number of upstreams in each failure domain.
    #[serde(default)]
    pub upstreams_per_domain: u32,
    /// Minimum number of these upstreams that must not be reclaimable.
    #[serde(default)]
    pub standing_per_domain: u32,
    /// Price of an upstream that cannot be reclaimed, in hundredths of a currency unit per hour.
    #[serde(default)]
    pub standing_cents_per_hour: u64,
    /// Price of a reclaimable upstream, in hundredths of a currency unit per hour.
    #[serde(default)]
    pub reclaimable_cents_per_hour: u64,
}

fn default_inflight_per_upstream() -> u64 {
    16
}

fn default_queue_depth() -> usize {
    256
}

fn default_timeout_ms() -> u64 {
    60_000
}
