//! Confirms requests of operators to retire a VM. No VM holds anything that must persist, so each request is confirmed
//! at once.

use crate::{edge_state::EdgeState, store::StoreAccess};
use pimentoslip_kernel::SharedName;
use pimentoslip_platform::{StoreCommit, encode_retire_status, retire_status_key};
use pimentoslip_telemetry::LogLine;
use std::sync::Arc;

/// Writes to the store, for each VM to be retired, that nothing is left on it.
pub struct RetireDuty {
    state: Arc<EdgeState>,
    store: StoreAccess,
    /// VMs whose status was written.
    confirmed: Vec<SharedName>,
}

impl RetireDuty {
    /// Creates the retire duty, which writes to `store`.
    #[must_use]
    pub fn new(state: Arc<EdgeState>, store: StoreAccess) -> Self {
        Self { state, store, confirmed: Vec::new() }
    }

    /// Confirms the requests that were received since the last pass.
    pub async fn tick(&mut self) {
        let retired_vms = self.state.retired_vms().clone();
        self.confirmed.retain(|vm| retired_vms.contains(vm));
        for vm in retired_vms {
            if self.confirmed.contains(&vm) {
                continue;
            }
            let Ok(value) = encode_retire_status() else { return };
            let commit = StoreCommit::default().put(retire_status_key(&vm), value, 0);
            match self.store.commit(&commit).await {
                Ok(_) => {
                    LogLine::new("vm_emptied").field("vm", &vm).info();
                    self.confirmed.push(vm);
                }
                Err(error) => LogLine::new("vm_status_write_failed").field("vm", &vm).field("reason", error).warn(),
            }
        }
    }
}
