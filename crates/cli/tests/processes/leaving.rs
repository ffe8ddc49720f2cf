//! Planned stops cut nothing, and leaving upstreams get no new work.

use super::support::{DaemonSite, HttpClient, OPERATOR_KEY, SiteOptions, run_cli, wait_for};
use pimentoslip_standin::{EngineFault, PlainFault};
use pimentoslip_wire::provider::{VmRole, VmState};

fn stream_body() -> serde_json::Value {
    serde_json::json!({
        "model": "drafts", "stream": true, "max_tokens": 400, "seed": 3,
        "messages": [{ "role": "user", "content": "a long card" }],
    })
}

#[actix_rt::test]
async fn a_planned_stop_finishes_streams_and_slow_calls() {
    let options = SiteOptions {
        engine_flags: vec!["--token-us=4000".to_owned(), "--shortest=400".to_owned()],
        daemon_flags: vec!["--drain-grace-ms=300".to_owned()],
        ..SiteOptions::default()
    };
    let mut site = DaemonSite::start(options).await;
    let key = site.create_key(0, 1).await;
    site.set_desk_fault(PlainFault { answer_after_ms: 1_500, ..PlainFault::default() }).await;
    let bearer = format!("Bearer {}", key.expose());
    let spawn = |path: &str, body: serde_json::Value| {
        let (url, bearer) = (format!("http://{}{path}", site.daemons[0].public_address), bearer.clone());
        actix_rt::spawn(async move { HttpClient::new().send("POST", &url, &[("authorization", &bearer)], &body).await })
    };
    let stream = spawn("/v1/chat/completions", stream_body());
    let order = spawn("/services/desk/orders", serde_json::json!({ "order": 1 }));
    wait_for("both are running", || async {
        let seen = site.engine_requests(0).await.len() + site.engine_requests(1).await.len();
        (seen == 1 && site.desk_requests().await.len() == 1).then_some(())
    })
    .await;
    site.daemons[0].process.terminate();
    let (stream, order) = (stream.await.expect("a task"), order.await.expect("a task"));
    assert_eq!(order.status, 200, "{order:?}");
    assert!(
        stream.status == 200 && stream.body.ends_with("data: [DONE]\n\n"),
        "{} {}",
        stream.status,
        stream.body.len()
    );
    let process = &mut site.daemons[0].process;
    let ended = wait_for("the daemon stops", || std::future::ready(process.exit_status())).await;
    assert!(ended.success(), "{ended:?}");
    let log = site.daemons[0].process.log();
    assert!(log.contains("event=stopping inflight=0"), "{log}");
}

#[actix_rt::test]
async fn an_operator_can_drain_a_daemon() {
    let options = SiteOptions { daemons: vec!["a", "b"], engines: vec![], ..SiteOptions::default() };
    let mut site = DaemonSite::start(options).await;
    let output = run_cli(&["drain", "--daemon", &site.daemons[0].control_address, "--operator-key", OPERATOR_KEY]);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let process = &mut site.daemons[0].process;
    let ended = wait_for("the daemon stops", || std::future::ready(process.exit_status())).await;
    assert!(ended.success(), "{ended:?}");
    wait_for("the other one takes its duties", || async {
        let status = site.status(1).await?;
        status.duties.iter().all(|duty| duty.state == "held").then_some(())
    })
    .await;
}

/// How many more requests an engine gets while `count` are sent.
async fn work_of(site: &DaemonSite, key: &pimentoslip_kernel::KeySecret, engine: usize, count: usize) -> usize {
    let before = site.engine_requests(engine).await.len();
    for number in 0..count {
        let body = serde_json::json!({ "model": "drafts", "max_tokens": 4, "messages": [{ "role": "user", "content": format!("{number}") }] });
        let answer = site.send(number % 3, "POST", "/v1/chat/completions", key, &[], &body).await;
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    site.engine_requests(engine).await.len() - before
}

async fn wait_leaving(site: &DaemonSite, name: &str) {
    wait_for("all daemons know that it leaves", || async {
        for daemon in 0..site.daemons.len() {
            let status = site.status(daemon).await?;
            let taking = status.upstreams.iter().any(|upstream| &*upstream.name == name && upstream.state == "live");
            (!taking).then_some(())?;
        }
        Some(())
    })
    .await;
}

#[actix_rt::test]
async fn a_leaving_upstream_gets_no_new_work() {
    let site = DaemonSite::start(SiteOptions::default()).await;
    let key = site.create_key(0, 1).await;
    assert!(work_of(&site, &key, 0, 30).await > 0, "it gets work before");
    // The notice comes with the load report, while the list lags.
    site.set_engine_fault(0, EngineFault { leaving: true, ..EngineFault::default() }).await;
    wait_leaving(&site, "engine-0").await;
    assert_eq!(work_of(&site, &key, 0, 30).await, 0, "none after its own notice");
}

#[actix_rt::test]
async fn an_upstream_listed_as_leaving_gets_no_new_work() {
    let site = DaemonSite::start(SiteOptions::default()).await;
    let key = site.create_key(0, 1).await;
    let address = site.engines[0].1.clone();
    site.add_vm("engine-0", VmRole::Upstream, "a", &address, Some("drafts"), VmState::Leaving).await;
    wait_leaving(&site, "engine-0").await;
    assert_eq!(work_of(&site, &key, 0, 30).await, 0);
}
