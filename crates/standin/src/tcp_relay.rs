//! A TCP relay that cuts, stalls or drops what passes through it.

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

/// What happens to bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RelayRule {
    /// All pass.
    #[default]
    Pass,
    /// Connections are closed and new ones are closed at once.
    Cut,
    /// Nothing passes, and connections stay open.
    Stall,
    /// A connection is closed after so many bytes towards the target.
    CutRequestAfter(usize),
    /// A connection is closed after so many bytes from the target.
    CutAnswerAfter(usize),
}

/// A running relay.
pub struct TcpRelay {
    /// Bound address.
    pub address: SocketAddr,
    rule: watch::Sender<(u64, RelayRule)>,
    passed: Arc<Mutex<(usize, usize)>>,
}

impl TcpRelay {
    /// Starts a relay to `target` on a port picked by the kernel, on the current runtime.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let rule = watch::Sender::new((0, RelayRule::Pass));
        let passed = Arc::new(Mutex::new((0, 0)));
        let (rules, count) = (rule.clone(), passed.clone());
        actix_rt::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                if rules.borrow().1 == RelayRule::Cut {
                    continue;
                }
                actix_rt::spawn(relay(caller, target, rules.subscribe(), count.clone()));
            }
        });
        Ok(Self { address, rule, passed })
    }

    /// Changes the rule for open and new connections. A cut ends every connection open now, whatever rule
    /// follows it.
    pub fn set_rule(&self, rule: RelayRule) {
        self.rule.send_modify(|(cuts, now)| {
            *cuts += u64::from(rule == RelayRule::Cut);
            *now = rule;
        });
    }

    /// Bytes passed towards the target and back.
    #[must_use]
    pub fn forwarded_bytes(&self) -> (usize, usize) {
        *self.passed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn relay(
    mut caller: TcpStream,
    target: SocketAddr,
    mut rule: watch::Receiver<(u64, RelayRule)>,
    passed: Arc<Mutex<(usize, usize)>>,
) {
    let Ok(mut upstream) = TcpStream::connect(target).await else { return };
    let (mut sent, mut answered) = (0, 0);
    let mut request = vec![0; BUFFER_BYTES];
    let mut answer = vec![0; BUFFER_BYTES];
    let cuts = rule.borrow().0;
    loop {
        let now = rule.borrow().1;
        let stalled = now == RelayRule::Stall;
        tokio::select! {
            changed = rule.changed() => {
                if changed.is_err() || rule.borrow().0 != cuts {
                    return;
                }
            }
            read = caller.read(&mut request), if !stalled => {
                let Ok(count @ 1..) = read else { return };
                let allowed = match now {
                    RelayRule::CutRequestAfter(limit) => count.min(limit.saturating_sub(sent)),
                    _ => count,
                };
                if upstream.write_all(&request[..allowed]).await.is_err() {
                    return;
                }
                sent += allowed;
                passed.lock().unwrap_or_else(PoisonError::into_inner).0 += allowed;
                if allowed < count {
                    return;
                }
            }
            read = upstream.read(&mut answer), if !stalled => {
                let Ok(count @ 1..) = read else { return };
                let allowed = match now {
                    RelayRule::CutAnswerAfter(limit) => count.min(limit.saturating_sub(answered)),
                    _ => count,
                };
                if caller.write_all(&answer[..allowed]).await.is_err() {
                    return;
                }
                answered += allowed;
                passed.lock().unwrap_or_else(PoisonError::into_inner).1 += allowed;
                if allowed < count {
                    return;
                }
            }
        }
    }
}
