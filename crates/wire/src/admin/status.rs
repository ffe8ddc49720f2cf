//! Messages of `GET /admin/v1/status`.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Daemon of the site as the responding daemon sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonStatus {
    /// Name of the daemon.
    pub name: Arc<str>,
    /// Failure domain of the daemon's VM.
    pub failure_domain: Arc<str>,
    /// Liveness of the daemon.
    pub state: String,
    /// Incarnation of the daemon's process.
    pub incarnation: u64,
}

/// Duty for which the responding daemon is a candidate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyStatus {
    /// Name of the duty.
    pub duty: Arc<str>,
    /// State of the daemon's lease for the duty: "idle", "settling" or "held".
    pub state: String,
    /// Fencing number while the lease is held; `None` otherwise.
    pub fencing: Option<u64>,
}

/// Upstream as the responding daemon sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Name of the upstream's VM.
    pub name: Arc<str>,
    /// Service that the upstream runs.
    pub service: Arc<str>,
    /// Failure domain of the upstream's VM.
    pub failure_domain: Arc<str>,
    /// "live" or "leaving".
    pub state: String,
    /// Whether the platform may reclaim the VM at any time.
    pub reclaimable: bool,
    /// Number of requests that the responding daemon has in flight on the upstream.
    pub inflight: u64,
    /// Weight version that the upstream last reported; `None` before its first report.
    pub version: Option<u64>,
}

/// Step that the responding daemon runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepStatus {
    /// Organisation, trainer and number of the step, as `ORGANISATION/TRAINER/STEP`.
    pub step: Arc<str>,
    /// Number of samples whose receipt the trainer confirmed.
    pub confirmed: usize,
    /// Number of finished samples that wait for a fetch.
    pub ready: usize,
    /// Number of running attempts.
    pub running: usize,
    /// Number of samples in the step.
    pub total: usize,
    /// Number of tokens in discarded samples, which were too old or which another attempt had already generated.
    pub wasted_tokens: u64,
}

/// State of the site as the responding daemon sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusResponse {
    /// Name of the responding daemon.
    pub daemon: Arc<str>,
    /// Highest revision of any configuration record.
    pub revision: u64,
    /// Whether the daemon's configuration is recent enough to accept keys.
    #[serde(rename = "fresh")]
    pub keys_trusted: bool,
    /// Whether the daemon is shutting down.
    pub draining: bool,
    /// All daemons of the site that the responding daemon has seen, including itself.
    pub daemons: Vec<DaemonStatus>,
    /// Duties for which the responding daemon is a candidate.
    pub duties: Vec<DutyStatus>,
    /// Upstreams of all services.
    pub upstreams: Vec<UpstreamStatus>,
    /// Steps that the responding daemon runs.
    pub steps: Vec<StepStatus>,
    /// Number of versions by which a delivered sample may trail the newest published weights.
    pub staleness_bound: u64,
    /// Newest published weight version by service.
    pub published: Vec<(Arc<str>, u64)>,
    /// Spend on the listed upstreams, in hundredths of a currency unit per hour.
    pub spend_cents_per_hour: u64,
    /// Minimum spend, which is charged even if it is not used, in hundredths of a currency unit per hour.
    pub floor_cents_per_hour: u64,
    /// Maximum spend, in hundredths of a currency unit per hour.
    pub ceiling_cents_per_hour: u64,
}
