//! Configuration of the HTTP clients.

use crate::{
    connection_reaper::ConnectionReaper,
    exchange_log::{ExchangeLog, RepeatedRequest},
    strict_stream::StrictStream,
};
use actix_rt::net::TcpStream;
use actix_service::{Service, fn_service};
use actix_tls::connect::{ConnectError, ConnectInfo, Connection, Connector as TcpConnector};
use actix_web::http::Uri;
use awc::{Client, Connector, error::SendRequestError};
use socket2::SockRef;
use std::{rc::Rc, time::Duration};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum number of open connections of a client.
const CONNECTIONS_MAX: usize = 4_096;
/// Time after which an idle connection is closed.
const IDLE_CONNECTION_TTL: Duration = Duration::from_secs(15);

/// A client that reuses connections and reports a truncated response as an error.
#[must_use]
pub fn plain_client() -> Client {
    build_client(CONNECT_TIMEOUT, None, ConnectionReaper::new(false), None)
}

/// A client like [`plain_client`] for upstreams that may send a response again where the next one is expected. `id_header` is the
/// name of the header with the id of a request, which the response repeats. A request may fail as [`is_unsent`] says.
#[must_use]
pub fn plain_upstream_client(id_header: &'static str) -> Client {
    build_client(CONNECT_TIMEOUT, None, ConnectionReaper::new(false), Some(id_header))
}

/// A client like [`plain_client`] whose connections are dropped when sent bytes stay unacknowledged for `timeout`.
/// Otherwise the operating system could deliver them much later, even while the process is frozen. Responses must be read
/// without pauses, as a connection whose received bytes are not read for long is closed.
#[must_use]
pub fn client_with_tcp_user_timeout(timeout: Duration) -> Client {
    build_client(CONNECT_TIMEOUT, Some(timeout), ConnectionReaper::new(true), None)
}

/// A client like [`client_with_tcp_user_timeout`] that waits up to `connect_timeout` for a connection, for upstreams as those of
/// [`plain_upstream_client`].
#[must_use]
pub fn upstream_client(connect_timeout: Duration, tcp_user_timeout: Duration, id_header: &'static str) -> Client {
    build_client(connect_timeout, Some(tcp_user_timeout), ConnectionReaper::new(true), Some(id_header))
}

/// Whether no byte of a request was sent, as its connection had carried one with the same id. That connection is closed, so
/// that the request can be sent again, on another one.
#[must_use]
pub fn is_unsent(error: &SendRequestError) -> bool {
    let SendRequestError::Send(error) = error else { return false };
    error.get_ref().is_some_and(|cause| cause.is::<RepeatedRequest>())
}

fn build_client(
    connect_timeout: Duration,
    tcp_user_timeout: Option<Duration>,
    reaper: ConnectionReaper,
    id_header: Option<&'static str>,
) -> Client {
    let reaper = Rc::new(reaper);
    let connect = fn_service(move |info: ConnectInfo<Uri>| {
        let reaper = reaper.clone();
        async move {
            let connection: Connection<Uri, TcpStream> = TcpConnector::default().service().call(info).await?;
            let (stream, connection) = connection.replace_io(());
            stream.set_nodelay(true).map_err(ConnectError::Io)?;
            if let Some(timeout) = tcp_user_timeout {
                SockRef::from(&stream).set_tcp_user_timeout(Some(timeout)).map_err(ConnectError::Io)?;
            }
            let stream = StrictStream::new(stream, id_header.map(ExchangeLog::new));
            reaper.add(stream.socket());
            Ok::<_, ConnectError>(connection.replace_io(stream).1)
        }
    });
    let connector = Connector::new()
        .connector(connect)
        .limit(CONNECTIONS_MAX)
        .timeout(connect_timeout)
        .conn_keep_alive(IDLE_CONNECTION_TTL);
    Client::builder().connector(connector).disable_timeout().disable_redirects().finish()
}
