//! Detects that a client has closed its connection while its request is being served.

use crate::client_connection::ClientConnection;
use std::{rc::Rc, time::Duration};

/// Interval at which a pending request checks its client's connection; upstreams must be notified of a close within
/// 0.5 s.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A handle on a client's connection. The HTTP library itself detects a close only when it writes.
#[derive(Clone, Debug)]
pub struct ClientWatch(Rc<ClientConnection>);

impl ClientWatch {
    /// Watches `connection`.
    pub(crate) fn new(connection: Rc<ClientConnection>) -> Self {
        Self(connection)
    }

    /// The connection.
    pub(crate) fn connection(&self) -> &Rc<ClientConnection> {
        &self.0
    }

    /// Waits until the client has closed its connection.
    pub async fn wait_for_close(&self) {
        while self.0.is_open() {
            actix_rt::time::sleep(CHECK_INTERVAL).await;
        }
    }
}
