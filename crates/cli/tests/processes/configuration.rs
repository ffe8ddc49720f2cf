//! Configuration and keys under outages, cuts, races and restarts.

use super::support::{DaemonSite, HttpAnswer, HttpClient, OPERATOR_KEY, SiteOptions, run_cli, wait_for};
use futures_util::{StreamExt, future::join_all};
use pimentoslip_kernel::KeySecret;
use pimentoslip_standin::{KvFault, RelayRule, TcpRelay};
use pimentoslip_wire::admin::{ChangeResponse, KeyListResponse, KeyRequest};

const DOWN: KvFault = KvFault { down: true, slow_ms: 0, lose_answers: 0 };

async fn quiet_site() -> (DaemonSite, KeySecret) {
    let site = DaemonSite::start(SiteOptions { engines: vec![], ..SiteOptions::default() }).await;
    let key = site.create_key(0, 1).await;
    (site, key)
}

async fn call(site: &DaemonSite, daemon: usize, key: &KeySecret) -> HttpAnswer {
    site.send(daemon, "GET", "/services/desk/orders", key, &[], &()).await
}

#[actix_rt::test]
async fn a_withdrawn_key_stops_at_once_on_open_connections() {
    let (site, key) = quiet_site().await;
    let callers: Vec<HttpClient> = (0..3).map(|_| HttpClient::new()).collect();
    let bearer = format!("Bearer {}", key.expose());
    let ask = |daemon: usize| {
        let url = format!("http://{}/services/desk/orders", site.daemons[daemon].public_address);
        let (caller, bearer) = (callers[daemon].clone(), bearer.clone());
        async move { caller.send("GET", &url, &[("authorization", &bearer)], &()).await.status }
    };
    assert_eq!(join_all((0..3).map(ask)).await, [200, 200, 200]);
    let answer = site.withdraw_key(1, &key).await;
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(answer.json::<ChangeResponse>().confirmed.len(), 3);
    assert_eq!(join_all((0..3).map(ask)).await, [401, 401, 401], "accepted is in force everywhere");
}

#[actix_rt::test]
async fn a_running_stream_ends_when_its_key_is_withdrawn() {
    let options = SiteOptions {
        engine_flags: vec!["--token-us=20000".to_owned(), "--shortest=2000".to_owned()],
        ..SiteOptions::default()
    };
    let site = DaemonSite::start(options).await;
    let key = site.create_key(0, 1).await;
    let body = serde_json::json!({ "model": "drafts", "stream": true, "max_tokens": 2000, "messages": [] });
    let url = format!("http://{}/v1/chat/completions", site.daemons[0].public_address);
    let request = site.http.request("POST", &url).bearer_auth(key.expose());
    let mut stream = request.send_json(&body).await.expect("a stream");
    stream.next().await.expect("a chunk").expect("a chunk");
    assert_eq!(site.withdraw_key(2, &key).await.status, 200);
    let mut text = String::new();
    let mut cut = false;
    while let Some(chunk) = stream.next().await {
        match chunk {
            Ok(chunk) => text.push_str(&String::from_utf8_lossy(&chunk)),
            Err(_) => {
                cut = true;
                break;
            }
        }
    }
    assert!(text.contains("event: error") && text.contains("key_unknown"), "{text}");
    assert!(cut && !text.contains("[DONE]"), "the stream does not look whole");
}

#[actix_rt::test]
async fn an_outage_of_the_service_stops_no_customer() {
    let (mut site, key) = quiet_site().await;
    let withdrawn = site.create_key(1, 2).await;
    assert_eq!(site.withdraw_key(0, &withdrawn).await.status, 200);
    site.set_kv_fault(DOWN).await;
    // Long past the bound after which unconfirmed configuration is not trusted.
    for _ in 0..16 {
        actix_rt::time::sleep(std::time::Duration::from_millis(500)).await;
        for daemon in 0..3 {
            assert_eq!(call(&site, daemon, &key).await.status, 200);
            assert_eq!(call(&site, daemon, &withdrawn).await.status, 401);
        }
    }
    let refused = site.withdraw_key(0, &key).await;
    assert_eq!(refused.status, 503, "a change that cannot be recorded is not accepted: {refused:?}");

    // A daemon that restarts during the outage gets everything from its peers.
    site.restart_daemon(2).await;
    wait_for("the restarted daemon serves", || async { (call(&site, 2, &key).await.status == 200).then_some(()) })
        .await;
    assert_eq!(call(&site, 2, &withdrawn).await.status, 401, "nothing reverts");
}

/// A site whose last daemon reaches the service through a relay.
async fn cut_off_site() -> (DaemonSite, KeySecret, TcpRelay) {
    let options = SiteOptions { daemons: vec!["a", "b"], engines: vec![], ..SiteOptions::default() };
    let mut site = DaemonSite::start(options).await;
    let relay = TcpRelay::start(site.kv_address.parse().expect("an address")).await.expect("a relay");
    site.start_daemon("c", &[format!("--kv={}", relay.address)]).await;
    site.wait_ready().await;
    let key = site.create_key(0, 1).await;
    (site, key, relay)
}

#[actix_rt::test]
async fn a_daemon_cut_from_the_service_learns_from_its_peers() {
    let (site, key, relay) = cut_off_site().await;
    relay.set_rule(RelayRule::Cut);
    assert_eq!(call(&site, 2, &key).await.status, 200);
    assert_eq!(site.withdraw_key(0, &key).await.status, 200);
    assert_eq!(call(&site, 2, &key).await.status, 401);
}

#[actix_rt::test]
async fn a_daemon_cut_from_all_refuses_what_it_cannot_confirm() {
    let (site, key, relay) = cut_off_site().await;
    relay.set_rule(RelayRule::Stall);
    site.daemons[0].process.freeze();
    site.daemons[1].process.freeze();
    let refused = wait_for("it refuses", || async {
        let answer = call(&site, 2, &key).await;
        (answer.status != 200).then_some(answer)
    })
    .await;
    assert_eq!((refused.status, refused.error("code").as_str()), (503, "config_stale"));
    assert_eq!(refused.error("run_state"), "not run");
    let open =
        site.http.send("GET", &format!("http://{}/services/desk/menu", site.daemons[2].public_address), &[], &()).await;
    assert_eq!(open.status, 200, "open routes need no key");
    site.daemons[0].process.resume();
    site.daemons[1].process.resume();
    wait_for("it serves again", || async { (call(&site, 2, &key).await.status == 200).then_some(()) }).await;
}

#[actix_rt::test]
async fn a_change_that_a_daemon_did_not_confirm_is_pending_and_dead_there_too() {
    let (site, key, relay) = cut_off_site().await;
    site.daemons[2].process.freeze();
    let answer = site.withdraw_key(0, &key).await;
    assert_eq!(answer.status, 202, "{answer:?}");
    let answer: ChangeResponse = answer.json();
    assert!(!answer.accepted && answer.unconfirmed.iter().any(|name| **name == *site.daemons[2].name));
    // It stays frozen past the bound.
    actix_rt::time::sleep(std::time::Duration::from_secs(3)).await;
    // The frozen daemon wakes, cut from the service: it trusts nothing before it has asked its peers.
    relay.set_rule(RelayRule::Cut);
    site.daemons[2].process.resume();
    let refused = call(&site, 2, &key).await;
    assert!([401, 503].contains(&refused.status), "{refused:?}");
    let output = run_cli(&[
        "key",
        "withdraw",
        "velorio",
        &key.id,
        "--daemon",
        &site.daemons[0].control_address,
        "--operator-key",
        OPERATOR_KEY,
    ]);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
}

#[actix_rt::test]
async fn racing_operators_lose_nothing() {
    let (site, _) = quiet_site().await;
    site.set_kv_fault(KvFault { slow_ms: 5, lose_answers: 3, ..KvFault::default() }).await;
    let requests: Vec<KeyRequest> = (0..9)
        .map(|number| KeyRequest {
            change_id: format!("race-{number}").into(),
            organisation: if number % 3 == 0 { "rose" } else { "velorio" }.into(),
            key_id: format!("racekey{number:05}").into(),
            key_hash: Some("0".repeat(64)),
        })
        .collect();
    let (site, requests) = (&site, &requests);
    let create = |number: usize| async move {
        // An operator repeats a change until it is accepted.
        wait_for("the change is accepted", || async {
            let answer = site.admin_post(number % 3, "keys/create", &requests[number]).await;
            (answer.status == 200).then_some(())
        })
        .await;
    };
    join_all((0..9).map(create)).await;
    for daemon in 0..3 {
        let list: KeyListResponse = site.admin_get(daemon, "keys").await.expect("keys");
        for request in requests {
            let found =
                list.keys.iter().filter(|key| key.key_id == request.key_id && key.organisation == request.organisation);
            assert_eq!(found.count(), 1, "{request:?} at daemon {daemon}");
        }
    }
}

#[actix_rt::test]
async fn a_change_whose_answer_was_lost_is_made_once() {
    let (site, _) = quiet_site().await;
    let before = site.status(0).await.expect("status").revision;
    site.set_kv_fault(KvFault { lose_answers: 1, ..KvFault::default() }).await;
    let secret = site.create_key(0, 7).await;
    assert_eq!(call(&site, 2, &secret).await.status, 200);
    let list: KeyListResponse = site.admin_get(1, "keys").await.expect("keys");
    assert_eq!(list.keys.iter().filter(|key| key.key_id == secret.id).count(), 1);
    assert!(site.status(0).await.expect("status").revision > before);
}

#[actix_rt::test]
async fn applying_again_changes_nothing_and_removal_holds() {
    let mut site = DaemonSite::start(SiteOptions { engines: vec![], ..SiteOptions::default() }).await;
    let key = site.create_key(0, 1).await;
    assert!(site.apply_config().await.contains(" 0 records changed"));
    site.options.base_config =
        site.options.base_config.replace("[organisations.velorio]\nweight = 4\nservices = [\"drafts\", \"desk\"]", "");
    assert!(site.apply_config().await.contains(" 1 records changed"));
    for daemon in 0..3 {
        assert_eq!(call(&site, daemon, &key).await.status, 401, "a removed organisation's key does not work");
    }
}

/// An empty list, as after a restart of the interface behind it, must not pass for the end of every VM.
#[actix_rt::test]
async fn a_list_without_the_daemon_itself_proves_nothing() {
    let (site, key) = quiet_site().await;
    site.daemons[1].process.freeze();
    for daemon in &site.daemons {
        site.remove_vm(&daemon.name).await;
    }
    site.set_kv_fault(DOWN).await;
    let refused = wait_for("what cannot be confirmed is refused", || async {
        let answer = call(&site, 0, &key).await;
        (answer.status != 200).then_some(answer)
    })
    .await;
    assert_eq!((refused.status, refused.error("code").as_str()), (503, "config_stale"));
}
