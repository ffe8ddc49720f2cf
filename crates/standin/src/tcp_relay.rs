//! TCP relay that simulates network faults: closed, stalled and truncated connections.

use actix_rt::net::{TcpListener, TcpStream};
use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    sync::watch,
};

const BUFFER_BYTES: usize = 16 << 10;

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
    /// Closes a connection after this number of bytes was forwarded to the target.
    CutRequestAfter(usize),
    /// Closes a connection after this number of bytes was forwarded from the target.
    CutAnswerAfter(usize),
}

/// A running TCP relay.
pub struct TcpRelay {
    /// Address that the relay listens on.
    pub address: SocketAddr,
    /// Number of cuts so far, and the current rule.
    rule: watch::Sender<(u64, RelayRule)>,
    /// Bytes forwarded to the target and back.
    forwarded_bytes: Arc<Mutex<(usize, usize)>>,
}

impl TcpRelay {
    /// Starts a relay to `target` on the current runtime, at a free loopback port.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let rule = watch::Sender::new((0, RelayRule::Pass));
        let forwarded_bytes = Arc::new(Mutex::new((0, 0)));
        let (rule_sender, relayed_bytes) = (rule.clone(), forwarded_bytes.clone());
        actix_rt::spawn(async move {
            while let Ok((caller_stream, _)) = listener.accept().await {
                if rule_sender.borrow().1 == RelayRule::Cut {
                    continue;
                }
                actix_rt::spawn(relay(caller_stream, target, rule_sender.subscribe(), relayed_bytes.clone()));
            }
        });
        Ok(Self { address, rule, forwarded_bytes })
    }

    /// Sets the rule for open and new connections. [`RelayRule::Cut`] closes every connection that is open now, even if
    /// another rule is set before the relay acts on it.
    pub fn set_rule(&self, rule: RelayRule) {
        self.rule.send_modify(|(cuts, current)| {
            *cuts += u64::from(rule == RelayRule::Cut);
            *current = rule;
        });
    }

    /// Bytes forwarded to the target and back from it, over all connections.
    #[must_use]
    pub fn forwarded_bytes(&self) -> (usize, usize) {
        *self.forwarded_bytes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Forwards bytes between `caller_stream` and `target` until either closes the connection or the rule does.
async fn relay(
    mut caller_stream: TcpStream,
    target: SocketAddr,
    mut rule: watch::Receiver<(u64, RelayRule)>,
    forwarded_bytes: Arc<Mutex<(usize, usize)>>,
) {
    let cuts = rule.borrow().0;
    let Ok(mut target_stream) = TcpStream::connect(target).await else { return };
    if rule.borrow().0 != cuts {
        return;
    }
    let (mut request_bytes, mut answer_bytes) = (0, 0);
    let mut request_buffer = vec![0; BUFFER_BYTES];
    let mut answer_buffer = vec![0; BUFFER_BYTES];
    loop {
        let current_rule = rule.borrow().1;
        let stalled = current_rule == RelayRule::Stall;
        tokio::select! {
            changed = rule.changed() => {
                if changed.is_err() || rule.borrow().0 != cuts {
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
