//! Messages of `PUT /v1/usage/SITE/WINDOW`, which bills one usage window.

use pimentoslip_kernel::UsageWindow;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Usage of one organisation and service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReportLine {
    /// Organisation that is billed.
    pub organisation: Arc<str>,
    /// Service that ran the requests.
    pub service: Arc<str>,
    /// Number of answered requests.
    pub requests: u64,
    /// Number of generated tokens.
    pub tokens: u64,
}

/// Usage of all organisations in one window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Name of the site.
    pub site: Arc<str>,
    /// Number of the usage window since the Unix epoch.
    pub window: u64,
    /// Lines, sorted by organisation and service.
    pub lines: Vec<UsageReportLine>,
}

impl UsageReport {
    /// Creates the report of the sealed window `sealed`.
    #[must_use]
    pub fn from_window(site: &Arc<str>, sealed: &UsageWindow) -> Self {
        let lines = sealed
            .lines
            .iter()
            .map(|line| UsageReportLine {
                organisation: line.key.organisation.clone(),
                service: line.key.service.clone(),
                requests: line.count.requests,
                tokens: line.count.tokens,
            })
            .collect();
        Self { site: site.clone(), window: sealed.index, lines }
    }
}
