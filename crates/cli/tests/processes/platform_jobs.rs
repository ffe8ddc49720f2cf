//! Batch jobs on the users' platform: accepted once, listed once, the same at every edge, whatever fails.

use crate::support::{EdgeSite, job_item, job_submission, wait_for};
use pimentoslip_standin::{RelayRule, StoreFault, TcpRelay, UpstreamFault};
use serde_json::Value;
use std::time::Duration;

fn text(id: &str, events: u64) -> String {
    (1..=events).map(|number| format!("{id}:{number}")).collect::<Vec<_>>().join("\n")
}

fn by_id<'a>(results: &'a [Value], id: &str) -> &'a Value {
    results.iter().find(|result| result["id"] == id).unwrap_or_else(|| panic!("{id} is not listed: {results:?}"))
}

/// The edge that owns `job`.
fn owner(site: &EdgeSite, job: &str) -> Option<usize> {
    let begun = format!("event=job_begun job={job} ");
    let mut owners = (0..site.edges.len()).filter(|edge| site.edges[*edge].process.log().contains(&begun));
    owners.next_back()
}

#[actix_rt::test]
async fn a_job_is_accepted_once_and_reads_the_same_everywhere() {
    let site = EdgeSite::start(3).await;
    let job = job_submission(1, &[job_item("a", 3, true), job_item("b", 12, true), job_item("c", 1, false)]);
    for edge in 0..3 {
        assert_eq!(site.submit_job(edge, "job", &job).await.status, 202, "at edge {edge}");
    }
    let results = site.all_results(0, "job").await;
    for (id, events) in [("a", 3), ("b", 12), ("c", 1)] {
        let result = by_id(&results, id);
        assert_eq!(result["state"], "completed");
        assert_eq!(result["text"], text(id, events));
        assert_eq!(result["versions"], serde_json::json!([1]));
        assert_eq!(site.engine_calls(id).len(), 1, "{id} ran once");
        assert_eq!(site.engine_calls(id)[0].organisation, "rose");
    }
    assert_eq!(by_id(&results, "a")["score"], "signed score-a");
    assert!(by_id(&results, "c").get("score").is_none());
    for edge in 1..3 {
        assert_eq!(site.all_results(edge, "job").await, results);
        let middle = site.send_job_request(edge, "GET", "/pimentoslip/lots/job?after=1").await.json();
        assert_eq!(middle["results"], Value::from(results[1..].to_vec()));
    }
    let body = site.send_job_request(2, "GET", "/pimentoslip/items/job?id=b").await;
    assert_eq!(body.status, 200);
    for edge in 0..3 {
        assert_eq!(site.send_job_request(edge, "DELETE", "/pimentoslip/lots/job").await.status, 200);
    }
    assert_eq!(site.all_results(1, "job").await, results, "an ended job can still be read");
}

#[actix_rt::test]
async fn an_ended_job_is_cut_at_its_owner() {
    let site = EdgeSite::start(3).await;
    assert_eq!(site.submit_job(0, "job", &job_submission(1, &[job_item("long", 2_000, false)])).await.status, 202);
    wait_for("the item runs", || async { (!site.engine_calls("long").is_empty()).then_some(()) }).await;
    assert_eq!(site.send_job_request(1, "DELETE", "/pimentoslip/lots/job").await.status, 200);
    let working = || site.engines.iter().map(|engine| engine.running_requests()).sum::<usize>();
    wait_for("the run is cut", || async { (working() == 0).then_some(()) }).await;
}

#[actix_rt::test]
async fn texts_are_whole_whatever_a_run_does() {
    // fault of the first run, events of the text, runs that go on after an event
    let cases = [
        (UpstreamFault::CutAfter(2), true),
        (UpstreamFault::CutAtEnd, true),
        (UpstreamFault::Refuse, false),
        (UpstreamFault::Status(500), false),
        (UpstreamFault::LoseAnswer, false),
        (UpstreamFault::WrongId, false),
    ];
    let site = EdgeSite::start(1).await;
    for (number, (fault, resumed)) in cases.into_iter().enumerate() {
        let (job, id) = (format!("job-{number}"), format!("item-{number}"));
        site.engines.iter().for_each(|engine| engine.set_faults([fault]));
        assert_eq!(site.submit_job(0, &job, &job_submission(1, &[job_item(&id, 5, true)])).await.status, 202);
        let results = site.all_results(0, &job).await;
        assert_eq!(by_id(&results, &id)["text"], text(&id, 5), "{fault:?}");
        assert_eq!(by_id(&results, &id)["versions"], serde_json::json!([1]), "{fault:?}");
        let resumes = site.engine_calls(&id).iter().filter(|run| run.last_event_id.is_some()).count();
        assert_eq!(resumes > 0, resumed, "{fault:?}: {:?}", site.engine_calls(&id));
        site.engines.iter().for_each(|engine| engine.set_faults([]));
    }
}

#[actix_rt::test]
async fn items_are_given_up_only_for_a_reason() {
    let site = EdgeSite::start(1).await;
    // faults of the engines, faults of the scorers, state
    let cases = [
        ("impossible", vec![UpstreamFault::Status(422)], vec![], "terminated"),
        ("failing", vec![UpstreamFault::Status(500); 4], vec![], "terminated"),
        ("unscored", vec![], vec![UpstreamFault::Status(500); 4], "terminated"),
        ("once-unscored", vec![], vec![UpstreamFault::Status(500)], "completed"),
    ];
    for (id, engine_faults, scorer_faults, state) in cases {
        site.engines.iter().for_each(|engine| engine.set_faults(engine_faults.clone()));
        site.desks.iter().for_each(|desk| desk.set_faults([]));
        site.desks[0].set_faults(scorer_faults.clone());
        if scorer_faults.len() > 1 {
            site.desks[1].set_faults(scorer_faults);
        }
        assert_eq!(site.submit_job(0, id, &job_submission(1, &[job_item(id, 2, true)])).await.status, 202);
        let results = site.all_results(0, id).await;
        assert_eq!(results[0]["state"], state, "{id}");
    }
}

#[actix_rt::test]
async fn a_job_outlives_its_owner() {
    let mut site = EdgeSite::start(3).await;
    let items: Vec<Value> = (0..8).map(|n| job_item(&format!("i{n}"), if n < 4 { 1 } else { 120 }, false)).collect();
    assert_eq!(site.submit_job(0, "job", &job_submission(1, &items)).await.status, 202);
    let owned = wait_for("the job has an owner", || async { owner(&site, "job") }).await;
    let reader = (owned + 1) % 3;
    let early = wait_for("the short items are listed", || async {
        let page = site.send_job_request(reader, "GET", "/pimentoslip/lots/job?after=0").await.json();
        page["results"].as_array().filter(|results| results.len() >= 2).cloned()
    })
    .await;
    site.edges[owned].process.kill();
    let results = site.all_results(reader, "job").await;
    assert_eq!(results[..early.len()], early, "what was read stays at its position");
    assert_eq!(site.all_results((owned + 2) % 3, "job").await, results);
    for n in 4..8 {
        assert_eq!(by_id(&results, &format!("i{n}"))["text"], text(&format!("i{n}"), 120));
    }
}

#[actix_rt::test]
async fn texts_in_the_middle_outlive_every_process() {
    let mut site = EdgeSite::start(2).await;
    let items: Vec<Value> = (0..4).map(|n| job_item(&format!("i{n}"), 300, true)).collect();
    assert_eq!(site.submit_job(0, "job", &job_submission(1, &items)).await.status, 202);
    wait_for("texts are on record", || async {
        (!site.store.contents().range("p/d/job/text/", "").is_empty()).then_some(())
    })
    .await;
    site.edges.iter_mut().for_each(|edge| edge.process.kill());
    for edge in 0..2 {
        site.restart_edge(edge);
    }
    site.wait_ready().await;
    let results = site.all_results(1, "job").await;
    for n in 0..4 {
        let id = format!("i{n}");
        assert_eq!(by_id(&results, &id)["text"], text(&id, 300));
        assert_eq!(by_id(&results, &id)["score"], format!("signed score-{id}"));
        let runs = site.engine_calls(&id);
        assert!(runs[1..].iter().all(|run| run.last_event_id.is_some()), "{id} began anew: {runs:?}");
    }
}

#[actix_rt::test]
async fn a_planned_stop_hands_jobs_over_in_the_middle_of_their_texts() {
    let site = EdgeSite::start(3).await;
    let items: Vec<Value> = (0..4).map(|n| job_item(&format!("i{n}"), 200, true)).collect();
    assert_eq!(site.submit_job(0, "job", &job_submission(1, &items)).await.status, 202);
    let owned = wait_for("the job has an owner", || async { owner(&site, "job") }).await;
    wait_for("all items run", || async {
        (0..4).all(|n| !site.engine_calls(&format!("i{n}")).is_empty()).then_some(())
    })
    .await;
    actix_rt::time::sleep(Duration::from_millis(400)).await;
    site.edges[owned].process.terminate();
    let results = site.all_results((owned + 1) % 3, "job").await;
    for n in 0..4 {
        let id = format!("i{n}");
        assert_eq!(by_id(&results, &id)["text"], text(&id, 200));
        let runs = site.engine_calls(&id);
        assert!(runs[1..].iter().all(|run| run.last_event_id.is_some()), "{id} began anew: {runs:?}");
    }
}

#[actix_rt::test]
async fn a_submission_whose_answer_was_lost_is_accepted_once() {
    let site = EdgeSite::start(2).await;
    site.store.set_fault(StoreFault { lose_commits: 1, down: false });
    let job = job_submission(1, &[job_item("a", 3, false)]);
    assert_eq!(site.submit_job(0, "job", &job).await.status, 202);
    assert_eq!(site.submit_job(1, "job", &job).await.status, 202);
    assert_eq!(site.all_results(1, "job").await.len(), 1);
    assert_eq!(site.engine_calls("a").len(), 1);
}

#[actix_rt::test]
async fn without_the_store_requests_go_on_and_jobs_are_refused_as_not_run() {
    let site = EdgeSite::start(2).await;
    site.store.set_fault(StoreFault { down: true, lose_commits: 0 });
    let job = job_submission(1, &[job_item("a", 3, false)]);
    assert_eq!(site.submit_job(0, "job", &job).await.status, 503);
    assert_eq!(
        site.send_job_request(1, "GET", "/pimentoslip/lots/job").await.status,
        503,
        "nobody can say that it is unknown"
    );
    assert_eq!(site.send_quote(0, "still").await.status, 200);
    site.store.set_fault(StoreFault::default());
    // Each edge finds the store back with its next look; until then it cannot say that a job is unknown.
    wait_for("the store is found back", || async {
        let status = site.send_job_request(1, "GET", "/pimentoslip/lots/job").await.status;
        assert!(status == 503 || status == 404, "{status}");
        (status == 404).then_some(())
    })
    .await;
    assert!(site.engine_calls("a").is_empty());
    wait_for("the job is accepted", || async { (site.submit_job(0, "job", &job).await.status == 202).then_some(()) })
        .await;
    assert_eq!(site.all_results(1, "job").await.len(), 1);
}

#[actix_rt::test]
async fn an_edge_that_does_not_reach_the_store_goes_through_a_peer() {
    let mut site = EdgeSite::without_edges();
    site.write_config(2, &[("rose", crate::support::ROSE_KEY)]);
    let relay = TcpRelay::start(site.store.address).await.expect("a relay");
    let store = site.store.address;
    site.start_edge(relay.address);
    site.start_edge(store);
    site.wait_ready().await;
    relay.set_rule(RelayRule::Cut);
    let job = job_submission(1, &[job_item("a", 40, false)]);
    let accepted = wait_for("the cut-off edge accepts a job", || async {
        (site.submit_job(0, "job", &job).await.status == 202).then_some(())
    });
    accepted.await;
    assert_eq!(site.all_results(0, "job").await.len(), 1);
    site.write_config(3, &[("tray", crate::support::TRAY_KEY)]);
    wait_for("a key is withdrawn there too", || async { (site.send_quote(0, "q").await.status == 401).then_some(()) })
        .await;
}

#[actix_rt::test]
async fn a_large_job_fits_into_several_values() {
    let site = EdgeSite::start(2).await;
    let items: Vec<Value> = (0..250)
        .map(|n| {
            let mut item = job_item(&format!("i{n}"), 1, false);
            item["body"] = Value::from("QUJD".repeat(900));
            item
        })
        .collect();
    let job = job_submission(1, &items);
    assert!(job.to_string().len() > 900_000);
    assert_eq!(site.submit_job(0, "job", &job).await.status, 202);
    assert_eq!(site.all_results(1, "job").await.len(), 250);
    assert_eq!(site.send_job_request(0, "GET", "/pimentoslip/items/job?id=i249").await.body, "ABC".repeat(900));
}
