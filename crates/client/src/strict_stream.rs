//! TCP stream of an HTTP client that reports its end as an error, and is not used again where a copy of a response could be mistaken.

use crate::{
    exchange_log::{ExchangeLog, Result},
    response_head::ResponseHead,
};
use actix_rt::net::{ActixStream, Ready, TcpStream};
use bytes::{Buf, BytesMut};
use socket2::SockRef;
use std::{
    cell::RefCell,
    io,
    mem::MaybeUninit,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::{Duration, Instant},
};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Size of the blocks in which the head of a response is read.
const HEAD_BLOCK_BYTES: usize = 4 << 10;

/// Socket of a stream, which its client may also close while the connection is idle.
#[derive(Debug)]
pub struct SharedSocket {
    /// `None` once the socket is closed.
    stream: Option<TcpStream>,
    /// When something was read or written last.
    used_at: Instant,
}

impl SharedSocket {
    /// Time for which nothing was read or written.
    #[must_use]
    pub fn idle_time(&self) -> Duration {
        self.used_at.elapsed()
    }

    /// Whether received bytes, or the end of the connection, have not been read.
    #[must_use]
    pub fn has_unread(&self) -> bool {
        let Some(stream) = &self.stream else { return false };
        let mut buffer = [MaybeUninit::uninit(); 1];
        match SockRef::from(stream).peek(&mut buffer) {
            Ok(_) => true,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Closes the socket.
    pub fn close(&mut self) {
        self.stream = None;
    }

    /// Whether the socket is open.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.stream.is_some()
    }

    /// Polls the open socket; fails if it is closed.
    fn poll_open<T>(&mut self, poll: impl FnOnce(Pin<&mut TcpStream>) -> Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        let Some(stream) = &mut self.stream else { return Poll::Ready(Err(io::ErrorKind::NotConnected.into())) };
        let result = poll(Pin::new(stream));
        if result.is_ready() {
            self.used_at = Instant::now();
        }
        result
    }
}

/// TCP stream on which the end of the connection is an error. The HTTP client would accept it as the end of a body, so
/// that a truncated response would look complete; with this stream only the framing of the message ends a body. A request whose id
/// the connection has carried before is not sent: writing it fails with [`RepeatedRequest`](crate::RepeatedRequest).
#[derive(Debug)]
pub struct StrictStream {
    socket: Rc<RefCell<SharedSocket>>,
    /// Requests on this connection; `None` if its server sends no copies of responses.
    exchanges: Option<ExchangeLog>,
    /// Head of the response that is being received; `None` after it was passed on, until the next request is written.
    head: Option<ResponseHead>,
    /// Received bytes that are not passed on yet.
    prepared: BytesMut,
}

impl StrictStream {
    /// Wraps the new connection `stream`, whose requests `exchanges` records.
    #[must_use]
    pub fn new(stream: TcpStream, exchanges: Option<ExchangeLog>) -> Self {
        let socket = SharedSocket { stream: Some(stream), used_at: Instant::now() };
        Self { socket: Rc::new(RefCell::new(socket)), exchanges, head: None, prepared: BytesMut::new() }
    }

    /// The socket of the stream.
    #[must_use]
    pub fn socket(&self) -> &Rc<RefCell<SharedSocket>> {
        &self.socket
    }

    /// Starts a request whose first bytes are `bytes`. The connection is closed if it must not carry the request.
    fn start_request(&mut self, bytes: &[u8]) -> Result<()> {
        if let Some(exchanges) = &mut self.exchanges {
            exchanges.request_started(bytes).inspect_err(|_| self.socket.borrow_mut().close())?;
        }
        self.head = Some(ResponseHead::default());
        // Bytes that are left over belong to no response.
        self.prepared.clear();
        Ok(())
    }

    /// Reads until the head of a response is complete. The bytes read are then prepared.
    fn poll_head(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        while let Some(head) = &mut self.head {
            let mut block = [MaybeUninit::uninit(); HEAD_BLOCK_BYTES];
            let mut buffer = ReadBuf::uninit(&mut block);
            std::task::ready!(self.socket.borrow_mut().poll_open(|stream| stream.poll_read(context, &mut buffer)))?;
            let is_ended = buffer.filled().is_empty();
            if let Some(mut prepared) =
                if is_ended { Some(head.take()) } else { head.add(buffer.filled(), self.exchanges.as_ref()) }
            {
                if let Some(exchanges) = &self.exchanges {
                    exchanges.response_received(&mut prepared);
                }
                self.prepared = prepared;
                self.head = None;
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl Drop for StrictStream {
    fn drop(&mut self) {
        self.socket.borrow_mut().close();
    }
}

impl AsyncRead for StrictStream {
    fn poll_read(self: Pin<&mut Self>, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        std::task::ready!(this.poll_head(context))?;
        if this.prepared.has_remaining() {
            let count = this.prepared.len().min(buffer.remaining());
            buffer.put_slice(&this.prepared.split_to(count));
            return Poll::Ready(Ok(()));
        }
        let filled_before = buffer.filled().len();
        let has_space = buffer.remaining() > 0;
        std::task::ready!(this.socket.borrow_mut().poll_open(|stream| stream.poll_read(context, buffer)))?;
        if has_space && buffer.filled().len() == filled_before {
            return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for StrictStream {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        if this.head.is_none() {
            // The HTTP library writes the complete head at once, and reads no response before it has written the request.
            this.start_request(bytes).map_err(io::Error::other)?;
        }
        this.socket.borrow_mut().poll_open(|stream| stream.poll_write(context, bytes))
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.socket.borrow_mut().poll_open(|stream| stream.poll_flush(context))
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.socket.borrow_mut().poll_open(|stream| stream.poll_shutdown(context))
    }
}

impl ActixStream for StrictStream {
    fn poll_read_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        self.socket.borrow_mut().poll_open(|stream| ActixStream::poll_read_ready(&*stream, context))
    }

    fn poll_write_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        self.socket.borrow_mut().poll_open(|stream| ActixStream::poll_write_ready(&*stream, context))
    }
}
