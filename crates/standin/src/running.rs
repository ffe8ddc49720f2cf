//! A stand-in that was started.

use actix_web::dev::{Server, ServerHandle};
use std::{io, net::SocketAddr};

/// Result of starting a stand-in.
pub type Result<T> = io::Result<T>;

/// A stand-in with its bound address. It serves while its server future is polled.
pub struct RunningStandin {
    /// Bound address.
    pub address: SocketAddr,
    /// Future that serves until stopped.
    pub server: Server,
}

impl RunningStandin {
    /// Serves on the current runtime; the handle stops it.
    #[must_use]
    pub fn spawn(self) -> (SocketAddr, ServerHandle) {
        let handle = self.server.handle();
        actix_rt::spawn(self.server);
        (self.address, handle)
    }
}

/// Binds `listen`, given as `ip:port`, and starts an app on one worker.
macro_rules! start {
    ($listen:expr, $app:expr) => {{
        let listener = std::net::TcpListener::bind($listen)?;
        let address = listener.local_addr()?;
        let server =
            actix_web::HttpServer::new($app).workers(1).disable_signals().shutdown_timeout(1).listen(listener)?.run();
        Ok($crate::RunningStandin { address, server })
    }};
}
pub(crate) use start;
