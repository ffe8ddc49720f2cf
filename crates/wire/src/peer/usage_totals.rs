//! Cumulative usage counters of one daemon.

use pimentoslip_kernel::{UsageCount, UsageKey, UsageLine};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// One counter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TotalsLine {
    /// Organisation.
    pub organisation: Arc<str>,
    /// Service.
    pub service: Arc<str>,
    /// Requests answered.
    pub requests: u64,
    /// Tokens generated.
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

/// All counters of a daemon incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TotalsResponse {
    /// `NAME/INCARNATION`.
    pub incarnation: Arc<str>,
    /// Counters.
    pub lines: Vec<TotalsLine>,
}
