//! Tests of the ordering and usage duties under frozen and killed holders and lost answers of the key-value store.

use super::support::{DaemonSite, HttpClient, SiteOptions, wait_for};
use actix_rt::task::JoinHandle;
use pimentoslip_kernel::KeySecret;
use pimentoslip_standin::{KvFault, PlainFault, RecordedOrder, RecordedUsageReport, SpareUpstream};
use pimentoslip_wire::provider::OrderState;
use std::collections::{BTreeMap, BTreeSet};

/// Service `cards`, for which the ordering duty orders four upstreams in failure domain "a".
const ORDERED_SERVICE: &str = "
[services.cards]
kind = \"engine\"
upstreams_per_domain = 4
standing_per_domain = 4
standing_cents_per_hour = 1
";

/// Starts a site of three daemons and the service `cards`. `checks_fencing` states whether the ordering and usage
/// interfaces reject outdated fencing numbers.
async fn site_with_ordered_service(checks_fencing: bool) -> DaemonSite {
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

/// All orders that the ordering interface has received.
async fn received_orders(site: &DaemonSite) -> Vec<RecordedOrder> {
    site.http.get_json(&format!("http://{}/standin/orders", site.orders_address)).await.unwrap_or_default()
}

/// All reports that the usage interface has received.
async fn received_reports(site: &DaemonSite) -> Vec<RecordedUsageReport> {
    site.http.get_json(&format!("http://{}/standin/reports", site.usage_address)).await.unwrap_or_default()
}

/// Makes one more VM available to the ordering interface, for the next order to start.
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

/// Waits until a daemon holds `duty` and returns its index. The daemon `excluded` is not considered.
async fn duty_holder(site: &DaemonSite, duty: &str, excluded: Option<usize>) -> usize {
    wait_for("a daemon holds the duty", || async {
        for daemon in (0..site.daemons.len()).filter(|daemon| Some(*daemon) != excluded) {
            let Some(status) = site.status(daemon).await else { continue };
            if status.duties.iter().any(|entry| &*entry.duty == duty && entry.state == "held") {
                return Some(daemon);
            }
        }
        None
    })
    .await
}

/// Waits until orders have started `count` upstreams.
async fn wait_started(site: &DaemonSite, count: usize) {
    wait_for("the upstreams are started", || async {
        let started_count = received_orders(site).await.iter().filter(|order| order.vm.is_some()).count();
        (started_count >= count).then_some(())
    })
    .await;
}

/// Checks that the fencing numbers of the accepted orders never decrease: no order of a previous holder was accepted
/// after one of its successor.
fn check_orders(orders: &[RecordedOrder]) {
    let fencing_numbers: Vec<u64> =
        orders.iter().filter(|order| order.state != OrderState::Fenced).map(|order| order.request.fencing).collect();
    assert!(fencing_numbers.is_sorted(), "fencing numbers decrease: {fencing_numbers:?}");
    let mut started_vms: BTreeSet<&str> = BTreeSet::new();
    for vm in orders.iter().filter_map(|order| order.vm.as_deref()) {
        assert!(started_vms.insert(vm), "{vm} was started twice");
    }
}

/// Checks that the fencing numbers of the accepted reports never decrease and that all reports of a window are equal.
fn check_reports(reports: &[RecordedUsageReport]) {
    let fencing_numbers: Vec<u64> =
        reports.iter().filter(|report| !report.fenced).map(|report| report.fencing).collect();
    assert!(fencing_numbers.is_sorted(), "fencing numbers decrease: {fencing_numbers:?}");
    let mut first_bodies: BTreeMap<u64, &str> = BTreeMap::new();
    for report in reports {
        let first_body = first_bodies.entry(report.window).or_insert(&report.body);
        assert_eq!(*first_body, report.body, "window {} has two different reports", report.window);
    }
}

/// Freezes the holder of the ordering duty until its lease has expired and another daemon has acquired it, resumes the
/// holder, and checks all orders and reports.
async fn run_with_frozen_holder(checks_fencing: bool) {
    let site = site_with_ordered_service(checks_fencing).await;
    add_spare(&site, 1).await;
    wait_started(&site, 1).await;
    let holder = duty_holder(&site, "order-a", None).await;
    site.daemons[holder].process.freeze();
    add_spare(&site, 2).await;
    if checks_fencing {
        wait_started(&site, 2).await;
    } else {
        // Without fencing, no other daemon may place orders until there is proof that the frozen holder has ended.
        wait_for("a successor waits for proof that the holder has ended", || async {
            for daemon in (0..3).filter(|daemon| *daemon != holder) {
                let status = site.status(daemon).await?;
                if status.duties.iter().any(|duty| &*duty.duty == "order-a" && duty.state == "settling") {
                    return Some(());
                }
            }
            None
        })
        .await;
        assert_eq!(received_orders(&site).await.iter().filter(|order| order.vm.is_some()).count(), 1);
    }
    site.daemons[holder].process.resume();
    add_spare(&site, 3).await;
    if !checks_fencing {
        // The deletion of its VM from the VM list counts as proof that the holder has ended.
        site.remove_vm(&site.daemons[holder].name).await;
    }
    wait_started(&site, 3).await;
    check_orders(&received_orders(&site).await);
    check_reports(&received_reports(&site).await);
}

/// Guards against a resumed holder whose late orders are accepted after those of its successor.
#[actix_rt::test]
async fn a_resumed_holder_has_no_order_accepted_after_those_of_its_successor() {
    run_with_frozen_holder(true).await;
}

/// Guards against two holders that order at the same time when the ordering interface does not check fencing numbers.
#[actix_rt::test]
async fn a_frozen_holder_has_no_successor_without_fencing_until_its_vm_is_deleted() {
    run_with_frozen_holder(false).await;
}

/// Kills the holder of the ordering duty twice, each time with lost answers of the key-value store, and checks that
/// three different VMs are started and that all orders and reports are consistent.
async fn run_with_killed_holders(checks_fencing: bool) {
    let mut site = site_with_ordered_service(checks_fencing).await;
    add_spare(&site, 1).await;
    wait_started(&site, 1).await;
    for kill in 0..2 {
        let holder = duty_holder(&site, "order-a", None).await;
        site.daemons[holder].process.kill();
        site.set_kv_fault(KvFault { lose_answers: 2, ..KvFault::default() }).await;
        add_spare(&site, 2 + kill).await;
        wait_started(&site, 2 + kill).await;
        site.restart_daemon(holder).await;
    }
    let orders = received_orders(&site).await;
    check_orders(&orders);
    let started_vms: Vec<&str> = orders.iter().filter_map(|order| order.vm.as_deref()).collect();
    let mut distinct_vms = started_vms.clone();
    distinct_vms.sort_unstable();
    distinct_vms.dedup();
    assert_eq!(distinct_vms.len(), 3, "{started_vms:?}");
    check_reports(&received_reports(&site).await);
}

/// Guards against upstreams that are not ordered any more after the holder of the ordering duty was killed.
#[actix_rt::test]
async fn a_killed_holder_has_a_successor_that_orders_with_fencing() {
    run_with_killed_holders(true).await;
}

/// Guards against upstreams that are not ordered any more after the holder was killed, when the ordering interface does
/// not check fencing numbers.
#[actix_rt::test]
async fn a_killed_holder_has_a_successor_that_orders_without_fencing() {
    run_with_killed_holders(false).await;
}

/// Guards against requests that are not billed or billed twice, and against usage windows whose reports differ, when
/// the reporting daemon is stopped or killed and answers of the key-value store are lost.
#[actix_rt::test]
async fn usage_windows_have_equal_reports_and_bill_each_request_once_after_stops_and_kills() {
    let mut site = site_with_ordered_service(false).await;
    let key = site.create_key(0, 1).await;
    let mut sent_count = 0;
    for pass in 0..3 {
        for daemon in 0..3 {
            for _ in 0..5 {
                assert_eq!(site.send(daemon, "GET", "/services/desk/orders", &key, &[], &()).await.status, 200);
                sent_count += 1;
            }
        }
        // Each pass stops or kills the daemon that reports usage, with lost answers of the key-value store.
        let reporter = duty_holder(&site, "usage", None).await;
        let is_planned = pass % 2 == 0;
        if !is_planned {
            // A killed daemon may lose counts that the reporter has not collected yet; a planned stop loses none.
            wait_billed(&site, sent_count).await;
        }
        site.set_kv_fault(KvFault { lose_answers: 2, ..KvFault::default() }).await;
        if is_planned {
            // A request that completes after the daemon has released its duties is billed as well.
            site.set_desk_fault(PlainFault { answer_after_ms: 4_000, ..PlainFault::default() }).await;
            let runs_before = site.desk_requests().await.len();
            let slow_request = spawn_slow_request(&site, reporter, &key);
            wait_for("the slow request runs", || async {
                (site.desk_requests().await.len() > runs_before).then_some(())
            })
            .await;
            site.daemons[reporter].process.terminate();
            assert_eq!(slow_request.await.expect("a task"), 200);
            sent_count += 1;
            site.set_desk_fault(PlainFault::default()).await;
            let process = &mut site.daemons[reporter].process;
            wait_for("the reporter stops", || std::future::ready(process.exit_status())).await;
        }
        site.restart_daemon(reporter).await;
        site.wait_ready().await;
    }
    wait_billed(&site, sent_count).await;
    check_reports(&received_reports(&site).await);
}

/// Sends a request to a daemon in a task of its own, which returns the HTTP status. The request is slow if the test has
/// set a fault of the plain service that delays answers.
fn spawn_slow_request(site: &DaemonSite, daemon: usize, key: &KeySecret) -> JoinHandle<u16> {
    let url = format!("http://{}/services/desk/orders", site.daemons[daemon].public_address);
    let bearer = format!("Bearer {}", key.expose());
    actix_rt::spawn(async move { HttpClient::new().send("GET", &url, &[("authorization", &bearer)], &()).await.status })
}

/// Waits until exactly `sent_count` requests are billed.
async fn wait_billed(site: &DaemonSite, sent_count: u64) {
    wait_for("every request is billed", || async {
        (billed_request_count(&received_reports(site).await) == sent_count).then_some(())
    })
    .await;
}

/// Number of requests billed, with each usage window counted once.
fn billed_request_count(reports: &[RecordedUsageReport]) -> u64 {
    let windows: BTreeMap<u64, &RecordedUsageReport> = reports.iter().map(|report| (report.window, report)).collect();
    windows.values().flat_map(|report| report.parse().expect("a report").lines).map(|line| line.requests).sum()
}
