//! `PUT /v1/usage/SITE/WINDOW`: bills one window.

use pimentoslip_kernel::UsageWindow;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// One billed line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReportLine {
    /// Organisation.
    pub organisation: Arc<str>,
    /// Service.
    pub service: Arc<str>,
    /// Requests answered.
    pub requests: u64,
    /// Tokens generated.
    pub tokens: u64,
}

/// The figures of one window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Site.
    pub site: Arc<str>,
    /// Number of the window since the Unix epoch.
    pub window: u64,
    /// Lines sorted by organisation and service.
    pub lines: Vec<UsageReportLine>,
}

impl UsageReport {
    /// The report of a sealed window.
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
