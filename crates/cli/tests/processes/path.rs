//! Test of requests, training steps, duties and the command-line tool against one site of separate processes.

use super::support::{DaemonSite, OPERATOR_KEY, SiteOptions, run_cli, wait_for};
use pimentoslip_kernel::FetchCursor;
use pimentoslip_standin::{RecordedOrder, RecordedUsageReport, SpareUpstream};
use pimentoslip_wire::caller::{FetchRequest, FetchResponse, OpenRequest, PublishRequest};
use std::collections::BTreeSet;

/// Service `cards`, whose upstreams are ordered, so that the ordering duty has work.
const ORDERED_SERVICE: &str = "
[services.cards]
kind = \"engine\"
upstreams_per_domain = 1
standing_per_domain = 1
standing_cents_per_hour = 100
";

/// Guards against an interface that does not work between separate processes, and against an API key that reaches an
/// engine or a log.
#[actix_rt::test]
async fn requests_duties_and_commands_work_across_separate_processes() {
    let options = SiteOptions::default();
    let base_config = options.base_config.clone() + ORDERED_SERVICE;
    let site = DaemonSite::start(SiteOptions { base_config, ..options }).await;
    let key = site.create_key(0, 1).await;

    let body =
        serde_json::json!({ "model": "drafts", "stream": true, "messages": [{ "role": "user", "content": "card" }] });
    let stream = site.send(0, "POST", "/v1/chat/completions", &key, &[], &body).await;
    assert_eq!(stream.status, 200, "{stream:?}");
    assert!(stream.body.ends_with("data: [DONE]\n\n"), "{stream:?}");

    let request_id = stream.header("x-request-id");
    assert!(
        site.daemons[0].process.log().contains(&format!("request_id={request_id}")),
        "the daemon logs the request id"
    );
    let engine_requests: Vec<_> = [site.engine_requests(0).await, site.engine_requests(1).await].concat();
    assert!(
        engine_requests.iter().any(|request| request.header("x-request-id").starts_with(&request_id)),
        "the engine receives the request id"
    );
    assert!(!format!("{engine_requests:?}").contains(key.expose()), "the engine does not receive the key");

    let order = serde_json::json!({ "trays": 3 });
    let headers = [("idempotency-key", "order-1")];
    let first_answer = site.send(0, "POST", "/services/desk/orders?window=am", &key, &headers, &order).await;
    let second_answer = site.send(1, "POST", "/services/desk/orders?window=am", &key, &headers, &order).await;
    assert_eq!((first_answer.status, second_answer.status), (200, 200), "{first_answer:?} {second_answer:?}");
    assert_eq!(first_answer.body, second_answer.body);
    assert_eq!(second_answer.header("x-replayed"), "true");
    assert_eq!(site.desk_requests().await.len(), 1);

    let open_answer =
        site.http.send("GET", &format!("http://{}/services/desk/menu", site.daemons[2].public_address), &[], &()).await;
    assert_eq!(open_answer.status, 200, "{open_answer:?}");

    check_step(&site, &key).await;
    check_usage_report(&site).await;
    check_order(&site).await;
    assert!(!site.logs().contains(key.expose()), "no log contains the key");
    check_command_line(&site);
}

/// Publishes weights, opens a step, fetches its samples from each daemon in turn and checks that each sample is
/// received once and names the initial or the published version.
async fn check_step(site: &DaemonSite, key: &pimentoslip_kernel::KeySecret) {
    let publish = PublishRequest { service: "drafts".into(), version: 2 };
    let publish_answer = site.send(2, "POST", "/v1/weights", key, &[], &publish).await;
    assert_eq!(publish_answer.status, 200, "{publish_answer:?}");
    let prompts = (0..6).map(|group| format!("menu {group}").into()).collect();
    let open_request = OpenRequest {
        trainer: "menus".into(),
        step: 7,
        service: "drafts".into(),
        prompts,
        group_size: 4,
        max_tokens: 64,
    };
    let open_answer = site.send(1, "POST", "/v1/steps", key, &[], &open_request).await;
    assert_eq!(open_answer.status, 200, "{open_answer:?}");
    let mut cursor = FetchCursor::default();
    let mut versions = BTreeSet::new();
    let mut turn = 0;
    loop {
        turn += 1;
        let fetch = FetchRequest {
            trainer: "menus".into(),
            step: 7,
            cursor: cursor.clone(),
            published_version: 2,
            samples_max: 5,
            wait_ms: 2_000,
        };
        let answer = site.send(turn % 3, "POST", "/v1/steps/fetch", key, &[], &fetch).await;
        assert_eq!(answer.status, 200, "{answer:?}");
        let response: FetchResponse = answer.json();
        for sample in &response.samples {
            assert!(!cursor.contains(sample.position), "sample {} was received twice", sample.position);
            assert_eq!(sample.segments[0].start, 0);
            cursor.insert(sample.position);
            versions.extend(sample.segments.iter().map(|segment| segment.version));
        }
        if response.complete {
            break;
        }
    }
    assert_eq!(cursor.len(), 24);
    assert!(versions.iter().all(|version| [1, 2].contains(version)), "{versions:?}");
}

/// Waits for the usage report of the organisation and checks that all reports parse.
async fn check_usage_report(site: &DaemonSite) {
    let reports = wait_for("usage of the organisation is reported", || async {
        let reports: Vec<RecordedUsageReport> =
            site.http.get_json(&format!("http://{}/standin/reports", site.usage_address)).await?;
        reports.iter().any(|report| report.body.contains("velorio")).then_some(reports)
    });
    for report in reports.await {
        report.parse().expect("a report");
    }
}

/// Makes a VM available and waits until an order has started it and daemon 0 lists it as an upstream.
async fn check_order(site: &DaemonSite) {
    let spare = SpareUpstream {
        name: "cards-1".into(),
        service: "cards".into(),
        failure_domain: "b".into(),
        address: site.engines[1].1.clone().into(),
        reclaimable: false,
    };
    site.http.put_json(&format!("http://{}/standin/spares", site.orders_address), &spare).await;
    let new_order = wait_for("an order has started the VM", || async {
        let orders: Vec<RecordedOrder> =
            site.http.get_json(&format!("http://{}/standin/orders", site.orders_address)).await?;
        orders.into_iter().find(|order| order.vm.as_deref() == Some("cards-1"))
    });
    assert!(new_order.await.request.fencing > 0);
    wait_for("the daemon lists the new upstream", || async {
        let status = site.status(0).await?;
        status.upstreams.iter().any(|upstream| &*upstream.name == "cards-1").then_some(())
    })
    .await;
}

/// Runs the commands of the command-line tool against a daemon and checks their output and exit codes.
fn check_command_line(site: &DaemonSite) {
    let control_address = site.daemons[1].control_address.as_str();
    for command in ["show", "status", "usage"] {
        for json in [false, true] {
            let mut args = vec![command, "--daemon", control_address, "--operator-key", OPERATOR_KEY];
            args.extend(json.then_some("--json"));
            let output = run_cli(&args);
            assert!(output.status.success(), "{command}: {}", String::from_utf8_lossy(&output.stderr));
            assert!(!output.stdout.is_empty());
        }
    }
    let connection_args = ["--daemon", control_address, "--operator-key", OPERATOR_KEY];
    let command_output = |args: &[&str]| {
        let output = run_cli(&[args, &connection_args].concat());
        assert!(output.status.success(), "{args:?}: {}", String::from_utf8_lossy(&output.stderr));
        String::from_utf8_lossy(&output.stdout).into_owned()
    };
    let config_path = site.workdir.path("base.toml");
    assert_eq!(command_output(&["diff", &config_path.to_string_lossy()]), "no difference\n");
    let changed_path = site.workdir.write("other.toml", &site.options.base_config.replace("weight = 4", "weight = 5"));
    assert_eq!(command_output(&["diff", &changed_path]), "change organisation/velorio\n");
    let key = command_output(&["key", "create", "rose"]);
    let id = key.trim().split('-').nth(1).expect("an id").to_owned();
    assert!(
        command_output(&["key", "list"]).contains(&id)
            && !command_output(&["key", "list", "--json"]).contains(key.trim())
    );
    command_output(&["key", "withdraw", "rose", &id]);
    assert!(command_output(&["key", "list"]).lines().any(|line| line.contains(&id) && line.ends_with("withdrawn")));
    let refused = run_cli(&["status", "--daemon", control_address, "--operator-key", "wrong-operator-key"]);
    assert_eq!(refused.status.code(), Some(1));
    let unreachable = run_cli(&["status", "--daemon", "127.0.0.1:1", "--operator-key", OPERATOR_KEY]);
    assert_eq!(unreachable.status.code(), Some(3));
}
