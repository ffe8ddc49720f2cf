//! Requests on the users' platform: whole answers, true refusals, nobody else's key.

use crate::support::{EdgeSite, ROSE_KEY, TRAY_KEY, wait_for};
use pimentoslip_standin::UpstreamFault;
use std::time::Duration;

#[actix_rt::test]
async fn a_request_runs_for_its_organisation_and_comes_back_unchanged() {
    let site = EdgeSite::start(2).await;
    for edge in 0..2 {
        let id = format!("quote-{edge}");
        let reply = site.send_quote(edge, &id).await;
        assert_eq!((reply.status, reply.body.as_str()), (200, format!("answer to {id}").as_str()));
        assert_eq!(reply.header("server-signature"), format!("signed {id}"));
        assert_eq!(reply.header("request-id"), id);
        let seen: Vec<_> =
            site.desks.iter().flat_map(|desk| desk.recorded_calls()).filter(|call| call.id == id).collect();
        assert_eq!(seen.len(), 1);
        assert_eq!((seen[0].organisation.as_str(), seen[0].has_key), ("rose", false));
        assert_eq!((seen[0].path.as_str(), seen[0].body.as_slice()), ("/quote/roses", &b"how much"[..]));
        assert!(seen[0].deadline_ms <= 1_500, "the route's timeout is shorter than the caller's");
    }
}

#[actix_rt::test]
async fn refusals_say_why_and_nothing_runs() {
    let site = EdgeSite::start(1).await;
    let bearer = format!("Bearer {ROSE_KEY}");
    // path, key, status
    let cases = [
        ("/nowhere/x", Some(bearer.as_str()), 404),
        ("/quote/x", None, 401),
        ("/quote/x", Some("Bearer nobody"), 401),
        ("/quote/x", Some("Basic x"), 401),
        ("/cards/x", None, 401),
        ("/pimentoslip/lots/unknown", Some(bearer.as_str()), 404),
        ("/pimentoslip/lots/unknown", None, 401),
        ("/pimentoslip/items/unknown?id=x", Some(bearer.as_str()), 404),
    ];
    for (path, key, status) in cases {
        let mut headers = vec![("request-id", "refused"), ("deadline-ms", "1000")];
        headers.extend(key.map(|key| ("authorization", key)));
        let method = if path.starts_with("/pimentoslip") { "GET" } else { "POST" };
        assert_eq!(site.send(0, method, path, &headers, "").await.status, status, "{path} with {key:?}");
    }
    let long = "x".repeat(17_000);
    let large =
        [("request-id", "large"), ("deadline-ms", "1000"), ("authorization", bearer.as_str()), ("x-long", &long)];
    assert_eq!(site.send(0, "POST", "/quote/x", &large, "").await.status, 431);
    let large = [("request-id", "large"), ("deadline-ms", "1000"), ("authorization", bearer.as_str())];
    assert_eq!(site.send(0, "POST", "/quote/x", &large, &"x".repeat(1_000_001)).await.status, 413);
    let open = [("request-id", "open"), ("deadline-ms", "1000")];
    assert_eq!(site.send(0, "POST", "/score/x", &open, "").await.status, 200, "an open route needs no key");
    let seen: Vec<_> = site.desks.iter().flat_map(|desk| desk.recorded_calls()).map(|call| call.id).collect();
    assert_eq!(seen, ["open"]);
}

#[actix_rt::test]
async fn an_edge_without_a_configuration_is_not_ready_and_refuses_with_503() {
    let mut site = EdgeSite::without_edges();
    let store = site.store.address;
    site.start_edge(store);
    wait_for("the edge answers", || async { (site.readiness_status(0).await == 503).then_some(()) }).await;
    let reply = site.send_quote(0, "early").await;
    assert_eq!(reply.status, 503);
    assert!(!reply.header("retry-after").is_empty());
    site.write_config(2, &[("rose", ROSE_KEY)]);
    wait_for("the edge is ready", || async { (site.readiness_status(0).await == 200).then_some(()) }).await;
    assert_eq!(site.send_quote(0, "later").await.status, 200);
}

#[actix_rt::test]
async fn a_withdrawn_key_stops_working_and_an_older_version_brings_nothing_back() {
    let site = EdgeSite::start(1).await;
    site.write_config(5, &[("tray", TRAY_KEY)]);
    wait_for("the key is refused", || async { (site.send_quote(0, "q").await.status == 401).then_some(()) }).await;
    site.write_config(4, &[("rose", ROSE_KEY), ("tray", TRAY_KEY)]);
    site.store.put("op/config", &serde_json::json!("not a configuration"));
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(site.send_quote(0, "q").await.status, 401);
}

#[actix_rt::test]
async fn an_idempotent_request_survives_the_failure_of_one_upstream() {
    let site = EdgeSite::start(1).await;
    let faults = [
        UpstreamFault::Refuse,
        UpstreamFault::Status(500),
        UpstreamFault::LoseAnswer,
        UpstreamFault::WrongId,
        UpstreamFault::Truncate,
    ];
    for (number, fault) in faults.into_iter().enumerate() {
        let id = format!("tough-{number}");
        site.desks[0].set_faults([fault]);
        let reply = site.send_quote(0, &id).await;
        let reply = if reply.status == 200 { reply } else { site.send_quote(0, &id).await };
        assert_eq!((reply.status, reply.body.as_str()), (200, format!("answer to {id}").as_str()), "{fault:?}");
        site.desks[0].set_faults([]);
        // A failed upstream rests for a moment.
        actix_rt::time::sleep(Duration::from_millis(300)).await;
    }
}

#[actix_rt::test]
async fn a_request_that_may_run_once_is_sent_once_and_never_called_unrun() {
    let site = EdgeSite::start(1).await;
    for (number, fault) in
        [UpstreamFault::LoseAnswer, UpstreamFault::WrongId, UpstreamFault::Truncate].into_iter().enumerate()
    {
        let id = format!("once-{number}");
        site.desks.iter().for_each(|desk| desk.set_faults([fault]));
        let key = format!("Bearer {ROSE_KEY}");
        let headers = [("request-id", id.as_str()), ("deadline-ms", "2000"), ("authorization", key.as_str())];
        let reply = site.send(0, "POST", "/once/order", &headers, "one wreath").await;
        assert_eq!(reply.status, 502, "{fault:?}");
        let runs = site.desks.iter().flat_map(|desk| desk.recorded_calls()).filter(|call| call.id == id).count();
        assert_eq!(runs, 1, "{fault:?}");
        site.desks.iter().for_each(|desk| desk.set_faults([]));
        actix_rt::time::sleep(Duration::from_millis(600)).await;
    }
}

#[actix_rt::test]
async fn a_request_that_no_upstream_takes_is_refused_as_not_run() {
    let site = EdgeSite::start(1).await;
    site.desks.iter().for_each(|desk| desk.set_faults([UpstreamFault::Refuse; 40]));
    let reply = site.send_quote(0, "unlucky").await;
    assert_eq!(reply.status, 503);
    assert!(!reply.header("retry-after").is_empty());
    assert!(site.desks.iter().all(|desk| desk.recorded_calls().is_empty()));
}

#[actix_rt::test]
async fn a_request_past_its_routes_timeout_may_have_run() {
    let site = EdgeSite::start(1).await;
    site.desks.iter().for_each(|desk| desk.set_faults([UpstreamFault::Hang; 4]));
    assert_eq!(site.send_quote(0, "late").await.status, 504);
}

#[actix_rt::test]
async fn an_upstream_hears_that_the_client_left() {
    let site = EdgeSite::start(1).await;
    site.desks.iter().for_each(|desk| desk.set_faults([UpstreamFault::Hang]));
    let working = || site.desks.iter().map(|desk| desk.running_requests()).sum::<usize>();
    let gone = actix_rt::time::timeout(Duration::from_millis(400), site.send_quote(0, "left")).await;
    assert!(gone.is_err(), "the request hangs");
    wait_for("the upstream is let go", || async { (working() == 0).then_some(()) }).await;
    let log = site.edges[0].process.log();
    assert!(log.contains("event=client_left request_id=left"), "{log}");
}

#[actix_rt::test]
async fn a_leaving_upstream_and_an_unreadable_entry_get_nothing() {
    let site = EdgeSite::start(1).await;
    site.desks[0].start_draining();
    site.store.put("servers/strange", &serde_json::json!({ "service": 7, "address": "nowhere" }));
    site.store.contents().put("servers/bytes", vec![0xff, 0xfe], 0);
    wait_for("the entries are read", || async {
        let log = site.edges[0].process.log();
        (log.contains("upstream=desk-1 service=desk")
            && log.contains("state=leaving")
            && log.contains("upstream=bytes"))
        .then_some(())
    })
    .await;
    for number in 0..6 {
        assert_eq!(site.send_quote(0, &format!("n-{number}")).await.status, 200);
    }
    assert!(site.desks[0].recorded_calls().is_empty());
    assert_eq!(site.desks[1].recorded_calls().len(), 6);
}

#[actix_rt::test]
async fn news_reaches_every_edge_also_when_the_one_that_watches_for_all_is_killed_or_frozen() {
    let mut site = EdgeSite::start(4).await;
    // Two edges are lost, one after the other; whichever watches, the others must hear of the next change.
    for (number, lost) in [0, 1].into_iter().enumerate() {
        if number == 0 {
            site.edges[lost].process.freeze();
        } else {
            site.edges[lost].process.kill();
        }
        let (version, key) = (10 + number as u64, format!("key-{number}"));
        site.write_config(version, &[("rose", &key)]);
        let bearer = format!("Bearer {key}");
        for edge in lost + 1..4 {
            let headers = [("request-id", "news"), ("deadline-ms", "2000"), ("authorization", bearer.as_str())];
            wait_for("the new key holds", || async {
                (site.send(edge, "POST", "/quote/x", &headers, "").await.status == 200).then_some(())
            })
            .await;
        }
    }
    site.edges[0].process.resume();
    wait_for("the frozen edge hears of it too", || async {
        (site.send_quote(0, "old").await.status == 401).then_some(())
    })
    .await;
}
