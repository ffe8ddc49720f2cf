//! Starting the HTTP server of a stand-in, and the handle of a started stand-in.

use actix_web::dev::{Server, ServerHandle};
use std::{io, net::SocketAddr};

/// Result of starting a stand-in.
pub type Result<T> = io::Result<T>;

/// A started stand-in. It serves requests only while its server future is polled.
pub struct RunningStandin {
    /// Address that the server listens on.
    pub address: SocketAddr,
    /// Future that serves requests until the server is stopped.
    pub server: Server,
}

impl RunningStandin {
    /// Serves requests on the current runtime. Returns the listen address and a handle that stops the server.
    #[must_use]
    pub fn spawn(self) -> (SocketAddr, ServerHandle) {
        let handle = self.server.handle();
        actix_rt::spawn(self.server);
        (self.address, handle)
    }
}

/// Binds `$listen`, given as `ip:port`, and serves the application that `$app` creates with one worker thread.
///
/// Evaluates to a [`Result`] of a [`RunningStandin`]. Returns from the calling function if the address cannot be bound.
macro_rules! start_server {
    ($listen:expr, $app:expr) => {{
        let listener = std::net::TcpListener::bind($listen)?;
        let address = listener.local_addr()?;
        let server =
            actix_web::HttpServer::new($app).workers(1).disable_signals().shutdown_timeout(1).listen(listener)?.run();
        Ok($crate::RunningStandin { address, server })
    }};
}
pub(crate) use start_server;
