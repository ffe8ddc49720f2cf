//! Tests of planned stops of daemons and of upstreams that leave: running requests are completed, and a leaving
//! upstream runs no new requests.

use super::support::{DaemonSite, HttpClient, OPERATOR_KEY, SiteOptions, run_cli, wait_for};
use pimentoslip_standin::{EngineFault, PlainFault};
use pimentoslip_wire::provider::{VmRole, VmState};

/// Body of a request for a long stream.
fn stream_body() -> serde_json::Value {
    serde_json::json!({
        "model": "drafts", "stream": true, "max_tokens": 400, "seed": 3,
        "messages": [{ "role": "user", "content": "a long card" }],
    })
}

/// Guards against streams and slow requests that are cut when their daemon stops as planned.
#[actix_rt::test]
async fn a_planned_stop_completes_running_streams_and_requests() {
    let options = SiteOptions {
        engine_flags: vec!["--token-us=4000".to_owned(), "--shortest=400".to_owned()],
        daemon_flags: vec!["--drain-grace-ms=300".to_owned()],
        ..SiteOptions::default()
    };
    let mut site = DaemonSite::start(options).await;
    let key = site.create_key(0, 1).await;
    site.set_desk_fault(PlainFault { answer_after_ms: 1_500, ..PlainFault::default() }).await;
    let bearer = format!("Bearer {}", key.expose());
    let spawn_request = |path: &str, body: serde_json::Value| {
        let (url, bearer) = (format!("http://{}{path}", site.daemons[0].public_address), bearer.clone());
        actix_rt::spawn(async move { HttpClient::new().send("POST", &url, &[("authorization", &bearer)], &body).await })
    };
    let stream_task = spawn_request("/v1/chat/completions", stream_body());
    let order_task = spawn_request("/services/desk/orders", serde_json::json!({ "order": 1 }));
    wait_for("the stream and the order are running", || async {
        let engine_request_count = site.engine_requests(0).await.len() + site.engine_requests(1).await.len();
        (engine_request_count == 1 && site.desk_requests().await.len() == 1).then_some(())
    })
    .await;
    site.daemons[0].process.terminate();
    let (stream, order) = (stream_task.await.expect("a task"), order_task.await.expect("a task"));
    assert_eq!(order.status, 200, "{order:?}");
    assert!(
        stream.status == 200 && stream.body.ends_with("data: [DONE]\n\n"),
        "{} {}",
        stream.status,
        stream.body.len()
    );
    let process = &mut site.daemons[0].process;
    let exit_status = wait_for("the daemon stops", || std::future::ready(process.exit_status())).await;
    assert!(exit_status.success(), "{exit_status:?}");
    let log = site.daemons[0].process.log();
    assert!(log.contains("event=stopping inflight=0"), "{log}");
}

/// Guards against duties that have no holder after `pimentoslip drain` has stopped a daemon.
#[actix_rt::test]
async fn a_drained_daemon_stops_and_its_duties_are_taken_over() {
    let options = SiteOptions { daemons: vec!["a", "b"], engines: vec![], ..SiteOptions::default() };
    let mut site = DaemonSite::start(options).await;
    let output = run_cli(&["drain", "--daemon", &site.daemons[0].control_address, "--operator-key", OPERATOR_KEY]);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let process = &mut site.daemons[0].process;
    let exit_status = wait_for("the daemon stops", || std::future::ready(process.exit_status())).await;
    assert!(exit_status.success(), "{exit_status:?}");
    wait_for("the other daemon holds all duties", || async {
        let status = site.status(1).await?;
        status.duties.iter().all(|duty| duty.state == "held").then_some(())
    })
    .await;
}

/// Sends `count` requests to the daemons in turn, checks that all are served and returns how many of them engine
/// `engine` ran.
async fn send_and_count_runs(
    site: &DaemonSite,
    key: &pimentoslip_kernel::KeySecret,
    engine: usize,
    count: usize,
) -> usize {
    let count_before = site.engine_requests(engine).await.len();
    for number in 0..count {
        let body = serde_json::json!({
            "model": "drafts", "max_tokens": 4,
            "messages": [{ "role": "user", "content": format!("{number}") }]
        });
        let answer = site.send(number % 3, "POST", "/v1/chat/completions", key, &[], &body).await;
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    site.engine_requests(engine).await.len() - count_before
}

/// Waits until no daemon lists the upstream `name` as live.
async fn wait_not_live(site: &DaemonSite, name: &str) {
    wait_for("no daemon lists the upstream as live", || async {
        for daemon in 0..site.daemons.len() {
            let status = site.status(daemon).await?;
            let is_live = status.upstreams.iter().any(|upstream| &*upstream.name == name && upstream.state == "live");
            (!is_live).then_some(())?;
        }
        Some(())
    })
    .await;
}

/// Guards against an upstream that stays live after it has reported itself as leaving, because the VM list still shows
/// it as live, and against requests that fail because of it.
#[actix_rt::test]
async fn an_upstream_that_reports_itself_as_leaving_is_not_live_and_runs_no_new_requests() {
    let site = DaemonSite::start(SiteOptions::default()).await;
    let key = site.create_key(0, 1).await;
    assert!(send_and_count_runs(&site, &key, 0, 30).await > 0, "the engine runs requests while it is live");
    // The load report marks the engine as leaving; the VM list still shows it as live. The engine refuses new requests.
    site.set_engine_fault(0, EngineFault { leaving: true, ..EngineFault::default() }).await;
    wait_not_live(&site, "engine-0").await;
    let refused_before = site.refused_count(0).await;
    assert_eq!(send_and_count_runs(&site, &key, 0, 30).await, 0, "a leaving engine runs no requests");
    assert_eq!(site.refused_count(0).await, refused_before, "and receives none");
}

/// Guards against new requests to an upstream that the VM list shows as leaving.
#[actix_rt::test]
async fn an_upstream_listed_as_leaving_receives_no_new_requests() {
    let site = DaemonSite::start(SiteOptions::default()).await;
    let key = site.create_key(0, 1).await;
    let address = site.engines[0].1.clone();
    site.add_vm("engine-0", VmRole::Upstream, "a", &address, Some("drafts"), VmState::Leaving).await;
    wait_not_live(&site, "engine-0").await;
    assert_eq!(send_and_count_runs(&site, &key, 0, 30).await, 0);
}
