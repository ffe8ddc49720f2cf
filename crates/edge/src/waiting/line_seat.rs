//! A waiting request, with what is needed to select its upstream.

use crate::{
    edge_state::EdgeState,
    http::{AttemptPlan, RequestTarget, pick_upstream},
    relay::UpstreamGuard,
};
use pimentoslip_kernel::{HomeRegions, PermitNeed, SharedName, TimePoint};
use std::sync::Arc;
use tokio::sync::oneshot;

/// Interval at which a request is offered room again while it waits for something that is no event of the line: the
/// software of an upstream, or an answer to a request for permits.
const RECHECK_MS: u64 = 25;

/// How the wait of a request ends.
#[derive(Debug)]
pub(super) enum LineTurn {
    /// The request gets this upstream.
    Room(Box<UpstreamGuard>),
    /// The configuration no longer sends the request to the service.
    RouteChanged,
}

/// What decides whether an upstream suits a waiting request; requests of the same shape suit the same ones.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct SeatShape {
    software: Option<SharedName>,
    homes: Option<HomeRegions>,
    starts_stream: bool,
    prefers_permit: bool,
}

/// A waiting request.
#[derive(Debug)]
pub(super) struct LineSeat {
    pub(super) host: SharedName,
    pub(super) path: String,
    pub(super) organisation: Option<SharedName>,
    pub(super) target: RequestTarget,
    pub(super) permits: PermitNeed,
    id: SharedName,
    /// Upstreams that others are preferred to.
    excluded: Vec<SharedName>,
    sender: oneshot::Sender<LineTurn>,
}

impl LineSeat {
    /// Creates the seat of the plan's request, and the receiver of its turn.
    pub(super) fn new(plan: &AttemptPlan, excluded: &[SharedName]) -> (Self, oneshot::Receiver<LineTurn>) {
        let (sender, receiver) = oneshot::channel();
        let call = &plan.call;
        let seat = Self {
            host: call.host.clone(),
            path: call.path.clone(),
            organisation: call.organisation.clone(),
            target: plan.target.clone(),
            permits: plan.permits,
            id: call.id.clone(),
            excluded: excluded.to_vec(),
            sender,
        };
        (seat, receiver)
    }

    pub(super) fn shape(&self, now: TimePoint) -> SeatShape {
        SeatShape {
            software: self.target.software.clone(),
            homes: self.target.homes.clone(),
            starts_stream: self.target.new_stream_key.is_some(),
            prefers_permit: now < self.permits.preferred_until,
        }
    }

    /// Selects an upstream for the request; `None` if none has room.
    pub(super) fn pick(&self, state: &Arc<EdgeState>) -> Option<UpstreamGuard> {
        let others = pick_upstream(state, &self.target, &self.id, &self.excluded, self.permits);
        others.or_else(|| {
            let all = || pick_upstream(state, &self.target, &self.id, &[], self.permits);
            if self.excluded.is_empty() { None } else { all() }
        })
    }

    /// When there may be room for the request without an event that is reported to the line; `None` if there is no such time.
    pub(super) fn next_chance(&self, state: &EdgeState, now: TimePoint) -> Option<TimePoint> {
        let query = self.target.query(state, &self.id, &[], self.permits);
        let (chance, permit_at) = {
            let upstreams = state.upstreams();
            (upstreams.next_chance(&query, now), upstreams.permit_time(&query, now))
        };
        let recheck_at = now.plus_ms(RECHECK_MS);
        let preferred_until = Some(self.permits.preferred_until).filter(|until| *until > now);
        let permit_at = permit_at.map(|at| at.max(recheck_at));
        let software_at = self.target.needs_software().then_some(recheck_at);
        [chance, preferred_until, permit_at, software_at].into_iter().flatten().min()
    }

    /// Ends the wait. Returns the turn if the request has left.
    pub(super) fn end(self, turn: LineTurn) -> Option<LineTurn> {
        self.sender.send(turn).err()
    }
}
