//! Notices that a client has closed its connection.

use actix_web::{dev::Extensions, rt::net::TcpStream};
use socket2::Socket;
use std::{any::Any, io::ErrorKind, mem::MaybeUninit, os::fd::AsFd, sync::Arc, time::Duration};

/// How often a waiting request looks at its connection; upstreams must hear of a close within 0.5 s.
const LOOK_PERIOD: Duration = Duration::from_millis(100);

/// A second handle on a client's connection. The HTTP server notices a close only when it writes.
#[derive(Clone, Debug)]
pub struct ClientWatch(Arc<Socket>);

impl ClientWatch {
    /// Keeps a handle on a new connection; for the server's connection hook.
    pub fn on_connect(connection: &dyn Any, data: &mut Extensions) {
        let Some(stream) = connection.downcast_ref::<TcpStream>() else { return };
        // Without a handle a close is noticed when the answer is written.
        let Ok(handle) = stream.as_fd().try_clone_to_owned() else { return };
        data.insert(Self(Arc::new(Socket::from(handle))));
    }

    /// Whether the client can still get an answer.
    fn is_open(&self) -> bool {
        let mut buffer = [MaybeUninit::uninit(); 1];
        match self.0.peek(&mut buffer) {
            Ok(count) => count > 0,
            Err(error) => error.kind() == ErrorKind::WouldBlock,
        }
    }

    /// Waits until the client has closed its connection.
    pub async fn closed(&self) {
        while self.is_open() {
            actix_rt::time::sleep(LOOK_PERIOD).await;
        }
    }
}
