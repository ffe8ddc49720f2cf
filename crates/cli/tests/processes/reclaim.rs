//! Test of reclaimable upstreams whose VMs the platform reclaims at short notice.

use super::support::{DaemonSite, SiteOptions, wait_for};
use pimentoslip_standin::{EngineFault, RecordedOrder, SpareUpstream};
use pimentoslip_wire::provider::OrderState;

/// Settings of a service with two engines in each failure domain, at least one of them on a VM that cannot be reclaimed
/// (a standing VM).
const ENGINE_SETTINGS: &str = "kind = \"engine\"
upstreams_per_domain = 2
standing_per_domain = 1
standing_cents_per_hour = 100
reclaimable_cents_per_hour = 40";

/// Sends a streaming request to a daemon and checks that its answer is complete.
async fn check_stream(site: &DaemonSite, key: &pimentoslip_kernel::KeySecret, number: usize) {
    let body = serde_json::json!({
        "model": "drafts", "max_tokens": 16, "stream": true,
        "messages": [{ "role": "user", "content": format!("card {number}") }],
    });
    let answer = site.send(number % 3, "POST", "/v1/chat/completions", key, &[], &body).await;
    assert!(answer.status == 200 && answer.body.ends_with("data: [DONE]\n\n"), "request {number}: {answer:?}");
}

/// Guards against requests that fail while a reclaimable VM is reclaimed, and against a reclaimed VM that is not
/// replaced by a standing one when no reclaimable ones are available.
#[actix_rt::test]
async fn a_reclaimed_upstream_fails_no_request_and_is_replaced_by_a_standing_one() {
    let options = SiteOptions { engines: vec!["a", "a"], ..SiteOptions::default() };
    let base_config =
        options.base_config.replace("failure_domains = [\"a\", \"b\", \"c\"]", "failure_domains = [\"a\"]");
    let mut site = DaemonSite::start(SiteOptions {
        base_config: base_config.replace("kind = \"engine\"", ENGINE_SETTINGS),
        ..options
    })
    .await;
    let reclaimable_address = site.engines[1].1.clone();
    site.add_reclaimable_vm("engine-1", "a", &reclaimable_address, "drafts").await;
    let spare_index = site.start_engine("a").await;
    let spare_address = site.engines[spare_index].1.clone();
    site.remove_vm(&format!("engine-{spare_index}")).await;
    let key = site.create_key(0, 1).await;
    for number in 0..20 {
        check_stream(&site, &key, number).await;
    }
    // The engine reports that it is leaving; requests are sent without a pause until every daemon shows it as leaving.
    site.set_engine_fault(1, EngineFault { leaving: true, ..EngineFault::default() }).await;
    let mut number = 20;
    loop {
        check_stream(&site, &key, number).await;
        number += 1;
        let mut informed_daemons = 0;
        for daemon in 0..3 {
            let status = site.status(daemon).await.expect("status");
            informed_daemons += usize::from(
                status.upstreams.iter().any(|entry| &*entry.name == "engine-1" && entry.state == "leaving"),
            );
        }
        if informed_daemons == 3 {
            break;
        }
    }
    site.engines[1].0.kill();
    let spare = SpareUpstream {
        name: "engine-9".into(),
        service: "drafts".into(),
        failure_domain: "a".into(),
        address: spare_address.into(),
        reclaimable: false,
    };
    site.http.put_json(&format!("http://{}/standin/spares", site.orders_address), &spare).await;
    wait_for("a standing VM replaces the reclaimed one", || {
        let number = number;
        let (site, key) = (&site, &key);
        async move {
            check_stream(site, key, number).await;
            let orders: Vec<RecordedOrder> =
                site.http.get_json(&format!("http://{}/standin/orders", site.orders_address)).await?;
            let reclaimable_unavailable =
                orders.iter().any(|order| order.request.reclaimable && order.state == OrderState::Unavailable);
            (reclaimable_unavailable && orders.iter().any(|order| order.vm.as_deref() == Some("engine-9")))
                .then_some(())
        }
    })
    .await;
    for number in number..number + 20 {
        check_stream(&site, &key, number).await;
    }
}
