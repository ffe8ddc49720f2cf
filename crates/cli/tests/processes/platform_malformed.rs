//! Tests of malformed calls between edges and malformed entries in the store on the users' platform: they are refused or
//! ignored, and end neither a process nor one of its tasks.

use crate::support::{EdgeSite, RawAnswer, RawServer, job_item, job_submission, wait_for};
use awc::Client;
use pimentoslip_kernel::{FailureCount, JobCheckpoint, LedgerState, SampleText, TextPart, UnfinishedItem};
use pimentoslip_wire::{
    encode,
    peer::{ChangesRequest, ItemRequest, JobPush, ReachRequest, ResultsRequest, RunReport, UsagePush},
    stored::{DaemonEntry, JobCheckpointEntry, JobEntry, UsageBatchEntry},
};
use serde::Serialize;
use std::{collections::BTreeMap, time::Duration};

/// Depth of nested arrays, which a recursive decoder would follow until its stack ends.
const NESTING_DEPTH: usize = 200_000;

fn message(body: &impl Serialize) -> Vec<u8> {
    encode(body).expect("an encodable message")
}

fn job_entry() -> JobEntry {
    JobEntry {
        organisation: "rose".into(),
        host: "desk.example".into(),
        path: "/cards/pushed".into(),
        item_count: usize::MAX,
        model: Some("verse".into()),
        oldest_version: u64::MAX,
        expected_tokens: u64::MAX,
        config_version: Some(u64::MAX),
        submitted_unix_ms: u64::MAX,
        region: "land".into(),
    }
}

/// State of a job with extreme numbers.
fn extreme_state() -> LedgerState {
    let text: SampleText = serde_json::from_value(serde_json::json!({
        "text": "", "last": u64::MAX, "versions": [u64::MAX, 0]
    }))
    .expect("a text");
    let item =
        UnfinishedItem { item_index: 0, text, is_complete: true, run_failures: u32::MAX, score_failures: u32::MAX };
    let unknown_item = UnfinishedItem { item_index: usize::MAX, ..item.clone() };
    LedgerState { unlisted: Vec::new(), items: vec![item, unknown_item], checkpoints: usize::MAX }
}

/// Well-formed calls with extreme numbers, by path.
fn extreme_calls() -> Vec<(&'static str, Vec<u8>)> {
    let changes = ChangesRequest { prefix: "p/w/".to_owned(), revision: u64::MAX, wait_ms: 0 };
    let results = ResultsRequest {
        job: "job".into(),
        position: usize::MAX,
        bytes_max: usize::MAX,
        wait_ms: 0,
        knows_absent: true,
    };
    let runs = RunReport { daemon: "x".into(), runs: BTreeMap::from([("engine-1".into(), u64::MAX)]) };
    let batch = UsageBatchEntry {
        daemon: "x".into(),
        incarnation: u64::MAX,
        number: u64::MAX,
        counts: BTreeMap::from([("rose".into(), u64::MAX)]),
    };
    let push = JobPush {
        job: "pushed".into(),
        entry: job_entry(),
        owner_incarnation: 0,
        ownership_revision: u64::MAX,
        ledger_state: Some(extreme_state()),
        body: b"{}".to_vec(),
    };
    vec![
        ("/peer/news", message(&changes)),
        ("/peer/results", message(&results)),
        ("/peer/item", message(&ItemRequest { job: "job".into(), item: "".into() })),
        ("/peer/runs", message(&runs)),
        ("/peer/runs", message(&RunReport { daemon: "y".into(), ..runs })),
        ("/peer/usage", message(&UsagePush { window: u64::MAX, batch })),
        ("/peer/job", message(&push)),
        (
            "/peer/reach",
            message(&ReachRequest { upstream: "engine-1".into(), started: u64::MAX, address: "127.0.0.1:1".into() }),
        ),
    ]
}

/// Bodies that are no message: empty, truncated, of another type, nested, and announcing more than they hold.
fn malformed_bodies(sound: &[u8]) -> Vec<Vec<u8>> {
    let mut bodies = vec![Vec::new(), b"{\"prefix\":1}".to_vec(), vec![0xc1; 64], vec![0x91; NESTING_DEPTH]];
    bodies.push([&[0xdd, 0xff, 0xff, 0xff, 0xff], sound].concat());
    bodies.push([&[0xdf, 0xff, 0xff, 0xff, 0xff], sound].concat());
    bodies.extend((1..sound.len()).step_by(7).map(|length| sound[..length].to_vec()));
    for index in (0..sound.len()).step_by(5) {
        let mut flipped = sound.to_vec();
        flipped[index] ^= 0xff;
        bodies.push(flipped);
    }
    bodies
}

/// Checks that an edge is ready, and that none of its tasks has failed.
async fn check_running(site: &EdgeSite, edge: usize) {
    assert_eq!(site.readiness_status(edge).await, 200, "edge {edge}");
    let log = site.edges[edge].process.log();
    let failures: Vec<&str> = log
        .lines()
        .filter(|line| ["panicked", "task_failed", "_run_failed"].iter().any(|word| line.contains(word)))
        .collect();
    assert!(failures.is_empty(), "{failures:?}");
}

/// Guards against a call of another release, or a damaged one, that ends a process or one of its tasks.
#[actix_rt::test]
async fn malformed_calls_between_edges_end_neither_a_process_nor_a_task() {
    let site = EdgeSite::start(2).await;
    let client = Client::builder().timeout(Duration::from_secs(10)).finish();
    for (path, sound) in extreme_calls() {
        for body in [vec![sound.clone()], malformed_bodies(&sound)].concat() {
            let url = format!("http://{}{path}", site.edges[0].control_address);
            // The answer may be an error; the edge must remain.
            if let Ok(mut answer) = client.post(url).send_body(body).await {
                let _ = answer.body().await;
            }
        }
        check_running(&site, 0).await;
    }
    assert_eq!(site.submit_job(0, "later", &job_submission(1, &[job_item("later", 5, false)])).await.status, 202);
    assert_eq!(site.all_results(1, "later").await.len(), 1);
    assert_eq!(site.send_quote(0, "later").await.status, 200);
    check_running(&site, 0).await;
    check_running(&site, 1).await;
}

/// Guards against a stored entry that ends each task that reads it, again after each start of the task.
#[actix_rt::test]
async fn malformed_entries_in_the_store_keep_no_other_job_from_being_completed() {
    let mut site = EdgeSite::start(2).await;
    assert_eq!(site.submit_job(0, "job", &job_submission(1, &[job_item("long", 600, false)])).await.status, 202);
    wait_for("the item runs", || async { (!site.engine_calls("long").is_empty()).then_some(()) }).await;
    let part = TextPart {
        item_index: 0,
        first_event: 1,
        last_event: u64::MAX,
        text: "x".to_owned(),
        versions: vec![9],
        software: Some("v1".into()),
    };
    let checkpoint = JobCheckpoint {
        parts: vec![
            part.clone(),
            TextPart { first_event: u64::MAX, last_event: 0, ..part.clone() },
            TextPart { item_index: usize::MAX, ..part },
        ],
        failures: vec![(0, FailureCount { run_failures: 1, score_failures: 1 }), (usize::MAX, FailureCount::default())],
    };
    let extreme_owner = DaemonEntry { daemon: "nobody".into(), incarnation: u64::MAX };
    let entries: Vec<(&str, Vec<u8>)> = vec![
        ("p/w/job/extreme", message(&job_entry())),
        ("p/w/own/extreme", message(&extreme_owner)),
        ("p/w/own/unknown", message(&extreme_owner)),
        ("p/w/vm/nobody", b"garbage".to_vec()),
        ("p/w/vm/nested", vec![0x91; NESTING_DEPTH]),
        ("p/w/job/nested", vec![0x91; NESTING_DEPTH]),
        ("p/w/end/", Vec::new()),
        ("p/w/crash/no-number/x", Vec::new()),
        ("p/w/crash/00000000000000ff/", Vec::new()),
        ("p/w/else", b"garbage".to_vec()),
        ("p/usage/sealed/x", b"garbage".to_vec()),
        ("p/usage/sealed/000000000001", vec![0x91; NESTING_DEPTH]),
        ("p/d/job/text/000000", message(&JobCheckpointEntry::from(&checkpoint))),
        ("p/d/job/text/000001", b"garbage".to_vec()),
    ];
    for (key, value) in entries {
        site.store.contents().put(key, value, 0);
    }
    let is_owner = |edge: &usize| site.edges[*edge].process.log().contains("event=job_begun job=job");
    let owner = wait_for("the owner has logged it", || async { (0..2).find(is_owner) }).await;
    site.edges[owner].process.kill();
    let other = 1 - owner;
    let results = site.all_results(other, "job").await;
    assert_eq!(
        (results[0]["state"].as_str(), results[0]["versions"].to_string()),
        (Some("completed"), "[1]".to_owned())
    );
    assert_eq!(site.submit_job(other, "later", &job_submission(1, &[job_item("later", 5, false)])).await.status, 202);
    assert_eq!(site.all_results(other, "later").await.len(), 1);
    check_running(&site, other).await;
}

/// Entries of another writer among those of the upstreams, with the address of `server`.
fn odd_upstream_entries(server: &RawServer) -> Vec<(&'static str, Vec<u8>)> {
    let address = server.address;
    let entry = |fields: &str| {
        format!(r#"{{"service":"desk","address":"{address}","zone":"north","slots":8,"state":"ready",{fields}}}"#)
    };
    let nested = "[".repeat(NESTING_DEPTH);
    let replaced = |field: &str, value: &str| entry(r#""born":1"#).replacen(field, value, 1).into_bytes();
    vec![
        ("no text", vec![0xff, 0xfe, 0x00]),
        ("empty", Vec::new()),
        ("nested", nested.clone().into_bytes()),
        ("nested in a field", entry(&format!(r#""models":{nested}"#)).into_bytes()),
        ("nested in an unknown field", entry(&format!(r#""later":{nested}"#)).into_bytes()),
        ("many slots", replaced(r#""slots":8"#, r#""slots":18446744073709551615"#)),
        ("slots beyond numbers", replaced(r#""slots":8"#, r#""slots":1e300"#)),
        ("negative slots", replaced(r#""slots":8"#, r#""slots":-1"#)),
        ("start beyond numbers", entry(r#""born":36893488147419103232"#).into_bytes()),
        ("port too large", replaced(&address.to_string(), "127.0.0.1:65536")),
        ("port 0", replaced(&address.to_string(), "127.0.0.1:0")),
        ("host name", replaced(&address.to_string(), "localhost:80")),
        ("unknown state", replaced(r#""state":"ready""#, r#""state":"asleep""#)),
        ("unknown service", replaced(r#""service":"desk""#, r#""service":"nobody""#)),
    ]
}

/// Guards against an odd entry among those of the upstreams that ends a process, draws requests, or ends the following of the
/// list.
#[actix_rt::test]
async fn odd_entries_of_upstreams_get_no_requests_and_the_list_is_followed_afterwards() {
    let mut site = EdgeSite::start(2).await;
    let server = RawServer::start(RawAnswer::default()).await;
    for (case, value) in odd_upstream_entries(&server) {
        for key in [format!("servers/odd-{}", case.replace(' ', "-")), "servers/".to_owned()] {
            site.store.contents().put(&key, value.clone(), 0);
        }
    }
    site.start_desk("desk-late");
    for edge in 0..2 {
        wait_for("the list is followed", || async {
            site.edges[edge].process.log().contains("event=upstream_listed upstream=desk-late ").then_some(())
        })
        .await;
        for number in 0..20 {
            let reply = site.send_quote(edge, &format!("quote-{edge}-{number}")).await;
            assert_eq!(reply.status, 200, "{reply:?}");
        }
        check_running(&site, edge).await;
    }
    assert_eq!(server.requests(), Vec::<String>::new());
}
