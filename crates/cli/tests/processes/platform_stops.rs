//! Tests of planned stops: what an edge takes until its end, it answers.

use crate::support::{EdgeSite, ROSE_KEY, RawAnswer, RawServer, wait_for};
use futures_util::future;
use std::time::{Duration, Instant};

/// Time that the upstreams need for an answer.
const WORK: Duration = Duration::from_millis(2_500);
/// Interval between the requests of one kind, from the signal to the end of the grace.
const INTERVAL: Duration = Duration::from_millis(100);
/// Time after the signal at which a process is killed, from the edge's settings.
const GRACE: Duration = Duration::from_secs(8);

/// Guards against requests that are taken late in a planned stop, run, and are cut without an answer at its end.
#[actix_rt::test]
async fn a_request_that_cannot_be_answered_within_the_grace_is_refused_and_does_not_run() {
    let mut site = EdgeSite::start(1).await;
    let head = "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nserver-signature: raw\r\nweight-versions: 1\r\n";
    let work = |answer: String| RawAnswer { repeated: answer, pause: WORK, is_finite: true, ..RawAnswer::default() };
    let desk = RawServer::start(work(format!("{head}content-length: 4\r\n\r\nwell"))).await;
    let stream = format!("{head}content-type: text/event-stream\r\ncontent-length: 19\r\n\r\nid: 1\ndata: well\n\n\n");
    let engine = RawServer::start(work(stream)).await;
    site.desks.iter().chain(&site.engines).for_each(|upstream| upstream.start_draining());
    site.register("slow-desk", "desk", desk.address, "ready", 1);
    site.register("slow-engine", "engine", engine.address, "ready", 1);
    actix_rt::time::sleep(Duration::from_millis(700)).await;
    site.edges[0].process.terminate();
    let stopped_at = Instant::now();
    let kinds = [("slow-quote", "/slow/quote"), ("slow-order", "/slow-once/order"), ("slow-talk", "/slow-talk/verse")];
    let bearer = format!("Bearer {ROSE_KEY}");
    let requests = (0..GRACE.div_duration_f64(INTERVAL) as u32).flat_map(|number| kinds.map(|kind| (number, kind)));
    let replies = future::join_all(requests.map(|(number, (name, path))| {
        let (site, bearer) = (&site, bearer.as_str());
        async move {
            actix_rt::time::sleep(INTERVAL * number).await;
            let id = format!("{name}-{number}");
            let headers = [("request-id", id.as_str()), ("deadline-ms", "6000"), ("authorization", bearer)];
            let reply = site.send(0, "POST", path, &headers, "one wreath").await;
            (id, reply.status, stopped_at.elapsed())
        }
    }))
    .await;
    let runs = [desk.requests(), engine.requests()].concat();
    for (id, status, replied_after) in &replies {
        let expected = if runs.contains(id) { 200 } else { 503 };
        let is_over = *status == 0 && !runs.contains(id);
        assert!(*status == expected || is_over, "{id}: {status} after {replied_after:?}, {} runs", runs.len());
    }
    let is_served = |name: &str| replies.iter().any(|(id, status, _)| id.starts_with(name) && *status == 200);
    assert!(kinds.iter().all(|(name, _)| is_served(name)), "requests that fit are served: {replies:?}");
    wait_for("the edge has exited", || {
        let has_exited = site.edges[0].process.exit_status().is_some();
        async move { has_exited.then_some(()) }
    })
    .await;
}

/// Guards against callers whose connection is closed without an answer because their upstream takes longer than the grace.
#[actix_rt::test]
async fn a_request_that_runs_until_the_end_of_the_grace_is_answered_before_the_edge_exits() {
    let site = EdgeSite::start(1).await;
    let desk = RawServer::start(RawAnswer::default()).await;
    site.desks.iter().for_each(|upstream| upstream.start_draining());
    site.register("silent-desk", "desk", desk.address, "ready", 1);
    actix_rt::time::sleep(Duration::from_millis(700)).await;
    let bearer = format!("Bearer {ROSE_KEY}");
    let send = async |path: &'static str, id: &'static str| {
        let fields = [("request-id", id), ("deadline-ms", "12000"), ("authorization", bearer.as_str())];
        let headers = [&fields[..], &[("model", "verse"), ("length-hint", "5000")]].concat();
        site.send(0, "POST", path, &headers, "one wreath").await.status
    };
    let stop = async {
        wait_for("both requests run", || async { (desk.requests().len() == 2).then_some(()) }).await;
        wait_for("the stream runs", || async { (!site.engine_calls("talk").is_empty()).then_some(()) }).await;
        site.edges[0].process.terminate();
    };
    let (quote, order) = (send("/slow/quote", "quote"), send("/slow-once/order", "order"));
    let (quote, order, talk, ()) = future::join4(quote, order, send("/slow-talk/verse", "talk"), stop).await;
    assert_eq!((quote, order, talk), (504, 504, 0), "answers, and a stream without its end");
    wait_for("the edge has logged its end", || async {
        let log = site.edges[0].process.log();
        (log.contains("event=stream_ended request_id=talk") && log.contains("event=stopped")).then_some(())
    })
    .await;
}
