//! Lets requests of each service run in fair order.

use crate::shared_state::SharedState;
use pimentoslip_kernel::{FairQueue, QueueTicket, SharedName};
use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
};
use tokio::sync::oneshot;

#[derive(Debug, Default)]
struct ServiceGate {
    queue: FairQueue,
    waiting: HashMap<QueueTicket, oneshot::Sender<()>>,
}

/// One fair queue a service.
#[derive(Debug, Default)]
pub struct AdmissionGate {
    services: Mutex<HashMap<SharedName, ServiceGate>>,
}

/// Who wants to run what.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Organisation.
    pub organisation: SharedName,
    /// Its weight.
    pub weight: u64,
    /// Service.
    pub service: SharedName,
    /// Expected tokens.
    pub tokens: u64,
    /// Most requests of the organisation that may wait.
    pub depth_max: usize,
    /// Most requests of one daemon on one upstream.
    pub inflight_max: u64,
}

impl AdmissionGate {
    fn with<R>(&self, service: &SharedName, act: impl FnOnce(&mut ServiceGate) -> R) -> R {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        act(services.entry(service.clone()).or_default())
    }

    /// Admits as many waiting requests as `running_max` allows.
    pub fn pump(&self, service: &SharedName, running_max: usize) {
        self.with(service, |gate| {
            while let Some(ticket) = gate.queue.admit(running_max) {
                let admitted = gate.waiting.remove(&ticket).is_some_and(|sender| sender.send(()).is_ok());
                if !admitted {
                    gate.queue.release();
                }
            }
        });
    }

    /// Waits for the request's turn. None when its organisation's queue is full.
    pub async fn enter(shared: &Arc<SharedState>, request: AdmissionRequest) -> Option<AdmissionGuard> {
        let (sender, receiver) = oneshot::channel();
        let ticket = shared.admission_gate.with(&request.service, |gate| {
            let ticket =
                gate.queue.enqueue(&request.organisation, request.weight, request.tokens, request.depth_max)?;
            gate.waiting.insert(ticket, sender);
            Some(ticket)
        })?;
        let guard = AdmissionGuard { shared: shared.clone(), request, ticket };
        guard.pump();
        // The sender is dropped only together with the gate.
        let _ = receiver.await;
        Some(guard)
    }
}

/// A place in the queue, and then among the running requests.
pub struct AdmissionGuard {
    shared: Arc<SharedState>,
    request: AdmissionRequest,
    ticket: QueueTicket,
}

impl AdmissionGuard {
    /// Corrects the organisation's account by the true number of tokens.
    pub fn settle(&self, tokens: u64) {
        let request = &self.request;
        self.shared.admission_gate.with(&request.service, |gate| {
            gate.queue.adjust_cost(&request.organisation, request.weight, request.tokens, tokens);
        });
    }

    fn pump(&self) {
        let running_max = self.shared.routes().capacity(&self.request.service, self.request.inflight_max);
        self.shared.admission_gate.pump(&self.request.service, running_max);
    }
}

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        self.shared.admission_gate.with(&self.request.service, |gate| {
            let waiting = gate.waiting.remove(&self.ticket).is_some();
            if waiting {
                gate.queue.cancel(self.ticket);
            } else {
                gate.queue.release();
            }
        });
        self.pump();
    }
}
