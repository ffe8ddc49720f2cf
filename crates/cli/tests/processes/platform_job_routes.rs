//! Tests of batch jobs whose owner has another configuration than the edge that accepted them.

use crate::support::{EdgeSite, ROSE_KEY, job_item, job_submission, wait_for};
use pimentoslip_standin::UpstreamFault;
use std::time::Duration;

const KEYS: [(&str, &str); 1] = [("rose", ROSE_KEY)];
/// Batch routes of a test, so that each of two edges owns jobs of some of them.
const ROUTES: usize = 12;
/// Time within which an edge that runs applies a configuration.
const APPLY_TIME: Duration = Duration::from_millis(600);

fn route_names() -> Vec<String> {
    (0..ROUTES).map(|number| format!("new-{number}")).collect()
}

/// States of the results of the jobs on `routes`, each of which has one item.
async fn states(site: &EdgeSite, edge: usize, routes: &[String]) -> Vec<String> {
    let mut states = Vec::new();
    for route in routes {
        let results = site.all_results(edge, &format!("job-{route}")).await;
        states.extend(results.iter().map(|result| result["state"].as_str().unwrap_or_default().to_owned()));
    }
    states
}

/// Submits one job on each of `routes` to `edge`.
async fn submit_jobs(site: &EdgeSite, edge: usize, routes: &[String], events: u64) {
    for route in routes {
        let job = job_submission(1, &[job_item(&format!("item-{route}"), events, false)]);
        // An edge that reads changes through one that is suspended may learn of the route up to two seconds later.
        wait_for("the job is accepted", || async {
            let status = site.submit_job_on(edge, route, &format!("job-{route}"), &job).await.status;
            assert!(matches!(status, 202 | 404 | 503), "{route}: {status}");
            (status == 202).then_some(())
        })
        .await;
    }
}

/// Guards against accepted jobs on a new route that an owner with an older configuration terminates.
#[actix_rt::test]
async fn jobs_on_new_routes_wait_for_an_owner_that_was_suspended_and_complete() {
    let site = EdgeSite::start(2).await;
    for (round, suspended) in [(0, 1), (1, 0)] {
        let routes: Vec<String> = route_names().iter().map(|name| format!("{name}-{round}")).collect();
        site.edges[suspended].process.freeze();
        site.write_config_with(10 + round, &KEYS, &routes);
        actix_rt::time::sleep(APPLY_TIME).await;
        submit_jobs(&site, 1 - suspended, &routes, 2).await;
        site.edges[suspended].process.resume();
        let states = states(&site, 1 - suspended, &routes).await;
        assert_eq!(states, vec!["completed"; ROUTES], "edge {suspended} was suspended");
        let log = site.edges[suspended].process.log();
        assert!(log.contains("event=job_begun"), "edge {suspended} owns jobs of some routes");
    }
}

/// Guards against jobs that run for ever on a route that was removed while their owner was suspended.
#[actix_rt::test]
async fn jobs_on_a_removed_route_end_also_at_an_owner_that_was_suspended() {
    let site = EdgeSite::start(2).await;
    let routes = route_names();
    site.write_config_with(10, &KEYS, &routes);
    actix_rt::time::sleep(APPLY_TIME).await;
    submit_jobs(&site, 0, &routes, 100_000).await;
    let begun = |edge: usize| site.edges[edge].process.log().matches("event=job_begun").count();
    wait_for("all jobs run", || async { (begun(0) + begun(1) == ROUTES).then_some(()) }).await;
    site.edges[1].process.freeze();
    site.write_config_with(11, &KEYS, &[]);
    actix_rt::time::sleep(APPLY_TIME).await;
    site.edges[1].process.resume();
    assert_eq!(states(&site, 0, &routes).await, vec!["terminated"; ROUTES]);
    assert!(begun(1) > 0, "the edge that was suspended owned some of them");
}

/// Guards against items that are terminated after one failure by an owner which was given their job before it had read any
/// configuration.
#[actix_rt::test]
async fn a_job_of_an_owner_without_a_configuration_has_all_attempts_of_its_route() {
    let mut site = EdgeSite::without_edges();
    let routes = route_names();
    site.write_config_with(10, &KEYS, &routes);
    let (view_address, view) = site.store.open_view().expect("another address of the store");
    site.start_edge(view_address);
    site.wait_ready().await;
    // Neither edge can read the configuration, so the second one gets it through the first one neither.
    view.hold_range(Some("op/"));
    site.start_edge(view_address);
    wait_for("the second edge is known", || async {
        (site.store.contents().range("p/w/vm/", "").len() == 2).then_some(())
    })
    .await;
    actix_rt::time::sleep(APPLY_TIME).await;
    submit_jobs(&site, 0, &routes, 2).await;
    // The first edge completes its jobs meanwhile. Each engine then fails once, and each item has two attempts.
    actix_rt::time::sleep(APPLY_TIME).await;
    site.engines.iter().for_each(|engine| engine.set_faults([UpstreamFault::Status(500)]));
    view.hold_range(None);
    assert_eq!(states(&site, 0, &routes).await, vec!["completed"; ROUTES]);
    let log = site.edges[1].process.log();
    assert!(log.contains("result=upstream_failed"), "an item of the second edge has failed once");
}
