//! Duties under freezes, kills and lost answers.

use super::support::{DaemonSite, HttpClient, SiteOptions, wait_for};
use actix_rt::task::JoinHandle;
use pimentoslip_kernel::KeySecret;
use pimentoslip_standin::{KvFault, PlainFault, RecordedOrder, RecordedUsageReport, SpareUpstream};
use pimentoslip_wire::provider::OrderState;
use std::collections::BTreeMap;

/// Failure domain "a" wants four upstreams of a service of its own.
const ORDERED_SERVICE: &str = "
[services.cards]
kind = \"engine\"
upstreams_per_domain = 4
standing_per_domain = 4
standing_cents_per_hour = 1
";

async fn duty_site(checks_fencing: bool) -> DaemonSite {
    let options = SiteOptions { checks_fencing, engines: vec![], ..SiteOptions::default() };
    let base_config =
        options.base_config.replace("failure_domains = [\"a\", \"b\", \"c\"]", "failure_domains = [\"a\"]");
    let base_config = base_config.replace(
        "usage_window_seconds = 2",
        &format!(
            "usage_window_seconds = 2\norders_check_fencing = {checks_fencing}\nusage_checks_fencing = {checks_fencing}"
        ),
    );
    DaemonSite::start(SiteOptions { base_config: base_config + ORDERED_SERVICE, ..options }).await
}

async fn orders(site: &DaemonSite) -> Vec<RecordedOrder> {
    site.http.get_json(&format!("http://{}/standin/orders", site.orders_address)).await.unwrap_or_default()
}

async fn reports(site: &DaemonSite) -> Vec<RecordedUsageReport> {
    site.http.get_json(&format!("http://{}/standin/reports", site.usage_address)).await.unwrap_or_default()
}

async fn add_spare(site: &DaemonSite, number: usize) {
    let spare = SpareUpstream {
        name: format!("cards-{number}").into(),
        service: "cards".into(),
        failure_domain: "a".into(),
        address: format!("127.0.0.1:{}", 1 + number).into(),
        reclaimable: false,
    };
    site.http.put_json(&format!("http://{}/standin/spares", site.orders_address), &spare).await;
}

/// The daemon that holds `duty`, other than `not`.
async fn holder(site: &DaemonSite, duty: &str, not: Option<usize>) -> usize {
    wait_for("somebody holds the duty", || async {
        for daemon in (0..site.daemons.len()).filter(|daemon| Some(*daemon) != not) {
            let Some(status) = site.status(daemon).await else { continue };
            if status.duties.iter().any(|entry| &*entry.duty == duty && entry.state == "held") {
                return Some(daemon);
            }
        }
        None
    })
    .await
}

async fn wait_started(site: &DaemonSite, count: usize) {
    wait_for("the upstreams are started", || async {
        let started = orders(site).await.iter().filter(|order| order.vm.is_some()).count();
        (started >= count).then_some(())
    })
    .await;
}

/// Orders that were not refused come from one holder at a time, in the order of their fencing numbers.
fn check_orders(orders: &[RecordedOrder]) {
    let carried: Vec<u64> =
        orders.iter().filter(|order| order.state != OrderState::Fenced).map(|order| order.request.fencing).collect();
    assert!(carried.is_sorted(), "{carried:?}");
    let mut started: BTreeMap<&str, usize> = BTreeMap::new();
    for order in orders.iter().filter_map(|order| order.vm.as_deref()) {
        *started.entry(order).or_default() += 1;
    }
}

fn check_reports(reports: &[RecordedUsageReport]) {
    let carried: Vec<u64> = reports.iter().filter(|report| !report.fenced).map(|report| report.fencing).collect();
    assert!(carried.is_sorted(), "{carried:?}");
    let mut windows: BTreeMap<u64, &str> = BTreeMap::new();
    for report in reports {
        let first = windows.entry(report.window).or_insert(&report.body);
        assert_eq!(*first, report.body, "window {} has two different reports", report.window);
    }
}

/// Freezes the holder for longer than lease and guard, lets it go on, and looks at all that arrived.
async fn freeze_the_holder(checks_fencing: bool) {
    let site = duty_site(checks_fencing).await;
    add_spare(&site, 1).await;
    wait_started(&site, 1).await;
    let first = holder(&site, "order-a", None).await;
    site.daemons[first].process.freeze();
    add_spare(&site, 2).await;
    if checks_fencing {
        wait_started(&site, 2).await;
    } else {
        // Nothing proves that the frozen holder has ended, so that nobody orders in its place.
        wait_for("a successor waits for proof", || async {
            for daemon in (0..3).filter(|daemon| *daemon != first) {
                let status = site.status(daemon).await?;
                if status.duties.iter().any(|duty| &*duty.duty == "order-a" && duty.state == "settling") {
                    return Some(());
                }
            }
            None
        })
        .await;
        assert_eq!(orders(&site).await.iter().filter(|order| order.vm.is_some()).count(), 1);
    }
    site.daemons[first].process.resume();
    add_spare(&site, 3).await;
    if !checks_fencing {
        // The platform takes the VM off its list, which is proof.
        site.remove_vm(&site.daemons[first].name).await;
    }
    wait_started(&site, 3).await;
    check_orders(&orders(&site).await);
    check_reports(&reports(&site).await);
}

#[actix_rt::test]
async fn a_frozen_holder_gives_no_order_beside_its_successor_with_fencing() {
    freeze_the_holder(true).await;
}

#[actix_rt::test]
async fn a_frozen_holder_gives_no_order_beside_its_successor_without_fencing() {
    freeze_the_holder(false).await;
}

/// Kills the holder twice in a row, with lost answers besides.
async fn kill_holders(checks_fencing: bool) {
    let mut site = duty_site(checks_fencing).await;
    add_spare(&site, 1).await;
    wait_started(&site, 1).await;
    for round in 0..2 {
        let first = holder(&site, "order-a", None).await;
        site.daemons[first].process.kill();
        site.set_kv_fault(KvFault { lose_answers: 2, ..KvFault::default() }).await;
        add_spare(&site, 2 + round).await;
        wait_started(&site, 2 + round).await;
        site.restart_daemon(first).await;
    }
    let orders = orders(&site).await;
    check_orders(&orders);
    let started: Vec<&str> = orders.iter().filter_map(|order| order.vm.as_deref()).collect();
    let mut distinct = started.clone();
    distinct.sort_unstable();
    distinct.dedup();
    assert_eq!(distinct.len(), 3, "{started:?}");
    check_reports(&reports(&site).await);
}

#[actix_rt::test]
async fn killed_holders_are_succeeded_with_fencing() {
    kill_holders(true).await;
}

#[actix_rt::test]
async fn killed_holders_are_succeeded_without_fencing() {
    kill_holders(false).await;
}

#[actix_rt::test]
async fn sealed_windows_never_differ_and_bill_everything_once() {
    let mut site = duty_site(false).await;
    let key = site.create_key(0, 1).await;
    let mut sent = 0;
    for round in 0..3 {
        for daemon in 0..3 {
            for _ in 0..5 {
                assert_eq!(site.send(daemon, "GET", "/services/desk/orders", &key, &[], &()).await.status, 200);
                sent += 1;
            }
        }
        // A planned stop or a kill of the reporter, with lost answers.
        let reporter = holder(&site, "usage", None).await;
        let planned = round % 2 == 0;
        if !planned {
            // A killed daemon may lose what was not gathered yet; a planned stop loses nothing.
            wait_billed(&site, sent).await;
        }
        site.set_kv_fault(KvFault { lose_answers: 2, ..KvFault::default() }).await;
        if planned {
            // A call that ends after the daemon has given its duties up is billed as well.
            site.set_desk_fault(PlainFault { answer_after_ms: 4_000, ..PlainFault::default() }).await;
            let ran = site.desk_requests().await.len();
            let slow = spawn_slow_call(&site, reporter, &key);
            wait_for("the slow call runs", || async { (site.desk_requests().await.len() > ran).then_some(()) }).await;
            site.daemons[reporter].process.terminate();
            assert_eq!(slow.await.expect("a task"), 200);
            sent += 1;
            site.set_desk_fault(PlainFault::default()).await;
            let process = &mut site.daemons[reporter].process;
            wait_for("the reporter stops", || std::future::ready(process.exit_status())).await;
        }
        site.restart_daemon(reporter).await;
        site.wait_ready().await;
    }
    wait_billed(&site, sent).await;
    check_reports(&reports(&site).await);
}

fn spawn_slow_call(site: &DaemonSite, daemon: usize, key: &KeySecret) -> JoinHandle<u16> {
    let url = format!("http://{}/services/desk/orders", site.daemons[daemon].public_address);
    let bearer = format!("Bearer {}", key.expose());
    actix_rt::spawn(async move { HttpClient::new().send("GET", &url, &[("authorization", &bearer)], &()).await.status })
}

async fn wait_billed(site: &DaemonSite, sent: u64) {
    wait_for("everything counted is billed", || async { (billed(&reports(site).await) == sent).then_some(()) }).await;
}

/// Requests billed by distinct windows.
fn billed(reports: &[RecordedUsageReport]) -> u64 {
    let windows: BTreeMap<u64, &RecordedUsageReport> = reports.iter().map(|report| (report.window, report)).collect();
    windows.values().flat_map(|report| report.parse().expect("a report").lines).map(|line| line.requests).sum()
}
