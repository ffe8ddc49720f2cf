//! What is known of the next room at the upstreams of a service.

use crate::TimePoint;

/// What keeps a request from the upstreams of its service, as far as this daemon knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoomOutlook {
    /// Requests of this daemon use the slots of all available upstreams, or get them as soon as they are free.
    SlotsInUse {
        /// Number of requests that run at the same time.
        running: u64,
    },
    /// All upstreams have refused requests and back off.
    Refused {
        /// When the first of them is tried again.
        until: TimePoint,
    },
    /// Nothing is known that says when there will be room.
    Unknown,
}
