//! State of a client's connection: what may be read from it, and the memory that it uses.

use crate::buffer_budget::BufferShare;
use actix_http::{HttpMessage, Request};
use actix_rt::net::TcpStream;
use actix_web::http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use bytes::{Buf, BytesMut};
use pimentoslip_kernel::{ClientPhase, ClientSample, HeadScanner};
use socket2::SockRef;
use std::{
    cell::RefCell,
    io,
    mem::MaybeUninit,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, Waker, ready},
    time::Duration,
};
use tokio::io::{AsyncRead, ReadBuf};

/// Memory of an open connection: the HTTP library's two buffers and its state.
pub const CONNECTION_BYTES: usize = 24 << 10;
/// Memory of a request in progress beside its head and bodies: its handler, and the part of the response that is being written.
const REQUEST_BYTES: usize = 32 << 10;
/// Largest block that is received at once.
const BLOCK_BYTES: usize = 8 << 10;
/// Largest block that is read of a head.
const HEAD_BLOCK_BYTES: usize = 4 << 10;
/// Bytes of a body that are read each time the handler waits for more.
const BODY_BLOCK_BYTES: usize = 32 << 10;
/// Response to a request whose head is not complete in time.
const HEAD_LATE_RESPONSE: &[u8] = b"HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// End of the body of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyEnd {
    /// After this many bytes, which are not read yet.
    After(usize),
    /// Marked by the body itself.
    Marked,
    /// The body was read completely.
    Passed,
}

/// What is read from a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadState {
    /// Bytes of a head.
    Head,
    /// Nothing: a complete head was passed on, whose request has not started.
    HeadPassed,
    /// The body of the request in progress, `allowance` bytes at most.
    Body { end: BodyEnd, allowance: usize },
    /// The rest of a body that is not needed.
    Discarded,
}

/// Mutable state of a connection.
#[derive(Debug)]
struct ConnectionState {
    /// `None` once the connection is closed.
    socket: Option<TcpStream>,
    read_state: ReadState,
    scanner: HeadScanner,
    /// Received bytes after the end of a head.
    excess: BytesMut,
    /// Whether the client has not taken all that was written.
    is_write_blocked: bool,
    /// Whether a request was served before.
    is_used: bool,
    /// Whether the time for the head was prolonged, as bytes had arrived that were not read.
    is_prolonged: bool,
    /// Whether a block was passed on that is not needed, and that the library drops before the next one is read.
    is_block_passed: bool,
    /// Ticks since the connection began to wait for what it waits for.
    ticks: u32,
    /// Wakes the task that serves the connection.
    waker: Option<Waker>,
    /// Memory of the connection, the request in progress and its head.
    share: BufferShare,
}

/// A client's connection.
#[derive(Debug)]
pub struct ClientConnection {
    state: RefCell<ConnectionState>,
}

/// The request that is in progress on a connection, until this is dropped.
#[derive(Debug)]
pub struct RequestTurn(Rc<ClientConnection>);

impl Drop for RequestTurn {
    fn drop(&mut self) {
        self.0.request_ended();
    }
}

impl ConnectionState {
    fn wake(&self) {
        if let Some(waker) = &self.waker {
            waker.wake_by_ref();
        }
    }

    fn keep_waker(&mut self, context: &Context<'_>) {
        if !self.waker.as_ref().is_some_and(|waker| waker.will_wake(context.waker())) {
            self.waker = Some(context.waker().clone());
        }
    }

    /// Whether the next byte, or the end of the connection, has arrived.
    fn has_unread(&self) -> bool {
        let Some(socket) = &self.socket else { return false };
        let mut buffer = [MaybeUninit::uninit(); 1];
        match SockRef::from(socket).peek(&mut buffer) {
            Ok(_) => true,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Receives up to `limit` bytes, first those that were received before, and passes them to `accept`, which returns how many of
    /// them are passed on. The others are kept.
    fn poll_receive(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
        limit: usize,
        accept: impl FnOnce(&mut Self, &[u8]) -> io::Result<usize>,
    ) -> Poll<io::Result<()>> {
        let limit = limit.min(buffer.remaining()).min(BLOCK_BYTES);
        if self.excess.has_remaining() {
            let mut received = std::mem::take(&mut self.excess);
            let accepted = accept(self, &received[..limit.min(received.len())])?;
            buffer.put_slice(&received.split_to(accepted));
            self.excess = received;
            return Poll::Ready(Ok(()));
        }
        let Some(socket) = &mut self.socket else { return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into())) };
        let mut block = [MaybeUninit::uninit(); BLOCK_BYTES];
        let mut received = ReadBuf::uninit(&mut block[..limit]);
        ready!(Pin::new(socket).poll_read(context, &mut received))?;
        let received = received.filled();
        let accepted = accept(self, received)?;
        buffer.put_slice(&received[..accepted]);
        self.excess.extend_from_slice(&received[accepted..]);
        Poll::Ready(Ok(()))
    }

    /// Reads a part of a head. Nothing after its end is passed on.
    fn poll_head(&mut self, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        self.poll_receive(context, buffer, HEAD_BLOCK_BYTES, |state, bytes| {
            let was_within_head = state.scanner.is_within_head();
            let end = state.scanner.find_end(bytes);
            if end.is_some() {
                state.read_state = ReadState::HeadPassed;
            }
            if !was_within_head && state.phase() == ClientPhase::Head {
                state.ticks = 0;
            }
            let passed = end.unwrap_or(bytes.len());
            if state.share.grow(passed) { Ok(passed) } else { Err(io::ErrorKind::OutOfMemory.into()) }
        })
    }

    /// Reads a part of the body of the request in progress. Nothing after its end is passed on, or, where the body itself marks it,
    /// after a blank line.
    fn poll_body(&mut self, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let ReadState::Body { end, allowance } = self.read_state else { return Poll::Pending };
        let limit = if let BodyEnd::After(left) = end { left.min(allowance) } else { allowance };
        if limit == 0 {
            return Poll::Pending;
        }
        self.poll_receive(context, buffer, limit, |state, bytes| {
            let blank_line_end = if end == BodyEnd::Marked { state.scanner.find_end(bytes) } else { None };
            let passed = blank_line_end.unwrap_or(bytes.len());
            let end = if let BodyEnd::After(left) = end { BodyEnd::After(left - passed) } else { end };
            let allowance = if blank_line_end.is_some() { 0 } else { allowance - passed };
            state.read_state = ReadState::Body { end, allowance };
            Ok(passed)
        })
    }

    /// Reads a block of a body that is not needed. The library drops it before the next one is read.
    fn poll_discarded(&mut self, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        if std::mem::take(&mut self.is_block_passed) {
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        self.is_block_passed = true;
        self.poll_receive(context, buffer, HEAD_BLOCK_BYTES, |_, bytes| Ok(bytes.len()))
    }

    /// What the connection waits for.
    fn phase(&self) -> ClientPhase {
        match self.read_state {
            _ if self.is_write_blocked => ClientPhase::Unread,
            ReadState::Body { .. } => ClientPhase::Served,
            ReadState::HeadPassed | ReadState::Discarded => ClientPhase::Head,
            ReadState::Head if self.scanner.is_within_head() => ClientPhase::Head,
            ReadState::Head if self.is_used => ClientPhase::Idle,
            ReadState::Head => ClientPhase::New,
        }
    }

    /// Closes the connection and drops what the client has not taken.
    fn close(&mut self) {
        if let Some(socket) = self.socket.take() {
            if self.is_write_blocked {
                // The system would keep the bytes until the client takes them. If it can't, it drops them later.
                let _ = SockRef::from(&socket).set_linger(Some(Duration::ZERO));
            } else if self.read_state == ReadState::Head && self.scanner.is_within_head() {
                // The client may have left.
                let _ = socket.try_write(HEAD_LATE_RESPONSE);
            }
        }
        self.wake();
    }
}

impl ClientConnection {
    /// Wraps an accepted socket. `share` is the memory of the connection.
    pub fn new(socket: TcpStream, share: BufferShare) -> Rc<Self> {
        let state = ConnectionState {
            socket: Some(socket),
            read_state: ReadState::Head,
            scanner: HeadScanner::default(),
            excess: BytesMut::new(),
            is_write_blocked: false,
            is_used: false,
            is_prolonged: false,
            is_block_passed: false,
            ticks: 0,
            waker: None,
            share,
        };
        Rc::new(Self { state: RefCell::new(state) })
    }

    /// Whether the client has not closed the connection.
    pub fn is_open(&self) -> bool {
        let state = self.state.borrow();
        let Some(socket) = &state.socket else { return false };
        let mut buffer = [MaybeUninit::uninit(); 1];
        match SockRef::from(socket).peek(&mut buffer) {
            Ok(count) => count > 0 || state.excess.has_remaining(),
            Err(error) => error.kind() == io::ErrorKind::WouldBlock,
        }
    }

    /// Counts a tick and returns what the connection waits for.
    pub fn tick(&self) -> ClientSample {
        let mut state = self.state.borrow_mut();
        state.ticks = state.ticks.saturating_add(1);
        ClientSample { phase: state.phase(), ticks: state.ticks }
    }

    /// What the connection waits for.
    pub fn sample(&self) -> ClientSample {
        let state = self.state.borrow();
        ClientSample { phase: state.phase(), ticks: state.ticks }
    }

    /// Prolongs the time for a head once, if bytes have arrived that are not read yet. Returns whether it did.
    pub fn prolong(&self) -> bool {
        let mut state = self.state.borrow_mut();
        let is_prolonged = !state.is_write_blocked && !state.is_prolonged && state.has_unread();
        state.is_prolonged |= is_prolonged;
        is_prolonged
    }

    /// Closes the connection; the client's bytes and answers are dropped.
    pub fn close(&self) {
        self.state.borrow_mut().close();
    }

    /// Closes the connection after the HTTP library has served it.
    pub fn end(&self) {
        self.state.borrow_mut().socket = None;
    }

    /// Begins the request whose head was passed on. `None` if there is no memory for it.
    pub fn begin_request(self: &Rc<Self>, request: &Request) -> Option<RequestTurn> {
        let mut state = self.state.borrow_mut();
        if !state.share.grow(REQUEST_BYTES) {
            return None;
        }
        let headers = request.headers();
        let length = headers.get(CONTENT_LENGTH).and_then(|length| length.to_str().ok()?.trim().parse().ok());
        let end = match length {
            _ if headers.contains_key(TRANSFER_ENCODING) || request.upgrade() => BodyEnd::Marked,
            Some(length) if length > 0 => BodyEnd::After(length),
            _ => BodyEnd::Passed,
        };
        state.read_state = ReadState::Body { end, allowance: 0 };
        state.ticks = 0;
        Some(RequestTurn(self.clone()))
    }

    /// Lets more of the body of the request in progress be read.
    pub fn want_body(&self) {
        let mut state = self.state.borrow_mut();
        let ReadState::Body { end, allowance: 0 } = state.read_state else { return };
        if matches!(end, BodyEnd::Passed | BodyEnd::After(0)) {
            return;
        }
        state.read_state = ReadState::Body { end, allowance: BODY_BLOCK_BYTES };
        state.wake();
    }

    /// Records that the body of the request in progress was read completely.
    pub fn body_ended(&self) {
        let mut state = self.state.borrow_mut();
        if let ReadState::Body { end, .. } = &mut state.read_state {
            *end = BodyEnd::Passed;
        }
    }

    /// Whether a part of the body of the request in progress was not read.
    pub fn has_unread_body(&self) -> bool {
        matches!(self.state.borrow().read_state, ReadState::Body { end: BodyEnd::Marked | BodyEnd::After(1..), .. })
    }

    /// Ends the request in progress; then the next one may be read.
    fn request_ended(&self) {
        let has_unread_body = self.has_unread_body();
        let mut state = self.state.borrow_mut();
        state.read_state = if has_unread_body { ReadState::Discarded } else { ReadState::Head };
        state.scanner = HeadScanner::default();
        state.is_used = true;
        state.is_prolonged = false;
        state.ticks = 0;
        // A smaller share is always granted.
        let _ = state.share.resize(CONNECTION_BYTES);
        state.wake();
    }

    /// Reads what the connection may pass on now.
    pub fn poll_read(&self, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let mut state = self.state.borrow_mut();
        state.keep_waker(context);
        if state.socket.is_none() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        if state.is_write_blocked {
            return Poll::Pending;
        }
        match state.read_state {
            ReadState::Head => state.poll_head(context, buffer),
            ReadState::HeadPassed => Poll::Pending,
            ReadState::Body { .. } => state.poll_body(context, buffer),
            ReadState::Discarded => state.poll_discarded(context, buffer),
        }
    }

    /// Polls the open socket for writing; fails if it is closed.
    pub fn poll_write<T>(
        &self,
        context: &mut Context<'_>,
        poll: impl FnOnce(Pin<&mut TcpStream>, &mut Context<'_>) -> Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        let mut state = self.state.borrow_mut();
        state.keep_waker(context);
        let Some(socket) = &mut state.socket else { return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into())) };
        let result = poll(Pin::new(socket), context);
        let was_blocked = std::mem::replace(&mut state.is_write_blocked, result.is_pending());
        if result.is_ready() || !was_blocked {
            state.ticks = 0;
        }
        if result.is_ready() && was_blocked {
            state.wake();
        }
        result
    }
}
