//! Tests of requests on the users' platform: complete answers, refusals that state truthfully whether the request ran,
//! and API keys that grant access to their own organisation only.

use crate::support::{EdgeSite, HOST, HttpClient, ROSE_KEY, TRAY_KEY, wait_for};
use pimentoslip_standin::{RelayRule, StoreFault, UpstreamFault};
use std::time::Duration;

#[actix_rt::test]
async fn a_request_runs_for_the_organisation_of_its_key_and_its_answer_is_returned_unchanged() {
    let site = EdgeSite::start(2).await;
    for edge in 0..2 {
        let id = format!("quote-{edge}");
        let reply = site.send_quote(edge, &id).await;
        assert_eq!((reply.status, reply.body.as_str()), (200, format!("answer to {id}").as_str()));
        assert_eq!(reply.header("server-signature"), format!("signed {id}"));
        assert_eq!(reply.header("request-id"), id);
        let calls: Vec<_> =
            site.desks.iter().flat_map(|desk| desk.recorded_calls()).filter(|call| call.id == id).collect();
        assert_eq!(calls.len(), 1);
        assert_eq!((calls[0].organisation.as_str(), calls[0].has_key), ("rose", false));
        assert_eq!((calls[0].path.as_str(), calls[0].body.as_slice()), ("/quote/roses", &b"how much"[..]));
        assert!(
            calls[0].deadline_ms <= 1_500,
            "the deadline is the route's timeout, which is shorter than the caller's"
        );
    }
}

#[actix_rt::test]
async fn refused_requests_receive_the_status_of_their_fault_and_reach_no_plain_upstream() {
    let site = EdgeSite::start(1).await;
    let bearer = format!("Bearer {ROSE_KEY}");
    // Each case: path; authorization header; status of the refusal.
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
    for (path, authorization, status) in cases {
        let mut headers = vec![("request-id", "refused"), ("deadline-ms", "1000")];
        headers.extend(authorization.map(|authorization| ("authorization", authorization)));
        let method = if path.starts_with("/pimentoslip") { "GET" } else { "POST" };
        assert_eq!(site.send(0, method, path, &headers, "").await.status, status, "{path} with {authorization:?}");
    }
    let long_value = "x".repeat(17_000);
    let large_headers =
        [("request-id", "large"), ("deadline-ms", "1000"), ("authorization", bearer.as_str()), ("x-long", &long_value)];
    assert_eq!(site.send(0, "POST", "/quote/x", &large_headers, "").await.status, 431);
    let large_body_headers = [("request-id", "large"), ("deadline-ms", "1000"), ("authorization", bearer.as_str())];
    assert_eq!(site.send(0, "POST", "/quote/x", &large_body_headers, &"x".repeat(1_000_001)).await.status, 413);
    let open_headers = [("request-id", "open"), ("deadline-ms", "1000")];
    assert_eq!(site.send(0, "POST", "/score/x", &open_headers, "").await.status, 200, "an open route needs no key");
    let request_ids: Vec<_> = site.desks.iter().flat_map(|desk| desk.recorded_calls()).map(|call| call.id).collect();
    assert_eq!(request_ids, ["open"]);
}

#[actix_rt::test]
async fn an_edge_without_a_configuration_is_not_ready_and_refuses_requests_with_503() {
    let mut site = EdgeSite::without_edges();
    let store_address = site.store.address;
    site.start_edge(store_address);
    wait_for("the edge answers its readiness check", || async {
        (site.readiness_status(0).await == 503).then_some(())
    })
    .await;
    let reply = site.send_quote(0, "early").await;
    assert_eq!(reply.status, 503);
    assert!(!reply.header("retry-after").is_empty());
    site.write_config(2, &[("rose", ROSE_KEY)]);
    wait_for("the edge is ready", || async { (site.readiness_status(0).await == 200).then_some(()) }).await;
    assert_eq!(site.send_quote(0, "later").await.status, 200);
}

/// Guards against a withdrawn key that is accepted again after an older or malformed configuration was written.
#[actix_rt::test]
async fn a_withdrawn_key_stays_refused_after_an_older_or_malformed_configuration() {
    let site = EdgeSite::start(1).await;
    site.write_config(5, &[("tray", TRAY_KEY)]);
    wait_for("the withdrawn key is refused", || async { (site.send_quote(0, "q").await.status == 401).then_some(()) })
        .await;
    site.write_config(4, &[("rose", ROSE_KEY), ("tray", TRAY_KEY)]);
    site.store.put("op/config", &serde_json::json!("not a configuration"));
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(site.send_quote(0, "q").await.status, 401);
}

/// Guards against callers that are told, for good, that a new route or key does not exist, by an edge that missed it.
#[actix_rt::test]
async fn an_edge_that_may_have_missed_a_configuration_calls_no_route_or_key_unknown() {
    let site = EdgeSite::start(1).await;
    let bearer = format!("Bearer {ROSE_KEY}");
    // Path and authorization header of requests that the known configuration doesn't allow.
    let cases = [("/new/route", bearer.as_str()), ("/quote/x", "Bearer new-key")];
    let status = async |path: &str, authorization: &str| {
        let headers = [("request-id", "new"), ("deadline-ms", "1000"), ("authorization", authorization)];
        site.send(0, "POST", path, &headers, "").await
    };
    assert_eq!(status(cases[0].0, cases[0].1).await.status, 404);
    assert_eq!(status(cases[1].0, cases[1].1).await.status, 401);
    site.store.set_fault(StoreFault { down: true, ..StoreFault::default() });
    for (path, authorization) in cases {
        let reply = wait_for("the edge is not certain any more", || async {
            let reply = status(path, authorization).await;
            (reply.status == 503).then_some(reply)
        });
        assert_eq!(reply.await.header("retry-after"), "0.5");
    }
    assert_eq!(site.send_quote(0, "known").await.status, 200, "what is known stays in force");
    site.store.set_fault(StoreFault::default());
    wait_for("the edge is certain again", || async {
        (status(cases[0].0, cases[0].1).await.status == 404).then_some(())
    })
    .await;
}

/// Guards against an idempotent request that keeps failing, or receives the answer to another request, because of one
/// upstream. The caller sends a failed request once more.
#[actix_rt::test]
async fn an_idempotent_request_succeeds_after_each_fault_of_one_upstream() {
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
        // The edge backs off from a failed upstream for a short time.
        actix_rt::time::sleep(Duration::from_millis(300)).await;
    }
}

/// Guards against a request on an unsafe route that is sent again, or reported as not run (503), after its answer was
/// lost, truncated or had a wrong id.
#[actix_rt::test]
async fn an_unsafe_request_without_a_valid_answer_is_sent_once_and_answered_with_502() {
    let site = EdgeSite::start(1).await;
    for (number, fault) in
        [UpstreamFault::LoseAnswer, UpstreamFault::WrongId, UpstreamFault::Truncate].into_iter().enumerate()
    {
        let id = format!("once-{number}");
        site.desks.iter().for_each(|desk| desk.set_faults([fault]));
        let reply = site.send_order(0, &id).await;
        assert_eq!(reply.status, 502, "{fault:?}");
        let runs = site.desks.iter().flat_map(|desk| desk.recorded_calls()).filter(|call| call.id == id).count();
        assert_eq!(runs, 1, "{fault:?}");
        site.desks.iter().for_each(|desk| desk.set_faults([]));
        actix_rt::time::sleep(Duration::from_millis(600)).await;
    }
}

#[actix_rt::test]
async fn a_request_refused_by_every_upstream_does_not_run_and_is_answered_with_503() {
    let site = EdgeSite::start(1).await;
    site.desks.iter().for_each(|desk| desk.set_faults([UpstreamFault::Refuse; 40]));
    let reply = site.send_quote(0, "unlucky").await;
    assert_eq!(reply.status, 503);
    assert!(!reply.header("retry-after").is_empty());
    assert!(site.desks.iter().all(|desk| desk.recorded_calls().is_empty()));
}

/// Guards against a request that is reported as not run (503) although it may have run.
#[actix_rt::test]
async fn a_request_past_the_timeout_of_its_route_is_answered_with_504() {
    let site = EdgeSite::start(1).await;
    site.desks.iter().for_each(|desk| desk.set_faults([UpstreamFault::Hang; 4]));
    assert_eq!(site.send_quote(0, "late").await.status, 504);
}

/// Guards against upstreams that keep working for a client that has disconnected.
#[actix_rt::test]
async fn a_client_that_disconnects_cancels_its_request_at_the_upstream() {
    let site = EdgeSite::start(1).await;
    site.desks.iter().for_each(|desk| desk.set_faults([UpstreamFault::Hang]));
    let running_requests = || site.desks.iter().map(|desk| desk.running_requests()).sum::<usize>();
    let timed_out = actix_rt::time::timeout(Duration::from_millis(400), site.send_quote(0, "left")).await;
    assert!(timed_out.is_err(), "the answer of the upstream never ends");
    wait_for("the request is cancelled at the upstream", || async { (running_requests() == 0).then_some(()) }).await;
    let log = site.edges[0].process.log();
    assert!(log.contains("event=client_left request_id=left"), "{log}");
}

/// Guards against requests to upstreams that are leaving, and against malformed upstream entries in the store that
/// prevent routing.
#[actix_rt::test]
async fn leaving_upstreams_and_malformed_upstream_entries_receive_no_requests() {
    let site = EdgeSite::start(1).await;
    site.desks[0].start_draining();
    site.store.put("servers/strange", &serde_json::json!({ "service": 7, "address": "nowhere" }));
    site.store.contents().put("servers/bytes", vec![0xff, 0xfe], 0);
    wait_for("the edge has read the entries", || async {
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

/// One edge watches the store on behalf of all. Guards against edges that keep an outdated configuration when that edge
/// is lost, or no longer receives anything from the store. Edges are lost in the order in which they become the watcher.
#[actix_rt::test]
async fn changes_reach_the_remaining_edges_after_each_watcher_is_lost() {
    let (mut site, relays) = EdgeSite::start_with_relays(4).await;
    site.write_config(3, &[("rose", ROSE_KEY)]);
    let names: Vec<String> = site.edges.iter().map(|edge| edge.vm.clone()).collect();
    let watchers: Vec<usize> = pimentoslip_kernel::rank("watch", &names)
        .into_iter()
        .filter_map(|watcher| names.iter().position(|name| name == watcher))
        .collect();
    for (number, lost) in watchers.iter().copied().take(3).enumerate() {
        match number {
            0 => site.edges[lost].process.freeze(),
            1 => relays[lost].set_rule(RelayRule::Stall),
            _ => site.edges[lost].process.kill(),
        }
        let (version, key) = (10 + number as u64, format!("key-{number}"));
        site.write_config(version, &[("rose", &key)]);
        let bearer = format!("Bearer {key}");
        for edge in watchers[number + 1..].iter().copied() {
            let headers = [("request-id", "news"), ("deadline-ms", "2000"), ("authorization", bearer.as_str())];
            wait_for("the new key is accepted", || async {
                (site.send(edge, "POST", "/quote/x", &headers, "").await.status == 200).then_some(())
            })
            .await;
        }
    }
    site.edges[watchers[0]].process.resume();
    wait_for("the resumed edge refuses the previous key", || async {
        (site.send_quote(watchers[0], "old").await.status == 401).then_some(())
    })
    .await;
}

/// Guards against an edge that counts as gone, although it runs, because the first write of its presence was done late, under a
/// lease that it does not renew.
#[actix_rt::test]
async fn a_presence_that_is_written_late_does_not_end_with_another_lease() {
    let mut site = EdgeSite::without_edges();
    site.write_default_config();
    site.store.set_fault(StoreFault { late_key: Some("p/w/vm/edge-0"), ..StoreFault::default() });
    let store_address = site.store.address;
    (0..2).for_each(|_| site.start_edge(store_address));
    site.wait_ready().await;
    // Twice the time to live of a lease.
    actix_rt::time::sleep(Duration::from_secs(6)).await;
    let log = site.edges[1].process.log();
    assert!(!log.contains("event=daemon_left daemon=edge-0"), "{log}");
    assert!(site.store.contents().value("p/w/vm/edge-0").is_some());
}

/// Guards against requests that are cut off by a planned stop after they were passed on to an upstream. Callers keep
/// sending on their open connections until the edge has exited.
#[actix_rt::test]
async fn a_planned_stop_under_load_answers_every_request_that_an_upstream_ran() {
    let mut site = EdgeSite::start(1).await;
    let callers: Vec<_> = (0..24).map(|caller| send_until_refused(&site, caller)).collect();
    let stop = async {
        actix_rt::time::sleep(Duration::from_millis(300)).await;
        site.edges[0].process.terminate();
    };
    let (unanswered, ()) = futures_util::future::join(futures_util::future::join_all(callers), stop).await;
    let unanswered = unanswered.concat();
    wait_for("the edge has exited", || {
        let has_exited = site.edges[0].process.exit_status().is_some();
        async move { has_exited.then_some(()) }
    })
    .await;
    let runs: Vec<String> = site.desks.iter().flat_map(|desk| desk.recorded_calls()).map(|call| call.id).collect();
    assert!(runs.len() > 500, "{} requests ran", runs.len());
    let cut: Vec<&String> = unanswered.iter().filter(|id| runs.contains(id)).collect();
    assert!(cut.is_empty(), "requests ran at an upstream and got no answer: {cut:?}");
}

/// Sends quotes, one after the other on a kept connection, until the edge accepts no connection any more. Returns the ids of those that got
/// no complete answer. A refusal says that the request did not run.
async fn send_until_refused(site: &EdgeSite, caller: usize) -> Vec<String> {
    /// Failures in a row after which the edge has stopped.
    const FAILURES_MAX: usize = 40;
    let http = HttpClient::new();
    let bearer = format!("Bearer {ROSE_KEY}");
    let mut unanswered = Vec::new();
    let mut failures = 0;
    for number in 0.. {
        let id = format!("load-{caller}-{number}");
        let headers =
            [("host", HOST), ("request-id", id.as_str()), ("deadline-ms", "2000"), ("authorization", &bearer)];
        let reply = http.send("POST", &site.url(0, "/quote/roses"), &headers, &"how much").await;
        match reply.status {
            0 => {
                failures += 1;
                unanswered.push(id);
                actix_rt::time::sleep(Duration::from_millis(10)).await;
            }
            status => {
                failures = 0;
                assert!(matches!(status, 200 | 502..=504), "{id}: {status}");
                // Callers are not in step with each other.
                actix_rt::time::sleep(Duration::from_millis(caller as u64 % 7)).await;
            }
        }
        if failures > FAILURES_MAX {
            break;
        }
    }
    unanswered
}
