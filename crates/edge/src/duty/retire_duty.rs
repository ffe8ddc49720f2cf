//! Answers requests to empty a VM. No VM holds anything that must last, so each is empty at once.

use crate::{edge_state::EdgeState, store::StoreAccess};
use pimentoslip_kernel::SharedName;
use pimentoslip_platform::{StoreCommit, encode_retired, retire_status_key};
use pimentoslip_telemetry::LogLine;
use std::sync::Arc;

/// Says of each VM that is to be emptied that it is.
pub struct RetireDuty {
    state: Arc<EdgeState>,
    store: StoreAccess,
    said: Vec<SharedName>,
}

impl RetireDuty {
    /// Writes to `store`.
    #[must_use]
    pub fn new(state: Arc<EdgeState>, store: StoreAccess) -> Self {
        Self { state, store, said: Vec::new() }
    }

    /// Answers what was asked since the last round.
    pub async fn tick(&mut self) {
        let asked = self.state.retired_vms().clone();
        self.said.retain(|vm| asked.contains(vm));
        for vm in asked {
            if self.said.contains(&vm) {
                continue;
            }
            let Ok(value) = encode_retired() else { return };
            let commit = StoreCommit::default().put(retire_status_key(&vm), value, 0);
            match self.store.commit(&commit).await {
                Ok(_) => {
                    LogLine::new("vm_emptied").field("vm", &vm).info();
                    self.said.push(vm);
                }
                Err(error) => LogLine::new("vm_not_emptied").field("vm", &vm).field("reason", error).warn(),
            }
        }
    }
}
