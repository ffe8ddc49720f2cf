//! Byte stream of a client's connection, as the HTTP library uses it.

use crate::{
    client_connection::ClientConnection, client_table::ClientTable, client_watch::ClientWatch,
    http_listener::LimitObserver,
};
use std::{
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Stream of a connection, which is listed in its table until the stream is dropped.
#[derive(Debug)]
pub struct ClientStream<O: LimitObserver> {
    connection: Rc<ClientConnection>,
    table: Rc<ClientTable<O>>,
    number: u64,
}

impl<O: LimitObserver> ClientStream<O> {
    /// Creates the stream of the connection with the number `number` in `table`.
    pub fn new(connection: Rc<ClientConnection>, table: Rc<ClientTable<O>>, number: u64) -> Self {
        Self { connection, table, number }
    }

    /// A handle on the connection.
    pub fn watch(&self) -> ClientWatch {
        ClientWatch::new(self.connection.clone())
    }
}

impl<O: LimitObserver> Drop for ClientStream<O> {
    fn drop(&mut self) {
        self.table.remove(self.number);
        self.connection.end();
    }
}

impl<O: LimitObserver> AsyncRead for ClientStream<O> {
    fn poll_read(self: Pin<&mut Self>, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        self.connection.poll_read(context, buffer)
    }
}

impl<O: LimitObserver> AsyncWrite for ClientStream<O> {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.connection.poll_write(context, |socket, context| socket.poll_write(context, bytes))
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The socket keeps nothing back.
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.connection.poll_write(context, |socket, context| socket.poll_shutdown(context))
    }
}
