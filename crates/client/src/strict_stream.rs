//! A TCP stream on which an end is an error.

use actix_rt::net::{ActixStream, Ready, TcpStream};
use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The HTTP client takes the end of a connection for the end of a body, so that a cut answer would look
/// whole. Here the peer's end is an error, and only what the message itself ends counts as whole.
#[derive(Debug)]
pub struct StrictStream(TcpStream);

impl StrictStream {
    /// Wraps `stream`.
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        Self(stream)
    }
}

impl AsyncRead for StrictStream {
    fn poll_read(self: Pin<&mut Self>, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let room = buffer.remaining() > 0;
        std::task::ready!(Pin::new(&mut self.get_mut().0).poll_read(context, buffer))?;
        if room && buffer.filled().len() == before {
            return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for StrictStream {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().0).poll_write(context, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().0).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().0).poll_shutdown(context)
    }
}

impl ActixStream for StrictStream {
    fn poll_read_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.0, context)
    }

    fn poll_write_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.0, context)
    }
}
