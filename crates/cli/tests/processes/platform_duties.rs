//! Tests of the duties on the users' platform (weight rollout, usage reports, scaling, VM retirement) and of planned
//! stops: each duty has one holder at a time, and its actions are not repeated with another outcome.

use crate::support::{EdgeSite, job_item, job_submission, wait_for};
use pimentoslip_standin::{PlatformUpstream, StoreFault};
use std::{collections::BTreeMap, time::Duration};

/// Key of the entry that names the holder.
const DUTY_KEY: &str = "p/w/duty";

/// Guards against engines that are not ordered to load a version or are ordered twice, and against two edges that order
/// loads at the same time.
#[actix_rt::test]
async fn each_weight_version_is_ordered_once_at_every_engine_by_a_single_holder() {
    let site = EdgeSite::start(3).await;
    for version in 2..=3 {
        name_version(&site, version).await;
    }
    let orders: Vec<_> = site.engines.iter().flat_map(|engine| engine.weight_orders()).collect();
    assert_eq!(orders.len(), 4, "each engine is ordered once to load each version: {orders:?}");
    assert!(orders.iter().all(|order| order["holder"] == orders[0]["holder"]));
    assert!(orders.iter().all(|order| order["fencingToken"] == orders[0]["fencingToken"]));
    assert!(
        orders.iter().all(|order| order["expected"].is_u64()),
        "each order states the version that the engine is expected to have, so that a late order has no effect"
    );
}

/// Guards against requests that are missing from the usage reports, and against usage windows that are reported with
/// different counts after the holder of the reporting duty was killed.
#[actix_rt::test]
async fn usage_windows_are_reported_with_one_set_of_counts_after_the_holder_is_killed() {
    let mut site = EdgeSite::start(3).await;
    for number in 0..12 {
        assert_eq!(site.send_quote(number % 3, &format!("q-{number}")).await.status, 200);
    }
    let reported_requests = |site: &EdgeSite| -> u64 {
        let counts_by_window: BTreeMap<u64, u64> = site
            .provider
            .reports()
            .iter()
            .map(|report| (report.window, report.counts["rose"].as_u64().unwrap_or(0)))
            .collect();
        counts_by_window.values().sum()
    };
    wait_for("all requests are reported", || async { (reported_requests(&site) == 12).then_some(()) }).await;
    let first_report = site.provider.reports()[0].clone();
    let holder = site.edges.iter().position(|edge| edge.vm == first_report.holder).expect("the holder is an edge");
    site.edges[holder].process.kill();
    wait_for("another edge reports", || async {
        site.provider.reports().iter().any(|report| report.holder != first_report.holder).then_some(())
    })
    .await;
    let reports = site.provider.reports();
    let mut counts_by_window = BTreeMap::new();
    let mut highest_token = 0;
    for report in &reports {
        assert!(report.fencing_token >= highest_token, "fencing tokens never decrease: {reports:?}");
        highest_token = report.fencing_token;
        let counts = counts_by_window.entry(report.window).or_insert_with(|| report.counts.clone());
        assert_eq!(*counts, report.counts, "all reports of a window have the same counts");
    }
    let holders: std::collections::BTreeSet<_> =
        reports.iter().map(|report| (report.fencing_token, report.holder.clone())).collect();
    assert_eq!(holders.len(), 2, "each fencing token belongs to one holder: {holders:?}");
}

/// Guards against a batch job that waits for reclaimable VMs which the cloud cannot provide.
#[actix_rt::test]
async fn a_batch_job_orders_reclaimable_engines_and_standing_ones_if_none_are_available() {
    let site = EdgeSite::start(2).await;
    assert!(site.provider.scale_orders().is_empty(), "no VM is ordered without work");
    // Two engines of 8 slots are running; 30 items require four engines.
    let items: Vec<_> = (0..30).map(|number| job_item(&format!("i{number}"), 200, false)).collect();
    assert_eq!(site.submit_job(0, "job", &job_submission(1, &items)).await.status, 202);
    let accepted_order = |site: &EdgeSite, spot: bool, desired: u64| {
        let matches = |order: &pimentoslip_standin::ScaleOrder| {
            order.status == 200 && order.order["spot"] == spot && order.order["desired"] == desired
        };
        site.provider.scale_orders().iter().find(|order| matches(order)).cloned()
    };
    let order = wait_for("two reclaimable VMs are ordered", || async { accepted_order(&site, true, 2) }).await;
    assert_eq!(order.order, serde_json::json!({ "service": "engine", "zone": "north", "desired": 2, "spot": true }));
    assert!(order.fencing_token > 0 && site.edges.iter().any(|edge| edge.vm == order.holder), "{order:?}");
    // The ordered VMs never start and no other reclaimable ones are available, so standing ones are ordered instead.
    site.provider.set_reclaimable_unavailable(true);
    wait_for("standing VMs are ordered", || async { accepted_order(&site, false, 4) }).await;
}

#[actix_rt::test]
async fn a_request_to_retire_a_vm_is_reported_as_completed() {
    let site = EdgeSite::start(1).await;
    site.store.put("op/retire/storage-1", &serde_json::json!({ "durationS": 10 }));
    let status = wait_for("the status of the retirement is stored", || async {
        site.store.contents().value("status/retire/storage-1")
    })
    .await;
    assert_eq!(status, br#"{"state":"completed"}"#);
}

/// Guards against a request that is refused while an edge stops, after its readiness check has started to fail, and
/// against an edge that does not serve after a restart.
#[actix_rt::test]
async fn a_stopping_edge_still_serves_and_serves_again_after_a_restart() {
    let mut site = EdgeSite::start(2).await;
    site.edges[0].process.terminate();
    wait_for("the edge is not ready any more", || async { (site.readiness_status(0).await != 200).then_some(()) })
        .await;
    assert_eq!(site.send_quote(0, "during").await.status, 200, "a stopping edge still serves");
    wait_for("the process exits", || {
        let exit_status = site.edges[0].process.exit_status();
        async move { exit_status }
    })
    .await;
    site.restart_edge(0);
    wait_for("the edge is ready again", || async { (site.readiness_status(0).await == 200).then_some(()) }).await;
    assert_eq!(site.send_quote(0, "after").await.status, 200);
}

/// Guards against a duty that nobody performs after the answer to the write of its next holder was lost.
#[actix_rt::test]
async fn orders_go_on_after_the_answer_to_the_write_of_a_new_holder_is_lost() {
    // Time after which feeds have shown every write, which is also longer than a call to the store waits.
    const LATE_TIME: Duration = Duration::from_millis(3_000);
    let lost = |count| StoreFault { lost_writes: Some((DUTY_KEY, count)), ..StoreFault::default() };
    let late = StoreFault { late_key: Some(DUTY_KEY), ..StoreFault::default() };
    // Each case: faults of the store; whether the holder before is killed rather than stopped as planned.
    let cases = [(lost(1), false), (lost(1), true), (lost(3), false), (late, false), (late, true)];
    for (fault, is_killed) in cases {
        let mut site = EdgeSite::start(3).await;
        name_version(&site, 2).await;
        let first_holder = site.engines[0].weight_orders()[0]["holder"].clone();
        let holder =
            site.edges.iter().position(|edge| first_holder == edge.vm.as_str()).expect("the holder is an edge");
        site.store.set_fault(fault);
        if is_killed {
            site.edges[holder].process.kill();
        } else {
            site.edges[holder].process.terminate();
        }
        actix_rt::time::sleep(LATE_TIME).await;
        name_version(&site, 3).await;
        let orders: Vec<_> = site.engines.iter().flat_map(PlatformUpstream::weight_orders).collect();
        let last_token = |version: u64| {
            let of_version = orders.iter().filter(|order| order["version"] == version);
            of_version.filter_map(|order| order["fencingToken"].as_u64()).max()
        };
        assert!(last_token(3) > last_token(2), "{fault:?}, killed: {is_killed}: {orders:?}");
    }
}

/// Names a version of the model, and waits until every engine was ordered to load it.
async fn name_version(site: &EdgeSite, version: u64) {
    site.store.put("op/version/verse", &serde_json::json!({ "model": "verse", "version": version }));
    wait_for("every engine was ordered to load the version", || async {
        let is_ordered =
            |engine: &PlatformUpstream| engine.weight_orders().last().is_some_and(|order| order["version"] == version);
        site.engines.iter().all(is_ordered).then_some(())
    })
    .await;
}
