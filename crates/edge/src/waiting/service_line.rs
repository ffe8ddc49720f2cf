//! Line of one service with the seats of its requests.

use super::line_seat::{LineSeat, LineTurn, SeatShape};
use crate::{edge_state::EdgeState, relay::UpstreamGuard};
use pimentoslip_kernel::{
    LineBounds, QueueTicket, RefusalCause, RequestUrgency, RouteRule, TimePoint, TrafficConfig, WaitingLine,
};
use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

/// Shapes of requests that are tried in one pass; more are left for the next event.
const SHAPES_MAX: usize = 8;

/// Requests that wait for a service.
#[derive(Debug)]
pub(super) struct ServiceLine {
    pub(super) line: WaitingLine,
    pub(super) seats: HashMap<QueueTicket, LineSeat>,
    /// Requests refused since the last log line, by cause.
    pub(super) refused: BTreeMap<&'static str, u64>,
}

/// Result of handing slots over.
#[derive(Debug, Default)]
pub(super) struct HandOver {
    /// When to try again without an event.
    pub(super) next_at: Option<TimePoint>,
    /// Turns of requests that have left meanwhile. Dropping them frees their slots, for which the lock of the lines must
    /// not be held.
    pub(super) undelivered: Vec<LineTurn>,
    /// Number of requests that no longer wait.
    pub(super) ended: usize,
}

impl ServiceLine {
    pub(super) fn new(bounds: LineBounds) -> Self {
        Self { line: WaitingLine::new(bounds), seats: HashMap::new(), refused: BTreeMap::new() }
    }

    /// Counts a refusal for the log.
    pub(super) fn count_refusal(&mut self, cause: RefusalCause) {
        *self.refused.entry(cause.as_str()).or_default() += 1;
    }

    /// Hands the room at upstreams to the first requests that can use it.
    pub(super) fn hand_over(&mut self, state: &Arc<EdgeState>, now: TimePoint) -> HandOver {
        let mut hand_over = HandOver::default();
        let mut unmet: Vec<SeatShape> = Vec::new();
        let mut met: Vec<(QueueTicket, UpstreamGuard)> = Vec::new();
        for ticket in self.line.in_order() {
            let Some(seat) = self.seats.get(&ticket) else { continue };
            let shape = seat.shape(now);
            if unmet.contains(&shape) {
                continue;
            }
            if let Some(guard) = seat.pick(state) {
                met.push((ticket, guard));
                continue;
            }
            let chance = seat.next_chance(state, now);
            hand_over.next_at = [hand_over.next_at, chance].into_iter().flatten().min();
            unmet.push(shape);
            if unmet.len() >= SHAPES_MAX {
                break;
            }
        }
        for (ticket, guard) in met {
            self.line.admit(ticket);
            self.end_seat(ticket, LineTurn::Room(Box::new(guard)), &mut hand_over);
        }
        hand_over
    }

    /// Applies a configuration: requests that it does not send to the service `name` leave the line, and the others get
    /// their urgency.
    pub(super) fn apply_config(&mut self, name: &str, config: &TrafficConfig) -> HandOver {
        let mut hand_over = HandOver::default();
        let mut removed = Vec::new();
        for (ticket, seat) in &mut self.seats {
            match seat_rule(seat, name, config) {
                Some((rule, urgency)) => {
                    seat.target.homes = config.homes(rule, seat.organisation.as_deref());
                    seat.permits.urgency = urgency;
                    self.line.reclassify(*ticket, urgency, 1);
                }
                None => removed.push(*ticket),
            }
        }
        for ticket in removed {
            self.line.leave(ticket);
            self.end_seat(ticket, LineTurn::RouteChanged, &mut hand_over);
        }
        hand_over
    }

    fn end_seat(&mut self, ticket: QueueTicket, turn: LineTurn, hand_over: &mut HandOver) {
        let Some(seat) = self.seats.remove(&ticket) else { return };
        hand_over.ended += 1;
        hand_over.undelivered.extend(seat.end(turn));
    }
}

/// Route and urgency of a waiting request under `config`; `None` if its route does not lead to the service any more, or its
/// organisation is gone.
fn seat_rule<'a>(seat: &LineSeat, service: &str, config: &'a TrafficConfig) -> Option<(&'a RouteRule, RequestUrgency)> {
    let path = seat.path.split('?').next().unwrap_or_default();
    let rule = config.route(&seat.host, path)?;
    if !rule.targets.iter().any(|target| *target.service == *service) {
        return None;
    }
    let priority = match &seat.organisation {
        Some(organisation) => config.organisation_priority(organisation)?,
        None => None,
    };
    Some((rule, RequestUrgency::of_caller(priority.unwrap_or(rule.priority))))
}
