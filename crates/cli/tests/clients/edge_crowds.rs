//! Crowds of clients at an edge on the users' platform.

use crate::{
    TEST_TURN,
    crowd::{DESCRIPTORS_MAX, MEMORY_MIB, check_limits, open_crowd, send_crowd, send_crowd_after},
    support::{EdgeSite, HOST, ROSE_KEY, RawAnswer, RawServer, job_item, job_submission, wait_for},
};
use serde_json::json;

/// Bytes of the body of an item that is read.
const ITEM_BYTES: usize = 600_000;
/// Connections of a client that opens more than a process has descriptors.
const IDLE_CONNECTIONS: usize = 700;
/// Connections on which a large answer is asked for.
const LARGE_ANSWERS: usize = 200;

/// Starts a site with one edge, whose settings name lowered limits.
async fn start_site() -> EdgeSite {
    let mut site = EdgeSite::without_edges();
    site.limits = json!({ "memoryMb": MEMORY_MIB, "maxFds": DESCRIPTORS_MAX });
    site.write_default_config();
    site.start_edge(site.store.address);
    site.wait_ready().await;
    site
}

/// A request without a body, as `rose`.
fn request(method: &str, path: &str, headers: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {ROSE_KEY}\r\nrequest-id: a\r\n{headers}\r\n"
    )
}

/// Checks the limits, and that an ordinary request is answered, while the crowd is connected.
async fn check_edge(site: &mut EdgeSite) {
    check_limits(&mut site.edges[0].process);
    wait_for("an ordinary request is answered", || async {
        (site.send_quote(0, "ordinary").await.status == 200).then_some(())
    })
    .await;
    check_limits(&mut site.edges[0].process);
}

/// Guards against a connection that is read on while the answers to its requests are not.
#[actix_rt::test]
async fn small_requests_sent_ahead_do_not_use_up_the_memory_of_an_edge() {
    let _turn = TEST_TURN.lock().await;
    let mut site = start_site().await;
    let requests = [
        request("GET", "/quote/roses", "deadline-ms: 2000\r\n"),
        request("GET", "/nowhere", ""),
        format!("GET / HTTP/1.1\r\nhost: {HOST}\r\n\r\n"),
        request("POST", "/slow/roses", "content-length: 4\r\n").replace("\r\n\r\n", "\r\n\r\nbody"),
    ];
    let _crowd = send_crowd(site.public_address(0), &requests).await;
    check_edge(&mut site).await;
}

/// Guards against bodies without end, and bodies that are sent after their requests were refused.
#[actix_rt::test]
async fn bodies_without_end_do_not_use_up_the_memory_of_an_edge() {
    let _turn = TEST_TURN.lock().await;
    let mut site = start_site().await;
    let chunk = format!("{:x}\r\n{}\r\n", 4_096, "a".repeat(4_096));
    for path in ["/slow/roses", "/nowhere"] {
        let head = request("POST", path, "transfer-encoding: chunked\r\n");
        let _crowd = send_crowd_after(site.public_address(0), &head, std::slice::from_ref(&chunk)).await;
        let head = request("POST", path, "content-length: 900000\r\n");
        let _slow_crowd = open_crowd(site.public_address(0), LARGE_ANSWERS, &(head + &"a".repeat(800_000))).await;
        check_edge(&mut site).await;
    }
}

/// Guards against answers without a body that are collected for a client that does not read.
#[actix_rt::test]
async fn probes_sent_ahead_do_not_use_up_the_memory_of_an_edge() {
    let _turn = TEST_TURN.lock().await;
    let mut site = start_site().await;
    let probes = ["/pimentoslip/ready", "/"].map(|path| format!("GET {path} HTTP/1.1\r\nhost: x\r\n\r\n"));
    let _ready_crowd = send_crowd(site.ready_address(0), &probes).await;
    let calls = ["/metrics", "/"].map(|path| format!("GET {path} HTTP/1.1\r\nhost: x\r\n\r\n"));
    let _control_crowd = send_crowd(site.edges[0].control_address, &calls).await;
    check_edge(&mut site).await;
    assert_eq!(site.readiness_status(0).await, 200);
}

/// Guards against large answers that are held in memory for clients that do not read them.
#[actix_rt::test]
async fn unread_item_bodies_do_not_use_up_the_memory_of_an_edge() {
    let _turn = TEST_TURN.lock().await;
    let mut site = start_site().await;
    let mut item = job_item("large", 100_000, false);
    item["body"] = "q83v".repeat(ITEM_BYTES / 3).into();
    let submitted = site.submit_job(0, "job", &job_submission(1, &[item])).await;
    assert_eq!(submitted.status, 202, "{submitted:?}");
    let read = request("GET", "/pimentoslip/items/job?id=large", "");
    let address = site.public_address(0);
    let _crowd = open_crowd(address, LARGE_ANSWERS, &read).await;
    let _other_crowd = send_crowd(address, &[read]).await;
    check_edge(&mut site).await;
}

/// Guards against streams whose events are collected for a client that does not read.
#[actix_rt::test]
async fn unread_streams_do_not_use_up_the_memory_of_an_edge() {
    let _turn = TEST_TURN.lock().await;
    let mut site = start_site().await;
    let event = format!("id: 1\ndata: {}\n\n", "a".repeat(60_000));
    let server = RawServer::start(RawAnswer {
        first: "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nserver-signature: raw\r\nweight-versions: 1\r\n\
                content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
            .to_owned(),
        repeated: format!("{:x}\r\n{event}\r\n", event.len()),
        ..RawAnswer::default()
    })
    .await;
    site.register("raw", "engine", server.address, "ready", 1);
    site.engines.iter().for_each(|engine| engine.start_draining());
    wait_for("a stream reaches the server", || async {
        let _ = site.open_talk(0, "first", 1).await;
        (!server.requests().is_empty()).then_some(())
    })
    .await;
    let stream = request("POST", "/slow-talk/verse", "model: verse\r\ncontent-length: 0\r\n");
    let _crowd = open_crowd(site.public_address(0), LARGE_ANSWERS, &stream).await;
    check_edge(&mut site).await;
}

/// Guards against clients that take all descriptors, so that no upstream can be reached.
#[actix_rt::test]
async fn idle_connections_do_not_use_up_the_descriptors_of_an_edge() {
    let _turn = TEST_TURN.lock().await;
    let mut site = start_site().await;
    let _crowd = open_crowd(site.public_address(0), IDLE_CONNECTIONS, "GET /quote").await;
    check_edge(&mut site).await;
    let _control_crowd = open_crowd(site.edges[0].control_address, IDLE_CONNECTIONS, "GET /metrics").await;
    check_edge(&mut site).await;
}
