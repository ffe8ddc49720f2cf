//! Tests of requests that wait at an edge for the few slots of a service.

use crate::support::{EdgeReply, EdgeSite, ROSE_KEY, TRAY_KEY, wait_for};
use futures_util::future::{join, join_all};
use pimentoslip_standin::UpstreamFault;
use std::{cell::Cell, collections::BTreeSet, time::Duration};

const SLOTS: u64 = 2;
const RUN_MS: u64 = 20;
/// Callers of the organisation that sends too much: several times as many as there are slots, with the wait of all of
/// them far above the latency objective of 400 ms.
const CALLERS: usize = 60;
/// Requests that the other organisation sends, one after the other.
const SINGLE_REQUESTS: usize = 40;
const CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// Starts a site with one edge and one desk with `slots` slots, of whose run time the edge knows.
async fn small_site(slots: u64, run_ms: u64) -> EdgeSite {
    let mut site = EdgeSite::without_edges();
    site.desks.iter().for_each(|desk| desk.leave_list());
    site.desks.clear();
    site.start_small_desk("desk-small", slots, run_ms);
    site.write_default_config();
    let store_address = site.store.address;
    site.start_edge(store_address);
    site.wait_ready().await;
    wait_for("a request is served", || async { (site.send_quote(0, "first").await.status == 200).then_some(()) }).await;
    site
}

async fn send_as(site: &EdgeSite, key: &str, path: &str, id: &str) -> EdgeReply {
    let bearer = format!("Bearer {key}");
    let headers = [("request-id", id), ("deadline-ms", "10000"), ("authorization", bearer.as_str())];
    site.send(0, "POST", path, &headers, "how much").await
}

/// Number of requests that wait for the desk, as the edge reports it.
async fn waiting_count(site: &EdgeSite) -> u64 {
    let url = format!("http://{}/metrics", site.edges[0].control_address);
    let mut response = pimentoslip_client::plain_client().get(url).send().await.expect("the metrics");
    let body = response.body().await.expect("the metrics");
    let text = String::from_utf8_lossy(&body);
    let line = text.lines().find_map(|line| line.strip_prefix("pimentoslip_requests_waiting{service=\"desk\"} "));
    line.and_then(|count| count.parse().ok()).unwrap_or(0)
}

/// Ids of the requests that the desk has run.
fn run_ids(site: &EdgeSite) -> Vec<String> {
    site.desks[0].recorded_calls().into_iter().map(|call| call.id).collect()
}

/// Guards against an organisation that fills the slots of a service, and against a daemon that sends an upstream more than its
/// slots take.
#[actix_rt::test]
async fn an_organisation_with_few_requests_is_served_while_another_one_fills_the_slots() {
    let site = small_site(SLOTS, RUN_MS).await;
    let is_over = Cell::new(false);
    let busiest = Cell::new(0);
    let watch = async {
        while !is_over.get() {
            busiest.set(site.desks[0].running_requests().max(busiest.get()));
            actix_rt::time::sleep(CHECK_INTERVAL).await;
        }
    };
    let crowd = join_all((0..CALLERS).map(|caller| {
        let (site, is_over) = (&site, &is_over);
        async move {
            let mut replies = Vec::new();
            while !is_over.get() {
                let id = format!("rose-{caller}-{}", replies.len());
                let reply = send_as(site, ROSE_KEY, "/quote/roses", &id).await;
                let pause = reply.header("retry-after").parse().unwrap_or(0.0);
                replies.push((id, reply));
                actix_rt::time::sleep(Duration::from_secs_f64(pause)).await;
            }
            replies
        }
    }));
    let single = async {
        let mut served = 0;
        for number in 0..SINGLE_REQUESTS {
            let reply = send_as(&site, TRAY_KEY, "/quote/trays", &format!("tray-{number}")).await;
            served += usize::from(reply.status == 200);
        }
        is_over.set(true);
        served
    };
    let ((replies, served), ()) = join(join(crowd, single), watch).await;
    assert!(served * 10 >= SINGLE_REQUESTS * 9, "{served} of {SINGLE_REQUESTS} are served");
    assert!(busiest.get() <= SLOTS as usize, "{} requests ran at once on {SLOTS} slots", busiest.get());
    let run: BTreeSet<String> = run_ids(&site).into_iter().collect();
    let replies: Vec<(String, EdgeReply)> = replies.into_iter().flatten().collect();
    let refusals: Vec<&(String, EdgeReply)> = replies.iter().filter(|(_, reply)| reply.status != 200).collect();
    assert!(!refusals.is_empty(), "{} requests are served, none is refused", replies.len());
    for (id, reply) in refusals {
        assert_eq!((reply.status, reply.body.as_str()), (503, "no_room"), "{id}: {reply:?}");
        let seconds: f64 = reply.header("retry-after").parse().expect("a number of seconds");
        assert!(seconds > 0.0 && !run.contains(id), "{id} returns after {seconds} s");
    }
}

/// Guards against requests that wait at a planned stop and are neither served nor refused as not run.
#[actix_rt::test]
async fn a_planned_stop_serves_or_refuses_all_that_wait() {
    let mut site = small_site(1, 40).await;
    let orders = {
        let site = &site;
        let ids: Vec<String> = (0..8).map(|number| format!("order-{number}")).collect();
        let send = join_all(ids.clone().into_iter().map(|id| async move {
            let reply = send_as(site, ROSE_KEY, "/once/order", &id).await;
            (id, reply)
        }));
        let stop = async {
            wait_for("an order runs", || async { run_ids(site).iter().any(|id| ids.contains(id)).then_some(()) }).await;
            site.edges[0].process.terminate();
        };
        join(send, stop).await.0
    };
    let run = run_ids(&site);
    for (id, reply) in &orders {
        let runs = run.iter().filter(|run_id| *run_id == id).count();
        assert_eq!((reply.status, runs), if runs == 1 { (200, 1) } else { (503, 0) }, "{id}: {reply:?}");
    }
    assert!(orders.iter().filter(|(_, reply)| reply.status == 200).count() >= 2, "the line is served on: {orders:?}");
    let edge = &mut site.edges[0].process;
    let mut status = edge.exit_status();
    while status.is_none() {
        actix_rt::time::sleep(CHECK_INTERVAL).await;
        status = edge.exit_status();
    }
    assert!(status.is_some_and(|status| status.success()), "{}", edge.log());
}

/// Guards against requests that run although their organisation was removed while they waited.
#[actix_rt::test]
async fn a_request_whose_organisation_is_removed_while_it_waits_is_refused() {
    let site = small_site(1, RUN_MS).await;
    site.desks[0].set_faults([UpstreamFault::Hang]);
    let first = send_as(&site, TRAY_KEY, "/slow/trays", "hanging");
    let second = async {
        wait_for("the slot is in use", || async { run_ids(&site).contains(&"hanging".to_owned()).then_some(()) }).await;
        let wait = send_as(&site, ROSE_KEY, "/slow/roses", "waiting");
        let remove = async {
            wait_for("the request waits", || async { (waiting_count(&site).await == 1).then_some(()) }).await;
            site.write_config(3, &[("tray", TRAY_KEY)]);
        };
        join(wait, remove).await.0
    };
    let (_, second) = join(first, second).await;
    assert_eq!((second.status, second.body.as_str()), (503, "route_changed"), "{second:?}");
    assert!(!run_ids(&site).contains(&"waiting".to_owned()), "a refused request does not run");
}
