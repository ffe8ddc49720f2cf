//! Tests of evacuated failure domains: nothing is sent to the upstreams there, whichever edge a request comes to.

use crate::{
    platform_relays::{relay_quote, relay_sender},
    support::{EdgeSite, ROSE_KEY, event_numbers, job_item, job_submission, wait_for},
};
use futures_util::future;
use pimentoslip_standin::{PlatformUpstream, RelayRule};
use serde_json::json;
use std::cell::Cell;

/// Key with which operators evacuate the failure domain of most upstreams.
const NORTH_KEY: &str = "op/evacuate/north";
/// Events of a run that is in progress when its failure domain is evacuated.
const LONG_RUN: u64 = 200;

/// Waits until `edges` have logged `event` about the failure domain north `count` times in all their processes.
async fn wait_logged(site: &EdgeSite, edges: &[usize], event: &str, count: usize) {
    let text = format!("event={event} failure_domain=north");
    wait_for(&format!("{event} at {edges:?}"), || async {
        let is_logged = |edge: &usize| site.edges[*edge].process.log().matches(&text).count() >= count;
        edges.iter().all(is_logged).then_some(())
    })
    .await;
}

fn call_count(upstreams: &[PlatformUpstream]) -> usize {
    upstreams.iter().map(|upstream| upstream.recorded_calls().len()).sum()
}

/// Sends requests of both kinds at each edge. All of them must be served.
async fn send_requests(site: &EdgeSite, name: &str) {
    for edge in 0..site.edges.len() {
        for number in 0..6 {
            let reply = site.send_quote(edge, &format!("{name}-{edge}-{number}")).await;
            assert_eq!(reply.status, 200, "{name} at {edge}: {reply:?}");
            let reply = site.send_order(edge, &format!("{name}-order-{edge}-{number}")).await;
            assert_eq!(reply.status, 200, "{name} at {edge}: {reply:?}");
        }
    }
}

/// Guards against requests in an evacuated failure domain from an edge that is cut from the store, that has started since, or
/// whose history of changes is gone; and against a domain that is not used again.
#[actix_rt::test]
async fn an_evacuated_domain_gets_nothing_from_any_edge_until_it_returns() {
    let (mut site, relays) = EdgeSite::start_with_relays(3).await;
    site.start_southern_desk("desk-3");
    for cut in [2, 0] {
        relays[cut].set_rule(RelayRule::Stall);
        let round = if cut == 2 { 1 } else { 2 };
        site.store.put(NORTH_KEY, &json!({}));
        wait_logged(&site, &[0, 1, 2], "domain_evacuated", round).await;
        let before = call_count(&site.desks[..2]);
        send_requests(&site, &format!("cut-{cut}")).await;
        assert_eq!(call_count(&site.desks[..2]), before, "requests in the evacuated domain, edge {cut} is cut");
        relays[cut].set_rule(RelayRule::Pass);
        site.store.contents().remove(NORTH_KEY);
        wait_logged(&site, &[0, 1, 2], "domain_returned", round).await;
        // Edges count the upstream of the south as loaded by others for a moment.
        wait_for("the domain is used again", || async {
            send_requests(&site, &format!("back-{cut}")).await;
            (call_count(&site.desks[..2]) > before).then_some(())
        })
        .await;
    }
    site.edges[1].process.freeze();
    site.store.put(NORTH_KEY, &json!({}));
    site.store.put("op/version/other", &json!({ "model": "other", "version": 2 }));
    site.store.contents().discard_history();
    wait_logged(&site, &[0, 2], "domain_evacuated", 3).await;
    site.edges[1].process.resume();
    wait_logged(&site, &[1], "domain_evacuated", 3).await;
    site.edges[0].process.kill();
    site.restart_edge(0);
    site.wait_ready().await;
    let before = call_count(&site.desks[..2]);
    send_requests(&site, "reread").await;
    assert_eq!(call_count(&site.desks[..2]), before, "requests after a restart and without the history");
}

/// Guards against callers that wait in vain, or are refused although their requests have run, while all upstreams are in
/// evacuated failure domains.
#[actix_rt::test]
async fn callers_are_refused_as_not_run_while_all_domains_are_evacuated() {
    let mut site = EdgeSite::start(2).await;
    site.start_southern_desk("desk-3");
    for domain in ["north", "south"] {
        site.store.put(&format!("op/evacuate/{domain}"), &json!({}));
    }
    wait_logged(&site, &[0, 1], "domain_evacuated", 1).await;
    wait_for("the south is evacuated too", || async {
        let text = "event=domain_evacuated failure_domain=south";
        (0..2).all(|edge| site.edges[edge].process.log().contains(text)).then_some(())
    })
    .await;
    for edge in 0..2 {
        for reply in [
            site.send_quote(edge, &format!("quote-{edge}")).await,
            site.send_order(edge, &format!("order-{edge}")).await,
            site.send_talk(edge, &format!("talk-{edge}"), 3, &[]).await,
        ] {
            assert_eq!((reply.status, reply.body.as_str()), (503, "evacuated"), "{reply:?}");
        }
    }
    assert_eq!(call_count(&site.desks) + call_count(&site.engines), 0);
}

/// Guards against items of jobs that run in an evacuated failure domain or are terminated for it, and against runs in progress
/// that are broken off.
#[actix_rt::test]
async fn items_wait_for_the_return_of_the_domain_and_runs_in_progress_are_finished() {
    let site = EdgeSite::start(2).await;
    let running = || site.engines.iter().map(PlatformUpstream::running_requests).sum::<usize>();
    let items = [job_item("first-0", LONG_RUN, false), job_item("first-1", LONG_RUN, false)];
    assert_eq!(site.submit_job(0, "first", &job_submission(0, &items)).await.status, 202);
    let before = Cell::new(0);
    let evacuate = async {
        wait_for("all runs are in progress", || async { (running() == 3).then_some(()) }).await;
        site.store.put(NORTH_KEY, &json!({}));
        wait_logged(&site, &[0, 1], "domain_evacuated", 1).await;
        before.set(call_count(&site.engines) + call_count(&site.desks));
        let items = [job_item("second-0", 3, false), job_item("second-1", 3, true)];
        assert_eq!(site.submit_job(1, "second", &job_submission(0, &items)).await.status, 202);
    };
    let (bearer, length) = (format!("Bearer {ROSE_KEY}"), LONG_RUN.to_string());
    let headers = [
        ("request-id", "talk"),
        ("deadline-ms", "10000"),
        ("model", "verse"),
        ("length-hint", &length),
        ("authorization", &bearer),
    ];
    let (talk, ()) = future::join(site.send(0, "POST", "/slow-talk/verse", &headers, "how sad"), evacuate).await;
    assert_eq!(event_numbers(&talk.body).len() as u64, LONG_RUN, "{talk:?}");
    let results = site.all_results(1, "first").await;
    assert!(results.iter().all(|result| result["state"] == "completed"), "{results:?}");
    assert_eq!(call_count(&site.engines) + call_count(&site.desks), before.get(), "requests in the evacuated domain");
    site.store.contents().remove(NORTH_KEY);
    let results = site.all_results(0, "second").await;
    assert!(results.iter().all(|result| result["state"] == "completed"), "{results:?}");
}

/// Guards against requests in an evacuated failure domain that an edge relays for one that does not know of the evacuation.
#[actix_rt::test]
async fn an_edge_relays_nothing_to_an_evacuated_domain() {
    let site = EdgeSite::start(2).await;
    site.store.put(NORTH_KEY, &json!({}));
    wait_logged(&site, &[0, 1], "domain_evacuated", 1).await;
    let result = relay_quote(&site, 1, relay_sender(&site, 0), "relayed").await;
    assert_eq!((result.as_str(), call_count(&site.desks)), ("departed", 0));
}
