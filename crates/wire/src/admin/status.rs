//! `GET /admin/v1/status`.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// One daemon as seen by the daemon asked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonStatus {
    /// Name.
    pub name: Arc<str>,
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// Standing.
    pub state: String,
    /// Incarnation of its process.
    pub incarnation: u64,
}

/// A duty that the daemon asked takes part in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyStatus {
    /// Duty.
    pub duty: Arc<str>,
    /// "idle", "settling" or "held".
    pub state: String,
    /// Fencing number while held.
    pub fencing: Option<u64>,
}

/// One upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// VM.
    pub name: Arc<str>,
    /// Service.
    pub service: Arc<str>,
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// "live" or "leaving".
    pub state: String,
    /// Whether it may be reclaimed.
    pub reclaimable: bool,
    /// Requests of the daemon asked.
    pub inflight: u64,
    /// Weight version last reported.
    pub version: Option<u64>,
}

/// One step whose home is the daemon asked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepStatus {
    /// `ORGANISATION/TRAINER/STEP`.
    pub step: Arc<str>,
    /// Samples confirmed by the trainer.
    pub confirmed: usize,
    /// Samples waiting for a fetch.
    pub ready: usize,
    /// Attempts running.
    pub running: usize,
    /// Samples in the step.
    pub total: usize,
    /// Tokens generated in vain.
    pub wasted_tokens: u64,
}

/// The daemon asked, as it sees the site.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusResponse {
    /// Daemon.
    pub daemon: Arc<str>,
    /// Highest revision of any record.
    pub revision: u64,
    /// Whether keys are trusted.
    #[serde(rename = "fresh")]
    pub keys_trusted: bool,
    /// Whether it is leaving.
    pub draining: bool,
    /// Daemons.
    pub daemons: Vec<DaemonStatus>,
    /// Duties.
    pub duties: Vec<DutyStatus>,
    /// Upstreams.
    pub upstreams: Vec<UpstreamStatus>,
    /// Steps at home here.
    pub steps: Vec<StepStatus>,
    /// Staleness bound in versions.
    pub staleness_bound: u64,
    /// Newest published version by service.
    pub published: Vec<(Arc<str>, u64)>,
    /// Spend of the listed upstreams, in hundredths of a currency unit an hour.
    pub spend_cents_per_hour: u64,
    /// Committed floor.
    pub floor_cents_per_hour: u64,
    /// Ceiling.
    pub ceiling_cents_per_hour: u64,
}
