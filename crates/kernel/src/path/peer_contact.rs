//! Signs of life of a daemon that relays calls.

use crate::TimePoint;

/// Time in which the daemon is asked whether it runs by one of the calls that wait for it.
const CHECK_INTERVAL_MS: u64 = 350;

/// What is known of a daemon that has not responded to a call for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerCheck {
    /// It has responded to another call.
    Responded,
    /// It has not responded when it was asked whether it runs.
    Silent,
    /// It is being asked on behalf of another call.
    Pending,
    /// It is to be asked now.
    Due,
}

/// When a daemon has shown that it runs, or has not.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerContact {
    responded_at: Option<TimePoint>,
    asked_at: Option<TimePoint>,
    silent_at: Option<TimePoint>,
}

impl PeerContact {
    /// Handles a response.
    pub fn responded(&mut self, now: TimePoint) {
        self.responded_at = Some(now);
    }

    /// Handles a check without a response.
    pub fn silent(&mut self, now: TimePoint) {
        self.silent_at = Some(now);
    }

    /// What is known since `since`. If the daemon is to be asked, the caller must do so.
    pub fn check(&mut self, since: TimePoint, now: TimePoint) -> PeerCheck {
        let is_later = |time: Option<TimePoint>| time.is_some_and(|time| time > since);
        if is_later(self.responded_at) {
            return PeerCheck::Responded;
        }
        if is_later(self.silent_at) {
            return PeerCheck::Silent;
        }
        if self.asked_at.is_some_and(|asked_at| now.since_ms(asked_at) < CHECK_INTERVAL_MS) {
            return PeerCheck::Pending;
        }
        self.asked_at = Some(now);
        PeerCheck::Due
    }
}
