//! TCP relay that simulates network faults: closed, stalled and truncated connections, and addresses that refuse new
//! connections or do not respond to them.

use actix_rt::net::{TcpListener, TcpStream};
use socket2::{Domain, SockRef, Socket, Type};
use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    sync::watch,
};

const BUFFER_BYTES: usize = 16 << 10;
/// Connections that wait to be accepted at most.
const BACKLOG: i32 = 128;
/// Connections that fill the backlog of a listener without one.
const FILLERS: usize = 2;

/// Treatment of the connections through a relay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RelayRule {
    /// Forwards all bytes.
    #[default]
    Pass,
    /// Closes open connections, and new ones as soon as they are accepted.
    Cut,
    /// Forwards nothing and keeps connections open.
    Stall,
    /// Forwards nothing, and does not respond to new connections.
    Silence,
    /// Resets open connections, and refuses new ones.
    Refuse,
    /// Refuses new connections; open ones continue.
    RefuseNew,
    /// Closes a connection after this number of bytes was forwarded to the target.
    CutRequestAfter(usize),
    /// Closes a connection after this number of bytes was forwarded from the target.
    CutAnswerAfter(usize),
}

impl RelayRule {
    /// Whether bytes wait in open connections.
    fn is_stalled(self) -> bool {
        matches!(self, Self::Stall | Self::Silence)
    }

    /// Whether connections that are open when the rule is set are ended.
    fn ends_open(self) -> bool {
        matches!(self, Self::Cut | Self::Refuse)
    }
}

/// A running TCP relay.
pub struct TcpRelay {
    /// Address that the relay listens on.
    pub address: SocketAddr,
    /// Number of times at which open connections were ended, and the current rule.
    rule: watch::Sender<(u64, RelayRule)>,
    /// Bytes forwarded to the target and back.
    forwarded_bytes: Arc<Mutex<(usize, usize)>>,
}

/// Socket bound to `address`, which other sockets of this process may be bound to as well.
fn bound_socket(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_port(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

fn listener(address: SocketAddr, backlog: i32) -> io::Result<TcpListener> {
    let socket = bound_socket(address)?;
    socket.listen(backlog)?;
    TcpListener::from_std(socket.into())
}

/// Listener at `address` that drops further requests for connections: its backlog is full.
struct FullListener {
    _listener: TcpListener,
    _fillers: Vec<Socket>,
}

impl FullListener {
    fn new(address: SocketAddr) -> io::Result<Self> {
        let full_listener = listener(address, 0)?;
        let mut fillers = Vec::new();
        for _ in 0..FILLERS {
            let filler = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
            filler.set_nonblocking(true)?;
            // The result is awaited by nobody: the connection is accepted, or dropped like those after it.
            let _ = filler.connect(&address.into());
            fillers.push(filler);
        }
        Ok(Self { _listener: full_listener, _fillers: fillers })
    }
}

impl TcpRelay {
    /// Starts a relay to `target` on the current runtime, at a free loopback port.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        // Keeps the port while nothing listens on it.
        let placeholder = bound_socket(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let address = placeholder.local_addr()?.as_socket().ok_or(io::ErrorKind::AddrNotAvailable)?;
        let first_listener = listener(address, BACKLOG)?;
        let rule = watch::Sender::new((0, RelayRule::Pass));
        let forwarded_bytes = Arc::new(Mutex::new((0, 0)));
        let accepting = AcceptTask {
            address,
            target,
            rule: rule.clone(),
            forwarded_bytes: forwarded_bytes.clone(),
            _placeholder: placeholder,
        };
        actix_rt::spawn(async move {
            if let Err(error) = accepting.run(first_listener).await {
                eprintln!("the relay at {address} has ended: {error}");
            }
        });
        Ok(Self { address, rule, forwarded_bytes })
    }

    /// Sets the rule for open and new connections. Rules that end connections end those that are open now, even if
    /// another rule is set before the relay acts on it.
    pub fn set_rule(&self, rule: RelayRule) {
        self.rule.send_modify(|(ends, current)| {
            *ends += u64::from(rule.ends_open());
            *current = rule;
        });
    }

    /// Bytes forwarded to the target and back from it, over all connections.
    #[must_use]
    pub fn forwarded_bytes(&self) -> (usize, usize) {
        *self.forwarded_bytes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Accepts the connections of a relay.
struct AcceptTask {
    address: SocketAddr,
    target: SocketAddr,
    rule: watch::Sender<(u64, RelayRule)>,
    forwarded_bytes: Arc<Mutex<(usize, usize)>>,
    _placeholder: Socket,
}

impl AcceptTask {
    async fn run(self, first_listener: TcpListener) -> io::Result<()> {
        let mut rule = self.rule.subscribe();
        let mut open_listener = Some(first_listener);
        loop {
            let current = rule.borrow_and_update().1;
            match current {
                RelayRule::Refuse | RelayRule::RefuseNew => {
                    open_listener = None;
                    changed(&mut rule).await;
                }
                RelayRule::Silence => {
                    open_listener = None;
                    let full_listener = FullListener::new(self.address)?;
                    changed(&mut rule).await;
                    drop(full_listener);
                }
                _ => {
                    let current_listener = match open_listener.take() {
                        Some(current_listener) => current_listener,
                        None => listener(self.address, BACKLOG)?,
                    };
                    tokio::select! {
                        accepted = current_listener.accept() => {
                            if let (Ok((caller_stream, _)), false) = (accepted, current == RelayRule::Cut) {
                                let (target, forwarded_bytes) = (self.target, self.forwarded_bytes.clone());
                                actix_rt::spawn(relay(caller_stream, target, self.rule.subscribe(), forwarded_bytes));
                            }
                        }
                        () = changed(&mut rule) => {}
                    }
                    open_listener = Some(current_listener);
                }
            }
        }
    }
}

/// Waits until another rule is set; for ever once no other can be set.
async fn changed(rule: &mut watch::Receiver<(u64, RelayRule)>) {
    if rule.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Forwards bytes between `caller_stream` and `target` until either closes the connection or the rule does.
async fn relay(
    mut caller_stream: TcpStream,
    target: SocketAddr,
    mut rule: watch::Receiver<(u64, RelayRule)>,
    forwarded_bytes: Arc<Mutex<(usize, usize)>>,
) {
    let ends = rule.borrow().0;
    let Ok(mut target_stream) = TcpStream::connect(target).await else { return };
    if rule.borrow().0 != ends {
        return;
    }
    let (mut request_bytes, mut answer_bytes) = (0, 0);
    let mut request_buffer = vec![0; BUFFER_BYTES];
    let mut answer_buffer = vec![0; BUFFER_BYTES];
    loop {
        let current_rule = rule.borrow().1;
        let stalled = current_rule.is_stalled();
        tokio::select! {
            changed = rule.changed() => {
                if changed.is_err() || rule.borrow().0 != ends {
                    if rule.borrow().1 == RelayRule::Refuse {
                        // A connection that cannot be reset is closed.
                        let _ = SockRef::from(&caller_stream).set_linger(Some(Duration::ZERO));
                    }
                    return;
                }
            }
            read = caller_stream.read(&mut request_buffer), if !stalled => {
                let Ok(count @ 1..) = read else { return };
                let allowed = match current_rule {
                    RelayRule::CutRequestAfter(limit) => count.min(limit.saturating_sub(request_bytes)),
                    _ => count,
                };
                if target_stream.write_all(&request_buffer[..allowed]).await.is_err() {
                    return;
                }
                request_bytes += allowed;
                forwarded_bytes.lock().unwrap_or_else(PoisonError::into_inner).0 += allowed;
                if allowed < count {
                    return;
                }
            }
            read = target_stream.read(&mut answer_buffer), if !stalled => {
                let Ok(count @ 1..) = read else { return };
                let allowed = match current_rule {
                    RelayRule::CutAnswerAfter(limit) => count.min(limit.saturating_sub(answer_bytes)),
                    _ => count,
                };
                if caller_stream.write_all(&answer_buffer[..allowed]).await.is_err() {
                    return;
                }
                answer_bytes += allowed;
                forwarded_bytes.lock().unwrap_or_else(PoisonError::into_inner).1 += allowed;
                if allowed < count {
                    return;
                }
            }
        }
    }
}
