//! Order in which requests get permits.

/// Urgency of a request; a lower one goes first. Requests whose callers wait come before items of batch jobs, and
/// these before calls of scorers, whose items are complete otherwise. Within each kind the priority decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestUrgency(u32);

/// Number of priorities that are told apart in each kind.
const PRIORITIES: u32 = 1_000;

impl RequestUrgency {
    /// Urgency after all others.
    pub const LEAST: Self = Self(u32::MAX);

    /// Urgency of a request whose caller waits for the response.
    #[must_use]
    pub fn of_caller(priority: u32) -> Self {
        Self(priority.min(PRIORITIES - 1))
    }

    /// Urgency of an item of a batch job.
    #[must_use]
    pub fn of_item(priority: u32) -> Self {
        Self(PRIORITIES + priority.min(PRIORITIES - 1))
    }

    /// Urgency of a call of a scorer.
    #[must_use]
    pub fn of_scorer(priority: u32) -> Self {
        Self(2 * PRIORITIES + priority.min(PRIORITIES - 1))
    }

    /// Whether the request waits in a queue of this service, so that it may get a permit much later.
    #[must_use]
    pub fn is_queued(self) -> bool {
        self.0 >= PRIORITIES
    }

    /// Number by which daemons exchange the urgency; lower goes first.
    #[must_use]
    pub fn level(self) -> u32 {
        self.0
    }

    /// Urgency with the number `level`.
    #[must_use]
    pub fn from_level(level: u32) -> Self {
        Self(level)
    }
}
