//! A batch job that this daemon runs.

use crate::{edge_state::EdgeState, store::StoreAccess};
use awc::Client;
use bytes::Bytes;
use pimentoslip_kernel::{BatchLedger, RouteRule, SharedName, TimePoint};
use pimentoslip_platform::BatchSubmission;
use pimentoslip_wire::stored::JobEntry;
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
};
use tokio::sync::Notify;

/// State of the job, shared by the tasks of one thread that work on it.
#[derive(Clone)]
pub struct OwnedJob {
    /// Daemon.
    pub state: Arc<EdgeState>,
    /// Client for upstreams.
    pub upstreams: Client,
    /// Client for the store.
    pub store: StoreAccess,
    /// Job.
    pub id: SharedName,
    /// Organisation; none where the operators use no organisations.
    pub organisation: Option<SharedName>,
    /// Its record.
    pub entry: JobEntry,
    /// The submission's body, for the next owner.
    pub body: Bytes,
    /// What was submitted.
    pub submission: Arc<BatchSubmission>,
    /// When the job was submitted.
    pub submitted_at: TimePoint,
    /// Revision of the ownership record.
    pub owner_revision: Rc<Cell<u64>>,
    /// Items and results.
    pub ledger: Rc<RefCell<BatchLedger>>,
    /// Wakes the job's main task.
    pub changed: Rc<Notify>,
}

impl std::fmt::Debug for OwnedJob {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("OwnedJob").field("id", &self.id).finish_non_exhaustive()
    }
}

impl OwnedJob {
    /// The job's route in the configuration in force.
    #[must_use]
    pub fn route(&self) -> Option<Arc<RouteRule>> {
        self.state.config()?.route(&self.entry.host, &self.entry.path).cloned()
    }
}
