//! Limits the number of running requests of each service, and admits waiting requests in fair order.

use crate::shared_state::SharedState;
use pimentoslip_kernel::{
    LineBounds, LineRefusal, LineRequest, QueueTicket, RequestUrgency, RoomOutlook, SharedName, TimePoint, WaitingLine,
};
use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
};
use tokio::sync::oneshot;

/// The depth of the queue of each organisation and the limits of bodies bound the lines.
const BOUNDS: LineBounds = LineBounds { length_max: usize::MAX, bytes_max: usize::MAX };

/// Waiting line of one service.
#[derive(Debug)]
struct ServiceQueue {
    line: WaitingLine,
    /// Number of admitted requests that have not ended.
    running: usize,
    /// Channels that notify the waiting requests of their admission, by ticket.
    waiting: HashMap<QueueTicket, oneshot::Sender<()>>,
}

impl Default for ServiceQueue {
    fn default() -> Self {
        Self { line: WaitingLine::new(BOUNDS), running: 0, waiting: HashMap::new() }
    }
}

/// Lines of the requests that wait, and the numbers of those that run, for each service.
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
    /// When the caller stops waiting.
    pub deadline: TimePoint,
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
            while service_queue.running < running_max {
                let next_ticket = service_queue.line.in_order().next();
                let Some(ticket) = next_ticket else { break };
                service_queue.line.admit(ticket);
                service_queue.running += 1;
                let Some(sender) = service_queue.waiting.remove(&ticket) else { continue };
                // A request that has just stopped waiting frees its place when its guard is dropped.
                let _ = sender.send(());
            }
        });
    }

    /// Waits until the request is admitted. Fails if too many requests of its organisation are waiting, or if it is not
    /// expected to be admitted before its deadline. If the future is dropped, the request leaves the line.
    pub async fn wait_for_admission(
        shared: &Arc<SharedState>,
        request: AdmissionRequest,
    ) -> Result<AdmissionGuard, LineRefusal> {
        let (sender, receiver) = oneshot::channel();
        let now = shared.now();
        let running_max = shared.routes().capacity(&request.service, request.inflight_max);
        let ticket = shared.admission_controller.with_queue(&request.service, |service_queue| {
            let has_room = service_queue.running < running_max && service_queue.line.is_empty();
            let running = running_max as u64;
            let outlook = if has_room { RoomOutlook::Unknown } else { RoomOutlook::SlotsInUse { running } };
            let (ticket, _) = service_queue.line.enter(request.line_request(now), outlook, now)?;
            service_queue.waiting.insert(ticket, sender);
            Ok(ticket)
        })?;
        let mut guard = AdmissionGuard { shared: shared.clone(), request, ticket, admitted_at: now };
        guard.admit_waiting();
        // The sender is only dropped without sending together with the controller, which `shared` keeps alive.
        let _ = receiver.await;
        guard.admitted_at = shared.now();
        Ok(guard)
    }
}

impl AdmissionRequest {
    /// The request as one that is refused on arrival or waits until its deadline.
    fn line_request(&self, now: TimePoint) -> LineRequest {
        LineRequest {
            organisation: self.organisation.clone(),
            weight: self.weight,
            urgency: RequestUrgency::of_caller(0),
            first_sent_at: now,
            decided_at: now,
            waits_until: self.deadline,
            useful_until: self.deadline,
            deadline: self.deadline,
            depth_max: self.depth_max,
            cost: self.expected_tokens,
            bytes: 0,
        }
    }
}

/// A place in the service's queue and, after the admission, among its running requests. Dropping it frees the place.
pub struct AdmissionGuard {
    shared: Arc<SharedState>,
    request: AdmissionRequest,
    ticket: QueueTicket,
    admitted_at: TimePoint,
}

impl AdmissionGuard {
    /// Replaces the expected cost that was charged to the organisation by the actual number of `tokens`.
    pub fn record_actual_tokens(&self, tokens: u64) {
        let request = &self.request;
        self.shared.admission_controller.with_queue(&request.service, |service_queue| {
            service_queue.line.adjust_cost(&request.organisation, request.weight, request.expected_tokens, tokens);
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
        let now = self.shared.now();
        self.shared.admission_controller.with_queue(&self.request.service, |service_queue| {
            let is_waiting = service_queue.waiting.remove(&self.ticket).is_some();
            if is_waiting {
                service_queue.line.leave(self.ticket);
            } else {
                service_queue.running = service_queue.running.saturating_sub(1);
                service_queue.line.run_ended(now.since_ms(self.admitted_at), now);
            }
        });
        self.admit_waiting();
    }
}
