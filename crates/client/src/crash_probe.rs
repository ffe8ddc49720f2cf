//! Finds out whether the process behind a lost connection has ended.

use actix_rt::net::TcpStream;
use std::{io, time::Duration};

/// Timeout of one connection attempt.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Delays before the probes. A process that ends closes its connections shortly before its port, so that a single probe
/// could still find the port open.
const PROBE_DELAYS_MS: [u64; 3] = [0, 50, 100];

/// Whether `address` refuses connections, which means that its process has ended.
pub async fn is_refusing_connections(address: &str) -> bool {
    for delay_ms in PROBE_DELAYS_MS {
        actix_rt::time::sleep(Duration::from_millis(delay_ms)).await;
        let probe = actix_rt::time::timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
        if matches!(probe, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused) {
            return true;
        }
    }
    false
}
