//! Mark of a crash, as daemons send it to each other.

use pimentoslip_kernel::{CrashMark, SharedName, TimePoint};
use serde::{Deserialize, Serialize};

/// Mark of a crash of an upstream while it ran a request. The clocks of daemons have different origins, so that a time
/// until the expiry is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashMarkBody {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Name of the process that crashed.
    pub process: SharedName,
    /// When the request was sent to the process, in milliseconds since the Unix epoch; absent from daemons of an earlier
    /// release.
    #[serde(default)]
    pub sent_unix_ms: Option<u64>,
    /// Whether only the list of upstreams shows the crash; absent from daemons of an earlier release.
    #[serde(default)]
    pub inferred: bool,
    /// Whether the request completed later.
    pub cleared: bool,
    /// Time until the mark expires, in milliseconds.
    pub expires_in_ms: u64,
}

impl CrashMarkBody {
    /// The message for `mark`, sent at `now` by the sender's clock.
    #[must_use]
    pub fn from_mark(mark: CrashMark, now: TimePoint) -> Self {
        Self {
            fingerprint: mark.fingerprint,
            process: mark.process,
            sent_unix_ms: mark.sent_unix_ms,
            inferred: mark.is_inferred,
            cleared: mark.is_cleared,
            expires_in_ms: mark.expires_at.since_ms(now),
        }
    }

    /// The mark in this message, received at `now` by the receiver's clock.
    #[must_use]
    pub fn into_mark(self, now: TimePoint) -> CrashMark {
        CrashMark {
            fingerprint: self.fingerprint,
            process: self.process,
            sent_unix_ms: self.sent_unix_ms,
            is_inferred: self.inferred,
            is_cleared: self.cleared,
            expires_at: now.plus_ms(self.expires_in_ms.min(pimentoslip_kernel::SuspectTable::MARK_TTL_MS)),
        }
    }
}

/// Marks of a daemon that cannot write them to the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashPush {
    /// The marks.
    pub marks: Vec<CrashMarkBody>,
}
