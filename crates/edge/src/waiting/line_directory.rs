//! The waiting lines of all services.

use super::{
    line_seat::LineSeat,
    service_line::{HandOver, ServiceLine},
};
use crate::{edge_metrics::EdgeMetrics, edge_state::EdgeState};
use pimentoslip_kernel::{
    LineBounds, LineDecision, LineRefusal, LineRequest, QueueTicket, RoomOutlook, SharedName, TimePoint, TrafficConfig,
};
use pimentoslip_telemetry::LogLine;
use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
};
use tokio::sync::Notify;

/// Requests that wait for one service at most: a second's worth of the fastest services at a daemon.
const LENGTH_MAX: usize = 1_024;
/// The heads of the requests that wait for one service may use up to the process's memory limit divided by this.
const MEMORY_DIVISOR: usize = 16;
/// Organisations that a log line names.
const LOGGED_ORGANISATIONS_MAX: usize = 8;

/// The waiting lines, by service.
#[derive(Debug)]
pub struct LineDirectory {
    lines: Mutex<BTreeMap<SharedName, ServiceLine>>,
    waiting_count: AtomicUsize,
    bounds: LineBounds,
    changed: Notify,
}

impl LineDirectory {
    /// Creates the directory of a process with the memory limit `memory_bytes`.
    #[must_use]
    pub fn new(memory_bytes: usize) -> Self {
        Self {
            lines: Mutex::default(),
            waiting_count: AtomicUsize::new(0),
            bounds: LineBounds { length_max: LENGTH_MAX, bytes_max: memory_bytes / MEMORY_DIVISOR },
            changed: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SharedName, ServiceLine>> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether requests wait for `service`.
    #[must_use]
    pub fn is_waited_for(&self, service: &str) -> bool {
        self.waiting_count.load(Ordering::SeqCst) > 0
            && self.lock().get(service).is_some_and(|line| !line.line.is_empty())
    }

    /// Lets the room at upstreams be handed over, after an event that may have brought some.
    pub fn room_changed(&self) {
        if self.waiting_count.load(Ordering::SeqCst) > 0 {
            self.changed.notify_one();
        }
    }

    /// Waits until room may have changed.
    pub(super) async fn wait_for_change(&self) {
        self.changed.notified().await;
    }

    /// Records that an upstream of `service` has completed a run in `run_ms`.
    pub fn run_ended(&self, service: &SharedName, run_ms: u64, now: TimePoint) {
        let bounds = self.bounds;
        let mut lines = self.lock();
        let line = lines.entry(service.clone()).or_insert_with(|| ServiceLine::new(bounds));
        line.line.run_ended(run_ms, now);
    }

    /// Adds a request to the line of `service`, unless it is refused.
    pub(super) fn enter(
        &self,
        service: &SharedName,
        request: LineRequest,
        seat: LineSeat,
        outlook: RoomOutlook,
        now: TimePoint,
    ) -> Result<(QueueTicket, TimePoint), LineRefusal> {
        let bounds = self.bounds;
        let mut lines = self.lock();
        let line = lines.entry(service.clone()).or_insert_with(|| ServiceLine::new(bounds));
        let entered = line.line.enter(request, outlook, now);
        match &entered {
            Ok((ticket, _)) => {
                line.seats.insert(*ticket, seat);
                self.waiting_count.fetch_add(1, Ordering::SeqCst);
            }
            Err(refusal) => line.count_refusal(refusal.cause),
        }
        entered
    }

    /// Decides whether a request waits on; see [`pimentoslip_kernel::WaitingLine::decide`]. `None` if it has got its turn.
    pub(super) fn decide(
        &self,
        service: &str,
        ticket: QueueTicket,
        outlook: RoomOutlook,
        now: TimePoint,
    ) -> Option<LineDecision> {
        let mut lines = self.lock();
        let line = lines.get_mut(service).filter(|line| line.seats.contains_key(&ticket))?;
        let decision = line.line.decide(ticket, outlook, now);
        if let LineDecision::Refuse(refusal) = &decision {
            line.count_refusal(refusal.cause);
        }
        Some(decision)
    }

    /// Removes a request that no longer waits.
    pub(super) fn leave(&self, service: &str, ticket: QueueTicket) {
        let seat = {
            let mut lines = self.lock();
            let Some(line) = lines.get_mut(service) else { return };
            line.line.leave(ticket);
            line.seats.remove(&ticket)
        };
        if seat.is_some() {
            self.waiting_count.fetch_sub(1, Ordering::SeqCst);
            self.changed.notify_one();
        }
    }

    /// Hands room to waiting requests. Returns when to try again without an event.
    pub(super) fn hand_over(&self, state: &Arc<EdgeState>, now: TimePoint) -> Option<TimePoint> {
        let mut next_at: Option<TimePoint> = None;
        let mut results = Vec::new();
        for line in self.lock().values_mut().filter(|line| !line.line.is_empty()) {
            results.push(line.hand_over(state, now));
        }
        for result in results {
            next_at = [next_at, result.next_at].into_iter().flatten().min();
            self.finish(result);
        }
        next_at
    }

    /// Applies a configuration to the waiting requests.
    pub fn apply_config(&self, config: &TrafficConfig) {
        let mut results = Vec::new();
        {
            let mut lines = self.lock();
            for (name, line) in &mut *lines {
                results.push(line.apply_config(name, config));
            }
            lines.retain(|name, line| !line.line.is_empty() || config.services.contains_key(name));
        }
        results.into_iter().for_each(|result| self.finish(result));
        self.room_changed();
    }

    fn finish(&self, hand_over: HandOver) {
        self.waiting_count.fetch_sub(hand_over.ended, Ordering::SeqCst);
        drop(hand_over.undelivered);
    }

    /// Updates the gauges of the lines.
    pub(super) fn update_gauges(&self, now: TimePoint) {
        let metrics = EdgeMetrics::global();
        for (name, line) in &*self.lock() {
            let age_ms = line.line.oldest_entry().map_or(0, |at| now.since_ms(at));
            metrics.set_waiting(name, line.line.len(), age_ms);
        }
    }

    /// Logs the lines in which requests wait, or were refused since the last call.
    pub(super) fn log(&self, now: TimePoint) {
        for (name, line) in &mut *self.lock() {
            let refused = std::mem::take(&mut line.refused);
            if line.line.is_empty() && refused.is_empty() {
                continue;
            }
            let backlogs = line.line.backlogs();
            let named = backlogs.iter().take(LOGGED_ORGANISATIONS_MAX);
            let organisations: Vec<String> = named.map(|(name, depth)| format!("{name}:{depth}")).collect();
            let refused: Vec<String> = refused.iter().map(|(cause, count)| format!("{cause}:{count}")).collect();
            LogLine::new("requests_waiting")
                .field("service", name)
                .field("length", line.line.len())
                .field("oldest_ms", line.line.oldest_entry().map_or(0, |at| now.since_ms(at)))
                .field("organisation_count", backlogs.len())
                .field("organisations", organisations.join(","))
                .field("refused", refused.join(","))
                .field("mean_run_ms", line.line.mean_run_ms().map_or_else(|| "unknown".to_owned(), |ms| ms.to_string()))
                .info();
        }
    }
}
