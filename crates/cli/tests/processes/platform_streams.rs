//! Tests of streams that an edge passes on to its callers as they arrive.

use crate::support::{EdgeSite, RawAnswer, RawEnding, RawServer, event_numbers, wait_for};
use futures_util::StreamExt;
use pimentoslip_standin::UpstreamFault;
use std::time::Duration;

/// Events of a stream that does not end within any test.
const ENDLESS: u64 = 1_000_000;
/// Time within which every edge knows of a change of the list of upstreams.
const LIST_DELAY: Duration = Duration::from_millis(700);

/// Number of streams that the engines generate.
fn running_streams(site: &EdgeSite) -> usize {
    site.engines.iter().map(|engine| engine.running_requests()).sum()
}

/// Guards against streams that reach their caller only when they are complete, and against engines that keep generating for
/// a caller that has left.
#[actix_rt::test]
async fn events_reach_the_caller_while_the_upstream_generates_more_and_end_with_the_caller() {
    let site = EdgeSite::start(1).await;
    let mut response = site.open_talk(0, "endless", ENDLESS).await.expect("a response");
    assert_eq!(response.status().as_u16(), 200);
    let mut body = String::new();
    while event_numbers(&body).len() < 5 {
        let chunk = response.next().await.expect("the stream continues").expect("a chunk");
        body.push_str(&String::from_utf8_lossy(&chunk));
    }
    assert_eq!(running_streams(&site), 1, "the engine generates more");
    assert!(body.ends_with("\n\n"), "only complete events are passed on: {body:?}");
    drop(response);
    wait_for("the engine stops", || async { (running_streams(&site) == 0).then_some(()) }).await;
}

/// Guards against events that are missing, come twice or are cut when an upstream breaks off within an event.
#[actix_rt::test]
async fn a_stream_that_breaks_off_is_continued_in_the_same_answer() {
    const EVENTS: u64 = 30;
    let site = EdgeSite::start(1).await;
    let faults = [
        UpstreamFault::CutAfter(1),
        UpstreamFault::CutAfter(7),
        UpstreamFault::CutAtEnd,
        UpstreamFault::LoseAnswer,
        UpstreamFault::Refuse,
    ];
    for (number, fault) in faults.into_iter().enumerate() {
        site.engines.iter().for_each(|engine| engine.set_faults([]));
        // The engines fail once, so that the second attempt is sound whichever of them is first.
        site.engines[0].set_faults([fault]);
        for attempt in 0..4 {
            let reply = site.send_talk(0, &format!("talk-{number}-{attempt}"), EVENTS, &[]).await;
            assert_eq!(reply.status, 200, "{fault:?}: {reply:?}");
            assert_eq!(event_numbers(&reply.body), (1..=EVENTS).collect::<Vec<_>>(), "{fault:?}");
            assert!(reply.header("server-signature").starts_with("signed"), "{fault:?}");
        }
    }
}

/// A chunk of a chunked body.
fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Guards against events that are lost from a stream that looks complete, because they came in one piece with a defect.
#[actix_rt::test]
async fn events_in_one_piece_with_a_defect_reach_the_caller() {
    const EVENTS: u64 = 12;
    let events = |numbers: std::ops::RangeInclusive<u64>| -> String {
        numbers.map(|number| format!("id: {number}\ndata: a:{number}\n\n")).collect()
    };
    let good = events(4..=5);
    // Each case: name; bytes after the chunk with the events 1 to 3; whether the connection is closed after them.
    let cases = [
        ("no event", chunk(&format!("{good}<<no event>>\n")), false),
        ("gap", chunk(&format!("{good}{}", events(9..=9))), false),
        ("repeated number", chunk(&format!("{good}{}", events(5..=5))), false),
        ("unreadable number", chunk(&format!("{good}id: five\ndata: a\n\n")), false),
        ("half an event", chunk(&format!("{good}id: 6\nda")), true),
        ("broken chunk coding", format!("{}zz\r\n", chunk(&good)), false),
        ("event too large", chunk(&format!("{good}id: 6\ndata: {}", "a".repeat(2 << 20))), false),
    ];
    let site = EdgeSite::start(1).await;
    for (number, (case, spoilt, is_closed)) in cases.into_iter().enumerate() {
        let head = "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nserver-signature: signed-raw\r\nweight-versions: 1\r\n\
                    content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
        let first = format!("{head}{}{spoilt}", chunk(&events(1..=3)));
        let ending = is_closed.then_some(RawEnding::Closed);
        let server = RawServer::start(RawAnswer { first, ending, ..RawAnswer::default() }).await;
        let upstream = format!("engine-raw-{number}");
        site.register(&upstream, "engine", server.address, "ready", 1);
        actix_rt::time::sleep(LIST_DELAY).await;
        for request in 0..30 {
            let reply = site.send_talk(0, &format!("talk-{number}-{request}"), EVENTS, &[]).await;
            assert_eq!(reply.status, 200, "{case}: a sound engine continues the stream");
            assert_eq!(event_numbers(&reply.body), (1..=EVENTS).collect::<Vec<_>>(), "{case}");
            if server.requests().len() >= 3 {
                break;
            }
        }
        assert!(!server.requests().is_empty(), "{case}: the server received no request");
        site.store.contents().remove(&format!("servers/{upstream}"));
        actix_rt::time::sleep(LIST_DELAY).await;
    }
}

/// Guards against an answer joined from two software versions, or one that looks complete although its stream broke off.
#[actix_rt::test]
async fn a_stream_that_breaks_off_is_incomplete_when_its_software_has_left() {
    let mut site = EdgeSite::start(2).await;
    site.engines[1].stop().await;
    site.start_engine_with("engine-3", "v2");
    actix_rt::time::sleep(LIST_DELAY).await;
    site.engines[2].set_faults([UpstreamFault::Refuse; 1]);
    // The stream starts at the only engine of the first version, which then ends.
    let first_engine = site.engines[0].clone();
    let stop = async {
        wait_for("the first engine runs the stream", || async { (first_engine.running_requests() > 0).then_some(()) })
            .await;
        actix_rt::time::sleep(Duration::from_millis(100)).await;
        first_engine.stop().await;
    };
    let talk = async {
        for number in 0.. {
            let reply = site.send_talk(0, &format!("talk-{number}"), 400, &[]).await;
            let was_first = first_engine.recorded_calls().iter().any(|call| call.id == format!("talk-{number}"));
            if was_first {
                return reply;
            }
        }
        unreachable!("some stream starts at the first engine")
    };
    let (reply, ()) = futures_util::future::join(talk, stop).await;
    assert_eq!(reply.status, 0, "an answer that breaks off must not look complete: {} bytes", reply.body.len());
    let continued = site.engines[2].recorded_calls();
    assert!(continued.iter().all(|call| call.last_event_id.is_none()), "{continued:?}");
}

/// Guards against streams that a planned stop cuts.
#[actix_rt::test]
async fn a_planned_stop_lets_open_streams_end() {
    let site = EdgeSite::start(1).await;
    let stop = async {
        wait_for("the streams run", || async { (running_streams(&site) == 4).then_some(()) }).await;
        site.edges[0].process.terminate();
    };
    let talks = (0..4).map(|number| {
        let site = &site;
        async move { site.send_talk(0, &format!("talk-{number}"), 100, &[]).await }
    });
    let (replies, ()) = futures_util::future::join(futures_util::future::join_all(talks), stop).await;
    for reply in replies {
        assert_eq!((reply.status, event_numbers(&reply.body).len()), (200, 100), "{reply:?}");
    }
}
