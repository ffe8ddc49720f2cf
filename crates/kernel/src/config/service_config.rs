//! Settings of one service.

use crate::SharedName;
use serde::{Deserialize, Serialize};

/// What stands behind a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines that stream tokens.
    Engine,
    /// Plain HTTP services.
    Plain,
}

/// A `[services.NAME]` table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceConfig {
    /// What stands behind it.
    pub kind: ServiceKind,
    /// Path prefixes that need no key.
    #[serde(default)]
    pub open_paths: Vec<SharedName>,
    /// Whether POST requests may be repeated.
    #[serde(default)]
    pub repeatable: bool,
    /// Most requests of one daemon on one upstream.
    #[serde(default = "default_inflight_per_upstream")]
    pub inflight_per_upstream: u64,
    /// Most requests of one organisation waiting in one daemon.
    #[serde(default = "default_queue_depth")]
    pub queue_depth: usize,
    /// Time for a request in milliseconds, unless the caller asks for less.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// Upstreams wanted in each failure domain.
    #[serde(default)]
    pub upstreams_per_domain: u32,
    /// Of these, how many must not be reclaimable.
    #[serde(default)]
    pub standing_per_domain: u32,
    /// Price of an upstream that cannot be reclaimed, in hundredths of a currency unit an hour.
    #[serde(default)]
    pub standing_cents_per_hour: u64,
    /// Price of one that can.
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
