//! Tests of upstreams that send an answer once more where the next one is expected: the copy decides nothing about the request that
//! runs then, although it has the same id or none, and a request that was truly refused is still served.

use crate::support::{
    CopyMoment, EdgeSite, PathMatrix, ROSE_KEY, RecordedRun, RepeatingOptions, RepeatingServer, TRAY_KEY, job_item,
    job_submission, wait_for,
};
use pimentoslip_standin::RelayRule;
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Time for which an order runs.
const ORDER_TIME: Duration = Duration::from_millis(60);
/// Time for which an item runs, longer than two runs of it may overlap.
const ITEM_TIME: Duration = Duration::from_millis(900);
/// Time for which two upstreams may run the same item (the users' rule).
const OVERLAP_MAX: Duration = Duration::from_millis(400);
/// Latency objective with which an order waits until upstreams that have refused it are asked again.
const PATIENT_OBJECTIVE_MS: u64 = 2_000;
/// Time after which upstreams that have refused an order count as available.
const REFUSAL_PAUSE: Duration = Duration::from_millis(400);
/// Orders of each case.
const ORDERS: usize = 2;

/// Answers by which upstreams say that they have not run a request, with the id of the request and without one.
fn refusals() -> Vec<String> {
    let statuses = ["503 Busy", "429 Busy", "421 Other", "400 Bad"];
    let named = statuses.map(|status| refusal(status, "request-id: {id}\r\n"));
    named.into_iter().chain(statuses.map(|status| refusal(status, ""))).collect()
}

fn refusal(status: &str, id_line: &str) -> String {
    format!("HTTP/1.1 {status}\r\nnot-executed: 1\r\n{id_line}content-length: 0\r\n\r\n")
}

/// Answer to an order.
fn whole_answer() -> String {
    "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nserver-signature: s\r\ncontent-length: 4\r\n\r\ndone".to_owned()
}

/// Answer to an item of one event.
fn whole_text() -> String {
    "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nserver-signature: s\r\nweight-versions: 1\r\n\
     content-type: text/event-stream\r\ncontent-length: 20\r\n\r\nid: 1\ndata: whole\n\n\n"
        .to_owned()
}

/// Stores a configuration in which orders wait for upstreams that have refused them.
fn make_orders_patient(site: &EdgeSite) {
    let mut config = EdgeSite::config_with(3, &[("rose", ROSE_KEY), ("tray", TRAY_KEY)], &[]);
    let routes = config["routes"].as_array_mut().expect("a list of routes");
    let order_route = routes.iter_mut().find(|route| route["name"] == "once").expect("the route of orders");
    order_route["targetLatencyMs"] = PATIENT_OBJECTIVE_MS.into();
    order_route["timeoutMs"] = PATIENT_OBJECTIVE_MS.into();
    site.store.put("op/config", &config);
}

/// A server that answers the first request with each id by `first`, and others by `last` after `run_time`.
fn options(first: &str, moment: CopyMoment, run_time: Duration, last: String) -> RepeatingOptions {
    RepeatingOptions { first: first.to_owned(), first_ids: usize::MAX, moment, run_time, last }
}

/// Starts `N` servers that answer like `options`, beside upstreams of `service` that leave.
async fn start_servers<const N: usize>(
    site: &EdgeSite,
    matrix: &mut PathMatrix,
    service: &str,
    case: usize,
    options: &RepeatingOptions,
) -> [RepeatingServer; N] {
    let mut servers = Vec::new();
    for number in 0..N {
        let server = RepeatingServer::start(options.clone()).await;
        matrix.add_address(server.address).await;
        let name = upstream_name(service, case, number);
        site.register(&name, service, server.address, "ready", 1);
        for edge in &site.edges {
            let is_listed = || edge.process.log().contains(&format!("event=upstream_listed upstream={name}"));
            wait_for("the edge lists the server", || async { is_listed().then_some(()) }).await;
        }
        servers.push(server);
    }
    servers.try_into().unwrap_or_else(|_| unreachable!("one server for each number"))
}

fn upstream_name(service: &str, case: usize, number: usize) -> String {
    format!("{service}-{case}-{number}")
}

/// Removes the servers of a case from the list.
fn remove_servers(site: &EdgeSite, service: &str, case: usize) {
    for number in 0..2 {
        site.store.contents().remove(&format!("servers/{}", upstream_name(service, case, number)));
    }
}

/// Runs by id.
fn runs_by_id(servers: &[RepeatingServer]) -> BTreeMap<String, Vec<RecordedRun>> {
    let mut runs: BTreeMap<String, Vec<RecordedRun>> = BTreeMap::new();
    for run in servers.iter().flat_map(RepeatingServer::runs) {
        runs.entry(run.id.clone()).or_default().push(run);
    }
    runs
}

/// Sends orders that each upstream refuses once, and checks that each is served by one run.
async fn check_orders(is_relayed: bool) {
    let (site, mut matrix) = PathMatrix::start_site(&["north", "south"]).await;
    make_orders_patient(&site);
    site.desks.iter().for_each(|desk| desk.start_draining());
    if is_relayed {
        matrix.set_all(0, RelayRule::Refuse);
    }
    let mut failures = Vec::new();
    let mut case = 0;
    for first in refusals() {
        // An upstream at whose address another one has answered is not asked again for seconds.
        let is_served = !first.contains(" 421 ");
        for moment in [CopyMoment::Never, CopyMoment::BeforeRun, CopyMoment::DuringRun] {
            let options = options(&first, moment, ORDER_TIME, whole_answer());
            let servers: [_; 2] = start_servers(&site, &mut matrix, "desk", case, &options).await;
            if is_relayed {
                servers.iter().for_each(|server| matrix.set(0, server.address, RelayRule::Refuse));
            }
            for number in 0..ORDERS {
                let id = format!("order-{case}-{number}");
                actix_rt::time::sleep(REFUSAL_PAUSE).await;
                let status = site.send_order(0, &id).await.status;
                let runs = runs_by_id(&servers).remove(&id).unwrap_or_default();
                let is_promise = matches!(status, 408 | 421 | 429 | 503);
                if runs.len() > 1 || (is_promise && !runs.is_empty()) || (is_served && status != 200) {
                    failures.push(format!("{moment:?} {first:?}: {id} was answered {status}, {} runs", runs.len()));
                }
            }
            remove_servers(&site, "desk", case);
            case += 1;
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against an order that runs twice because a copy of a refusal is taken for the answer to its second send.
#[actix_rt::test]
async fn an_order_is_not_run_again_because_a_refusal_arrives_twice() {
    check_orders(false).await;
}

/// Guards against the same on the connections of the peer through which an order is sent.
#[actix_rt::test]
async fn an_order_sent_through_a_peer_is_not_run_again_because_a_refusal_arrives_twice() {
    check_orders(true).await;
}

/// Longest time for which two of the runs overlap.
fn overlap(runs: &[RecordedRun]) -> Duration {
    let end = |run: &RecordedRun| run.ended_at.unwrap_or_else(Instant::now);
    let pairs = runs.iter().enumerate().flat_map(|(index, run)| runs[..index].iter().map(move |other| (run, other)));
    let overlaps =
        pairs.map(|(run, other)| end(run).min(end(other)).saturating_duration_since(run.began_at.max(other.began_at)));
    overlaps.max().unwrap_or_default()
}

/// Guards against an item that runs at two upstreams because a copy of a refusal is taken for the answer to its second send.
#[actix_rt::test]
async fn an_item_does_not_run_at_two_upstreams_because_a_refusal_arrives_twice() {
    let (site, mut matrix) = PathMatrix::start_site(&["north"]).await;
    site.engines.iter().for_each(|engine| engine.start_draining());
    let mut failures = Vec::new();
    for (case, first) in refusals().into_iter().enumerate() {
        let options = options(&first, CopyMoment::BeforeRun, ITEM_TIME, whole_text());
        let servers: [_; 2] = start_servers(&site, &mut matrix, "engine", case, &options).await;
        let (job, item) = (format!("job-{case}"), format!("item-{case}"));
        let submission = job_submission(1, &[job_item(&item, 1, false)]);
        assert_eq!(site.submit_job(0, &job, &submission).await.status, 202);
        let results = site.all_results(0, &job).await;
        let is_whole = results[0]["state"] == "completed" && results[0]["text"] == "whole";
        let runs = runs_by_id(&servers).remove(&item).unwrap_or_default();
        if overlap(&runs) > OVERLAP_MAX || !is_whole {
            failures.push(format!("{first:?}: {} runs overlap for {:?}: {results:?}", runs.len(), overlap(&runs)));
        }
        remove_servers(&site, "engine", case);
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against an item that is given up because the copy of one failure counts as a second one.
#[actix_rt::test]
async fn an_item_is_not_given_up_because_a_failure_arrives_twice() {
    let (site, mut matrix) = PathMatrix::start_site(&["north"]).await;
    site.engines.iter().for_each(|engine| engine.start_draining());
    let first = "HTTP/1.1 500 Failed\r\nrequest-id: {id}\r\ncontent-length: 0\r\n\r\n";
    let options = options(first, CopyMoment::BeforeRun, ORDER_TIME, whole_text());
    // The item fails at the only upstream and is sent there again; the route gives it up after two failures.
    let servers: [_; 1] = start_servers(&site, &mut matrix, "engine", 0, &options).await;
    let submission = job_submission(1, &[job_item("failing", 1, false)]);
    assert_eq!(site.submit_job(0, "job", &submission).await.status, 202);
    let results = site.all_results(0, "job").await;
    let runs = runs_by_id(&servers).remove("failing").unwrap_or_default();
    assert_eq!((results[0]["state"].as_str(), runs.len()), (Some("completed"), 1), "{results:?}");
}

/// Guards against an item that runs on for nobody at an upstream that has answered it with a response to another item.
#[actix_rt::test]
async fn an_item_that_gets_the_answer_to_another_one_does_not_run_on_there() {
    let (site, mut matrix) = PathMatrix::start_site(&["north"]).await;
    site.engines.iter().for_each(|engine| engine.start_draining());
    let named = refusal("503 Busy", "request-id: {id}\r\n");
    let options = RepeatingOptions { first_ids: 1, ..options(&named, CopyMoment::BeforeRun, ITEM_TIME, whole_text()) };
    let servers: [_; 2] = start_servers(&site, &mut matrix, "engine", 0, &options).await;
    for item in ["refused", "next"] {
        let submission = job_submission(1, &[job_item(item, 1, false)]);
        assert_eq!(site.submit_job(0, &format!("job-{item}"), &submission).await.status, 202);
        let results = site.all_results(0, &format!("job-{item}")).await;
        assert_eq!(results[0]["state"], "completed", "{results:?}");
        let runs = runs_by_id(&servers).remove(item).unwrap_or_default();
        assert!(overlap(&runs) <= OVERLAP_MAX, "{item}: {} runs overlap for {:?}", runs.len(), overlap(&runs));
    }
}
