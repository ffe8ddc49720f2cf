//! Wait of one request for an upstream with room.

use super::line_seat::{LineSeat, LineTurn};
use crate::{
    edge_state::EdgeState,
    http::{ApiRefusal, AttemptPlan},
    relay::UpstreamGuard,
};
use pimentoslip_kernel::{
    LineDecision, LineRefusal, LineRequest, PermitNeed, QueueTicket, RefusalCause, RoomOutlook, SharedName, TimePoint,
};
use pimentoslip_telemetry::LogLine;
use std::{sync::Arc, time::Duration};

/// Result of the wait.
pub type Result<T> = std::result::Result<T, ApiRefusal>;

/// Memory of a waiting request besides its head, in bytes. Bodies have a budget of their own.
const SEAT_BYTES: usize = 2_048;
/// A request may be refused because of the expected wait for up to its latency objective divided by this.
const DECISION_DIVISOR: u64 = 10;
/// Time after which a caller returns that was refused without an estimate.
const RETURN_MS_DEFAULT: u64 = 100;

/// Times that decide how long a request waits for room.
#[derive(Clone, Copy, Debug)]
pub struct WaitTerms {
    /// About the time at which the caller first sent the request.
    pub first_sent_at: TimePoint,
    /// Until when the request may be refused because of the expected wait.
    pub decided_at: TimePoint,
    /// When its latency objective ends.
    pub useful_until: TimePoint,
}

impl WaitTerms {
    /// Terms of a request that arrived at `arrived_at` on a route with these times in milliseconds; its caller waits until
    /// `deadline`. A repeated attempt has less time left than a first one.
    #[must_use]
    pub fn new(arrived_at: TimePoint, deadline: TimePoint, timeout_ms: u64, objective_ms: u64) -> Self {
        Self {
            first_sent_at: deadline.minus_ms(timeout_ms),
            decided_at: arrived_at.plus_ms(objective_ms / DECISION_DIVISOR),
            useful_until: arrived_at.plus_ms(objective_ms),
        }
    }
}

/// Place of a request in the line of its service; left when dropped.
struct LinePlace<'a> {
    state: &'a EdgeState,
    service: &'a SharedName,
    ticket: QueueTicket,
}

impl Drop for LinePlace<'_> {
    fn drop(&mut self) {
        self.state.lines.leave(self.service, self.ticket);
    }
}

/// Waits in the line of the plan's service until an upstream has room for its request; those in `excluded` are used only if no
/// other one has room. Fails if the request is refused; it has not run since it entered the line.
pub async fn wait_for_room(
    state: &Arc<EdgeState>,
    plan: &AttemptPlan,
    excluded: &[SharedName],
) -> Result<UpstreamGuard> {
    let entered_at = state.now();
    let service = &plan.target.service;
    let (seat, mut receiver) = LineSeat::new(plan, excluded);
    let entered = state.lines.enter(service, line_request(plan), seat, outlook(state, plan), entered_at);
    let (ticket, mut decided_at) = entered.map_err(|refusal| refused(state, plan, refusal, entered_at))?;
    let place = LinePlace { state, service, ticket };
    state.lines.room_changed();
    loop {
        let wait = Duration::from_millis(decided_at.since_ms(state.now()).max(1));
        tokio::select! {
            biased;
            turn = &mut receiver => return match turn {
                Ok(LineTurn::Room(guard)) => Ok(*guard),
                // Without a turn the line was removed.
                Ok(LineTurn::RouteChanged) | Err(_) => Err(ApiRefusal::RouteChanged),
            },
            () = state.planned_stop.wait_for_end() => return Err(ApiRefusal::Stopping),
            () = state.permits_changed.notified() => {
                if let Some(refusal) = early_refusal(state, plan) {
                    return Err(refusal);
                }
            }
            () = actix_rt::time::sleep(wait) => {
                match state.lines.decide(service, place.ticket, outlook(state, plan), state.now()) {
                    Some(LineDecision::Wait(until)) => decided_at = until,
                    Some(LineDecision::Refuse(refusal)) => return Err(refused(state, plan, refusal, entered_at)),
                    // The turn is on its way.
                    None => {}
                }
            }
        }
    }
}

/// The refusal of a request that no upstream may get, although some could serve it, or that limits alone keep from all upstreams
/// for longer than it waits; `None` if it waits.
pub fn early_refusal(state: &EdgeState, plan: &AttemptPlan) -> Option<ApiRefusal> {
    let now = state.now();
    let withheld = state.upstreams().withhold_reason(&plan.target.query(state, "", &[], PermitNeed::NONE), now);
    if let Some(reason) = withheld {
        return Some(reason.into());
    }
    let permitted_at = permit_time(state, plan, now)?;
    let is_over = permitted_at.max(now) >= plan.permits.useful_until;
    is_over.then_some(ApiRefusal::RateLimited { retry_after_ms: permitted_at.since_ms(now) })
}

/// When an upstream may have room for the request, if limits alone keep it from all of them.
fn permit_time(state: &EdgeState, plan: &AttemptPlan, now: TimePoint) -> Option<TimePoint> {
    state.upstreams().permit_time(&plan.target.query(state, &plan.call.id, &[], plan.permits), now)
}

fn outlook(state: &EdgeState, plan: &AttemptPlan) -> RoomOutlook {
    state.upstreams().room_outlook(&plan.target.query(state, &plan.call.id, &[], plan.permits), state.now())
}

fn line_request(plan: &AttemptPlan) -> LineRequest {
    let call = &plan.call;
    let header_bytes: usize = call.headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    LineRequest {
        organisation: call.organisation.clone().unwrap_or_else(|| "".into()),
        weight: 1,
        urgency: plan.permits.urgency,
        first_sent_at: plan.wait.first_sent_at,
        decided_at: plan.wait.decided_at,
        waits_until: plan.permits.useful_until,
        useful_until: plan.wait.useful_until,
        deadline: call.deadline,
        depth_max: usize::MAX,
        cost: 1,
        bytes: SEAT_BYTES + header_bytes + call.path.len(),
    }
}

/// Logs a refusal with what decided it, and returns it as the caller gets it.
fn refused(state: &EdgeState, plan: &AttemptPlan, refusal: LineRefusal, entered_at: TimePoint) -> ApiRefusal {
    let now = state.now();
    let LineRefusal { cause, returns_at, estimate } = refusal;
    let retry_after_ms = returns_at.map_or(RETURN_MS_DEFAULT, |at| at.since_ms(now));
    let mut line = LogLine::new("refused_in_line")
        .field("request_id", &plan.call.id)
        .field("service", &plan.target.service)
        .field("organisation", plan.call.organisation.as_deref().unwrap_or_default())
        .field("urgency", plan.permits.urgency.level())
        .field("cause", cause.as_str())
        .field("waited_ms", now.since_ms(entered_at))
        .field("useful_ms", plan.wait.useful_until.since_ms(now))
        .field("left_ms", plan.call.deadline.since_ms(now))
        .field("retry_after_ms", retry_after_ms);
    if let Some(estimate) = estimate {
        line = line
            .field("turns_ahead", estimate.turns_ahead)
            .field("interval_us", estimate.interval_us)
            .field("begins_in_ms", estimate.begins_at.since_ms(now));
    }
    line.info();
    match cause {
        RefusalCause::TooLate | RefusalCause::UpstreamsFull => ApiRefusal::NoRoom { retry_after_ms },
        RefusalCause::LineFull => ApiRefusal::LineFull { retry_after_ms },
        RefusalCause::DeadlinePassed => ApiRefusal::DeadlinePassed,
        RefusalCause::NoOutlook => match permit_time(state, plan, now) {
            Some(permitted_at) => ApiRefusal::RateLimited { retry_after_ms: permitted_at.since_ms(now) },
            None => ApiRefusal::NoUpstream,
        },
    }
}
