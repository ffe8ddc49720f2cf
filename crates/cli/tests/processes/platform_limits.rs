//! Tests of the limits that upstreams on the users' platform name in their responses.

use crate::support::{EdgeReply, EdgeSite, PathMatrix, job_item, job_submission, wait_for};
use futures_util::future::join_all;
use pimentoslip_standin::{PlatformUpstream, RelayRule};
use std::{
    ops::Range,
    time::{Duration, Instant},
};

const EDGES: usize = 3;
/// Span in which arrivals at an upstream are counted.
const SPAN: Duration = Duration::from_secs(4);
/// Requests in [`SPAN`] that are allowed beyond one and a half times those of the limit.
const SLACK: f64 = 5.0;
/// Time after which every edge has received a response with the limit, and the platform counts.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Callers that send quotes to an edge at the same time; together they keep an upstream busy.
const CALLERS_PER_EDGE: usize = 4;
/// Pause between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(50);

/// Most arrivals at `upstream` in any time of the length `span` that begins at `from` or later.
pub(crate) fn busiest_span(upstream: &PlatformUpstream, from: Instant, span: Duration) -> usize {
    let arrivals: Vec<Instant> = upstream.arrivals().into_iter().filter(|arrival| *arrival >= from).collect();
    let counts = arrivals
        .iter()
        .enumerate()
        .map(|(index, first)| arrivals[index..].iter().take_while(|arrival| **arrival <= *first + span).count());
    counts.max().unwrap_or(0)
}

/// Most arrivals that the platform allows in a span at an upstream that takes `limit` requests per second.
fn arrivals_max(limit: f64) -> f64 {
    limit * SPAN.as_secs_f64() * 1.5 + SLACK
}

/// Sends quotes to every edge until `until`, from several callers at each, and returns the replies.
async fn send_quotes(site: &EdgeSite, name: &str, until: Instant) -> Vec<EdgeReply> {
    send_quotes_to(site, 0..EDGES, name, until).await
}

/// Sends quotes to `edges` like [`send_quotes`].
pub(crate) async fn send_quotes_to(site: &EdgeSite, edges: Range<usize>, name: &str, until: Instant) -> Vec<EdgeReply> {
    let callers = edges.flat_map(|edge| (0..CALLERS_PER_EDGE).map(move |caller| (edge, caller)));
    let callers = callers.map(|(edge, caller)| async move {
        let mut replies = Vec::new();
        while Instant::now() < until {
            replies.push(site.send_quote(edge, &format!("{name}-{edge}-{caller}-{}", replies.len())).await);
        }
        replies
    });
    join_all(callers).await.into_iter().flatten().collect()
}

/// Guards against edges that each take the whole limit of an upstream, or do not read it.
#[actix_rt::test]
async fn an_upstream_gets_no_more_requests_of_all_edges_than_its_limit_allows() {
    let site = EdgeSite::start(EDGES).await;
    let limited = &site.desks[0];
    for limit in ["2", "0.2", "0", "8"] {
        limited.name_limit(Some(limit));
        let counted_from = Instant::now() + SETTLE_TIME;
        let replies = send_quotes(&site, &format!("limit-{limit}"), counted_from + SPAN + SPAN / 4).await;
        let busiest = busiest_span(limited, counted_from, SPAN);
        assert!(busiest as f64 <= arrivals_max(limit.parse().expect("a number")), "{busiest} at a limit of {limit}");
        let unserved: Vec<&EdgeReply> = replies.iter().filter(|reply| reply.status != 200).collect();
        assert!(unserved.is_empty(), "the other upstream serves the rest of {limit}: {unserved:?}");
    }
    limited.name_limit(None);
    let ended_at = Instant::now();
    wait_for("the upstream gets requests again as before", || async {
        send_quotes(&site, "ended", Instant::now() + SPAN / 4).await;
        (busiest_span(limited, ended_at, SPAN) as f64 > arrivals_max(8.0)).then_some(())
    })
    .await;
}

/// Guards against requests that are sent through a peer without a permit, or are counted by neither edge.
#[actix_rt::test]
async fn relayed_requests_count_towards_the_limit_of_their_upstream() {
    let (site, matrix) = PathMatrix::start_site(&["north", "south", "south"]).await;
    matrix.set_all(0, RelayRule::Refuse);
    site.desks[0].name_limit(Some("2"));
    let counted_from = Instant::now() + SETTLE_TIME;
    let replies = send_quotes(&site, "relayed", counted_from + SPAN + SPAN / 4).await;
    let busiest = busiest_span(&site.desks[0], counted_from, SPAN);
    assert!(busiest as f64 <= arrivals_max(2.0), "{busiest} requests");
    let unserved: Vec<&EdgeReply> = replies.iter().filter(|reply| reply.status != 200).collect();
    assert!(unserved.is_empty(), "the other upstream serves the rest of {}: {unserved:?}", replies.len());
    assert!(site.edges[1..].iter().any(|edge| edge.process.log().contains("event=relayed ")), "requests were relayed");
}

/// Guards against items of batch jobs and calls of scorers that are not counted towards the limit of their upstream.
#[actix_rt::test]
async fn items_and_scorer_calls_count_towards_the_limits_of_their_upstreams() {
    const LIMIT: f64 = 1.5;
    const ITEMS: usize = 60;
    let site = EdgeSite::start(EDGES).await;
    let limited = [&site.engines[0], &site.desks[0]];
    limited.iter().for_each(|upstream| upstream.name_limit(Some(&LIMIT.to_string())));
    let started_at = Instant::now();
    for round in 0..3 {
        let items: Vec<_> = (0..ITEMS).map(|number| job_item(&format!("item-{round}-{number}"), 40, true)).collect();
        let job = format!("job-{round}");
        assert_eq!(site.submit_job(round % EDGES, &job, &job_submission(1, &items)).await.status, 202);
        let results = site.all_results((round + 1) % EDGES, &job).await;
        assert!(results.iter().all(|result| result["state"] == "completed"), "{results:?}");
    }
    let counted_from = started_at + SETTLE_TIME;
    for upstream in limited {
        let busiest = busiest_span(upstream, counted_from, SPAN);
        assert!(busiest as f64 <= arrivals_max(LIMIT), "{busiest} at {}", upstream.address);
    }
}

/// Guards against callers that wait for a limited upstream although it is known that it has no room for them.
#[actix_rt::test]
async fn a_request_is_refused_at_once_with_the_time_to_return_when_every_upstream_is_at_its_limit() {
    let site = EdgeSite::start(1).await;
    site.desks.iter().for_each(|desk| desk.name_limit(Some("0.5")));
    // The responses to these requests name the limits.
    send_first_quotes(&site).await;
    let mut refusals = Vec::new();
    for number in 0..20 {
        let reply = site.send_quote(0, &format!("refused-{number}")).await;
        if reply.status != 200 {
            assert_eq!((reply.status, reply.body.as_str()), (503, "rate_limited"), "{reply:?}");
            refusals.push(reply);
        }
        actix_rt::time::sleep(PAUSE).await;
    }
    assert!(refusals.len() >= 10, "{} refusals of 20 requests", refusals.len());
    let arrived: usize = site.desks.iter().map(|desk| desk.arrivals().len()).sum();
    for refusal in &refusals {
        let seconds: f64 = refusal.header("retry-after").parse().expect("a number of seconds");
        assert!(seconds > 0.0 && seconds <= 2.1, "one request in two seconds is allowed: {refusal:?}");
    }
    actix_rt::time::sleep(Duration::from_millis(200)).await;
    let arrived_later: usize = site.desks.iter().map(|desk| desk.arrivals().len()).sum();
    assert_eq!(arrived_later, arrived, "a refused request does not run later");
}

/// Sends quotes to the only edge until it has received a response of every upstream.
async fn send_first_quotes(site: &EdgeSite) {
    let mut number = 0;
    while site.desks.iter().any(|desk| desk.arrivals().is_empty()) {
        assert!(number < 50, "an upstream got no request");
        site.send_quote(0, &format!("first-{number}")).await;
        number += 1;
    }
}

/// Guards against a malformed limit that stops the service of an upstream or ends its process.
#[actix_rt::test]
async fn a_malformed_limit_changes_nothing() {
    let site = EdgeSite::start(1).await;
    for limit in ["", "none", "-1", "NaN", "inf", "1e999", "1,5", "99999999999999999999"] {
        site.desks.iter().for_each(|desk| desk.name_limit(Some(limit)));
        for number in 0..10 {
            assert_eq!(site.send_quote(0, &format!("{limit}-{number}")).await.status, 200, "limit {limit:?}");
        }
    }
}
