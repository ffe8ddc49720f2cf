//! State of a batch job that this daemon owns and runs.

use super::run_failures::RunFailures;
use crate::{edge_state::EdgeState, store::StoreAccess};
use awc::Client;
use bytes::Bytes;
use pimentoslip_kernel::{BatchLedger, HomeRegions, JobPlacement, RouteRule, SharedName, TimePoint};
use pimentoslip_platform::BatchSubmission;
use pimentoslip_wire::stored::JobEntry;
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
};
use tokio::sync::Notify;

/// A job and its clients, shared by the tasks of one thread that run the job.
#[derive(Clone)]
pub struct OwnedJob {
    /// State of the daemon.
    pub state: Arc<EdgeState>,
    /// Client for upstreams.
    pub upstream_client: Client,
    /// Client for the store.
    pub store: StoreAccess,
    /// Id of the job.
    pub id: SharedName,
    /// Organisation that submitted the job; `None` if the route needs no key or the configuration has no organisations.
    pub organisation: Option<SharedName>,
    /// Stored entry of the job.
    pub entry: JobEntry,
    /// Encoded submission, which is handed over to the next owner.
    pub body: Bytes,
    /// Decoded submission.
    pub submission: Arc<BatchSubmission>,
    /// When the job was submitted, on this process's clock.
    pub submitted_at: TimePoint,
    /// Revision of the ownership entry, which fences the writes of the job.
    pub owner_revision: Rc<Cell<u64>>,
    /// Progress of the items, and the results that are not stored yet.
    pub ledger: Rc<RefCell<BatchLedger>>,
    /// Upstreams that have failed unfinished items.
    pub run_failures: Rc<RefCell<RunFailures>>,
    /// When it is logged again that no upstream may run the items.
    pub withheld_report_at: Rc<Cell<TimePoint>>,
    /// Wakes the job's main task after a run or a scoring has ended.
    pub ledger_changed: Rc<Notify>,
}

/// How the owner of a job is chosen: by the name of its route, or its path if it has none, among the daemons that may get its
/// submission.
pub fn job_placement(state: &EdgeState, entry: &JobEntry) -> JobPlacement {
    let config = state.config();
    let rule = config.as_ref().and_then(|config| config.route(&entry.host, &entry.path));
    let homes = config.as_ref().zip(rule).and_then(|(config, rule)| config.homes(rule, Some(&entry.organisation)));
    let key = rule.map_or_else(|| entry.path.clone(), |rule| rule.name.clone());
    JobPlacement { key, homes, accepted_in: entry.region.clone() }
}

impl std::fmt::Debug for OwnedJob {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("OwnedJob").field("id", &self.id).finish_non_exhaustive()
    }
}

impl OwnedJob {
    /// Regions in which the items may be run by the current configuration; `None` for any.
    #[must_use]
    pub fn homes(&self) -> Option<HomeRegions> {
        let config = self.state.config()?;
        config.homes(config.route(&self.entry.host, &self.entry.path)?, self.organisation.as_deref())
    }

    /// The job's route in the current configuration; `None` if it has no such route or there is no configuration yet.
    #[must_use]
    pub fn route(&self) -> Option<Arc<RouteRule>> {
        self.state.config()?.route(&self.entry.host, &self.entry.path).cloned()
    }
}
