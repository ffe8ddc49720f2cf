//! Tests of upstreams on the users' platform that send bytes which are no answer, more than one answer, or bytes without
//! end: no caller gets bytes that are not its own, the connection is closed, memory is bounded and other requests go on.

use crate::support::{
    EdgeSite, PathMatrix, ROSE_KEY, RawAnswer, RawEnding, RawServer, event_numbers, job_item, job_submission, wait_for,
};
use pimentoslip_standin::RelayRule;
use std::time::Duration;

/// Memory that an edge may use at most in these tests; its settings name no limit, so that the smallest VMs' limit of
/// 88 MiB applies.
const EDGE_BYTES_MAX: usize = 88 << 20;
/// Size of a large answer.
const LARGE_BYTES: usize = 6_000_000;
/// Cases in which the server sends a sound answer first.
const SOUND_CASES: [&str; 2] = ["body beyond its length", "large"];
/// Head of a sound answer, without the end of the head.
const HEAD: &str = "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nserver-signature: raw\r\n";

/// An answer that sends `first` and then `repeated` without end.
fn endless(first: impl Into<String>, repeated: &str) -> RawAnswer {
    RawAnswer { first: first.into(), repeated: repeated.to_owned(), ..RawAnswer::default() }
}

/// A sound answer to a plain request, with `body`.
fn sound_answer(body: &str) -> String {
    format!("{HEAD}content-length: {}\r\n\r\n{body}", body.len())
}

/// Answers that never end, or are followed by bytes that never end.
fn endless_answers() -> Vec<(&'static str, RawAnswer)> {
    vec![
        ("status line", endless("HTTP/1.1 200 ", "O")),
        ("header line", endless(format!("{HEAD}x-long: "), "a")),
        ("headers", endless(HEAD, "x-more: a\r\n")),
        ("interim answers", endless("", "HTTP/1.1 100 Continue\r\n\r\n")),
        ("chunk-size line", endless(format!("{HEAD}transfer-encoding: chunked\r\n\r\n"), "0")),
        ("chunk extension", endless(format!("{HEAD}transfer-encoding: chunked\r\n\r\n1;"), "x")),
        ("trailers", endless(format!("{HEAD}transfer-encoding: chunked\r\n\r\n1\r\na\r\n0\r\n"), "x-late: a\r\n")),
        ("chunks", endless(format!("{HEAD}transfer-encoding: chunked\r\n\r\n"), "1\r\na\r\n")),
        ("body without a length", endless(format!("{HEAD}\r\n"), "a")),
        ("body beyond its length", endless(sound_answer("raw"), "a")),
        ("no answer at all", endless("", "\u{0}garbage")),
    ]
}

/// Sends quotes until the server has received at least one, and returns whether each answer was sound: a failure, or the
/// answer of the server or the other upstream to that very request.
async fn send_quotes(site: &EdgeSite, case: &str, server: &RawServer) {
    for number in 0..40 {
        let id = format!("{}-{number}", case.replace(' ', "-"));
        let reply = site.send_quote(0, &id).await;
        let is_server_answer = reply.body == "raw" || reply.body.len() == LARGE_BYTES;
        let is_own_answer =
            reply.body == format!("answer to {id}") || (SOUND_CASES.contains(&case) && is_server_answer);
        let is_sound = if reply.status == 200 { is_own_answer } else { matches!(reply.status, 502..=504) };
        assert!(is_sound, "{case}: {id} got {} {:?}", reply.status, reply.body.chars().take(80).collect::<String>());
        if server.requests().len() >= 2 {
            return;
        }
    }
    assert!(!server.requests().is_empty(), "{case}: the server received no request");
}

#[actix_rt::test]
async fn bytes_without_end_are_cut_off_and_reach_no_caller() {
    let site = EdgeSite::start(1).await;
    // One sound upstream remains beside the server of each case.
    site.desks[1].start_draining();
    for (case, answer) in endless_answers() {
        let server = RawServer::start(answer).await;
        let upstream = format!("raw-{}", case.replace(' ', "-"));
        site.register(&upstream, "desk", server.address, "ready", 1);
        send_quotes(&site, case, &server).await;
        site.store.contents().remove(&format!("servers/{upstream}"));
        wait_for("the edge has closed the connection", || async { (server.open_connections() == 0).then_some(()) })
            .await;
        let used_bytes = site.edges[0].process.peak_memory_bytes();
        assert!(used_bytes < EDGE_BYTES_MAX, "{case}: the edge used {used_bytes} bytes");
    }
}

/// Guards against a body without a length that is taken for an empty one, and against a cut one that is taken for whole.
#[actix_rt::test]
async fn a_body_that_ends_with_its_connection_is_delivered_whole_or_not_at_all() {
    let site = EdgeSite::start(1).await;
    site.desks.iter().for_each(|desk| desk.start_draining());
    for (number, close_header) in ["", "connection: close\r\n"].into_iter().enumerate() {
        for ending in [RawEnding::Closed, RawEnding::Reset] {
            let name = format!("unmeasured-{number}-{ending:?}").to_lowercase();
            let first = format!("HTTP/1.1 100 Continue\r\n\r\n{HEAD}{close_header}\r\nwhole answer to {{id}}");
            let server = RawServer::start(RawAnswer { first, ending: Some(ending), ..RawAnswer::default() }).await;
            site.register(&name, "desk", server.address, "ready", 1);
            for request in 0..6 {
                let id = format!("{name}-{request}");
                let reply = wait_for("the request reaches the server", || async {
                    let reply = site.send_quote(0, &id).await;
                    server.requests().contains(&id).then_some(reply)
                })
                .await;
                let is_whole = reply.status == 200 && reply.body == format!("whole answer to {id}");
                let is_expected =
                    if ending == RawEnding::Closed { is_whole } else { matches!(reply.status, 502 | 504) };
                assert!(is_expected, "{ending:?} {close_header:?}: {} {:?}", reply.status, reply.body);
            }
            site.store.contents().remove(&format!("servers/{name}"));
        }
    }
}

/// Guards against a caller that gets the copy of another request's answer from a connection that is used again.
#[actix_rt::test]
async fn a_second_copy_of_an_answer_reaches_no_other_caller() {
    let site = EdgeSite::start(1).await;
    site.desks.iter().for_each(|desk| desk.start_draining());
    for (number, pause_ms) in [0, 1, 5, 50, 200].into_iter().enumerate() {
        let answer = format!("{HEAD}content-length: 25\r\n\r\n{{id}}");
        let twice = RawAnswer {
            first: answer.clone(),
            repeated: answer,
            pause: Duration::from_millis(pause_ms),
            is_finite: true,
            ..RawAnswer::default()
        };
        let server = RawServer::start(twice).await;
        site.register(&format!("twice-{number}"), "desk", server.address, "ready", 1);
        wait_for("the server is used", || async {
            site.send_quote(0, &format!("{:025}", 1_000 + number)).await;
            (!server.requests().is_empty()).then_some(())
        })
        .await;
        for request in 0..12 {
            let id = format!("{:025}", 100 * (number + 1) + request);
            let reply = site.send_quote(0, &id).await;
            // Until the edge knows that the other upstreams leave, they may answer as well.
            let is_own_answer = reply.body == id || reply.body == format!("answer to {id}");
            assert!(reply.status != 200 || is_own_answer, "{pause_ms} ms: {id} got {}", reply.body);
            actix_rt::time::sleep(Duration::from_millis(20 * (request as u64 % 4))).await;
        }
        site.store.contents().remove(&format!("servers/twice-{number}"));
    }
}

/// Streams of a batch item that make no progress.
fn stalled_streams() -> Vec<(&'static str, RawAnswer)> {
    let stream_head = format!("{HEAD}weight-versions: 1\r\ncontent-type: text/event-stream\r\n\r\n");
    let slowly = |first: &str, repeated: &str| RawAnswer {
        pause: Duration::from_millis(100),
        ..endless(format!("{stream_head}{first}"), repeated)
    };
    vec![
        ("comments", slowly("", ": still here\n\n")),
        ("half an event", slowly("id: 1\ndata: a", "a")),
        ("line feeds", slowly("", "\n")),
        ("line feeds at full speed", endless(stream_head.clone(), "\n")),
        ("comments at full speed", endless(stream_head.clone(), ": still here\n\n")),
        ("head byte by byte", RawAnswer { pause: Duration::from_millis(100), ..endless(HEAD, "x") }),
        ("unknown fields at full speed", endless(stream_head.clone(), "retry: 1\n\n")),
        ("lines of one event", endless(format!("{stream_head}id: 1\n"), "data: a\n")),
        ("text too large", endless(format!("{stream_head}id: 1\ndata: {}\n\n", "a".repeat(950_000)), ": wait\n\n")),
    ]
}

/// Guards against an item that waits for ever for an engine whose stream makes no progress, although bytes arrive.
#[actix_rt::test]
async fn a_stream_without_progress_ends_and_its_item_completes_elsewhere() {
    let site = EdgeSite::start(1).await;
    for (number, (case, answer)) in stalled_streams().into_iter().enumerate() {
        let server = RawServer::start(answer).await;
        let upstream = format!("engine-raw-{number}");
        site.register(&upstream, "engine", server.address, "ready", 1);
        wait_for("the edge lists the server", || async {
            site.edges[0].process.log().contains(&format!("event=upstream_listed upstream={upstream}")).then_some(())
        })
        .await;
        let job = format!("job-{number}");
        let items: Vec<_> = (0..20).map(|item| job_item(&format!("i{number}-{item}"), 2, false)).collect();
        assert_eq!(site.submit_job(0, &job, &job_submission(1, &items)).await.status, 202);
        let results = site.all_results(0, &job).await;
        assert_eq!(results.len(), items.len(), "{case}");
        for result in &results {
            let id = result["id"].as_str().unwrap_or_default();
            assert_eq!(result["text"], format!("{id}:1\n{id}:2"), "{case}");
        }
        assert!(!server.requests().is_empty(), "{case}: the server received no request");
        site.store.contents().remove(&format!("servers/{upstream}"));
        wait_for("the edge has closed the connections", || async { (server.open_connections() == 0).then_some(()) })
            .await;
        let used_bytes = site.edges[0].process.peak_memory_bytes();
        assert!(used_bytes < EDGE_BYTES_MAX, "{case}: the edge used {used_bytes} bytes");
    }
}

/// Guards against a process that is killed because several large bodies are in memory at the same time.
#[actix_rt::test]
async fn many_large_answers_at_a_time_stay_within_the_memory_of_the_vm() {
    let site = EdgeSite::start(1).await;
    site.desks.iter().for_each(|desk| desk.start_draining());
    let server =
        RawServer::start(RawAnswer { first: sound_answer(&"a".repeat(LARGE_BYTES)), ..RawAnswer::default() }).await;
    site.register("large", "desk", server.address, "ready", 1);
    send_quotes(&site, "large", &server).await;
    let ids: Vec<String> = (0..60).map(|number| format!("large-{number}")).collect();
    let replies = futures_util::future::join_all(ids.iter().map(|id| site.send_quote(0, id))).await;
    for (id, reply) in ids.iter().zip(&replies) {
        let is_whole = reply.body.len() == LARGE_BYTES || reply.body == format!("answer to {id}");
        let is_sound = if reply.status == 200 { is_whole } else { matches!(reply.status, 502..=504) };
        assert!(is_sound, "{id}: {} with {} bytes", reply.status, reply.body.len());
    }
    let used_bytes = site.edges[0].process.peak_memory_bytes();
    assert!(used_bytes < EDGE_BYTES_MAX, "the edge used {used_bytes} bytes");
}

/// Bodies of streams that never have another event.
fn endless_streams() -> Vec<(&'static str, RawAnswer)> {
    let head = format!("{HEAD}weight-versions: 1\r\ncontent-type: text/event-stream\r\n\r\n");
    let after_event = format!("{head}id: 1\ndata: a\n\n");
    vec![
        ("line feeds", endless(head.clone(), "\n")),
        ("comments", endless(head.clone(), ": still here\n\n")),
        ("unknown fields", endless(head.clone(), "retry: 1\n\n")),
        ("one line", endless(format!("{head}data: "), "a")),
        ("lines of one event", endless(format!("{head}id: 1\n"), "data: a\n")),
        ("carriage returns", endless(head, "\r\n")),
        ("line feeds after an event", endless(after_event.clone(), "\n")),
        ("comments after an event", endless(after_event, ": still here\n\n")),
    ]
}

/// Sends 30 requests for streams at a time on a route that may be resumed, or not, and checks that each answer that looks
/// complete is.
async fn send_streams(site: &EdgeSite, case: &str, path: &str) {
    const EVENTS: u64 = 6;
    let (bearer, length) = (format!("Bearer {ROSE_KEY}"), EVENTS.to_string());
    let ids: Vec<String> = (0..30).map(|number| format!("{}{path}-{number}", case.replace(' ', "-"))).collect();
    let replies = ids.iter().map(|id| {
        let headers = [
            ("request-id", id.as_str()),
            ("deadline-ms", "8000"),
            ("model", "verse"),
            ("length-hint", length.as_str()),
            ("authorization", bearer.as_str()),
        ];
        async move { site.send(0, "POST", path, &headers, "how sad").await }
    });
    for reply in futures_util::future::join_all(replies).await {
        let is_failure = matches!(reply.status, 0 | 429 | 502..=504);
        let is_complete = reply.status == 200 && event_numbers(&reply.body) == (1..=EVENTS).collect::<Vec<_>>();
        assert!(is_failure || is_complete, "{case} {path}: {} {:?}", reply.status, event_numbers(&reply.body));
    }
}

/// Registers an upstream with `answer`, sends streams on the route of `path` until it gets one, and checks that the edges
/// close its connections within their memory.
async fn check_endless(
    site: &EdgeSite,
    matrix: &mut PathMatrix,
    answer: RawAnswer,
    case: &str,
    path: &str,
    peer: bool,
) {
    // Far below what an upstream sends until the deadline, and above what the buffers on the way hold.
    const REQUEST_BYTES_MAX: usize = 64 << 20;
    // Rounds of requests until one of them is sent to the server, which other upstreams may be preferred to.
    const ROUNDS_MAX: usize = 10;
    let server = RawServer::start(answer).await;
    let upstream = format!("engine-{}{}", case.replace(' ', "-"), path.replace('/', "-"));
    matrix.add_address(server.address).await;
    if peer {
        matrix.set(0, server.address, RelayRule::Refuse);
    }
    site.register(&upstream, "engine", server.address, "ready", 1);
    wait_for("the edge lists the server", || async {
        site.edges[0].process.log().contains(&format!("event=upstream_listed upstream={upstream} ")).then_some(())
    })
    .await;
    for _ in 0..ROUNDS_MAX {
        send_streams(site, case, path).await;
        if !server.requests().is_empty() {
            break;
        }
    }
    assert!(!server.requests().is_empty(), "{case}, through a peer: {peer}: {path} is not sent there");
    site.store.contents().remove(&format!("servers/{upstream}"));
    wait_for("the connections are closed", || async { (server.open_connections() == 0).then_some(()) }).await;
    let bytes_max = REQUEST_BYTES_MAX * server.requests().len();
    assert!(server.repeated_bytes() < bytes_max, "{case}: {} bytes were sent", server.repeated_bytes());
    for edge in &site.edges {
        let used_bytes = edge.process.peak_memory_bytes();
        assert!(used_bytes < EDGE_BYTES_MAX, "{case}, through a peer: {peer}: {used_bytes} bytes are used");
    }
}

/// Guards against a process that ends because it keeps the bytes of streams which never have another event, and against
/// reading such streams until their deadline.
#[actix_rt::test]
async fn endless_streams_are_closed_within_the_memory_of_the_vm() {
    let (site, mut matrix) = PathMatrix::start_site(&["north", "south"]).await;
    for (case, answer) in endless_streams() {
        for path in ["/talk/verse", "/slow-talk/verse"] {
            check_endless(&site, &mut matrix, answer.clone(), case, path, false).await;
        }
    }
}

/// Guards against the same for answers to requests for streams that are no stream of events.
#[actix_rt::test]
async fn endless_answers_to_requests_for_streams_stay_within_the_memory_of_the_vm() {
    let (site, mut matrix) = PathMatrix::start_site(&["north", "south"]).await;
    for (case, answer) in endless_answers().into_iter().filter(|(case, _)| !SOUND_CASES.contains(case)) {
        check_endless(&site, &mut matrix, answer, case, "/talk/verse", false).await;
    }
}

/// Guards against the same at a peer that relays the stream, and at the edge that it relays it for.
#[actix_rt::test]
async fn endless_streams_through_a_peer_are_closed_within_the_memory_of_both_vms() {
    let (site, mut matrix) = PathMatrix::start_site(&["north", "south"]).await;
    for (case, answer) in endless_streams() {
        check_endless(&site, &mut matrix, answer, case, "/talk/verse", true).await;
    }
}

/// Guards against items and scorer calls that wait for ever for an answer without end, or use up the memory, directly and through
/// a peer.
#[actix_rt::test]
async fn items_and_scorer_calls_complete_beside_endless_answers_directly_and_through_a_peer() {
    // Jobs until one of their requests is sent to the server.
    const JOBS_MAX: usize = 10;
    let is_chosen = |(case, _): &(&str, RawAnswer)| ["header line", "body without a length", "chunks"].contains(case);
    for peer in [false, true] {
        let (site, mut matrix) = PathMatrix::start_site(&["north", "south"]).await;
        assert_eq!(site.submit_job(0, "first", &job_submission(1, &[job_item("first", 1, false)])).await.status, 202);
        site.all_results(0, "first").await;
        let is_owner = |edge: &usize| site.edges[*edge].process.log().contains("event=job_begun job=first ");
        let owner = wait_for("the owner has logged it", || async { (0..2).find(is_owner) }).await;
        for (number, (case, answer)) in endless_answers().into_iter().filter(is_chosen).enumerate() {
            for service in ["engine", "desk"] {
                let server = RawServer::start(answer.clone()).await;
                let upstream = format!("raw-{service}-{number}");
                matrix.add_address(server.address).await;
                if peer {
                    matrix.set(owner, server.address, RelayRule::Refuse);
                }
                site.register(&upstream, service, server.address, "ready", 1);
                for job in 0..JOBS_MAX {
                    let job = format!("job-{service}-{number}-{job}");
                    let items: Vec<_> = (0..16).map(|item| job_item(&format!("{job}-{item}"), 2, true)).collect();
                    assert_eq!(site.submit_job(0, &job, &job_submission(1, &items)).await.status, 202);
                    for result in site.all_results(0, &job).await {
                        let id = result["id"].as_str().unwrap_or_default();
                        assert_eq!(result["text"], format!("{id}:1\n{id}:2"), "{service}, {case}");
                        assert_eq!(result["score"], format!("signed score-{id}"), "{service}, {case}");
                    }
                    if !server.requests().is_empty() {
                        break;
                    }
                }
                assert!(!server.requests().is_empty(), "{service}, {case}, through a peer: {peer}: it got no request");
                site.store.contents().remove(&format!("servers/{upstream}"));
                wait_for("the connections are closed", || async { (server.open_connections() == 0).then_some(()) })
                    .await;
                for edge in &site.edges {
                    let used_bytes = edge.process.peak_memory_bytes();
                    assert!(used_bytes < EDGE_BYTES_MAX, "{service}, {case}: {used_bytes} bytes are used");
                }
            }
        }
    }
}
