//! A caller that keeps its connection for many requests.

use crate::{
    sampler::Runs,
    site::{HOST, KEY, Record},
};
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

const DEADLINE_MS: u64 = 3_000;
/// Pause between an answer and the next request.
const PAUSE: Duration = Duration::from_millis(75);
/// A caller begins up to this long after the first one.
const OFFSET_MS_MAX: u64 = 277;
/// Pause before a new connection after one that failed.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);

/// Counts of the requests of all callers.
#[derive(Default)]
pub struct CallerCounts {
    pub sent: Cell<usize>,
    pub served: Cell<usize>,
    /// Ids of requests that were passed on to a sampler, and whose kept connection was closed without an answer.
    pub lost: RefCell<Vec<String>>,
}

/// Sends requests to `edge` on a kept connection, until `until`, and connects again when it is closed.
pub async fn call_repeatedly(
    edge: SocketAddr,
    name: String,
    runs: Runs,
    counts: Rc<CallerCounts>,
    record: Rc<RefCell<Record>>,
    until: Duration,
) {
    // Callers are not in step with each other.
    let offset = name.bytes().fold(0_u64, |sum, byte| (sum * 31 + u64::from(byte)) % OFFSET_MS_MAX);
    actix_rt::time::sleep(Duration::from_millis(offset)).await;
    let mut number = 0;
    while record.borrow().elapsed() < until {
        let Ok(Ok(mut stream)) = actix_rt::time::timeout(Duration::from_secs(1), TcpStream::connect(edge)).await else {
            actix_rt::time::sleep(RECONNECT_PAUSE).await;
            continue;
        };
        let mut is_kept = false;
        while record.borrow().elapsed() < until {
            let id = format!("{name}-{number}");
            number += 1;
            counts.sent.set(counts.sent.get() + 1);
            match exchange(&mut stream, &id).await {
                Some(200) => {
                    counts.served.set(counts.served.get() + 1);
                    is_kept = true;
                }
                Some(status) => {
                    record.borrow_mut().line(&format!("{id}: {status}"));
                    is_kept = true;
                }
                None => {
                    let has_run = runs.borrow().iter().any(|run| run.id == id);
                    if has_run && is_kept {
                        counts.lost.borrow_mut().push(id.clone());
                    }
                    let passed = if has_run { "was passed on to a sampler" } else { "reached no sampler" };
                    record
                        .borrow_mut()
                        .line(&format!("{id}: its connection was closed without an answer; it {passed}"));
                    break;
                }
            }
            actix_rt::time::sleep(PAUSE).await;
        }
        actix_rt::time::sleep(RECONNECT_PAUSE).await;
    }
}

/// Sends one request and reads its answer. Returns the status; `None` if the connection ends before.
async fn exchange(stream: &mut TcpStream, id: &str) -> Option<u16> {
    let body = format!("stock of {id}");
    let request = format!(
        "POST /stock/roses HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: {id}\r\ndeadline-ms: {DEADLINE_MS}\r\nauthorization: Bearer {KEY}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let answer = async {
        stream.write_all(request.as_bytes()).await.ok()?;
        let mut received = Vec::new();
        loop {
            let mut block = [0; 4_096];
            let count = stream.read(&mut block).await.ok().filter(|count| *count > 0)?;
            received.extend_from_slice(&block[..count]);
            let text = String::from_utf8_lossy(&received);
            let Some((head, rest)) = text.split_once("\r\n\r\n") else { continue };
            let length = head.lines().find_map(|line| {
                line.to_ascii_lowercase().strip_prefix("content-length:")?.trim().parse::<usize>().ok()
            });
            if rest.len() >= length.unwrap_or(0) {
                return head.split_whitespace().nth(1)?.parse().ok();
            }
        }
    };
    actix_rt::time::timeout(Duration::from_millis(DEADLINE_MS + 500), answer).await.ok().flatten()
}
