//! Origins of recent streams, by a key that all attempts of their caller have in common.

use super::StreamOrigin;
use crate::TimePoint;
use std::collections::{HashMap, VecDeque};

/// Time after its start in which a stream may be resumed. Callers wait seconds for a stream; the time covers their attempts
/// and an outage between them.
pub const STREAM_TTL_MS: u64 = 120_000;
/// Number of streams above which the oldest are forgotten.
const STREAMS_MAX: usize = 65_536;

/// Streams that this daemon started, and those that it learned of. Both are forgotten after [`STREAM_TTL_MS`].
#[derive(Debug, Default)]
pub struct StreamRegister {
    streams: HashMap<u64, StreamOrigin>,
    /// Keys in the order of their expiry.
    expiries: VecDeque<(TimePoint, u64)>,
    /// Keys of streams that this daemon started and did not store yet, oldest first.
    unstored: VecDeque<u64>,
}

impl StreamRegister {
    /// Records a stream that this daemon starts.
    pub fn started(&mut self, key: u64, stream: StreamOrigin, now: TimePoint) {
        self.insert(key, stream, now);
        self.unstored.push_back(key);
    }

    /// Records a stream that another daemon started. An origin that is already known is kept.
    pub fn learned(&mut self, key: u64, stream: StreamOrigin, now: TimePoint) {
        if !self.streams.contains_key(&key) {
            self.insert(key, stream, now);
        }
    }

    /// Origin of the stream; `None` if it is not known.
    pub fn get(&mut self, key: u64, now: TimePoint) -> Option<&StreamOrigin> {
        self.forget_expired(now);
        self.streams.get(&key)
    }

    /// Takes up to `count_max` streams that are to be stored: those of services for which `is_mixed` holds.
    pub fn take_unstored(
        &mut self,
        is_mixed: impl Fn(&str) -> bool,
        count_max: usize,
        now: TimePoint,
    ) -> Vec<(u64, StreamOrigin)> {
        self.forget_expired(now);
        let mut taken = Vec::new();
        let mut kept = VecDeque::new();
        while let Some(key) = self.unstored.pop_front() {
            // A key without a stream has expired.
            let Some(stream) = self.streams.get(&key) else { continue };
            if taken.len() < count_max && is_mixed(&stream.service) {
                taken.push((key, stream.clone()));
            } else {
                kept.push_back(key);
            }
        }
        self.unstored = kept;
        taken
    }

    /// Whether no stream is to be stored, whatever its service.
    #[must_use]
    pub fn is_all_stored(&self) -> bool {
        self.unstored.is_empty()
    }

    fn insert(&mut self, key: u64, stream: StreamOrigin, now: TimePoint) {
        self.forget_expired(now);
        self.streams.insert(key, stream);
        self.expiries.push_back((now.plus_ms(STREAM_TTL_MS), key));
        while self.expiries.len() > STREAMS_MAX {
            if let Some((_, oldest)) = self.expiries.pop_front() {
                self.streams.remove(&oldest);
            }
        }
    }

    fn forget_expired(&mut self, now: TimePoint) {
        while let Some((_, key)) = self.expiries.front().filter(|(expires_at, _)| *expires_at <= now).copied() {
            self.expiries.pop_front();
            self.streams.remove(&key);
        }
    }
}
