//! A small crowd of clients that send requests ahead on their connections and read nothing.

use crate::support::ChildProcess;
use futures_util::future::join_all;
use std::{fs, net::SocketAddr, time::Duration};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpSocket, TcpStream},
    time::timeout,
};

/// Connections of a crowd.
pub const CONNECTIONS: usize = 24;
/// Bytes that a client sends ahead on a connection.
const SENT_BYTES_MAX: usize = 8 << 20;
/// Size of the blocks that are sent at once.
const BLOCK_BYTES: usize = 16 << 10;
/// Receive buffer of a client, so that the system takes few answers in its place.
const RECEIVE_BUFFER_BYTES: u32 = 4 << 10;
/// A client that can send nothing for this long stops sending.
const BLOCKED_TIME: Duration = Duration::from_secs(2);

/// Limits of a process in these tests, as in its settings.
pub const MEMORY_MIB: usize = 64;
/// Descriptors that a process may have open.
pub const DESCRIPTORS_MAX: usize = 500;

/// Opens a connection on which nothing will be read.
async fn connect(address: SocketAddr) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("a small receive buffer");
    timeout(BLOCKED_TIME, socket.connect(address)).await.ok()?.ok()
}

/// Sends `first` and then copies of `request` until the process takes no more or closes the connection. The connection stays open.
async fn send_ahead(address: SocketAddr, first: &str, request: &str) -> Option<TcpStream> {
    let mut stream = connect(address).await?;
    stream.write_all(first.as_bytes()).await.ok()?;
    let block = request.repeat((BLOCK_BYTES / request.len()).max(1));
    let mut sent_bytes = 0;
    while sent_bytes < SENT_BYTES_MAX {
        match timeout(BLOCKED_TIME, stream.write_all(block.as_bytes())).await {
            Ok(Ok(())) => sent_bytes += block.len(),
            Ok(Err(_)) => return None,
            Err(_) => break,
        }
    }
    Some(stream)
}

/// Sends copies of each of `requests` ahead, on [`CONNECTIONS`] connections in turn. Returns the connections that are still open.
pub async fn send_crowd(address: SocketAddr, requests: &[String]) -> Vec<TcpStream> {
    send_crowd_after(address, "", requests).await
}

/// Sends `first` once on each connection, and then requests like [`send_crowd`].
pub async fn send_crowd_after(address: SocketAddr, first: &str, requests: &[String]) -> Vec<TcpStream> {
    let clients = (0..CONNECTIONS).map(|client| send_ahead(address, first, &requests[client % requests.len()]));
    join_all(clients).await.into_iter().flatten().collect()
}

/// Sends `request` once on each of `connections` connections, which stay open. Returns those that are.
pub async fn open_crowd(address: SocketAddr, connections: usize, request: &str) -> Vec<TcpStream> {
    let clients = (0..connections).map(|_| async {
        let mut stream = connect(address).await?;
        stream.write_all(request.as_bytes()).await.ok()?;
        Some(stream)
    });
    let streams = join_all(clients).await.into_iter().flatten().collect();
    // Time for the process to serve them.
    actix_rt::time::sleep(BLOCKED_TIME).await;
    streams
}

/// Number of descriptors that a process has open.
fn open_descriptors(process: &ChildProcess) -> usize {
    fs::read_dir(format!("/proc/{}/fd", process.id())).map_or(0, Iterator::count)
}

/// Fails unless the process runs and has stayed within its limits.
pub fn check_limits(process: &mut ChildProcess) {
    let status = process.exit_status();
    assert!(status.is_none(), "the process ended: {status:?}");
    let (peak_bytes, descriptors) = (process.peak_memory_bytes(), open_descriptors(process));
    println!("peak memory {} KiB, {descriptors} descriptors", peak_bytes >> 10);
    assert!(peak_bytes <= MEMORY_MIB << 20, "{peak_bytes} bytes of memory");
    assert!(descriptors <= DESCRIPTORS_MAX, "{descriptors} descriptors");
}
