//! Finds out whether a process listens at an address.

use actix_rt::net::TcpStream;
use pimentoslip_kernel::ConnectOutcome;
use std::{io, time::Duration};

/// Timeout of one connection attempt.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Delays before the probes. A process that ends closes its connections shortly before its port, so that a single probe
/// could still find the port open.
const PROBE_DELAYS_MS: [u64; 3] = [0, 50, 100];

/// Tries once to open a connection to `address`, which is closed at once.
pub async fn probe_connection(address: &str) -> ConnectOutcome {
    match actix_rt::time::timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => ConnectOutcome::Accepted,
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => ConnectOutcome::Refused,
        _ => ConnectOutcome::Silent,
    }
}

/// Tries to open a connection to `address` until one is refused, three times at most. Returns the last result.
pub async fn probe_after_loss(address: &str) -> ConnectOutcome {
    let mut outcome = ConnectOutcome::Silent;
    for delay_ms in PROBE_DELAYS_MS {
        actix_rt::time::sleep(Duration::from_millis(delay_ms)).await;
        outcome = probe_connection(address).await;
        if outcome == ConnectOutcome::Refused {
            break;
        }
    }
    outcome
}

/// Whether `address` refuses connections, which means that its process has ended.
pub async fn is_refusing_connections(address: &str) -> bool {
    probe_after_loss(address).await == ConnectOutcome::Refused
}
