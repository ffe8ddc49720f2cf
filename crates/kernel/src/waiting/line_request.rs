//! A request that enters a waiting line.

use crate::{RequestUrgency, SharedName, TimePoint};

/// A request that has found no room, with the times that decide how long it waits.
#[derive(Clone, Debug)]
pub struct LineRequest {
    /// Organisation of the caller; empty if there is none.
    pub organisation: SharedName,
    /// Weight of the organisation.
    pub weight: u64,
    /// Urgency of the request.
    pub urgency: RequestUrgency,
    /// About the time at which the caller first sent the request; the order among those of its organisation.
    pub first_sent_at: TimePoint,
    /// Until when the request may be refused although the next room is known; after that it keeps its place.
    pub decided_at: TimePoint,
    /// Until when the request waits while the next room is not known.
    pub waits_until: TimePoint,
    /// When the request must end to be of full use.
    pub useful_until: TimePoint,
    /// When the caller stops waiting.
    pub deadline: TimePoint,
    /// Most requests of the organisation that wait in this class.
    pub depth_max: usize,
    /// Expected cost, in the unit by which organisations share the service.
    pub cost: u64,
    /// Memory that the request holds while it waits.
    pub bytes: usize,
}
