//! Splits the bytes of a stream into portions of complete events.

use super::AttemptFailure;
use bytes::{Bytes, BytesMut};
use pimentoslip_platform::EventReader;

/// Bytes of complete events that follow each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventPortion {
    /// The bytes, as received.
    pub bytes: Bytes,
    /// Number of the last event; `None` if the bytes contain none, such as a comment.
    pub last_event: Option<u64>,
}

/// Collects the bytes of a stream until events are complete. What it returns does not depend on how the bytes were cut in
/// transit: the events before a defect are returned, and then the defect.
#[derive(Debug)]
pub struct PortionReader {
    reader: EventReader,
    /// Bytes received after the last portion.
    kept: BytesMut,
    /// Number of the last complete event, or of the event that the stream continues after.
    last_event: Option<u64>,
    /// Whether a portion with an event was returned.
    has_begun: bool,
    defect: Option<AttemptFailure>,
}

impl PortionReader {
    /// Creates a reader of a stream that continues after `last_event`, or starts with any event for `None`.
    #[must_use]
    pub fn new(last_event: Option<u64>) -> Self {
        Self { reader: EventReader::default(), kept: BytesMut::new(), last_event, has_begun: false, defect: None }
    }

    /// Adds received bytes, and returns the portion that they complete. Its first portion has an event.
    pub fn add(&mut self, chunk: &[u8]) -> Option<EventPortion> {
        if self.defect.is_some() {
            return None;
        }
        let kept_before = self.kept.len();
        self.kept.extend_from_slice(chunk);
        let (mut end, mut last_event) = (0, None);
        for block in self.reader.feed_blocks(chunk) {
            if let Some(event) = &block.event {
                if self.last_event.is_some_and(|last| event.number != last.saturating_add(1)) {
                    self.defect = Some(AttemptFailure::Mismatch);
                    break;
                }
                self.last_event = Some(event.number);
                last_event = self.last_event;
                self.has_begun = true;
            }
            if self.has_begun {
                end = kept_before + block.end;
            }
        }
        if self.defect.is_none() && self.reader.is_malformed() {
            let is_oversized = self.reader.is_oversized();
            self.defect = Some(if is_oversized { AttemptFailure::Oversized } else { AttemptFailure::Malformed });
        }
        (end > 0).then(|| EventPortion { bytes: self.kept.split_to(end).freeze(), last_event })
    }

    /// Why no further portion follows, once all events before the defect have been returned.
    #[must_use]
    pub fn defect(&self) -> Option<AttemptFailure> {
        self.defect
    }

    /// Number of received bytes that are kept in memory.
    #[must_use]
    pub fn kept_bytes(&self) -> usize {
        self.kept.len() + self.reader.kept_bytes()
    }

    /// Whether all received bytes belong to complete events.
    #[must_use]
    pub fn is_between_events(&self) -> bool {
        self.reader.is_between_events()
    }
}
