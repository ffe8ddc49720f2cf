//! Tests of clients that send the head of a request in parts.

use crate::support::{EdgeSite, HOST, ROSE_KEY, wait_for};
use std::time::Duration;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Time for which an edge is suspended, longer than the time for a head.
const SUSPENDED_TIME: Duration = Duration::from_secs(7);
/// Time in which an edge receives what was sent before.
const RECEIVE_TIME: Duration = Duration::from_millis(500);

/// Sends the first part of a head.
async fn send_first_part(site: &EdgeSite) -> TcpStream {
    let mut stream = TcpStream::connect(site.public_address(0)).await.expect("connect");
    let part = format!("GET /quote/roses HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: parts\r\n");
    stream.write_all(part.as_bytes()).await.expect("send a part of a head");
    actix_rt::time::sleep(RECEIVE_TIME).await;
    stream
}

/// Reads what an edge sends until it closes the connection.
async fn read_all(stream: &mut TcpStream) -> String {
    let mut received = Vec::new();
    // The part before a reset counts.
    let _ = stream.read_to_end(&mut received).await;
    String::from_utf8_lossy(&received).into_owned()
}

/// Guards against a request that is answered 408 because the edge was suspended while it arrived.
#[actix_rt::test]
async fn a_head_that_arrives_while_the_edge_is_suspended_is_read_before_its_time_is_judged() {
    let site = EdgeSite::start(1).await;
    let mut stream = send_first_part(&site).await;
    site.edges[0].process.freeze();
    let rest = format!("authorization: Bearer {ROSE_KEY}\r\nconnection: close\r\n\r\n");
    stream.write_all(rest.as_bytes()).await.expect("send the rest of the head");
    actix_rt::time::sleep(SUSPENDED_TIME).await;
    site.edges[0].process.resume();
    let answer = read_all(&mut stream).await;
    assert!(answer.starts_with("HTTP/1.1 200 OK") && answer.contains("answer to parts"), "{answer}");
}

/// Guards against clients that hold connections by sending a head slowly or not at all.
#[actix_rt::test]
async fn a_connection_whose_head_is_not_completed_is_closed() {
    let site = EdgeSite::start(1).await;
    let mut slow = send_first_part(&site).await;
    let mut silent = TcpStream::connect(site.public_address(0)).await.expect("connect");
    assert!(read_all(&mut slow).await.starts_with("HTTP/1.1 408 "), "the request is said not to have run");
    assert_eq!(read_all(&mut silent).await, "");
    // The log is written by a thread of its own.
    for phase in ["phase=head", "phase=new"] {
        wait_for(&format!("the log has a closed connection with {phase}"), || async {
            let log = site.edges[0].process.log();
            log.lines().any(|line| line.contains("event=client_closed") && line.contains(phase)).then_some(())
        })
        .await;
    }
}
