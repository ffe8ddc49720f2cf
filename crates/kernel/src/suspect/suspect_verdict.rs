//! Consequence of earlier crashes for a request.

use crate::TimePoint;

/// How a request is treated because of the crashes of upstreams that ran it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectVerdict {
    /// Runs like any other request.
    Unsuspected,
    /// One crash short of the quarantine: must not run beside other requests, nor where it could crash the last
    /// available upstream of its service.
    Isolated,
    /// Must not run.
    Quarantined {
        /// When the request may run again, unless it crashes another upstream.
        until: TimePoint,
    },
}
