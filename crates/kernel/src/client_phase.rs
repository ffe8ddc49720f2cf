//! Decides which connections of clients are closed, for lack of progress or for a new connection.

/// Ticks within which the head of a request must be complete. Clients send it at once.
pub const HEAD_TICKS_MAX: u32 = 5;
/// Ticks within which a client must take a part of its answer. Clients give up much earlier.
pub const ANSWER_TICKS_MAX: u32 = 30;
/// Ticks after which a client that is sending a head or reading an answer yields to a new connection.
const BUSY_TICKS_MIN: u32 = 1;

/// What a connection of a client waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientPhase {
    /// The first byte on the connection.
    New,
    /// The next request; the connection is idle.
    Idle,
    /// The rest of the head of a request.
    Head,
    /// The daemon, which serves a request, or the rest of the request's body.
    Served,
    /// The client, which does not read its answer.
    Unread,
}

/// A connection, as it is judged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientSample {
    /// What the connection waits for.
    pub phase: ClientPhase,
    /// Ticks since it began to wait for that.
    pub ticks: u32,
}

impl ClientSample {
    /// Whether the connection is closed because its client makes no progress.
    #[must_use]
    pub fn is_expired(&self) -> bool {
        match self.phase {
            ClientPhase::New | ClientPhase::Head => self.ticks >= HEAD_TICKS_MAX,
            ClientPhase::Unread => self.ticks >= ANSWER_TICKS_MAX,
            ClientPhase::Idle | ClientPhase::Served => false,
        }
    }

    /// Whether the connection may be closed for a new one.
    fn may_yield(&self) -> bool {
        match self.phase {
            ClientPhase::Idle => true,
            ClientPhase::New | ClientPhase::Head | ClientPhase::Unread => self.ticks >= BUSY_TICKS_MIN,
            ClientPhase::Served => false,
        }
    }
}

/// The connection that is closed for a new one: of those that may yield, the one that has waited longest, and of equal ones the
/// first. `None` if all are in use.
pub fn yielding_client<I>(samples: impl IntoIterator<Item = (I, ClientSample)>) -> Option<I> {
    let yielding = samples.into_iter().filter(|(_, sample)| sample.may_yield());
    yielding.reduce(|first, next| if next.1.ticks > first.1.ticks { next } else { first }).map(|(client, _)| client)
}
