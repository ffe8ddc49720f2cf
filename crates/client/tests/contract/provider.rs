//! The ordering, usage and VM list interfaces, and orders that come too late.

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
const LATER: TimePoint = TimePoint(u64::MAX);

struct Fixture {
    clock: Arc<LeaseClock>,
    client: ProviderClient,
    usage: Arc<str>,
}

fn fixture(checks_fencing: bool) -> Fixture {
    let clock = Arc::new(LeaseClock::default());
    let settings = OrderSettings { checks_fencing, ..OrderSettings::default() };
    let usage = endpoint("USAGE", || start_usage(LOOPBACK, checks_fencing));
    let client = ProviderClient::new(
        clock.clone(),
        endpoint("ORDERS", || start_orders(LOOPBACK, settings)),
        usage.clone(),
        endpoint("VMS", || start_vms(LOOPBACK)),
    );
    Fixture { clock, client, usage }
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
async fn an_order_repeated_under_its_id_is_the_same_order() {
    let client = fixture(false).client;
    let order = order("twice", 1);
    assert_eq!(client.order_status(&order.order_id).await.expect("an answer"), None, "it never arrived");
    let first = client.send_order(&order, LATER).await.expect("an answer");
    assert_eq!(client.send_order(&order, LATER).await.expect("an answer"), first);
    assert_eq!(client.order_status(&order.order_id).await.expect("an answer"), Some(first));
}

#[actix_rt::test]
async fn a_checking_receiver_refuses_an_older_fencing_number() {
    let client = fixture(true).client;
    client.send_order(&order("new", 7), LATER).await.expect("an answer");
    assert_eq!(client.send_order(&order("old", 6), LATER).await.expect("an answer").state, OrderState::Fenced);
    client.report_usage("contract", 1, 7, "{}".into(), LATER).await.expect("accepted");
    client.report_usage("contract", 2, 6, "{}".into(), LATER).await.expect_err("refused");
}

#[actix_rt::test]
async fn nothing_arrives_after_its_deadline() {
    let fixture = fixture(false);
    let passed = fixture.clock.now();
    let late = order("late", 1);
    fixture.client.send_order(&late, passed).await.expect_err("it is not sent");
    assert_eq!(
        fixture.client.order_status(&late.order_id).await.expect("an answer"),
        None,
        "the receiver saw no whole order"
    );
    fixture.client.report_usage("contract", 3, 1, "{}".into(), passed).await.expect_err("it is not sent");
    let url = format!("http://{}/standin/reports", fixture.usage);
    if std::env::var_os("PIMENTOSLIP_CONTRACT_USAGE").is_none() {
        let mut answer = awc::Client::default().get(url).send().await.expect("an answer");
        assert_eq!(answer.body().await.expect("a body"), "[]");
    }
    let (address, _) = start_engine(LOOPBACK, EngineSettings::default(), true).expect("a stand-in").spawn();
    let address = address.to_string();
    let load = LoadOrder { version: 9, fencing: 1 };
    fixture.client.load_weights(&address, &load, passed).await.expect_err("it is not sent");
    assert_eq!(fixture.client.load_report(&address).await.expect("a report").version, Some(1));
    fixture.client.load_weights(&address, &load, LATER).await.expect("accepted");
    assert_eq!(fixture.client.load_report(&address).await.expect("a report").version, Some(9));
    let older = LoadOrder { version: 10, fencing: 0 };
    fixture.client.load_weights(&address, &older, LATER).await.expect_err("an engine that checks refuses it");
}

#[actix_rt::test]
async fn the_vm_list_can_be_read() {
    fixture(false).client.vms().await.expect("a list");
}
