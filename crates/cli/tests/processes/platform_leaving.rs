//! Tests of upstreams that say in their responses that they are about to end, before the store does or without it.

use crate::support::{EdgeSite, PathMatrix, job_item, job_submission, wait_for};
use pimentoslip_standin::{PlatformUpstream, RelayRule, UpstreamFault};
use std::time::Duration;

/// Ways in which an edge learns that an upstream leaves: what it sends there, and how the upstream responds.
const WAYS: [(&str, Option<UpstreamFault>); 9] = [
    ("quote", None),
    ("quote", Some(UpstreamFault::Status(500))),
    ("quote", Some(UpstreamFault::Status(404))),
    ("quote", Some(UpstreamFault::Refuse)),
    ("order", None),
    ("talk", None),
    ("items", None),
    ("scores", None),
    ("weights", None),
];

/// Sends something of the kind `kind` to the edge 0, which may use either upstream of its service.
async fn send(site: &EdgeSite, kind: &str, id: &str) {
    match kind {
        "quote" => assert_ne!(site.send_quote(0, id).await.status, 0),
        "order" => assert_eq!(site.send_order(0, id).await.status, 200),
        "talk" => assert_eq!(site.send_talk(0, id, 3, &[]).await.status, 200),
        "items" | "scores" => {
            let items: Vec<_> = (0..6).map(|item| job_item(&format!("{id}-{item}"), 3, kind == "scores")).collect();
            assert_eq!(site.submit_job(0, id, &job_submission(0, &items)).await.status, 202);
            let results = site.all_results(0, id).await;
            assert!(results.iter().all(|result| result["state"] == "completed"), "{results:?}");
        }
        _ => {
            site.store.put("op/version/verse", &serde_json::json!({ "model": "verse", "version": 2 }));
            wait_for("the engine is ordered to load the version", || async {
                (!site.engines[0].weight_orders().is_empty()).then_some(())
            })
            .await;
        }
    }
}

/// Number of requests that the upstream has received, with those that it refused.
fn arrivals(upstream: &PlatformUpstream) -> usize {
    upstream.arrivals().len()
}

/// Guards against requests to an upstream that has said in any response that it leaves.
#[actix_rt::test]
async fn an_upstream_that_says_in_a_response_that_it_leaves_gets_no_more_requests() {
    for (kind, fault) in WAYS {
        let site = EdgeSite::start(1).await;
        let leaving = if matches!(kind, "talk" | "items" | "weights") { &site.engines[0] } else { &site.desks[0] };
        leaving.announce_leaving(true);
        leaving.set_faults(fault);
        for attempt in 0..40 {
            send(&site, kind, &format!("first-{attempt}")).await;
            if arrivals(leaving) > 0 || kind == "weights" {
                break;
            }
        }
        actix_rt::time::sleep(Duration::from_millis(300)).await;
        let received = arrivals(leaving);
        assert!(received > 0 || kind == "weights", "{kind}: the upstream has announced nothing");
        // A new entry of the same process changes nothing.
        leaving.list_again();
        for kind in ["quote", "order", "talk", "items", "scores"] {
            for number in 0..8 {
                send(&site, kind, &format!("later-{kind}-{number}")).await;
            }
        }
        assert_eq!(arrivals(leaving), received, "{kind} {fault:?}: {}", site.edges[0].process.log());
    }
}

/// Guards against requests that reach a leaving upstream through a peer, or from the peer that has passed its response on.
#[actix_rt::test]
async fn an_upstream_that_leaves_gets_no_more_requests_through_peers() {
    let (site, matrix) = PathMatrix::start_site(&["north", "south"]).await;
    matrix.set_all(0, RelayRule::Refuse);
    let leaving = &site.desks[0];
    leaving.announce_leaving(true);
    wait_for("the upstream has announced it", || async {
        send(&site, "quote", "first").await;
        (arrivals(leaving) > 0).then_some(())
    })
    .await;
    let received = arrivals(leaving);
    for number in 0..20 {
        for edge in 0..2 {
            assert_eq!(site.send_quote(edge, &format!("later-{number}-{edge}")).await.status, 200);
        }
    }
    assert_eq!(arrivals(leaving), received);
}

/// Guards against requests that wait, or run at an upstream that leaves, where there is no other one; and against the next
/// process under its id, which gets none.
#[actix_rt::test]
async fn without_another_upstream_a_request_is_refused_until_the_next_process_is_listed() {
    let site = EdgeSite::start(1).await;
    let leaving = &site.desks[0];
    site.desks[1].start_draining();
    leaving.announce_leaving(true);
    actix_rt::time::sleep(Duration::from_millis(700)).await;
    assert_eq!(site.send_quote(0, "first").await.status, 200);
    for id in ["refused-1", "refused-2"] {
        let reply = site.send_quote(0, id).await;
        assert_eq!((reply.status, reply.body.as_str()), (503, "no_upstream"));
        assert!(!reply.header("retry-after").is_empty());
    }
    assert_eq!(arrivals(leaving), 1);
    leaving.announce_leaving(false);
    site.register("desk-1", "desk", leaving.address, "ready", 2);
    wait_for("the next process is used", || async { (site.send_quote(0, "next").await.status == 200).then_some(()) })
        .await;
}
