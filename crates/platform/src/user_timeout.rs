//! HTTP clients.

use actix_rt::net::TcpStream;
use actix_service::fn_service;
use actix_tls::connect::{ConnectError, ConnectInfo, Connection, Connector as TcpConnector};
use actix_web::http::Uri;
use awc::{Client, Connector};
use socket2::SockRef;
use std::{rc::Rc, time::Duration};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
const CONNECTIONS_MAX: usize = 4_096;
const KEEP_ALIVE: Duration = Duration::from_secs(15);

/// A client that keeps connections open between calls.
#[must_use]
pub fn plain_client() -> Client {
    let connector = Connector::new().limit(CONNECTIONS_MAX).timeout(CONNECT_TIMEOUT).conn_keep_alive(KEEP_ALIVE);
    Client::builder().connector(connector).disable_timeout().disable_redirects().finish()
}

/// A client whose connections end when sent bytes stay unacknowledged for `timeout`, so that the
/// operating system cannot deliver them later on behalf of a frozen process.
#[must_use]
pub fn client_with_user_timeout(timeout: Duration) -> Client {
    let connect = fn_service(move |info: ConnectInfo<Uri>| async move {
        let service = Rc::new(TcpConnector::default().service());
        let connection: Connection<Uri, TcpStream> = actix_service::Service::call(&*service, info).await?;
        SockRef::from(connection.io_ref()).set_tcp_user_timeout(Some(timeout)).map_err(ConnectError::Io)?;
        Ok::<_, ConnectError>(connection)
    });
    let connector = Connector::new().connector(connect).timeout(CONNECT_TIMEOUT);
    Client::builder().connector(connector).disable_timeout().disable_redirects().finish()
}
