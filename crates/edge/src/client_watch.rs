//! Detects that a client has closed its connection while its request is being served.

use actix_web::{dev::Extensions, rt::net::TcpStream};
use socket2::Socket;
use std::{any::Any, io::ErrorKind, mem::MaybeUninit, os::fd::AsFd, sync::Arc, time::Duration};

/// Interval at which a pending request checks its client's connection; upstreams must be notified of a close within
/// 0.5 s.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A duplicated socket handle on a client's connection. The HTTP server itself detects a close only when it writes.
#[derive(Clone, Debug)]
pub struct ClientWatch(Arc<Socket>);

impl ClientWatch {
    /// Stores a handle on a new connection in its extensions. Passed to the server as its `on_connect` hook.
    pub fn on_connect(connection: &dyn Any, extensions: &mut Extensions) {
        let Some(stream) = connection.downcast_ref::<TcpStream>() else { return };
        // If the socket cannot be duplicated, a close is detected when the response is written.
        let Ok(handle) = stream.as_fd().try_clone_to_owned() else { return };
        extensions.insert(Self(Arc::new(Socket::from(handle))));
    }

    /// Whether the connection is open. Peeks at the next byte, which stays in the socket's buffer.
    fn is_open(&self) -> bool {
        let mut buffer = [MaybeUninit::uninit(); 1];
        match self.0.peek(&mut buffer) {
            Ok(count) => count > 0,
            Err(error) => error.kind() == ErrorKind::WouldBlock,
        }
    }

    /// Waits until the client has closed its connection.
    pub async fn wait_for_close(&self) {
        while self.is_open() {
            actix_rt::time::sleep(CHECK_INTERVAL).await;
        }
    }
}
