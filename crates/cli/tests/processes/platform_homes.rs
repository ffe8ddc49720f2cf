//! Tests of home regions: requests, their bodies and batch jobs stay in the regions that routes and organisations allow.

use crate::support::{EdgeSite, PathMatrix, ROSE_KEY, TRAY_KEY, job_item, job_submission, wait_for};
use pimentoslip_standin::{PlatformUpstream, RelayRule};
use serde_json::{Value, json};

/// Version of the configurations that the tests write.
const VERSION: u64 = 3;
const KEYS: [(&str, &str); 2] = [("rose", ROSE_KEY), ("tray", TRAY_KEY)];

/// Stores a configuration in which `routes` have the homes `homes`, and waits until it is in force.
async fn write_homes(site: &EdgeSite, config: &mut Value, routes: &[&str], homes: &[&str]) {
    for route in config["routes"].as_array_mut().expect("a list of routes") {
        if routes.iter().any(|name| route["name"] == *name) {
            route["allowedRegions"] = json!(homes);
        }
    }
    site.store.put("op/config", config);
    let text = format!("event=config version={VERSION}");
    wait_for("the configuration is in force", || async {
        site.edges.iter().all(|edge| edge.process.log().contains(&text)).then_some(())
    })
    .await;
}

fn call_count(upstreams: &[PlatformUpstream]) -> usize {
    upstreams.iter().map(|upstream| upstream.recorded_calls().len()).sum()
}

/// Guards against requests that run outside of the homes of their route or organisation.
#[actix_rt::test]
async fn requests_run_only_in_the_homes_of_route_and_organisation() {
    let mut site = EdgeSite::start(2).await;
    site.start_southern_desk("desk-3");
    let mut config = EdgeSite::config_with(VERSION, &KEYS, &[]);
    // The upstreams of the north are in the region land, that of the south on the island.
    config["tenants"][0]["allowedRegions"] = json!(["island", "land"]);
    config["tenants"][1]["allowedRegions"] = json!(["land"]);
    write_homes(&site, &mut config, &["quote"], &["island"]).await;
    let tray = format!("Bearer {TRAY_KEY}");
    for edge in 0..2 {
        for number in 0..8 {
            assert_eq!(site.send_quote(edge, &format!("quote-{edge}-{number}")).await.status, 200);
            let headers = [("request-id", "tray"), ("deadline-ms", "2000"), ("authorization", tray.as_str())];
            let reply = site.send(edge, "POST", "/quote/roses", &headers, "how much").await;
            assert_eq!((reply.status, reply.body.as_str()), (503, "outside_homes"), "{reply:?}");
        }
    }
    assert_eq!((call_count(&site.desks[..2]), call_count(&site.desks[2..])), (0, 16));
    let before = call_count(&site.desks[2..]);
    for number in 0..8 {
        let id = format!("order-{number}");
        let headers = [("request-id", id.as_str()), ("deadline-ms", "2000"), ("authorization", tray.as_str())];
        assert_eq!(site.send(0, "POST", "/once/order", &headers, "one wreath").await.status, 200);
    }
    assert_eq!((call_count(&site.desks[..2]), call_count(&site.desks[2..])), (8, before));
}

/// Guards against bodies that are sent to an edge outside of the homes: one that relays a request or owns a job.
#[actix_rt::test]
async fn bodies_are_passed_only_to_edges_in_the_homes_or_in_the_region_of_the_caller() {
    const ROUTES: [&str; 6] = ["cards-0", "cards-1", "cards-2", "cards-3", "cards-4", "cards-5"];
    // Each edge is in a region of its own, land-0 to land-2.
    let (site, matrix) = PathMatrix::start_site(&["north", "north", "north"]).await;
    let mut config = EdgeSite::config_with(VERSION, &KEYS, &ROUTES.map(str::to_owned));
    let routes: Vec<&str> = ROUTES.into_iter().chain(["quote"]).collect();
    write_homes(&site, &mut config, &routes, &["land", "land-2"]).await;
    for route in ROUTES {
        let submission = job_submission(0, &[job_item(&format!("{route}-item"), 3, false)]);
        assert_eq!(site.submit_job_on(0, route, route, &submission).await.status, 202);
        assert_eq!(site.all_results(1, route).await.len(), 1);
    }
    matrix.set_all(0, RelayRule::Refuse);
    for number in 0..8 {
        assert_eq!(site.send_quote(0, &format!("quote-{number}")).await.status, 200);
    }
    let logs: Vec<String> = site.edges.iter().map(|edge| edge.process.log()).collect();
    let counts = |event: &str| logs.iter().map(|log| log.matches(event).count()).collect::<Vec<usize>>();
    let (owned, relayed) = (counts("event=job_begun"), counts("event=relayed "));
    assert_eq!((owned[1], owned[0] + owned[2]), (0, ROUTES.len()), "owned jobs: {owned:?}");
    assert!(relayed[1] == 0 && relayed[2] > 0, "relayed requests: {relayed:?}");
}
