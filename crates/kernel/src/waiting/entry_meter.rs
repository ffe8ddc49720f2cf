//! Rate at which the requests of an organisation enter a waiting line.

use crate::TimePoint;

/// Span over which entries are counted.
const SPAN_MS: u64 = 500;

/// Counts entries in the current span and in the one before.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EntryMeter {
    span: u64,
    current: u64,
    previous: u64,
}

impl EntryMeter {
    /// Counts an entry.
    pub(super) fn count(&mut self, now: TimePoint) {
        self.advance(now);
        self.current += 1;
    }

    /// Entries expected in `ms` milliseconds.
    pub(super) fn expected(mut self, ms: u64, now: TimePoint) -> u64 {
        self.advance(now);
        let counted_ms = SPAN_MS + now.0 % SPAN_MS;
        (self.current + self.previous).saturating_mul(ms) / counted_ms
    }

    /// Whether nothing was counted lately.
    pub(super) fn is_idle(mut self, now: TimePoint) -> bool {
        self.advance(now);
        self.current + self.previous == 0
    }

    fn advance(&mut self, now: TimePoint) {
        let span = now.0 / SPAN_MS;
        match span.saturating_sub(self.span) {
            0 => return,
            1 => self.previous = self.current,
            _ => self.previous = 0,
        }
        self.current = 0;
        self.span = span;
    }
}
