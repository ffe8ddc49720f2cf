//! Limits the number of running requests of each service, and admits waiting requests in fair order.

use crate::shared_state::SharedState;
use pimentoslip_kernel::{FairQueue, QueueTicket, SharedName};
use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
};
use tokio::sync::oneshot;

/// Fair queue of one service.
#[derive(Debug, Default)]
struct ServiceQueue {
    queue: FairQueue,
    /// Channels that notify the waiting requests of their admission, by ticket.
    waiting: HashMap<QueueTicket, oneshot::Sender<()>>,
}

/// Fair queues of the requests that wait or run, one for each service.
#[derive(Debug, Default)]
pub struct AdmissionController {
    queues: Mutex<HashMap<SharedName, ServiceQueue>>,
}

/// A request to admit, with its expected cost and the limits that apply to it.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Organisation of the caller.
    pub organisation: SharedName,
    /// Weight of the organisation in the fair queue.
    pub weight: u64,
    /// Name of the service.
    pub service: SharedName,
    /// Expected number of generated tokens, which is charged to the organisation until the actual number is recorded.
    pub expected_tokens: u64,
    /// Maximum number of waiting requests of the organisation.
    pub depth_max: usize,
    /// Maximum number of requests that this daemon may have in flight on one upstream.
    pub inflight_max: u64,
}

impl AdmissionController {
    /// Calls `act` with the queue of `service` while holding the lock.
    fn with_queue<R>(&self, service: &SharedName, act: impl FnOnce(&mut ServiceQueue) -> R) -> R {
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        act(queues.entry(service.clone()).or_default())
    }

    /// Admits waiting requests of `service` until `running_max` requests are running.
    pub fn admit_waiting(&self, service: &SharedName, running_max: usize) {
        self.with_queue(service, |service_queue| {
            while let Some(ticket) = service_queue.queue.admit(running_max) {
                let Some(sender) = service_queue.waiting.remove(&ticket) else { continue };
                // A request that has just stopped waiting frees its place when its guard is dropped.
                let _ = sender.send(());
            }
        });
    }

    /// Waits until the request is admitted. Returns `None` if too many requests of its organisation are waiting. If the
    /// future is dropped, the request leaves the queue.
    pub async fn wait_for_admission(shared: &Arc<SharedState>, request: AdmissionRequest) -> Option<AdmissionGuard> {
        let (sender, receiver) = oneshot::channel();
        let ticket = shared.admission_controller.with_queue(&request.service, |service_queue| {
            let ticket = service_queue.queue.enqueue(
                &request.organisation,
                request.weight,
                request.expected_tokens,
                request.depth_max,
            )?;
            service_queue.waiting.insert(ticket, sender);
            Some(ticket)
        })?;
        let guard = AdmissionGuard { shared: shared.clone(), request, ticket };
        guard.admit_waiting();
        // The sender is only dropped without sending together with the controller, which `shared` keeps alive.
        let _ = receiver.await;
        Some(guard)
    }
}

/// A place in the service's queue and, after the admission, among its running requests. Dropping it frees the place.
pub struct AdmissionGuard {
    shared: Arc<SharedState>,
    request: AdmissionRequest,
    ticket: QueueTicket,
}

impl AdmissionGuard {
    /// Replaces the expected cost that was charged to the organisation by the actual number of `tokens`.
    pub fn record_actual_tokens(&self, tokens: u64) {
        let request = &self.request;
        self.shared.admission_controller.with_queue(&request.service, |service_queue| {
            service_queue.queue.adjust_cost(&request.organisation, request.weight, request.expected_tokens, tokens);
        });
    }

    /// Admits as many waiting requests as the service's upstreams have capacity for.
    fn admit_waiting(&self) {
        let running_max = self.shared.routes().capacity(&self.request.service, self.request.inflight_max);
        self.shared.admission_controller.admit_waiting(&self.request.service, running_max);
    }
}

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        self.shared.admission_controller.with_queue(&self.request.service, |service_queue| {
            let is_waiting = service_queue.waiting.remove(&self.ticket).is_some();
            if is_waiting {
                service_queue.queue.cancel(self.ticket);
            } else {
                service_queue.queue.release();
            }
        });
        self.admit_waiting();
    }
}
