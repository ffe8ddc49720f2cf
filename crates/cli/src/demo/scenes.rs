//! What happens in the demo.

use super::{demo_check::DemoCheck, demo_site::DemoSite};
use crate::{CliError, CliResult, util};
use awc::http::StatusCode;
use pimentoslip_kernel::{ConfigFile, FetchCursor, KeySecret};
use pimentoslip_standin::{OrderLog, SeenRequest, SpareUpstream, UsageLog};
use pimentoslip_wire::{
    IDEMPOTENCY_KEY_HEADER, REPLAYED_HEADER,
    admin::{ApplyRequest, ChangeResponse, KeyRequest, RecordBody, StatusResponse},
    caller::{FetchRequest, FetchResponse, OpenRequest, PublishRequest, Refusal},
};
use serde::{Serialize, de::DeserializeOwned};
use std::{future::Future, time::Duration};

const BASE: &str = include_str!("demo-base.toml");
const OVERLAY: &str = include_str!("demo-overlay.toml");
const WAIT: Duration = Duration::from_secs(20);
const POLL: Duration = Duration::from_millis(50);

/// Runs all scenes; fails when a check did.
pub async fn run() -> CliResult<()> {
    let mut check = DemoCheck::default();
    println!("Starting stand-ins and three daemons in three failure domains.");
    let site = DemoSite::start().await?;
    let key = configure(&site, &mut check).await?;
    customer(&site, &key, &mut check).await?;
    order_desk(&site, &key, &mut check).await?;
    trainer(&site, &key, &mut check).await?;
    ordering(&site, &mut check).await?;
    billing(&site, &mut check).await?;
    withdrawal(&site, &key, &mut check).await?;
    println!("{} checks held, {} failed.", check.passed(), check.failed());
    if check.failed() > 0 {
        return Err(CliError::Failed("the demo's checks did not all hold".to_owned()));
    }
    Ok(())
}

/// Polls `probe` until it gives a value or the demo's patience ends.
async fn wait_for<T, F: Future<Output = Option<T>>>(mut probe: impl FnMut() -> F) -> Option<T> {
    let polls = WAIT.as_millis() / POLL.as_millis();
    for _ in 0..polls {
        if let Some(value) = probe().await {
            return Some(value);
        }
        actix_rt::time::sleep(POLL).await;
    }
    None
}

async fn get_json<T: DeserializeOwned>(site: &DemoSite, url: String) -> Option<T> {
    site.client.get(url).send().await.ok()?.json().limit(8 << 20).await.ok()
}

async fn post<Q: Serialize>(
    site: &DemoSite,
    at: usize,
    path: &str,
    key: &KeySecret,
    body: &Q,
    extra: &[(&str, &str)],
) -> CliResult<(StatusCode, bool, Vec<u8>)> {
    let mut request = site.client.post(site.url(at, path)).bearer_auth(key.expose());
    for (name, value) in extra {
        request = request.insert_header((*name, *value));
    }
    let failed = |error: String| CliError::Failed(format!("a demo request failed: {error}"));
    let mut answer = request.send_json(body).await.map_err(|error| failed(error.to_string()))?;
    let replayed = answer.headers().contains_key(REPLAYED_HEADER);
    let bytes = answer.body().limit(16 << 20).await.map_err(|error| failed(error.to_string()))?;
    Ok((answer.status(), replayed, bytes.to_vec()))
}

async fn configure(site: &DemoSite, check: &mut DemoCheck) -> CliResult<KeySecret> {
    println!("An operator applies a base file with the site's overlay, and creates a key.");
    let file = ConfigFile::parse(("demo-base.toml", BASE), Some(("demo-overlay.toml", OVERLAY)))?;
    let records = file.records().into_iter().map(|(name, record)| RecordBody { name, revision: 0, record }).collect();
    let request = ApplyRequest { change_id: util::change_id(), records };
    let answer: ChangeResponse = site.admin(0).post("apply", &request).await?;
    check.expect(
        answer.changed_count >= 3,
        format!("{} records are in force at revision {}", answer.changed_count, answer.revision),
    );
    let secret = KeySecret::generate(&mut rand::rng());
    let request = KeyRequest {
        change_id: util::change_id(),
        organisation: "velorio".into(),
        key_id: secret.id.clone(),
        key_hash: Some(secret.hash()),
    };
    let answer: ChangeResponse = site.admin(1).post("keys/create", &request).await?;
    let ready = wait_for(|| async {
        for at in 0..site.daemons.len() {
            let status: StatusResponse = site.admin(at).get("status").await.ok()?;
            (status.keys_trusted && status.revision >= answer.revision && status.upstreams.len() >= 3).then_some(())?;
        }
        Some(())
    });
    check.expect(ready.await.is_some(), "all three daemons know the configuration and the upstreams");
    Ok(secret)
}

async fn customer(site: &DemoSite, key: &KeySecret, check: &mut DemoCheck) -> CliResult<()> {
    println!("A customer asks a model engine for a condolence card, as a stream.");
    let body = serde_json::json!({
        "model": "drafts", "stream": true, "max_tokens": 32,
        "messages": [{ "role": "user", "content": "A short card for the family" }],
    });
    let (status, _, bytes) = post(site, 0, "/v1/chat/completions", key, &body, &[]).await?;
    let text = String::from_utf8_lossy(&bytes);
    check.expect(
        status == StatusCode::OK && text.ends_with("data: [DONE]\n\n"),
        "the stream arrived whole, with its terminal marker",
    );
    let mut leaked = false;
    for engine in &site.engines {
        let seen: Vec<SeenRequest> = get_json(site, format!("http://{engine}/standin/seen")).await.unwrap_or_default();
        leaked |= format!("{seen:?}").contains(key.expose());
    }
    check.expect(!leaked, "no engine saw the customer's key");
    Ok(())
}

async fn order_desk(site: &DemoSite, key: &KeySecret, check: &mut DemoCheck) -> CliResult<()> {
    println!("The order desk places one order twice, through two daemons, under one idempotency key.");
    let order = serde_json::json!({ "trays": 12, "family": "Quispe" });
    let header = [(IDEMPOTENCY_KEY_HEADER, "order-4711")];
    let (first, _, answer) = post(site, 0, "/services/desk/orders", key, &order, &header).await?;
    let (second, replayed, again) = post(site, 2, "/services/desk/orders", key, &order, &header).await?;
    check.expect(first == StatusCode::OK && second == StatusCode::OK, "both calls were answered");
    check.expect(replayed && answer == again, "the second one got the first one's answer");
    let seen: Vec<SeenRequest> = get_json(site, format!("http://{}/standin/seen", site.desk)).await.unwrap_or_default();
    check.expect(seen.len() == 1, format!("the order ran {} time(s)", seen.len()));
    let open = site.client.get(site.url(1, "/services/desk/menu")).send().await;
    check.expect(open.is_ok_and(|answer| answer.status() == StatusCode::OK), "the open route answers without a key");
    let closed = site.client.get(site.url(1, "/services/desk/orders")).send().await;
    let refused = match closed {
        Ok(mut answer) => answer.json::<Refusal>().await.ok().map(|refusal| refusal.error),
        Err(_) => None,
    };
    let text = refused.as_ref().map_or_else(String::new, |error| format!("{}, {}", error.code, error.run_state));
    check.expect(refused.is_some_and(|error| error.code == "key_missing"), format!("another route is refused: {text}"));
    Ok(())
}

async fn trainer(site: &DemoSite, key: &KeySecret, check: &mut DemoCheck) -> CliResult<()> {
    println!("A trainer publishes weights, opens a step of 4 groups of 8, and fetches its samples.");
    let publish = PublishRequest { service: "drafts".into(), version: 2 };
    let (published, _, _) = post(site, 1, "/v1/weights", key, &publish, &[]).await?;
    let prompts = (0..4).map(|group| format!("Tray menu {group}").into()).collect();
    let open = OpenRequest {
        trainer: "menus".into(),
        step: 1,
        service: "drafts".into(),
        prompts,
        group_size: 8,
        max_tokens: 64,
    };
    let (opened, _, _) = post(site, 1, "/v1/steps", key, &open, &[]).await?;
    check.expect(published == StatusCode::OK && opened == StatusCode::OK, "weights are published and the step is open");
    let mut cursor = FetchCursor::default();
    let (mut doubled, mut versions) = (0, std::collections::BTreeSet::new());
    for turn in 0..200 {
        let fetch = FetchRequest {
            trainer: "menus".into(),
            step: 1,
            cursor: cursor.clone(),
            published_version: 2,
            samples_max: 16,
            wait_ms: 2_000,
        };
        let (_, _, bytes) = post(site, turn % 3, "/v1/steps/fetch", key, &fetch, &[]).await?;
        let Ok(answer) = serde_json::from_slice::<FetchResponse>(&bytes) else { continue };
        for sample in &answer.samples {
            doubled += usize::from(cursor.contains(sample.position));
            cursor.insert(sample.position);
            versions.extend(sample.segments.iter().map(|segment| segment.version));
        }
        if answer.complete {
            break;
        }
    }
    check.expect(cursor.len() == 32 && doubled == 0, format!("{} samples arrived, {doubled} twice", cursor.len()));
    check.expect(versions.iter().all(|version| *version >= 1), format!("they name weight versions {versions:?}"));
    Ok(())
}

async fn ordering(site: &DemoSite, check: &mut DemoCheck) -> CliResult<()> {
    println!("The holder of failure domain c's duty orders an upstream there.");
    let spare = SpareUpstream {
        name: "engine-2".into(),
        service: "drafts".into(),
        failure_domain: "c".into(),
        address: site.engines[1].to_string().into(),
        reclaimable: false,
    };
    let sent = site.client.put(format!("http://{}/standin/spares", site.orders)).send_json(&spare).await;
    sent.map_err(|error| CliError::Failed(error.to_string()))?;
    let done = wait_for(|| async {
        let log: Vec<OrderLog> = get_json(site, format!("http://{}/standin/orders", site.orders)).await?;
        log.into_iter().find(|entry| entry.vm.as_deref() == Some("engine-2"))
    });
    let done = done.await;
    let text = done.as_ref().map_or_else(String::new, |entry| format!("order {}", entry.request.order_id));
    check.expect(done.is_some(), format!("the upstream was started by {text}"));
    Ok(())
}

async fn billing(site: &DemoSite, check: &mut DemoCheck) -> CliResult<()> {
    println!("The holder of the usage duty seals a window and reports it.");
    let reports = wait_for(|| async {
        let log: Vec<UsageLog> = get_json(site, format!("http://{}/standin/reports", site.usage)).await?;
        log.iter().any(|entry| entry.body.contains("velorio")).then_some(log)
    });
    let reports = reports.await.unwrap_or_default();
    let differing = reports.iter().any(|a| reports.iter().any(|b| a.window == b.window && a.body != b.body));
    check.expect(
        !reports.is_empty() && !differing,
        format!("{} report(s) arrived, none with differing figures", reports.len()),
    );
    Ok(())
}

async fn withdrawal(site: &DemoSite, key: &KeySecret, check: &mut DemoCheck) -> CliResult<()> {
    println!("The operator withdraws the key.");
    let request = KeyRequest {
        change_id: util::change_id(),
        organisation: "velorio".into(),
        key_id: key.id.clone(),
        key_hash: None,
    };
    let _: ChangeResponse = site.admin(2).post("keys/withdraw", &request).await?;
    let body = serde_json::json!({ "model": "drafts", "messages": [] });
    for at in 0..site.daemons.len() {
        let (status, _, _) = post(site, at, "/v1/chat/completions", key, &body, &[]).await?;
        check.expect(status == StatusCode::UNAUTHORIZED, format!("daemon {} refuses it with status {status}", at + 1));
    }
    Ok(())
}
