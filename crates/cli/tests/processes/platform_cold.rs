//! Tests of cold upstreams on the users' platform, which bear fewer requests than others.

use crate::{
    platform_limits::{busiest_span, send_quotes_to},
    support::{EdgeReply, EdgeSite, ROSE_KEY, wait_for},
};
use serde_json::json;
use std::time::{Duration, Instant};

const EDGES: usize = 3;
/// Requests a second that a cold upstream bears, of all edges together.
const COLD_PER_S: usize = 10;
/// Time in which arrivals are counted.
const SECOND: Duration = Duration::from_secs(1);
/// Time for which callers send requests, before and after a fault.
const LOAD_TIME: Duration = Duration::from_secs(4);

/// Stores a configuration in which upstreams of the service `desk` bear `cold_per_s` requests a second for a minute.
fn write_config(site: &EdgeSite, version: u64, cold_per_s: usize) {
    let mut config = EdgeSite::config_with(version, &[("rose", ROSE_KEY)], &[]);
    config["services"][0]["coldStartS"] = json!(60);
    config["services"][0]["coldPerS"] = json!(cold_per_s);
    site.store.put("op/config", &config);
}

/// Guards against edges that together send a cold upstream more than it bears, also after the loss of one of them, that keep it
/// from warming up, or that let callers wait for it in vain.
#[actix_rt::test]
async fn a_cold_upstream_gets_no_more_of_all_edges_than_it_bears_when_an_edge_is_lost() {
    let mut site = EdgeSite::start(EDGES).await;
    write_config(&site, 3, COLD_PER_S);
    wait_for("every edge has the configuration", || async {
        let has_config = site.edges.iter().all(|edge| edge.process.log().contains("event=config version=3"));
        has_config.then_some(())
    })
    .await;
    for desk in &site.desks {
        desk.stop().await;
    }
    site.start_desk("desk-3");
    let cold = site.desks[2].clone();
    let counted_from = Instant::now();
    let mut replies = send_quotes_to(&site, 0..EDGES, "cold", counted_from + LOAD_TIME).await;
    site.edges[0].process.kill();
    replies.extend(send_quotes_to(&site, 1..EDGES, "lost", Instant::now() + LOAD_TIME).await);
    let busiest = busiest_span(&cold, counted_from, SECOND);
    assert!(busiest <= COLD_PER_S, "{busiest} requests in a second");
    let served = replies.iter().filter(|reply| reply.status == 200).count();
    assert!(served >= 2, "{served} of {} are served", replies.len());
    let is_refused = |reply: &&EdgeReply| reply.status != 200 && reply.status != 503;
    let failed: Vec<&EdgeReply> = replies.iter().filter(is_refused).collect();
    assert!(failed.is_empty(), "a request that is not served has not run: {failed:?}");
    write_config(&site, 4, 0);
    let warm_from = Instant::now();
    wait_for("the same load is more than a cold upstream bears", || async {
        send_quotes_to(&site, 1..EDGES, "warm", Instant::now() + SECOND).await;
        (busiest_span(&cold, warm_from, SECOND) > COLD_PER_S).then_some(())
    })
    .await;
}
