//! Test of a request that crashes each upstream that runs it.

use super::support::{DaemonSite, SiteOptions, wait_for};
use pimentoslip_standin::EngineFault;

/// Guards against a request that crashes one engine after the other because each daemon retries it.
#[actix_rt::test]
async fn a_request_that_crashes_engines_is_quarantined_at_every_daemon() {
    let options = SiteOptions { engines: vec!["a", "b", "c", "a", "b", "c"], ..SiteOptions::default() };
    let mut site = DaemonSite::start(options).await;
    let key = site.create_key(0, 1).await;
    for engine in 0..site.engines.len() {
        site.set_engine_fault(engine, EngineFault { crash_on: Some("boom".to_owned()), ..EngineFault::default() })
            .await;
    }
    let body = |text: &str| {
        serde_json::json!({
            "model": "drafts", "max_tokens": 4, "messages": [{ "role": "user", "content": text }]
        })
    };
    let mut quarantined = [false; 3];
    let mut request_count = 0;
    while quarantined.contains(&false) {
        let daemon = request_count % 3;
        request_count += 1;
        assert!(request_count < 200, "the request was not quarantined at every daemon");
        let answer = site.send(daemon, "POST", "/v1/chat/completions", &key, &[], &body("boom")).await;
        quarantined[daemon] = answer.error("code") == "quarantined";
        if request_count == 1 {
            assert_eq!(
                answer.error("run_state"),
                "may have run",
                "engines exited while they ran the request: {answer:?}"
            );
        }
        if quarantined[daemon] {
            assert_eq!(answer.status, 422);
        }
    }
    let crashed_engines = site.engines.iter_mut().filter_map(|(process, _)| process.exit_status()).count();
    assert!(crashed_engines <= 3, "{crashed_engines} engines crashed");
    let other_request = wait_for("another request is served", || async {
        let answer = site.send(0, "POST", "/v1/chat/completions", &key, &[], &body("a card")).await;
        (answer.status == 200).then_some(answer)
    });
    assert!(other_request.await.body.contains("assistant"));
}
