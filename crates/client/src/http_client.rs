//! HTTP clients.

use crate::strict_stream::StrictStream;
use actix_rt::net::TcpStream;
use actix_service::{Service, fn_service};
use actix_tls::connect::{ConnectError, ConnectInfo, Connection, Connector as TcpConnector};
use actix_web::http::Uri;
use awc::{Client, Connector};
use socket2::SockRef;
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
const CONNECTIONS_MAX: usize = 4_096;
const KEEP_ALIVE: Duration = Duration::from_secs(15);

/// A client that keeps connections open between calls and takes no cut answer for a whole one.
#[must_use]
pub fn plain_client() -> Client {
    client(None)
}

/// As [`plain_client`], with connections that end when sent bytes stay unacknowledged for `timeout`, so
/// that the operating system cannot deliver them later on behalf of a frozen process.
#[must_use]
pub fn client_with_tcp_user_timeout(timeout: Duration) -> Client {
    client(Some(timeout))
}

fn client(user_timeout: Option<Duration>) -> Client {
    let connect = fn_service(move |info: ConnectInfo<Uri>| async move {
        let connection: Connection<Uri, TcpStream> = TcpConnector::default().service().call(info).await?;
        let (stream, connection) = connection.replace_io(());
        stream.set_nodelay(true).map_err(ConnectError::Io)?;
        if let Some(timeout) = user_timeout {
            SockRef::from(&stream).set_tcp_user_timeout(Some(timeout)).map_err(ConnectError::Io)?;
        }
        Ok::<_, ConnectError>(connection.replace_io(StrictStream::new(stream)).1)
    });
    let connector =
        Connector::new().connector(connect).limit(CONNECTIONS_MAX).timeout(CONNECT_TIMEOUT).conn_keep_alive(KEEP_ALIVE);
    Client::builder().connector(connector).disable_timeout().disable_redirects().finish()
}
