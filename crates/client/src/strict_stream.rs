//! TCP stream that reports its end as an error.

use actix_rt::net::{ActixStream, Ready, TcpStream};
use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// TCP stream on which the end of the connection is an error. The HTTP client would accept it as the end of a body, so
/// that a truncated response would look complete; with this stream only the framing of the message ends a body.
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
        let filled_before = buffer.filled().len();
        let has_space = buffer.remaining() > 0;
        std::task::ready!(Pin::new(&mut self.get_mut().0).poll_read(context, buffer))?;
        if has_space && buffer.filled().len() == filled_before {
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
