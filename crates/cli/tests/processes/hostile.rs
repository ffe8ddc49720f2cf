//! Tests of hostile and malformed input: it is refused with a clear error, leaks no key and does not crash a daemon.

use super::support::{DaemonSite, OPERATOR_KEY, SiteOptions};
use pimentoslip_kernel::KeySecret;
use std::{
    io::{Read, Write},
    net::{Shutdown, TcpStream},
    time::Duration,
};

/// Starts a site whose daemons accept bodies of at most 100,000 bytes, and creates an API key.
async fn site_with_key() -> (DaemonSite, KeySecret) {
    let site = DaemonSite::start(SiteOptions {
        daemon_flags: vec!["--body-bytes-max=100000".to_owned()],
        ..SiteOptions::default()
    })
    .await;
    let key = site.create_key(0, 1).await;
    (site, key)
}

/// Path, headers and body of a request, and the error code of its refusal.
type RefusedRequest<'a> = (String, Vec<(&'a str, &'a str)>, String, &'a str);

/// Guards against keys that reach an upstream or a log because they were sent in the path, the query, the body or
/// another header, and against paths that bypass the check of the key.
#[actix_rt::test]
async fn misplaced_and_unknown_keys_are_refused_and_reach_no_upstream() {
    let (site, key) = site_with_key().await;
    let token = key.expose();
    let bearer = format!("Bearer {token}");
    let json_escaped: String = token.bytes().map(|byte| format!("\\u{byte:04x}")).collect();
    let percent_encoded: String = token.bytes().map(|byte| format!("%{byte:02x}")).collect();
    let unknown_bearer = bearer.replace(&token[20..22], "zz");
    let orders_path = "/services/desk/orders".to_owned();
    let empty_body = "{}".to_owned();
    let cases: Vec<RefusedRequest<'_>> = vec![
        (orders_path.clone(), vec![], empty_body.clone(), "key_missing"),
        (orders_path.clone(), vec![("authorization", "Bearer nonsense")], empty_body.clone(), "key_unknown"),
        (orders_path.clone(), vec![("authorization", unknown_bearer.as_str())], empty_body.clone(), "key_unknown"),
        (orders_path.clone(), vec![("authorization", "Basic dXNlcjpwYXNz")], empty_body.clone(), "key_missing"),
        (orders_path.clone(), vec![("x-api-key", token)], empty_body.clone(), "key_missing"),
        (format!("{orders_path}?key={token}"), vec![], empty_body.clone(), "key_missing"),
        (
            orders_path.clone(),
            vec![("authorization", &bearer), ("authorization", &bearer)],
            empty_body.clone(),
            "key_ambiguous",
        ),
        (format!("{orders_path}?key={token}"), vec![("authorization", &bearer)], empty_body.clone(), "key_misplaced"),
        (
            format!("{orders_path}?key={percent_encoded}"),
            vec![("authorization", &bearer)],
            empty_body.clone(),
            "key_misplaced",
        ),
        (format!("/services/desk/{token}"), vec![("authorization", &bearer)], empty_body.clone(), "key_misplaced"),
        (format!("/services/desk/menu?k={token}"), vec![], empty_body.clone(), "key_misplaced"),
        (orders_path.clone(), vec![("authorization", &bearer)], format!("{{\"k\":\"{token}\"}}"), "key_misplaced"),
        (
            orders_path.clone(),
            vec![("authorization", &bearer)],
            format!("{{\"k\":\"{json_escaped}\"}}"),
            "key_misplaced",
        ),
        (
            "/v1/chat/completions".to_owned(),
            vec![("authorization", &bearer)],
            format!("{{\"model\":\"drafts\",\"user\":\"{token}\"}}"),
            "key_misplaced",
        ),
        (
            orders_path.clone(),
            vec![("authorization", &bearer), ("idempotency-key", token)],
            empty_body.clone(),
            "idempotency_key_invalid",
        ),
        (
            orders_path.clone(),
            vec![("authorization", &bearer), ("idempotency-key", "a"), ("idempotency-key", "b")],
            empty_body.clone(),
            "idempotency_key_invalid",
        ),
        (
            orders_path.clone(),
            vec![("authorization", &bearer), ("idempotency-key", "")],
            empty_body.clone(),
            "idempotency_key_invalid",
        ),
        ("/services/desk/menu/../orders".to_owned(), vec![], empty_body.clone(), "key_missing"),
        ("/services/desk/menu%2f..%2forders".to_owned(), vec![], empty_body.clone(), "key_missing"),
        ("/services/desk/menus".to_owned(), vec![], empty_body.clone(), "key_missing"),
        ("/services/nobody/x".to_owned(), vec![("authorization", &bearer)], empty_body.clone(), "service_unknown"),
        ("/nowhere".to_owned(), vec![("authorization", &bearer)], empty_body.clone(), "service_unknown"),
    ];
    for (path, headers, body, code) in cases {
        let mut request = site.http.request("POST", &format!("http://{}{path}", site.daemons[0].public_address));
        for (name, value) in &headers {
            request = request.append_header((*name, *value));
        }
        let mut answer = request
            .insert_header(("content-type", "application/json"))
            .send_body(body.clone())
            .await
            .expect("an answer");
        let text = String::from_utf8_lossy(&answer.body().await.expect("a body")).into_owned();
        let error: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
        assert_eq!(error["error"]["code"], code, "{path} {headers:?} {body}: {text}");
        assert_eq!(error["error"]["run_state"], "not run", "{text}");
        assert!(!error["error"]["remedy"].as_str().unwrap_or("").is_empty());
    }
    let upstream_requests = format!(
        "{:?}{:?}{:?}",
        site.desk_requests().await,
        site.engine_requests(0).await,
        site.engine_requests(1).await
    );
    assert!(
        !upstream_requests.contains(token)
            && !upstream_requests.contains(&json_escaped)
            && !upstream_requests.contains(&percent_encoded)
    );
    let accepted = site.send(0, "POST", "/services/desk/orders", &key, &[("x-extra", "v"), ("cookie", "c")], &()).await;
    assert_eq!(accepted.status, 200);
    let desk_requests = format!("{:?}", site.desk_requests().await);
    assert!(!desk_requests.contains("cookie") && !desk_requests.contains("authorization"), "{desk_requests}");
    assert!(!site.logs().contains(token), "no log contains the key");
}

/// Guards against requests to a service that the organisation of the key has not been granted.
#[actix_rt::test]
async fn an_organisation_can_use_only_the_services_granted_to_it() {
    let (site, _) = site_with_key().await;
    let secret = {
        use rand::SeedableRng;
        KeySecret::generate(&mut rand_chacha::ChaCha8Rng::seed_from_u64(77))
    };
    let request = pimentoslip_wire::admin::KeyRequest {
        change_id: "rose".into(),
        organisation: "rose".into(),
        key_id: secret.id.clone(),
        key_hash: Some(secret.hash()),
    };
    assert_eq!(site.admin_post(0, "keys/create", &request).await.status, 200);
    let body = serde_json::json!({ "model": "drafts", "messages": [] });
    let refused = site.send(0, "POST", "/v1/chat/completions", &secret, &[], &body).await;
    assert_eq!((refused.status, refused.error("code").as_str()), (403, "service_forbidden"));
    assert_eq!(site.send(0, "POST", "/services/desk/orders", &secret, &[], &()).await.status, 200);
}

/// Guards against access to the peer and administration interfaces with a missing, wrong, empty or repeated secret, or
/// through the public listener, and against malformed peer messages that are accepted or crash the daemon.
#[actix_rt::test]
async fn peer_and_admin_requests_without_the_right_secret_are_refused() {
    let (site, key) = site_with_key().await;
    let control_url = format!("http://{}", site.daemons[0].control_address);
    let bearer = format!("Bearer {}", key.expose());
    let paths = [
        "/peer/exchange",
        "/peer/claim",
        "/peer/settle",
        "/peer/forward",
        "/peer/totals",
        "/admin/v1/apply",
        "/admin/v1/keys/create",
        "/admin/v1/drain",
    ];
    let headers: [&[(&str, &str)]; 5] = [
        &[],
        &[("authorization", &bearer)],
        &[("x-operator-key", "wrong"), ("x-cluster-secret", "wrong")],
        &[("x-operator-key", ""), ("x-cluster-secret", "")],
        &[("x-operator-key", OPERATOR_KEY), ("x-operator-key", OPERATOR_KEY)],
    ];
    for path in paths {
        for headers in headers {
            let answer = site.http.send("POST", &format!("{control_url}{path}"), headers, &()).await;
            assert_eq!(answer.status, 404, "{path} {headers:?}");
        }
        let public_answer = site
            .http
            .send(
                "POST",
                &format!("http://{}{path}", site.daemons[0].public_address),
                &[("x-operator-key", OPERATOR_KEY), ("x-cluster-secret", "test-cluster-secret")],
                &(),
            )
            .await;
        assert_eq!(public_answer.status, 404, "{path} on the public listener");
    }
    for path in ["/peer/exchange", "/peer/claim", "/peer/settle", "/peer/forward"] {
        for body in [&b""[..], &b"\xc1"[..], &b"\x81"[..], &[0xdd, 0xff, 0xff, 0xff, 0xff][..], &[0x91; 5_000][..]] {
            let request = site
                .http
                .request("POST", &format!("{control_url}{path}"))
                .insert_header(("x-cluster-secret", "test-cluster-secret"));
            let answer = request.send_body(body.to_vec()).await.expect("an answer");
            assert_eq!(answer.status().as_u16(), 400, "{path} {:?}", &body[..body.len().min(8)]);
        }
    }
    assert!(site.status(0).await.is_some(), "the daemon still answers");
}

/// Sends raw bytes and returns what is received until the daemon closes the connection or sends nothing for one second.
fn send_raw(address: &str, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).expect("connect");
    stream.set_read_timeout(Some(Duration::from_secs(1))).expect("set the read timeout");
    // The daemon may close the connection before it has received all bytes, so errors are ignored.
    let _ = stream.write_all(bytes);
    let _ = stream.shutdown(Shutdown::Write);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

/// Guards against malformed HTTP and JSON that is accepted or crashes a daemon.
#[actix_rt::test]
async fn malformed_http_and_json_are_refused_and_the_daemon_keeps_serving() {
    let (site, key) = site_with_key().await;
    let public_address = site.daemons[0].public_address.clone();
    let bearer = format!("authorization: Bearer {}", key.expose());
    let huge_header = format!("GET / HTTP/1.1\r\nhost: x\r\nx: {}\r\n\r\n", "y".repeat(1 << 20));
    let cases: Vec<Vec<u8>> = vec![
        b"\x00\x01\x02\r\n\r\n".to_vec(),
        b"GET\r\n\r\n".to_vec(),
        b"POST /v1/steps HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\nabc".to_vec(),
        b"POST /v1/steps HTTP/1.1\r\nhost: x\r\ncontent-length: -1\r\n\r\n".to_vec(),
        b"POST /v1/steps HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\ncontent-length: 6\r\n\r\nabcdef".to_vec(),
        b"POST /v1/steps HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n".to_vec(),
        huge_header.into_bytes(),
    ];
    for request in cases {
        let answer = send_raw(&public_address, &request);
        assert!(
            !answer.starts_with("HTTP/1.1 2"),
            "{:?}: {answer}",
            String::from_utf8_lossy(&request[..request.len().min(60)])
        );
    }
    for (path, body) in [
        ("/v1/chat/completions", "{\"model\":"),
        ("/v1/chat/completions", "{\"model\":7}"),
        ("/v1/chat/completions", "[]"),
        ("/v1/steps", "{\"trainer\":\"t\"}"),
        (
            "/v1/steps",
            "{\"trainer\":\"../x\",\"step\":1,\"service\":\"drafts\",\"prompts\":[\"p\"],\"group_size\":1,\"max_tokens\":1}",
        ),
        (
            "/v1/steps",
            "{\"trainer\":\"t\",\"step\":1,\"service\":\"drafts\",\"prompts\":[],\"group_size\":1,\"max_tokens\":1}",
        ),
        (
            "/v1/steps",
            "{\"trainer\":\"t\",\"step\":1,\"service\":\"drafts\",\"prompts\":[\"p\"],\"group_size\":1000000000,\"max_tokens\":1}",
        ),
        (
            "/v1/steps",
            "{\"trainer\":\"t\",\"step\":1,\"service\":\"drafts\",\"prompts\":[\"p\"],\"group_size\":18446744073709551615,\"max_tokens\":1}",
        ),
        (
            "/v1/steps",
            "{\"trainer\":\"t\",\"step\":1,\"service\":\"drafts\",\"prompts\":[\"p\",\"q\"],\"group_size\":18446744073709551615,\"max_tokens\":1}",
        ),
        ("/v1/steps/fetch", "{\"trainer\":\"t\",\"step\":1,\"cursor\":\"0\"}"),
        ("/v1/steps/fetch", "{\"trainer\":\"t\",\"step\":1,\"unknown\":1}"),
        ("/v1/weights", "{\"service\":\"drafts\",\"version\":-1}"),
    ] {
        let request = format!(
            "POST {path} HTTP/1.1\r\nhost: x\r\n{bearer}\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
            body.len()
        );
        let answer = send_raw(&public_address, request.as_bytes());
        assert!(answer.contains("body_malformed") && answer.contains("not run"), "{path} {body}: {answer}");
    }
    let large_body = serde_json::json!({ "model": "drafts", "x": "y".repeat(200_000) });
    let answer = site.send(0, "POST", "/v1/chat/completions", &key, &[], &large_body).await;
    assert_eq!((answer.status, answer.error("code").as_str()), (413, "body_too_large"));
    let body = serde_json::json!({ "model": "drafts", "messages": [] });
    assert_eq!(
        site.send(0, "POST", "/v1/chat/completions", &key, &[], &body).await.status,
        200,
        "the daemon still serves"
    );
    assert!(!site.logs().contains("panicked"), "{}", site.logs());
}

#[test]
fn all_invalid_settings_are_listed_in_one_error() {
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_pimentoslipd"))
        .env_clear()
        .args(["--name=x", "--listen=nowhere", "--cluster-secret=short", "--route-policy=nearest", "--workers=0"])
        .output()
        .expect("run pimentoslipd");
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stderr);
    for flag in [
        "failure-domain",
        "site",
        "listen",
        "kv",
        "orders",
        "usage",
        "vms",
        "cluster-secret",
        "operator-key",
        "route-policy",
        "workers",
    ] {
        assert!(text.contains(&format!("--{flag} (PIMENTOSLIP_")), "{flag} is missing from {text}");
    }
}

/// Guards against a caller that keeps a request open forever by sending only part of its body: the daemon refuses the
/// request after a timeout of its own.
#[actix_rt::test]
async fn an_incomplete_body_is_refused_as_not_run() {
    let (site, key) = site_with_key().await;
    let mut stream = TcpStream::connect(&site.daemons[0].public_address).expect("connect");
    let request = format!(
        "POST /services/desk/orders HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\ncontent-length: 100\r\n\r\nhalf",
        key.expose()
    );
    stream.write_all(request.as_bytes()).expect("send");
    let mut answer = [0; 4_096];
    let count = stream.read(&mut answer).expect("an answer");
    let answer = String::from_utf8_lossy(&answer[..count]);
    assert!(answer.contains("body_malformed") && answer.contains("not run"), "{answer}");
    assert!(site.desk_requests().await.is_empty());
}
