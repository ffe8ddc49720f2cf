//! Cumulative usage counters of one daemon.

use pimentoslip_kernel::{UsageCount, UsageKey, UsageLine};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Counter of one organisation and service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TotalsLine {
    /// Organisation that sent the requests.
    pub organisation: Arc<str>,
    /// Service that ran the requests.
    pub service: Arc<str>,
    /// Number of answered requests.
    pub requests: u64,
    /// Number of generated tokens.
    pub tokens: u64,
}

impl From<(UsageKey, UsageCount)> for TotalsLine {
    fn from((key, count): (UsageKey, UsageCount)) -> Self {
        Self { organisation: key.organisation, service: key.service, requests: count.requests, tokens: count.tokens }
    }
}

impl From<TotalsLine> for UsageLine {
    fn from(line: TotalsLine) -> Self {
        let key = UsageKey { organisation: line.organisation, service: line.service };
        Self { key, count: UsageCount { requests: line.requests, tokens: line.tokens } }
    }
}

/// All counters of one process of a daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TotalsResponse {
    /// `NAME/INCARNATION` of the process.
    pub incarnation: Arc<str>,
    /// Counters by organisation and service.
    pub lines: Vec<TotalsLine>,
}
