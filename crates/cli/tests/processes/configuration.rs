//! Tests of the configuration and the API keys under outages of the key-value store, cut connections, concurrent
//! changes and restarts.

use super::support::{
    DaemonSite, HttpAnswer, HttpClient, KEY_ORGANISATION, OPERATOR_KEY, SiteOptions, run_cli, wait_for,
};
use futures_util::{StreamExt, future::join_all};
use pimentoslip_kernel::KeySecret;
use pimentoslip_standin::{KvFault, RelayRule, TcpRelay};
use pimentoslip_wire::admin::{ChangeResponse, KeyListResponse, KeyRequest};

/// Outage of the key-value store: every call fails.
const STORE_DOWN: KvFault = KvFault { down: true, slow_ms: 0, lose_answers: 0 };

/// Starts a site of three daemons without engines, and creates an API key.
async fn site_without_engines() -> (DaemonSite, KeySecret) {
    let site = DaemonSite::start(SiteOptions { engines: vec![], ..SiteOptions::default() }).await;
    let key = site.create_key(0, 1).await;
    (site, key)
}

/// Sends a request that needs a valid key to a daemon.
async fn send_keyed_request(site: &DaemonSite, daemon: usize, key: &KeySecret) -> HttpAnswer {
    site.send(daemon, "GET", "/services/desk/orders", key, &[], &()).await
}

/// Guards against a withdrawn key that is still accepted on connections which were open before the withdrawal.
#[actix_rt::test]
async fn a_withdrawn_key_is_refused_on_open_connections() {
    let (site, key) = site_without_engines().await;
    let clients: Vec<HttpClient> = (0..3).map(|_| HttpClient::new()).collect();
    let bearer = format!("Bearer {}", key.expose());
    let request_status = |daemon: usize| {
        let url = format!("http://{}/services/desk/orders", site.daemons[daemon].public_address);
        let (client, bearer) = (clients[daemon].clone(), bearer.clone());
        async move { client.send("GET", &url, &[("authorization", &bearer)], &()).await.status }
    };
    assert_eq!(join_all((0..3).map(request_status)).await, [200, 200, 200]);
    let answer = site.withdraw_key(1, &key).await;
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(answer.json::<ChangeResponse>().confirmed.len(), 3);
    assert_eq!(
        join_all((0..3).map(request_status)).await,
        [401, 401, 401],
        "an accepted withdrawal is in force at every daemon"
    );
}

/// Guards against a withdrawn key that becomes valid again because its id is created a second time.
#[actix_rt::test]
async fn a_withdrawn_key_cannot_be_created_again() {
    let site = DaemonSite::start(SiteOptions::default()).await;
    let key = site.create_key(0, 1).await;
    let other = site.create_key(0, 2).await;
    assert_eq!(site.withdraw_key(0, &key).await.status, 200);
    // The hash of the key itself, and that of another key.
    for (number, hash) in [key.hash(), other.hash()].into_iter().enumerate() {
        let request = KeyRequest {
            change_id: format!("again-{number}").into(),
            organisation: KEY_ORGANISATION.into(),
            key_id: key.id.clone(),
            key_hash: Some(hash),
        };
        let answer = site.admin_post(0, "keys/create", &request).await;
        assert!((400..500).contains(&answer.status), "{answer:?}");
    }
    assert_eq!(send_keyed_request(&site, 0, &key).await.status, 401);
    assert_eq!(send_keyed_request(&site, 0, &other).await.status, 200);
}

/// Guards against a stream that continues after its key was withdrawn, or that ends as if it were complete.
#[actix_rt::test]
async fn withdrawing_a_key_ends_its_running_streams_with_an_error() {
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
    let mut is_cut = false;
    while let Some(chunk) = stream.next().await {
        match chunk {
            Ok(chunk) => text.push_str(&String::from_utf8_lossy(&chunk)),
            Err(_) => {
                is_cut = true;
                break;
            }
        }
    }
    assert!(text.contains("event: error") && text.contains("key_unknown"), "{text}");
    assert!(is_cut && !text.contains("[DONE]"), "the stream does not end as if it were complete");
}

/// Guards against an outage of the key-value store that stops requests, re-enables withdrawn keys, or keeps a restarted
/// daemon from serving.
#[actix_rt::test]
async fn an_outage_of_the_store_stops_no_requests_and_reenables_no_withdrawn_key() {
    let (mut site, key) = site_without_engines().await;
    let withdrawn = site.create_key(1, 2).await;
    assert_eq!(site.withdraw_key(0, &withdrawn).await.status, 200);
    site.set_kv_fault(STORE_DOWN).await;
    // At least eight seconds: well past the three seconds after which a daemon refuses keyed requests unless the store
    // or its peers have confirmed its configuration.
    for _ in 0..16 {
        actix_rt::time::sleep(std::time::Duration::from_millis(500)).await;
        for daemon in 0..3 {
            assert_eq!(send_keyed_request(&site, daemon, &key).await.status, 200);
            assert_eq!(send_keyed_request(&site, daemon, &withdrawn).await.status, 401);
        }
    }
    let refused = site.withdraw_key(0, &key).await;
    assert_eq!(refused.status, 503, "a change that cannot be stored is not accepted: {refused:?}");

    // A daemon that restarts during the outage receives the configuration from its peers.
    site.restart_daemon(2).await;
    wait_for("the restarted daemon serves", || async {
        (send_keyed_request(&site, 2, &key).await.status == 200).then_some(())
    })
    .await;
    assert_eq!(send_keyed_request(&site, 2, &withdrawn).await.status, 401, "the withdrawn key stays refused");
}

/// Starts a site whose third daemon reaches the key-value store through a relay, and creates an API key.
async fn site_with_store_relay() -> (DaemonSite, KeySecret, TcpRelay) {
    let options = SiteOptions { daemons: vec!["a", "b"], engines: vec![], ..SiteOptions::default() };
    let mut site = DaemonSite::start(options).await;
    let relay = TcpRelay::start(site.kv_address.parse().expect("an address")).await.expect("start a relay");
    site.start_daemon("c", &[format!("--kv={}", relay.address)]).await;
    site.wait_ready().await;
    let key = site.create_key(0, 1).await;
    (site, key, relay)
}

/// Guards against a daemon that accepts a withdrawn key because it cannot reach the store itself.
#[actix_rt::test]
async fn a_daemon_cut_off_from_the_store_receives_changes_from_its_peers() {
    let (site, key, relay) = site_with_store_relay().await;
    relay.set_rule(RelayRule::Cut);
    assert_eq!(send_keyed_request(&site, 2, &key).await.status, 200);
    assert_eq!(site.withdraw_key(0, &key).await.status, 200);
    assert_eq!(send_keyed_request(&site, 2, &key).await.status, 401);
}

/// Guards against a daemon that keeps accepting keys without a confirmation by the store or a peer.
#[actix_rt::test]
async fn a_daemon_cut_off_from_store_and_peers_refuses_keyed_requests_until_it_reconnects() {
    let (site, key, relay) = site_with_store_relay().await;
    relay.set_rule(RelayRule::Stall);
    site.daemons[0].process.freeze();
    site.daemons[1].process.freeze();
    let refused = wait_for("the daemon refuses the request", || async {
        let answer = send_keyed_request(&site, 2, &key).await;
        (answer.status != 200).then_some(answer)
    })
    .await;
    assert_eq!((refused.status, refused.error("code").as_str()), (503, "config_stale"));
    assert_eq!(refused.error("run_state"), "not run");
    let open_answer =
        site.http.send("GET", &format!("http://{}/services/desk/menu", site.daemons[2].public_address), &[], &()).await;
    assert_eq!(open_answer.status, 200, "open routes need no key");
    site.daemons[0].process.resume();
    site.daemons[1].process.resume();
    wait_for("the daemon serves again", || async {
        (send_keyed_request(&site, 2, &key).await.status == 200).then_some(())
    })
    .await;
}

/// Guards against a withdrawal that is reported as complete while a daemon still accepts the key.
#[actix_rt::test]
async fn a_withdrawal_unconfirmed_by_a_frozen_daemon_is_pending_and_in_force_there() {
    let (site, key, relay) = site_with_store_relay().await;
    site.daemons[2].process.freeze();
    let answer = site.withdraw_key(0, &key).await;
    assert_eq!(answer.status, 202, "{answer:?}");
    let response: ChangeResponse = answer.json();
    assert!(!response.accepted && response.unconfirmed.iter().any(|name| **name == *site.daemons[2].name));
    // The daemon stays frozen until its configuration is older than three seconds, and must not be used unconfirmed.
    actix_rt::time::sleep(std::time::Duration::from_secs(3)).await;
    // The daemon resumes without a connection to the store. It must not accept the key before its peers have confirmed
    // its configuration.
    relay.set_rule(RelayRule::Cut);
    site.daemons[2].process.resume();
    let refused = send_keyed_request(&site, 2, &key).await;
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

/// Guards against concurrent changes that overwrite each other, and against lost or repeated ones when the answer of
/// the store is lost.
#[actix_rt::test]
async fn concurrent_changes_by_operators_are_all_stored_once() {
    let (site, _) = site_without_engines().await;
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
    let create_key = |number: usize| async move {
        // An operator repeats a change, with the same change id, until it is accepted.
        wait_for("the change is accepted", || async {
            let answer = site.admin_post(number % 3, "keys/create", &requests[number]).await;
            (answer.status == 200).then_some(())
        })
        .await;
    };
    join_all((0..9).map(create_key)).await;
    for daemon in 0..3 {
        let list: KeyListResponse = site.admin_get(daemon, "keys").await.expect("keys");
        for request in requests {
            let matching_keys =
                list.keys.iter().filter(|key| key.key_id == request.key_id && key.organisation == request.organisation);
            assert_eq!(matching_keys.count(), 1, "{request:?} is not listed once at daemon {daemon}");
        }
    }
}

/// Guards against a second key when the store commits a change but its answer is lost.
#[actix_rt::test]
async fn a_change_whose_store_answer_is_lost_is_made_once() {
    let (site, _) = site_without_engines().await;
    let revision_before = site.status(0).await.expect("status").revision;
    site.set_kv_fault(KvFault { lose_answers: 1, ..KvFault::default() }).await;
    let secret = site.create_key(0, 7).await;
    assert_eq!(send_keyed_request(&site, 2, &secret).await.status, 200);
    let list: KeyListResponse = site.admin_get(1, "keys").await.expect("keys");
    assert_eq!(list.keys.iter().filter(|key| key.key_id == secret.id).count(), 1);
    assert!(site.status(0).await.expect("status").revision > revision_before);
}

/// Guards against a repeated apply that rewrites stored entries, and against keys that work after the removal of their
/// organisation.
#[actix_rt::test]
async fn applying_the_same_configuration_changes_nothing_and_a_removed_organisation_is_refused() {
    let mut site = DaemonSite::start(SiteOptions { engines: vec![], ..SiteOptions::default() }).await;
    let key = site.create_key(0, 1).await;
    assert!(site.apply_config().await.contains(" 0 records changed"));
    site.options.base_config =
        site.options.base_config.replace("[organisations.velorio]\nweight = 4\nservices = [\"drafts\", \"desk\"]", "");
    assert!(site.apply_config().await.contains(" 1 records changed"));
    for daemon in 0..3 {
        assert_eq!(
            send_keyed_request(&site, daemon, &key).await.status,
            401,
            "the key of a removed organisation is refused"
        );
    }
}

/// Guards against a daemon that takes an empty VM list, as the publishing service serves after a restart, as proof that
/// all other daemons have ended.
#[actix_rt::test]
async fn a_vm_list_without_the_daemon_itself_is_no_proof_that_its_peers_ended() {
    let (site, key) = site_without_engines().await;
    site.daemons[1].process.freeze();
    for daemon in &site.daemons {
        site.remove_vm(&daemon.name).await;
    }
    site.set_kv_fault(STORE_DOWN).await;
    let refused = wait_for("the daemon refuses keyed requests", || async {
        let answer = send_keyed_request(&site, 0, &key).await;
        (answer.status != 200).then_some(answer)
    })
    .await;
    assert_eq!((refused.status, refused.error("code").as_str()), (503, "config_stale"));
}
