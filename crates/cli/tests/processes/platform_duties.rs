//! Duties on the users' platform: one holder at a time, weights loaded in order, usage reported once.

use crate::support::{EdgeSite, job_item, job_submission, wait_for};
use std::collections::BTreeMap;

#[actix_rt::test]
async fn named_versions_reach_every_engine_under_one_holder() {
    let site = EdgeSite::start(3).await;
    for version in 2..=3 {
        site.store.put("op/version/verse", &serde_json::json!({ "model": "verse", "version": version }));
        wait_for("all engines have it", || async {
            let loaded = |engine: &pimentoslip_standin::PlatformUpstream| {
                engine.weight_orders().last().is_some_and(|order| order["version"] == version)
            };
            site.engines.iter().all(loaded).then_some(())
        })
        .await;
    }
    let orders: Vec<_> = site.engines.iter().flat_map(|engine| engine.weight_orders()).collect();
    assert_eq!(orders.len(), 4, "each engine loads each version once: {orders:?}");
    assert!(orders.iter().all(|order| order["holder"] == orders[0]["holder"]));
    assert!(orders.iter().all(|order| order["fencingToken"] == orders[0]["fencingToken"]));
    assert!(orders.iter().all(|order| order["expected"].is_u64()), "late orders are guarded against");
}

#[actix_rt::test]
async fn usage_windows_are_reported_once_and_go_on_after_the_holder_died() {
    let mut site = EdgeSite::start(3).await;
    for number in 0..12 {
        assert_eq!(site.send_quote(number % 3, &format!("q-{number}")).await.status, 200);
    }
    let counted = |site: &EdgeSite| -> u64 {
        let reports: BTreeMap<u64, u64> = site
            .provider
            .reports()
            .iter()
            .map(|report| (report.window, report.counts["rose"].as_u64().unwrap_or(0)))
            .collect();
        reports.values().sum()
    };
    wait_for("all requests are reported", || async { (counted(&site) == 12).then_some(()) }).await;
    let first = site.provider.reports()[0].clone();
    let holder = site.edges.iter().position(|edge| edge.vm == first.holder).expect("the holder is an edge");
    site.edges[holder].process.kill();
    wait_for("another one reports", || async {
        site.provider.reports().iter().any(|report| report.holder != first.holder).then_some(())
    })
    .await;
    let reports = site.provider.reports();
    let mut sealed = BTreeMap::new();
    let mut token = 0;
    for report in &reports {
        assert!(report.fencing_token >= token, "tokens never fall: {reports:?}");
        token = report.fencing_token;
        let counts = sealed.entry(report.window).or_insert_with(|| report.counts.clone());
        assert_eq!(*counts, report.counts, "a window has one set of counts");
    }
    let holders: std::collections::BTreeSet<_> =
        reports.iter().map(|report| (report.fencing_token, report.holder.clone())).collect();
    assert_eq!(holders.len(), 2, "one holder a token: {holders:?}");
}

#[actix_rt::test]
async fn engines_are_ordered_as_a_batch_job_asks() {
    let site = EdgeSite::start(2).await;
    assert!(site.provider.scale_orders().is_empty(), "nothing is ordered without work");
    // Two engines of 8 slots run; 30 items ask for four.
    let items: Vec<_> = (0..30).map(|n| job_item(&format!("i{n}"), 200, false)).collect();
    assert_eq!(site.submit_job(0, "job", &job_submission(1, &items)).await.status, 202);
    let accepted = |site: &EdgeSite, spot: bool, desired: u64| {
        let fits = |order: &pimentoslip_standin::ScaleOrder| {
            order.status == 200 && order.order["spot"] == spot && order.order["desired"] == desired
        };
        site.provider.scale_orders().iter().find(|order| fits(order)).cloned()
    };
    let order = wait_for("two reclaimable ones are ordered", || async { accepted(&site, true, 2) }).await;
    assert_eq!(order.order, serde_json::json!({ "service": "engine", "zone": "north", "desired": 2, "spot": true }));
    assert!(order.fencing_token > 0 && site.edges.iter().any(|edge| edge.vm == order.holder), "{order:?}");
    // They never come, and there are no others: the standing kind takes their place.
    site.provider.set_reclaimable_unavailable(true);
    wait_for("standing ones are ordered", || async { accepted(&site, false, 4) }).await;
}

#[actix_rt::test]
async fn a_vm_that_is_to_be_emptied_is_said_to_be_empty() {
    let site = EdgeSite::start(1).await;
    site.store.put("op/retire/storage-1", &serde_json::json!({ "durationS": 10 }));
    let status =
        wait_for("the status is written", || async { site.store.contents().value("status/retire/storage-1") }).await;
    assert_eq!(status, br#"{"state":"completed"}"#);
}

#[actix_rt::test]
async fn a_planned_stop_ends_in_time_and_a_restart_serves_again() {
    let mut site = EdgeSite::start(2).await;
    site.edges[0].process.terminate();
    wait_for("the edge is out of rotation", || async { (site.readiness_status(0).await != 200).then_some(()) }).await;
    assert_eq!(site.send_quote(0, "during").await.status, 200, "it serves until it is gone");
    wait_for("the process ends", || {
        let ended = site.edges[0].process.exit_status();
        async move { ended }
    })
    .await;
    site.restart_edge(0);
    wait_for("the edge is ready again", || async { (site.readiness_status(0).await == 200).then_some(()) }).await;
    assert_eq!(site.send_quote(0, "after").await.status, 200);
}
