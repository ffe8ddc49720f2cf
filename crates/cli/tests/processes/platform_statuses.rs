//! Tests of upstreams that answer with a status that is none, or with a body where there can be none: no caller gets that as an
//! answer, a request that may have run is not said not to have, and the connection is not used again.

use crate::support::{
    EdgeReply, EdgeSite, PathMatrix, ROSE_KEY, RawAnswer, RawServer, job_item, job_submission, wait_for,
};
use pimentoslip_standin::RelayRule;

/// Starts of answers that are none.
const STATUS_LINES: [&str; 15] = [
    "HTTP/1.1 000 X",
    "HTTP/1.1 099 X",
    "HTTP/1.1 101 X",
    "HTTP/1.1 600 X",
    "HTTP/1.1 999 X",
    "HTTP/1.0 100 X",
    "HTTP/1.0 700 X",
    "HTTP/1.1 2000 X",
    "HTTP/1.1 20 X",
    "HTTP/1.1 2xx X",
    "HTTP/1.1 +20 X",
    "HTTP/1.1 -20 X",
    "HTTP/1.1  X",
    "HTTP/1.1 204 X",
    "HTTP/1.1 304 X",
];

/// An answer to a plain request or for a stream, with the status line `status_line` and a body.
fn answer(status_line: &str) -> RawAnswer {
    let first = format!(
        "{status_line}\r\nrequest-id: {{id}}\r\nserver-signature: raw\r\nweight-versions: 1\r\n\
         content-type: text/event-stream\r\ncontent-length: 19\r\n\r\nid: 1\ndata: raw\n\n\n\n\n"
    );
    RawAnswer { first, ..RawAnswer::default() }
}

/// Name of a case as a part of ids.
fn name(index: usize, kind: &str, is_relayed: bool) -> String {
    format!("{kind}-{index}-{is_relayed}")
}

/// Sends a request whose body no other has: upstreams seem to have crashed under it, and repeats would be refused.
async fn send(site: &EdgeSite, path: &str, id: &str) -> EdgeReply {
    let bearer = format!("Bearer {ROSE_KEY}");
    let headers = [("request-id", id), ("deadline-ms", "2000"), ("model", "verse"), ("authorization", bearer.as_str())];
    site.send(0, "POST", path, &headers, id).await
}

/// Fails unless `reply` says that a request failed which may have run.
fn check_failure(status_line: &str, reply: &EdgeReply) {
    assert!(matches!(reply.status, 502 | 504), "{status_line}: {reply:?}");
    assert!(!reply.body.contains("raw") && reply.header("server-signature").is_empty(), "{status_line}: {reply:?}");
}

/// Sends requests of one kind to each server in turn, on the direct path or through a peer, and checks their answers.
async fn check_requests(service: &str, is_relayed: bool, send: impl AsyncFn(&EdgeSite, &str) -> EdgeReply) {
    let (site, mut matrix) = PathMatrix::start_site(&["north", "south"]).await;
    if is_relayed {
        matrix.set_all(0, RelayRule::Refuse);
    }
    site.desks.iter().chain(&site.engines).for_each(|upstream| upstream.start_draining());
    for (index, status_line) in STATUS_LINES.into_iter().enumerate() {
        let server = RawServer::start(answer(status_line)).await;
        matrix.add_address(server.address).await;
        let upstream = name(index, service, is_relayed);
        site.register(&upstream, service, server.address, "ready", 1);
        if is_relayed {
            matrix.set(0, server.address, RelayRule::Refuse);
        }
        let mut number = 0;
        let reply = wait_for("the request reaches the server", || {
            number += 1;
            let id = format!("{upstream}-{number}");
            let (site, server, send) = (&site, &server, &send);
            async move {
                let reply = send(site, &id).await;
                server.requests().contains(&id).then_some(reply)
            }
        })
        .await;
        check_failure(status_line, &reply);
        wait_for("the connection is closed", || async { (server.open_connections() == 0).then_some(()) }).await;
        site.store.contents().remove(&format!("servers/{upstream}"));
    }
    assert_eq!(site.edges[0].process.log().contains("event=relay_declined"), is_relayed);
}

/// Guards against a status that is none, and that callers get as an answer.
#[actix_rt::test]
async fn a_status_that_is_none_reaches_no_caller_of_a_plain_service() {
    for is_relayed in [false, true] {
        check_requests("desk", is_relayed, async |site, id| send(site, "/quote/roses", id).await).await;
    }
}

/// Guards against an order that may have run, and that is said not to have.
#[actix_rt::test]
async fn an_order_with_a_status_that_is_none_may_have_run() {
    for is_relayed in [false, true] {
        check_requests("desk", is_relayed, async |site, id| send(site, "/once/order", id).await).await;
    }
}

/// Guards against a status that is none, and that callers of streams get as an answer.
#[actix_rt::test]
async fn a_status_that_is_none_reaches_no_caller_of_a_stream() {
    for is_relayed in [false, true] {
        check_requests("engine", is_relayed, async |site, id| send(site, "/talk/verse", id).await).await;
    }
}

/// Guards against an item or a scorer's call that ends with a status that is none.
#[actix_rt::test]
async fn items_and_scorers_complete_elsewhere_after_a_status_that_is_none() {
    let site = EdgeSite::start(1).await;
    for (index, status_line) in STATUS_LINES.into_iter().enumerate() {
        let engine = RawServer::start(answer(status_line)).await;
        let desk = RawServer::start(answer(status_line)).await;
        site.register(&name(index, "engine", false), "engine", engine.address, "ready", 1);
        site.register(&name(index, "desk", false), "desk", desk.address, "ready", 1);
        let mut round = 0;
        while engine.requests().is_empty() || desk.requests().is_empty() {
            let job = format!("job-{index}-{round}");
            let items: Vec<_> = (0..20).map(|item| job_item(&format!("{job}-{item}"), 2, true)).collect();
            assert_eq!(site.submit_job(0, &job, &job_submission(1, &items)).await.status, 202);
            for result in site.all_results(0, &job).await {
                let id = result["id"].as_str().unwrap_or_default();
                assert_eq!(result["state"], "completed", "{status_line}: {result}");
                assert_eq!(result["text"], format!("{id}:1\n{id}:2"), "{status_line}");
                assert_ne!(result["score"], "raw", "{status_line}");
            }
            round += 1;
            assert!(round < 40, "{status_line}: a server received no request");
        }
        for service in ["engine", "desk"] {
            site.store.contents().remove(&format!("servers/{}", name(index, service, false)));
        }
    }
}
