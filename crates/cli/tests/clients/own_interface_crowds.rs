//! Crowds of clients at a daemon of the product's own interface.

use crate::{
    TEST_TURN,
    crowd::{DESCRIPTORS_MAX, MEMORY_MIB, check_limits, open_crowd, send_crowd},
    support::{DaemonSite, SiteOptions, wait_for},
};
use pimentoslip_kernel::KeySecret;
use std::net::SocketAddr;

/// Connections of a client that opens more than a process has descriptors.
const IDLE_CONNECTIONS: usize = 700;

/// Starts a site with one daemon, whose environment names lowered limits, and creates an API key.
async fn start_site() -> (DaemonSite, KeySecret) {
    let daemon_variables = vec![
        ("PIMENTOSLIP_MEMORY_MIB", MEMORY_MIB.to_string()),
        ("PIMENTOSLIP_DESCRIPTORS_MAX", DESCRIPTORS_MAX.to_string()),
    ];
    let site = DaemonSite::start(SiteOptions { daemons: vec!["a"], daemon_variables, ..SiteOptions::default() }).await;
    let key = site.create_key(0, 1).await;
    (site, key)
}

/// Address of the daemon for callers.
fn public_address(site: &DaemonSite) -> SocketAddr {
    site.daemons[0].public_address.parse().expect("an address")
}

/// Address of the daemon for peers and operators.
fn control_address(site: &DaemonSite) -> SocketAddr {
    site.daemons[0].control_address.parse().expect("an address")
}

/// Checks the limits, and that an ordinary request is answered, while the crowd is connected.
async fn check_daemon(site: &mut DaemonSite, key: &KeySecret) {
    check_limits(&mut site.daemons[0].process);
    wait_for("an ordinary request is answered", || async {
        // The crowd may have taken all connections, so that a request gets no answer.
        let url = format!("http://{}/services/desk/orders", public_address(site));
        let request =
            site.http.request("POST", &url).insert_header(("authorization", format!("Bearer {}", key.expose())));
        (request.send_body("{}").await.ok()?.status() == 200).then_some(())
    })
    .await;
    check_limits(&mut site.daemons[0].process);
}

/// Guards against a connection that is read on while the answers to its requests are not.
#[actix_rt::test]
async fn small_requests_sent_ahead_do_not_use_up_the_memory_of_a_daemon() {
    let _turn = TEST_TURN.lock().await;
    let (mut site, key) = start_site().await;
    let head = format!("host: x\r\nauthorization: Bearer {}\r\n", key.expose());
    let requests = [
        "GET /services/desk/menu HTTP/1.1\r\nhost: x\r\n\r\n".to_owned(),
        "GET / HTTP/1.1\r\nhost: x\r\n\r\n".to_owned(),
        "HEAD /healthz HTTP/1.1\r\nhost: x\r\n\r\n".to_owned(),
        format!("POST /services/desk/orders HTTP/1.1\r\n{head}content-length: 2\r\n\r\n{{}}"),
    ];
    let _crowd = send_crowd(public_address(&site), &requests).await;
    check_daemon(&mut site, &key).await;
}

/// Guards against answers that are collected for a client of the control listener that does not read.
#[actix_rt::test]
async fn calls_sent_ahead_to_the_control_listener_do_not_use_up_the_memory_of_a_daemon() {
    let _turn = TEST_TURN.lock().await;
    let (mut site, key) = start_site().await;
    let calls = ["/metrics", "/healthz", "/nowhere"].map(|path| format!("GET {path} HTTP/1.1\r\nhost: x\r\n\r\n"));
    let _crowd = send_crowd(control_address(&site), &calls).await;
    check_daemon(&mut site, &key).await;
}

/// Guards against clients that take all descriptors, so that no upstream can be reached.
#[actix_rt::test]
async fn idle_connections_do_not_use_up_the_descriptors_of_a_daemon() {
    let _turn = TEST_TURN.lock().await;
    let (mut site, key) = start_site().await;
    let _crowd = open_crowd(public_address(&site), IDLE_CONNECTIONS, "GET /healthz").await;
    check_daemon(&mut site, &key).await;
    let _control_crowd = open_crowd(control_address(&site), IDLE_CONNECTIONS, "GET /metrics").await;
    check_daemon(&mut site, &key).await;
}
