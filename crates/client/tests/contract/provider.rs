//! Contract of the interfaces for orders, usage reports and the VM list, and of deadlines and fencing numbers.

use super::endpoint;
use pimentoslip_client::{LeaseClock, ProviderClient};
use pimentoslip_kernel::TimePoint;
use pimentoslip_standin::{EngineSettings, OrderSettings, start_engine, start_orders, start_usage, start_vms};
use pimentoslip_wire::{
    engine::LoadOrder,
    provider::{OrderAction, OrderRequest, OrderState},
};
use std::sync::Arc;

const LOOPBACK: &str = "127.0.0.1:0";
const FAR_FUTURE: TimePoint = TimePoint(u64::MAX);

struct Fixture {
    clock: Arc<LeaseClock>,
    client: ProviderClient,
    usage_endpoint: Arc<str>,
}

fn fixture(checks_fencing: bool) -> Fixture {
    let clock = Arc::new(LeaseClock::default());
    let settings = OrderSettings { checks_fencing, ..OrderSettings::default() };
    let usage_endpoint = endpoint("USAGE", || start_usage(LOOPBACK, checks_fencing));
    let client = ProviderClient::new(
        clock.clone(),
        endpoint("ORDERS", || start_orders(LOOPBACK, settings)),
        usage_endpoint.clone(),
        endpoint("VMS", || start_vms(LOOPBACK)),
    );
    Fixture { clock, client, usage_endpoint }
}

fn order(id: &str, fencing: u64) -> OrderRequest {
    OrderRequest {
        order_id: format!("{id}-{}", std::process::id()).into(),
        action: OrderAction::Start,
        failure_domain: "contract".into(),
        service: "contract".into(),
        reclaimable: false,
        vm: None,
        fencing,
    }
}

#[actix_rt::test]
async fn an_order_repeated_under_its_id_is_carried_out_once() {
    let client = fixture(false).client;
    let order = order("twice", 1);
    assert_eq!(client.order_status(&order.order_id).await.expect("a response"), None, "the order was not sent");
    let first = client.send_order(&order, FAR_FUTURE).await.expect("a response");
    assert_eq!(client.send_order(&order, FAR_FUTURE).await.expect("a response"), first);
    assert_eq!(client.order_status(&order.order_id).await.expect("a response"), Some(first));
}

#[actix_rt::test]
async fn a_receiver_that_checks_fencing_refuses_an_older_fencing_number() {
    let client = fixture(true).client;
    client.send_order(&order("new", 7), FAR_FUTURE).await.expect("a response");
    assert_eq!(client.send_order(&order("old", 6), FAR_FUTURE).await.expect("a response").state, OrderState::Fenced);
    client.report_usage("contract", 1, 7, "{}".into(), FAR_FUTURE).await.expect("accepted");
    client
        .report_usage("contract", 2, 6, "{}".into(), FAR_FUTURE)
        .await
        .expect_err("an older fencing number is refused");
}

#[actix_rt::test]
async fn an_order_or_report_is_not_sent_after_its_deadline() {
    let fixture = fixture(false);
    let passed_deadline = fixture.clock.now();
    let late_order = order("late", 1);
    fixture.client.send_order(&late_order, passed_deadline).await.expect_err("the deadline has passed");
    assert_eq!(
        fixture.client.order_status(&late_order.order_id).await.expect("a response"),
        None,
        "the receiver got no complete order"
    );
    fixture
        .client
        .report_usage("contract", 3, 1, "{}".into(), passed_deadline)
        .await
        .expect_err("the deadline has passed");
    let url = format!("http://{}/standin/reports", fixture.usage_endpoint);
    if std::env::var_os("PIMENTOSLIP_CONTRACT_USAGE").is_none() {
        let mut response = awc::Client::default().get(url).send().await.expect("a response");
        assert_eq!(response.body().await.expect("a body"), "[]");
    }
    let (address, _) = start_engine(LOOPBACK, EngineSettings::default(), true).expect("a stand-in").spawn();
    let address = address.to_string();
    let load = LoadOrder { version: 9, fencing: 1 };
    fixture.client.load_weights(&address, &load, passed_deadline).await.expect_err("the deadline has passed");
    assert_eq!(fixture.client.load_report(&address).await.expect("a report").version, Some(1));
    fixture.client.load_weights(&address, &load, FAR_FUTURE).await.expect("accepted");
    assert_eq!(fixture.client.load_report(&address).await.expect("a report").version, Some(9));
    let older_load = LoadOrder { version: 10, fencing: 0 };
    fixture
        .client
        .load_weights(&address, &older_load, FAR_FUTURE)
        .await
        .expect_err("the engine refuses an older fencing number");
}

#[actix_rt::test]
async fn the_vm_list_is_decoded() {
    fixture(false).client.vm_list().await.expect("a list");
}
