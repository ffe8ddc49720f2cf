//! One term of a duty's holder.

use crate::TimePoint;

/// What a holder may do: act from one point in time to another, under one fencing token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DutyTerm {
    /// Grows with each change of holder.
    pub fencing_token: u64,
    /// Before this the former holder's calls may still arrive.
    acts_from: TimePoint,
    /// From here on another may hold the duty.
    ends_at: TimePoint,
}

impl DutyTerm {
    /// Begins a term that was granted by a call sent at `asked`. `handover_ms` is the time for which calls of a
    /// former holder that is another daemon may still arrive; none if there was none.
    #[must_use]
    pub fn begin(
        fencing_token: u64,
        asked: TimePoint,
        granted: TimePoint,
        lease_ms: u64,
        handover_ms: Option<u64>,
    ) -> Self {
        Self { fencing_token, acts_from: granted.plus_ms(handover_ms.unwrap_or(0)), ends_at: asked.plus_ms(lease_ms) }
    }

    /// A renewal sent at `asked` was answered.
    pub fn renewed(&mut self, asked: TimePoint, lease_ms: u64) {
        self.ends_at = self.ends_at.max(asked.plus_ms(lease_ms));
    }

    /// Whether the holder may act at `now` with a call that takes up to `call_ms`.
    #[must_use]
    pub fn may_act(&self, now: TimePoint, call_ms: u64) -> bool {
        now >= self.acts_from && now.plus_ms(call_ms) < self.ends_at
    }

    /// When the term ends unless it is renewed.
    #[must_use]
    pub fn ends_at(&self) -> TimePoint {
        self.ends_at
    }
}
