//! Decisions on the requests of a waiting line.

use crate::TimePoint;

/// When a request is expected to begin, with the figures that this follows from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitEstimate {
    /// Number of slots that are handed to other requests before.
    pub turns_ahead: u64,
    /// Expected time between two freed slots, in microseconds.
    pub interval_us: u64,
    /// When the request is expected to begin.
    pub begins_at: TimePoint,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalCause {
    /// It would begin too late to be of full use.
    TooLate,
    /// All upstreams back off after refusals, for longer than the request waits.
    UpstreamsFull,
    /// The line is at its bound of requests or bytes.
    LineFull,
    /// It has waited as long as a request does while the next room is not known.
    NoOutlook,
    /// Its deadline has passed.
    DeadlinePassed,
}

impl RefusalCause {
    /// Name in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::TooLate => "too_late",
            Self::UpstreamsFull => "upstreams_full",
            Self::LineFull => "line_full",
            Self::NoOutlook => "no_outlook",
            Self::DeadlinePassed => "deadline_passed",
        }
    }
}

/// Refusal of a request, which has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LineRefusal {
    /// Why it is refused.
    pub cause: RefusalCause,
    /// When there will be room for it; `None` if that is not known.
    pub returns_at: Option<TimePoint>,
    /// The estimate that decided; `None` if there was none.
    pub estimate: Option<WaitEstimate>,
}

/// What a waiting request does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineDecision {
    /// It waits, and is decided on again at this time.
    Wait(TimePoint),
    /// It is refused.
    Refuse(LineRefusal),
}
