//! What is known about whether a request ran.

use crate::RunState;

/// Tracks the bytes of one request towards one upstream, so that "not run" is said only when true.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestProgress {
    connected: bool,
    answered: bool,
    refused: bool,
}

impl RequestProgress {
    /// A connection to the upstream stands; from here on bytes may have left.
    pub fn connection_opened(&mut self) {
        self.connected = true;
    }

    /// The upstream answered with a header that belongs to this request.
    pub fn response_received(&mut self) {
        self.answered = true;
    }

    /// The upstream itself said that it refused the request before running it.
    pub fn refusal_received(&mut self) {
        self.refused = true;
    }

    /// What may be told to the caller.
    #[must_use]
    pub fn run_state(self) -> RunState {
        if self.refused || !self.connected {
            return RunState::NotRun;
        }
        if self.answered {
            return RunState::Ran;
        }
        RunState::MayHaveRun
    }
}
