//! The scenes of the demo: each one acts as a user of the site and checks the results.

use super::{demo_checks::DemoChecks, demo_site::DemoSite};
use crate::{CliError, CliResult, util};
use awc::http::StatusCode;
use pimentoslip_kernel::{ConfigFile, FetchCursor, KeySecret};
use pimentoslip_standin::{RecordedOrder, RecordedRequest, RecordedUsageReport, SpareUpstream};
use pimentoslip_wire::{
    IDEMPOTENCY_KEY_HEADER, REPLAYED_HEADER,
    admin::{ApplyRequest, ChangeResponse, KeyRequest, RecordBody, StatusResponse},
    caller::{FetchRequest, FetchResponse, OpenRequest, PublishRequest, Refusal},
};
use serde::{Serialize, de::DeserializeOwned};
use std::{future::Future, time::Duration};

const BASE_CONFIG: &str = include_str!("demo-base.toml");
const OVERLAY_CONFIG: &str = include_str!("demo-overlay.toml");
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs all scenes. Returns an error if a check failed.
pub async fn run() -> CliResult<()> {
    let mut checks = DemoChecks::default();
    println!("Starting stand-ins and three daemons in three failure domains.");
    let site = DemoSite::start().await?;
    let key = apply_configuration(&site, &mut checks).await?;
    send_streamed_request(&site, &key, &mut checks).await?;
    send_repeated_order(&site, &key, &mut checks).await?;
    run_training_step(&site, &key, &mut checks).await?;
    order_upstream(&site, &mut checks).await?;
    check_usage_reports(&site, &mut checks).await?;
    withdraw_key(&site, &key, &mut checks).await?;
    println!("{} checks passed, {} failed.", checks.passed(), checks.failed());
    if checks.failed() > 0 {
        return Err(CliError::Failed("some of the demo's checks failed; they are marked FAILED above".to_owned()));
    }
    Ok(())
}

/// Polls `probe` until it returns a value. Returns `None` after [`WAIT_TIMEOUT`].
async fn wait_for<T, F: Future<Output = Option<T>>>(mut probe: impl FnMut() -> F) -> Option<T> {
    let polls = WAIT_TIMEOUT.as_millis() / POLL_INTERVAL.as_millis();
    for _ in 0..polls {
        if let Some(value) = probe().await {
            return Some(value);
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    None
}

/// Sends a GET request and parses the JSON response. Returns `None` on any failure.
async fn get_json<T: DeserializeOwned>(site: &DemoSite, url: String) -> Option<T> {
    site.client.get(url).send().await.ok()?.json().limit(8 << 20).await.ok()
}

/// Posts `body` to the daemon with index `daemon`. Returns the status, whether the response was replayed from a stored
/// answer, and the body.
async fn post<B: Serialize>(
    site: &DemoSite,
    daemon: usize,
    path: &str,
    key: &KeySecret,
    body: &B,
    extra_headers: &[(&str, &str)],
) -> CliResult<(StatusCode, bool, Vec<u8>)> {
    let mut request = site.client.post(site.url(daemon, path)).bearer_auth(key.expose());
    for (name, value) in extra_headers {
        request = request.insert_header((*name, *value));
    }
    let request_error = |error: String| CliError::Failed(format!("the demo's request to a daemon failed: {error}"));
    let mut response = request.send_json(body).await.map_err(|error| request_error(error.to_string()))?;
    let replayed = response.headers().contains_key(REPLAYED_HEADER);
    let bytes = response.body().limit(16 << 20).await.map_err(|error| request_error(error.to_string()))?;
    Ok((response.status(), replayed, bytes.to_vec()))
}

/// Applies the configuration and creates a key, and checks that all daemons receive both. Returns the key.
async fn apply_configuration(site: &DemoSite, checks: &mut DemoChecks) -> CliResult<KeySecret> {
    println!("An operator applies a base file with the site's overlay, and creates a key.");
    let file = ConfigFile::parse(("demo-base.toml", BASE_CONFIG), Some(("demo-overlay.toml", OVERLAY_CONFIG)))?;
    let records = file.records().into_iter().map(|(name, record)| RecordBody { name, revision: 0, record }).collect();
    let request = ApplyRequest { change_id: util::new_change_id(), records };
    let response: ChangeResponse = site.admin(0).post("apply", &request).await?;
    checks.expect(
        response.changed_count >= 3,
        format!("{} records were stored at revision {}", response.changed_count, response.revision),
    );
    let secret = KeySecret::generate(&mut rand::rng());
    let request = KeyRequest {
        change_id: util::new_change_id(),
        organisation: "velorio".into(),
        key_id: secret.id.clone(),
        key_hash: Some(secret.hash()),
    };
    let response: ChangeResponse = site.admin(1).post("keys/create", &request).await?;
    let ready = wait_for(|| async {
        for daemon in 0..site.daemons.len() {
            let status: StatusResponse = site.admin(daemon).get("status").await.ok()?;
            (status.keys_trusted && status.revision >= response.revision && status.upstreams.len() >= 3)
                .then_some(())?;
        }
        Some(())
    });
    checks.expect(ready.await.is_some(), "all three daemons have received the configuration and the upstreams");
    Ok(secret)
}

/// Requests a streamed completion and checks that it is complete and that no engine received the API key.
async fn send_streamed_request(site: &DemoSite, key: &KeySecret, checks: &mut DemoChecks) -> CliResult<()> {
    println!("A customer requests a condolence card from a model engine, as a stream.");
    let body = serde_json::json!({
        "model": "drafts", "stream": true, "max_tokens": 32,
        "messages": [{ "role": "user", "content": "A short card for the family" }],
    });
    let (status, _, bytes) = post(site, 0, "/v1/chat/completions", key, &body, &[]).await?;
    let text = String::from_utf8_lossy(&bytes);
    checks.expect(
        status == StatusCode::OK && text.ends_with("data: [DONE]\n\n"),
        "the stream arrived complete, with its terminal marker",
    );
    let mut leaked = false;
    for engine in &site.engines {
        let requests: Vec<RecordedRequest> =
            get_json(site, format!("http://{engine}/standin/seen")).await.unwrap_or_default();
        leaked |= format!("{requests:?}").contains(key.expose());
    }
    checks.expect(!leaked, "no engine received the customer's key");
    Ok(())
}

/// Sends one order twice with the same idempotency key and checks that it runs once. Also checks that an open route is
/// served without a key and that another route is refused without one.
async fn send_repeated_order(site: &DemoSite, key: &KeySecret, checks: &mut DemoChecks) -> CliResult<()> {
    println!("The order desk sends one order twice, through two daemons, with the same idempotency key.");
    let order = serde_json::json!({ "trays": 12, "family": "Quispe" });
    let header = [(IDEMPOTENCY_KEY_HEADER, "order-4711")];
    let (first_status, _, first_body) = post(site, 0, "/services/desk/orders", key, &order, &header).await?;
    let (second_status, replayed, second_body) = post(site, 2, "/services/desk/orders", key, &order, &header).await?;
    checks.expect(first_status == StatusCode::OK && second_status == StatusCode::OK, "both requests succeeded");
    checks.expect(replayed && first_body == second_body, "the second response repeats the first one");
    let requests: Vec<RecordedRequest> =
        get_json(site, format!("http://{}/standin/seen", site.desk)).await.unwrap_or_default();
    checks.expect(requests.len() == 1, format!("the order ran {} time(s)", requests.len()));
    let open_route = site.client.get(site.url(1, "/services/desk/menu")).send().await;
    checks.expect(
        open_route.is_ok_and(|response| response.status() == StatusCode::OK),
        "the open route is served without a key",
    );
    let protected_route = site.client.get(site.url(1, "/services/desk/orders")).send().await;
    let refusal_error = match protected_route {
        Ok(mut response) => response.json::<Refusal>().await.ok().map(|refusal| refusal.error),
        Err(_) => None,
    };
    let refusal_text =
        refusal_error.as_ref().map_or_else(String::new, |error| format!("{}, {}", error.code, error.run_state));
    checks.expect(
        refusal_error.is_some_and(|error| error.code == "key_missing"),
        format!("another route is refused: {refusal_text}"),
    );
    Ok(())
}

/// Publishes weights, opens a step and fetches its samples, and checks that each sample arrives once.
async fn run_training_step(site: &DemoSite, key: &KeySecret, checks: &mut DemoChecks) -> CliResult<()> {
    println!("A trainer publishes weights, opens a step of 4 groups of 8, and fetches its samples.");
    let publish_request = PublishRequest { service: "drafts".into(), version: 2 };
    let (publish_status, _, _) = post(site, 1, "/v1/weights", key, &publish_request, &[]).await?;
    let prompts = (0..4).map(|group| format!("Tray menu {group}").into()).collect();
    let open_request = OpenRequest {
        trainer: "menus".into(),
        step: 1,
        service: "drafts".into(),
        prompts,
        group_size: 8,
        max_tokens: 64,
    };
    let (open_status, _, _) = post(site, 1, "/v1/steps", key, &open_request, &[]).await?;
    checks.expect(
        publish_status == StatusCode::OK && open_status == StatusCode::OK,
        "weights are published and the step is open",
    );
    let mut cursor = FetchCursor::default();
    let (mut duplicates, mut versions) = (0, std::collections::BTreeSet::new());
    for attempt in 0..200 {
        let fetch_request = FetchRequest {
            trainer: "menus".into(),
            step: 1,
            cursor: cursor.clone(),
            published_version: 2,
            samples_max: 16,
            wait_ms: 2_000,
        };
        let (_, _, bytes) = post(site, attempt % 3, "/v1/steps/fetch", key, &fetch_request, &[]).await?;
        let Ok(response) = serde_json::from_slice::<FetchResponse>(&bytes) else { continue };
        for sample in &response.samples {
            duplicates += usize::from(cursor.contains(sample.position));
            cursor.insert(sample.position);
            versions.extend(sample.segments.iter().map(|segment| segment.version));
        }
        if response.complete {
            break;
        }
    }
    checks
        .expect(cursor.len() == 32 && duplicates == 0, format!("{} samples arrived, {duplicates} twice", cursor.len()));
    checks
        .expect(versions.iter().all(|version| *version >= 1), format!("the samples name weight versions {versions:?}"));
    Ok(())
}

/// Makes a spare upstream available and checks that the daemons order it.
async fn order_upstream(site: &DemoSite, checks: &mut DemoChecks) -> CliResult<()> {
    println!("The daemon that holds the duty of failure domain c orders an upstream there.");
    let spare = SpareUpstream {
        name: "engine-2".into(),
        service: "drafts".into(),
        failure_domain: "c".into(),
        address: site.engines[1].to_string().into(),
        reclaimable: false,
    };
    let response = site.client.put(format!("http://{}/standin/spares", site.orders)).send_json(&spare).await;
    response
        .map_err(|error| CliError::Failed(format!("cannot add a spare upstream to the orders stand-in: {error}")))?;
    let started_order = wait_for(|| async {
        let orders: Vec<RecordedOrder> = get_json(site, format!("http://{}/standin/orders", site.orders)).await?;
        orders.into_iter().find(|order| order.vm.as_deref() == Some("engine-2"))
    });
    let started_order = started_order.await;
    let order_text =
        started_order.as_ref().map_or_else(String::new, |order| format!("order {}", order.request.order_id));
    checks.expect(started_order.is_some(), format!("the upstream was started by {order_text}"));
    Ok(())
}

/// Checks that usage is reported and that reports of one window do not differ.
async fn check_usage_reports(site: &DemoSite, checks: &mut DemoChecks) -> CliResult<()> {
    println!("The daemon that holds the usage duty seals a window and reports it.");
    let reports = wait_for(|| async {
        let reports: Vec<RecordedUsageReport> =
            get_json(site, format!("http://{}/standin/reports", site.usage)).await?;
        reports.iter().any(|report| report.body.contains("velorio")).then_some(reports)
    });
    let reports = reports.await.unwrap_or_default();
    let differing = reports
        .iter()
        .any(|report| reports.iter().any(|other| report.window == other.window && report.body != other.body));
    checks.expect(
        !reports.is_empty() && !differing,
        format!("{} report(s) arrived, none with differing figures", reports.len()),
    );
    Ok(())
}

/// Withdraws the key and checks that every daemon refuses it.
async fn withdraw_key(site: &DemoSite, key: &KeySecret, checks: &mut DemoChecks) -> CliResult<()> {
    println!("The operator withdraws the key.");
    let request = KeyRequest {
        change_id: util::new_change_id(),
        organisation: "velorio".into(),
        key_id: key.id.clone(),
        key_hash: None,
    };
    let _: ChangeResponse = site.admin(2).post("keys/withdraw", &request).await?;
    let body = serde_json::json!({ "model": "drafts", "messages": [] });
    for daemon in 0..site.daemons.len() {
        let (status, _, _) = post(site, daemon, "/v1/chat/completions", key, &body, &[]).await?;
        checks.expect(
            status == StatusCode::UNAUTHORIZED,
            format!("daemon {} refuses the key with status {status}", daemon + 1),
        );
    }
    Ok(())
}
