//! A crash of an upstream while it ran a request.

use crate::{SharedName, TimePoint};

/// A crash of one upstream process while it ran a request. Daemons exchange the marks, and count each crash once
/// however many of them observed it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashMark {
    /// Fingerprint of the request, equal for all its repeats.
    pub fingerprint: u64,
    /// Name of the process that crashed; another one after each restart of the upstream.
    pub process: SharedName,
    /// When the request was sent to the process, in milliseconds since the Unix epoch; `None` if that is not known.
    pub sent_unix_ms: Option<u64>,
    /// Whether the crash was inferred from the list of upstreams, which shows another process; otherwise nothing listened at the
    /// upstream's address.
    pub is_inferred: bool,
    /// Whether the request completed later, so that the crash does not count against it any more.
    pub is_cleared: bool,
    /// When the mark is forgotten.
    pub expires_at: TimePoint,
}

impl CrashMark {
    /// Whether the crash counts against the request.
    #[must_use]
    pub fn counts(&self, now: TimePoint) -> bool {
        !self.is_cleared && now < self.expires_at
    }
}
