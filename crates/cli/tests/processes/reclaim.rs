//! A failure domain's reclaimable upstreams are taken back with little notice.

use super::support::{DaemonSite, SiteOptions, wait_for};
use pimentoslip_standin::{EngineFault, RecordedOrder, SpareUpstream};
use pimentoslip_wire::provider::OrderState;

/// Two engines in failure domain "a", one of them standing.
const ENGINES: &str = "kind = \"engine\"
upstreams_per_domain = 2
standing_per_domain = 1
standing_cents_per_hour = 100
reclaimable_cents_per_hour = 40";

async fn card(site: &DaemonSite, key: &pimentoslip_kernel::KeySecret, number: usize) {
    let body = serde_json::json!({
        "model": "drafts", "max_tokens": 16, "stream": true,
        "messages": [{ "role": "user", "content": format!("card {number}") }],
    });
    let answer = site.send(number % 3, "POST", "/v1/chat/completions", key, &[], &body).await;
    assert!(answer.status == 200 && answer.body.ends_with("data: [DONE]\n\n"), "call {number}: {answer:?}");
}

#[actix_rt::test]
async fn a_reclaimed_domain_cuts_no_call_and_is_replaced_by_the_dearer_kind() {
    let options = SiteOptions { engines: vec!["a", "a"], ..SiteOptions::default() };
    let base_config =
        options.base_config.replace("failure_domains = [\"a\", \"b\", \"c\"]", "failure_domains = [\"a\"]");
    let mut site =
        DaemonSite::start(SiteOptions { base_config: base_config.replace("kind = \"engine\"", ENGINES), ..options })
            .await;
    let cheap = site.engines[1].1.clone();
    site.add_reclaimable_vm("engine-1", "a", &cheap, "drafts").await;
    let spare_at = site.start_engine("a").await;
    let spare = site.engines[spare_at].1.clone();
    site.remove_vm(&format!("engine-{spare_at}")).await;
    let key = site.create_key(0, 1).await;
    for number in 0..20 {
        card(&site, &key, number).await;
    }
    // The notice, and calls without a pause until it is known everywhere.
    site.set_engine_fault(1, EngineFault { leaving: true, ..EngineFault::default() }).await;
    let mut number = 20;
    loop {
        card(&site, &key, number).await;
        number += 1;
        let mut known = 0;
        for daemon in 0..3 {
            let status = site.status(daemon).await.expect("status");
            known += usize::from(
                status.upstreams.iter().any(|entry| &*entry.name == "engine-1" && entry.state == "leaving"),
            );
        }
        if known == 3 {
            break;
        }
    }
    site.engines[1].0.kill();
    let entry = SpareUpstream {
        name: "engine-9".into(),
        service: "drafts".into(),
        failure_domain: "a".into(),
        address: spare.into(),
        reclaimable: false,
    };
    site.http.put_json(&format!("http://{}/standin/spares", site.orders_address), &entry).await;
    wait_for("the dearer kind replaces it", || {
        let number = number;
        let (site, key) = (&site, &key);
        async move {
            card(site, key, number).await;
            let log: Vec<RecordedOrder> =
                site.http.get_json(&format!("http://{}/standin/orders", site.orders_address)).await?;
            let asked = log.iter().any(|order| order.request.reclaimable && order.state == OrderState::Unavailable);
            (asked && log.iter().any(|order| order.vm.as_deref() == Some("engine-9"))).then_some(())
        }
    })
    .await;
    for number in number..number + 20 {
        card(&site, &key, number).await;
    }
}
