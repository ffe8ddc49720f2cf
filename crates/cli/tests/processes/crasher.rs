//! A request that ends each upstream that runs it.

use super::support::{DaemonSite, SiteOptions, wait_for};
use pimentoslip_standin::EngineFault;

#[actix_rt::test]
async fn a_crasher_is_quarantined_at_all_daemons() {
    let options = SiteOptions { engines: vec!["a", "b", "c", "a", "b", "c"], ..SiteOptions::default() };
    let mut site = DaemonSite::start(options).await;
    let key = site.create_key(0, 1).await;
    for engine in 0..site.engines.len() {
        site.set_engine_fault(engine, EngineFault { crash_on: Some("boom".to_owned()), ..EngineFault::default() })
            .await;
    }
    let body = |text: &str| serde_json::json!({ "model": "drafts", "max_tokens": 4, "messages": [{ "role": "user", "content": text }] });
    let mut quarantined = [false; 3];
    let mut turn = 0;
    while quarantined.contains(&false) {
        let daemon = turn % 3;
        turn += 1;
        assert!(turn < 200, "never quarantined");
        let answer = site.send(daemon, "POST", "/v1/chat/completions", &key, &[], &body("boom")).await;
        quarantined[daemon] = answer.error("code") == "quarantined";
        if turn == 1 {
            assert_eq!(answer.error("run_state"), "may have run", "engines died running it: {answer:?}");
        }
        if quarantined[daemon] {
            assert_eq!(answer.status, 422);
        }
    }
    let dead = site.engines.iter_mut().filter_map(|(process, _)| process.exit_status()).count();
    assert!(dead <= 3, "{dead} engines died");
    let other = wait_for("another request is served", || async {
        let answer = site.send(0, "POST", "/v1/chat/completions", &key, &[], &body("a card")).await;
        (answer.status == 200).then_some(answer)
    });
    assert!(other.await.body.contains("assistant"));
}
