//! Needs of permits of the requests that wait in this daemon.

use crate::edge_state::EdgeState;
use pimentoslip_kernel::{PermitNeed, RequestUrgency, TimePoint};

/// Time ahead for which queued requests take permits, so that a daemon asks for several at once.
const QUEUED_AHEAD_MS: u64 = 400;

/// Time for which a request whose caller waits is delayed for a permit, although another upstream could serve it.
/// Without any delay a permit would often come too late, and nothing would show that an upstream is no longer in need.
const CALLER_WAIT_MS: u64 = 20;

/// Need of `count` requests that are queued in this daemon.
pub fn queued_permits(state: &EdgeState, urgency: RequestUrgency, count: usize) -> PermitNeed {
    let count = u32::try_from(count).unwrap_or(u32::MAX);
    PermitNeed { urgency, count, useful_until: state.now().plus_ms(QUEUED_AHEAD_MS), preferred_until: TimePoint(0) }
}

/// Need of a request that arrived at `arrived_at` and whose caller waits; it is refused if it gets no upstream until
/// `refused_at`.
pub fn caller_permit(priority: u32, arrived_at: TimePoint, refused_at: TimePoint) -> PermitNeed {
    PermitNeed {
        urgency: RequestUrgency::of_caller(priority),
        count: 1,
        useful_until: refused_at,
        preferred_until: arrived_at.plus_ms(CALLER_WAIT_MS),
    }
}
