//! Closes idle connections that a client's pool does not check.

use crate::strict_stream::SharedSocket;
use std::{
    cell::RefCell,
    rc::{Rc, Weak},
    time::Duration,
};

/// Time between two checks of the connections.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// A connection with unread bytes, or one that its peer has closed, is closed if nothing was read or written for this
/// long. A connection in use would have read them.
const UNREAD_TTL: Duration = Duration::from_secs(4);
/// A connection on which nothing was read or written for this long is closed. Longer than any response may take.
const SILENT_TTL: Duration = Duration::from_secs(600);

/// Open connections of one client. The pool of the HTTP library looks at an idle connection only when it next needs one
/// to the same address, so that connections to addresses which are not used again would stay open.
#[derive(Debug)]
pub struct ConnectionReaper {
    /// Whether the client reads every response without pauses, so that unread bytes belong to no response.
    reads_at_once: bool,
    sockets: RefCell<Vec<Weak<RefCell<SharedSocket>>>>,
}

impl ConnectionReaper {
    /// Creates the reaper of a client. `reads_at_once` says whether the client reads every response without pauses.
    #[must_use]
    pub fn new(reads_at_once: bool) -> Self {
        Self { reads_at_once, sockets: RefCell::default() }
    }

    /// Adds a new connection. The first one starts the checks, which end when the client is dropped.
    pub fn add(self: &Rc<Self>, socket: &Rc<RefCell<SharedSocket>>) {
        let mut sockets = self.sockets.borrow_mut();
        if sockets.capacity() == 0 {
            actix_rt::spawn(Self::check_regularly(Rc::downgrade(self)));
        }
        sockets.push(Rc::downgrade(socket));
    }

    async fn check_regularly(reaper: Weak<Self>) {
        loop {
            actix_rt::time::sleep(CHECK_INTERVAL).await;
            let Some(reaper) = reaper.upgrade() else { return };
            reaper.close_unused();
        }
    }

    /// Closes connections that are not used any more, and drops the entries of closed ones.
    fn close_unused(&self) {
        self.sockets.borrow_mut().retain(|socket| {
            let Some(socket) = socket.upgrade() else { return false };
            let mut socket = socket.borrow_mut();
            let idle = socket.idle_time();
            if idle >= SILENT_TTL || (self.reads_at_once && idle >= UNREAD_TTL && socket.has_unread()) {
                socket.close();
            }
            socket.is_open()
        });
    }
}
