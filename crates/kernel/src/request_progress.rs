//! Tracks whether an upstream may have run a request.

use crate::RunState;

/// Progress of one attempt at one upstream. Ensures that "not run" is reported only if the upstream cannot have run
/// the request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestProgress {
    connected: bool,
    responded: bool,
    refused: bool,
}

impl RequestProgress {
    /// Records that a connection to the upstream was opened. From then on parts of the request may have been sent.
    pub fn connection_opened(&mut self) {
        self.connected = true;
    }

    /// Records that the header of a response to this request was received.
    pub fn response_received(&mut self) {
        self.responded = true;
    }

    /// Records that the upstream reported refusing the request before running it.
    pub fn refusal_received(&mut self) {
        self.refused = true;
    }

    /// Run state to report to the caller.
    #[must_use]
    pub fn run_state(self) -> RunState {
        if self.refused || !self.connected {
            return RunState::NotRun;
        }
        if self.responded {
            return RunState::Ran;
        }
        RunState::MayHaveRun
    }
}
