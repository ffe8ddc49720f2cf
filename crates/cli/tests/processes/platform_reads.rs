//! Tests of reads of a job's results: a result that was read at one edge is there at every edge, after each failure.

use crate::support::{EdgeSite, ROSE_KEY, RawAnswer, RawServer, job_item, job_submission, wait_for};
use futures_util::future;
use pimentoslip_standin::{PlatformUpstream, RelayRule, StoreFault};
use serde_json::Value;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

/// Time after which a result that was read at one edge must be there at every other.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Time for which a read that was answered 503 or 504 is repeated.
const RETRY_TIME: Duration = Duration::from_secs(10);
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Time within which an edge that runs applies a change of the list of upstreams.
const APPLY_TIME: Duration = Duration::from_millis(700);
/// Rounds of reads within which every edge asks the owner again after an outage of the store.
const ROUNDS: usize = 20;
/// Outage of the store in which leases, of three seconds, end.
const OUTAGE_TIME: Duration = Duration::from_secs(5);
/// Time that a read waits for a result.
const WAIT_MS: &str = "300";
const JOB: &str = "job";
/// Keys of the chunks of the job's results that begin at the positions 0 and 1.
const FIRST_CHUNK_KEY: &str = "p/d/job/chunk/00000000";
const SECOND_CHUNK_KEY: &str = "p/d/job/chunk/00000001";

/// Page of results.
#[derive(Clone, Debug)]
struct ResultsPage {
    results: Vec<Value>,
    received_at: Instant,
}

/// Sends one read of the job's results to `edge`. The error is the status of a refusal.
async fn read_page(site: &EdgeSite, edge: usize, position: usize, waits: bool) -> Result<ResultsPage, u16> {
    let bearer = format!("Bearer {ROSE_KEY}");
    let mut headers = vec![("request-id", "read"), ("authorization", bearer.as_str())];
    if waits {
        headers.push(("wait-ms", WAIT_MS));
    }
    let path = format!("/pimentoslip/lots/{JOB}?after={position}");
    let reply = site.send(edge, "GET", &path, &headers, "").await;
    let received_at = Instant::now();
    if reply.status != 200 {
        return Err(reply.status);
    }
    let page = reply.json();
    let results = page["results"].as_array().cloned().unwrap_or_default();
    assert_eq!(page["next"].as_u64(), Some((position + results.len()) as u64), "{page}");
    Ok(ResultsPage { results, received_at })
}

/// Results that callers were given, each with the time of the first response that had it, by position; and the reads that
/// contradict them.
#[derive(Debug, Default)]
struct ListedResults {
    results: BTreeMap<usize, (Value, Instant)>,
    failures: Vec<String>,
}

impl ListedResults {
    /// Records the results of a page, and compares them with those that were given at the same positions before.
    fn record(&mut self, position: usize, page: ResultsPage, case: &str) {
        for (position, result) in (position..).zip(page.results) {
            let (first, _) = self.results.entry(position).or_insert_with(|| (result.clone(), page.received_at));
            if *first != result {
                self.failures.push(format!("{case}: {result} instead of {first} at position {position}"));
            }
        }
    }

    /// Whether the result at `position` must be at every edge by `sent_at`.
    fn is_settled(&self, position: usize, sent_at: Instant) -> bool {
        self.results.get(&position).is_some_and(|(_, read_at)| sent_at.duration_since(*read_at) > SETTLE_TIME)
    }

    /// Position of the last result that was read.
    fn last_position(&self) -> usize {
        self.results.keys().next_back().copied().expect("a result was read")
    }

    /// Reads at `edge` until it has returned the result at `position`.
    async fn read_until(&mut self, site: &EdgeSite, edge: usize, position: usize) {
        let page = wait_for("the result is listed", || async {
            let page = read_page(site, edge, 0, true).await.ok()?;
            (page.results.len() > position).then_some(page)
        });
        self.record(0, page.await, "first read");
    }

    /// Reads `position` at `edge` once and checks the answer. Returns whether the read was served, or failed.
    async fn try_read(&mut self, site: &EdgeSite, edge: usize, position: usize, waits: bool, case: &str) -> bool {
        let case = format!("{case}: edge {edge}, position {position}, waits: {waits}");
        let sent_at = Instant::now();
        match read_page(site, edge, position, waits).await {
            Ok(page) if page.results.is_empty() && self.is_settled(position, sent_at) => {
                self.failures.push(format!("{case}: nothing"));
            }
            Ok(page) => self.record(position, page, &case),
            Err(503 | 504) => return false,
            Err(status) => self.failures.push(format!("{case}: status {status}")),
        }
        true
    }

    /// The reads of the first and the last position that were read before, with and without a wait.
    fn reads(&self) -> Vec<(usize, bool)> {
        let positions = BTreeSet::from([0, self.last_position()]);
        let with_wait = |waits| positions.iter().rev().map(move |position| (*position, waits));
        with_wait(true).chain(with_wait(false)).collect()
    }

    /// Checks one answer to each read at `edge`, which may refuse it.
    async fn probe_edge(&mut self, site: &EdgeSite, edge: usize, case: &str) {
        for (position, waits) in self.reads() {
            self.try_read(site, edge, position, waits, case).await;
        }
    }

    /// Checks one answer to each read at each of `edges`.
    async fn probe_edges(&mut self, site: &EdgeSite, edges: &[usize], case: &str) {
        for edge in edges {
            self.probe_edge(site, *edge, case).await;
        }
    }

    /// Checks each read at each of `edges`, which must serve it within [`RETRY_TIME`].
    async fn check_edges(&mut self, site: &EdgeSite, edges: &[usize], case: &str) {
        for edge in edges {
            self.check_edge(site, *edge, case).await;
        }
    }

    /// Checks each read at `edge`, which must serve it within [`RETRY_TIME`].
    async fn check_edge(&mut self, site: &EdgeSite, edge: usize, case: &str) {
        for (position, waits) in self.reads() {
            let retry_until = Instant::now() + RETRY_TIME;
            while !self.try_read(site, edge, position, waits, case).await {
                if Instant::now() > retry_until {
                    self.failures.push(format!("{case}: edge {edge}, position {position}: refused for {RETRY_TIME:?}"));
                    break;
                }
                actix_rt::time::sleep(RETRY_INTERVAL).await;
            }
        }
    }

    /// The reads that failed, and what the edges' logs say of reads that returned nothing.
    async fn into_failures(self, site: &EdgeSite) -> Vec<String> {
        let mut failures = self.failures;
        if failures.is_empty() {
            return failures;
        }
        // Lines are written with a delay.
        actix_rt::time::sleep(Duration::from_secs(1)).await;
        for edge in &site.edges {
            let log = edge.process.log();
            let lines = log.lines().filter(|line| line.contains("event=results_empty"));
            failures.extend(lines.map(|line| format!("{}: {line}", edge.vm)));
        }
        failures
    }
}

/// Starts a site whose plain upstreams take no request, so that no scored item is finished before
/// [`release_scored_items`].
async fn site_with_held_scores(edges: usize) -> EdgeSite {
    let site = EdgeSite::start(edges).await;
    hold_scored_items(&site).await;
    site
}

async fn hold_scored_items(site: &EdgeSite) {
    site.desks.iter().for_each(PlatformUpstream::start_draining);
    actix_rt::time::sleep(APPLY_TIME).await;
}

fn release_scored_items(site: &EdgeSite) {
    site.desks.iter().for_each(PlatformUpstream::list_again);
}

/// Submits a job of `plain` items, `scored` ones, and one that takes longer than a test.
async fn submit_job(site: &EdgeSite, plain: usize, scored: usize) {
    let plain_items = (0..plain).map(|number| job_item(&format!("plain-{number}"), 2, false));
    let scored_items = (0..scored).map(|number| job_item(&format!("scored-{number}"), 2, true));
    let items: Vec<Value> = plain_items.chain(scored_items).chain([job_item("long", 10_000, false)]).collect();
    assert_eq!(site.submit_job(0, JOB, &job_submission(1, &items)).await.status, 202);
}

/// Waits until the job runs, and returns its owner and the other edges.
async fn owner_and_others(site: &EdgeSite) -> (usize, Vec<usize>) {
    owner_of(site, JOB).await
}

/// Waits until `job` runs, and returns its owner and the other edges.
async fn owner_of(site: &EdgeSite, job: &str) -> (usize, Vec<usize>) {
    let begun = format!("event=job_begun job={job} ");
    let is_owner = |edge: &usize| site.edges[*edge].process.log().contains(&begun);
    let owner = wait_for("the job has an owner", || async { (0..site.edges.len()).find(is_owner) }).await;
    (owner, (0..site.edges.len()).filter(|edge| *edge != owner).collect())
}

/// The first of `edges` that has claimed the job.
fn claimant(site: &EdgeSite, edges: &[usize]) -> Option<usize> {
    let claimed = format!("event=job_claimed job={JOB} ");
    edges.iter().copied().find(|edge| site.edges[*edge].process.log().contains(&claimed))
}

/// Reads at `edge` until it has returned the result at `position`, and returns all results that it has.
async fn read_until_listed(site: &EdgeSite, edge: usize, position: usize) -> ListedResults {
    let mut listed = ListedResults::default();
    listed.read_until(site, edge, position).await;
    listed
}

/// Reads `position`, where nothing is listed yet, at `edge` until it says so.
async fn read_nothing(site: &EdgeSite, edge: usize, position: usize) {
    let page = read_end(site, edge, position).await;
    assert!(page.results.is_empty(), "{page:?}");
}

/// Waits until what was read must be at every edge.
async fn settle() {
    actix_rt::time::sleep(SETTLE_TIME + Duration::from_millis(200)).await;
}

/// Ends the job at `edge`.
async fn end_job(site: &EdgeSite, edge: usize) {
    wait_for("the job is ended", || async {
        (site.send_job_request(edge, "DELETE", &format!("/pimentoslip/lots/{JOB}")).await.status == 200).then_some(())
    })
    .await;
}

/// Time for which an edge has no reachable owner of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OwnerAbsence {
    /// The owner is suspended, and resumed.
    Suspended,
    /// All edges are killed, and the reading one is the first to be started again.
    AllRestarted,
}

/// Guards against an edge that read the end of a job's results while the job had no reachable owner, and still takes it for
/// the end once the job has ended.
#[actix_rt::test]
async fn an_end_of_the_results_read_without_an_owner_hides_no_result_of_an_ended_job() {
    let mut failures = Vec::new();
    for absence in [OwnerAbsence::Suspended, OwnerAbsence::AllRestarted] {
        for listed_before in [0, 1] {
            failures.extend(read_an_early_end_of_an_ended_job(absence, listed_before).await);
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Reads the end of the results after `listed_before` of them at an edge during `absence`, and again after the end of the job.
/// Returns the reads that failed then.
async fn read_an_early_end_of_an_ended_job(absence: OwnerAbsence, listed_before: usize) -> Vec<String> {
    let mut site = site_with_held_scores(3).await;
    submit_job(&site, listed_before, 1).await;
    let (owner, others) = owner_and_others(&site).await;
    let (early_reader, late_reader) = (others[0], others[1]);
    if listed_before > 0 {
        read_until_listed(&site, late_reader, listed_before - 1).await;
    }
    match absence {
        OwnerAbsence::Suspended => {
            site.edges[owner].process.freeze();
            read_nothing(&site, early_reader, listed_before).await;
            site.edges[owner].process.resume();
        }
        OwnerAbsence::AllRestarted => {
            site.edges.iter_mut().for_each(|edge| edge.process.kill());
            site.restart_edges(&[early_reader]);
            read_nothing(&site, early_reader, listed_before).await;
            site.restart_edges(&[late_reader, owner]);
            site.wait_ready().await;
        }
    }
    release_scored_items(&site);
    let mut listed = read_until_listed(&site, late_reader, listed_before).await;
    end_job(&site, late_reader).await;
    settle().await;
    let case = format!("{absence:?} after {listed_before} results");
    listed.check_edge(&site, early_reader, &case).await;
    listed.into_failures(&site).await
}

/// Guards against an owner that says there is nothing where the store has the chunk that it wrote, because the response to
/// the write was lost.
#[actix_rt::test]
async fn an_owner_whose_write_was_not_answered_denies_no_result_that_the_store_has() {
    let mut failures = Vec::new();
    for (listed_before, next_chunk) in [(0, FIRST_CHUNK_KEY), (1, SECOND_CHUNK_KEY)] {
        let site = site_with_held_scores(3).await;
        submit_job(&site, listed_before, 1).await;
        let (owner, others) = owner_and_others(&site).await;
        if listed_before > 0 {
            read_until_listed(&site, others[1], listed_before - 1).await;
        }
        let lost_writes = Some((next_chunk, u32::MAX));
        site.store.set_fault(StoreFault { lost_writes, ..StoreFault::default() });
        release_scored_items(&site);
        wait_for("the chunk is stored", || async { site.store.contents().value(next_chunk).map(drop) }).await;
        // An edge that does not reach the owner reads the store.
        site.edges[owner].process.freeze();
        let mut listed = read_until_listed(&site, others[0], listed_before).await;
        site.edges[owner].process.resume();
        settle().await;
        let case = format!("after {listed_before} results");
        listed.probe_edges(&site, &[0, 1, 2], &format!("{case}, no answer to the write")).await;
        site.store.set_fault(StoreFault::default());
        listed.check_edges(&site, &[0, 1, 2], &case).await;
        failures.extend(listed.into_failures(&site).await);
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Failure of the store while an edge waits for results.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WatchFailure {
    /// The store refuses each call.
    Refused,
    /// The edge's connections to the store are cut during the wait, and the store refuses the calls through peers.
    Cut,
}

/// Guards against a read that waits and returns nothing, from an end of the results read long before, because its watch of the
/// store fails.
#[actix_rt::test]
async fn a_failed_watch_of_the_store_hides_no_result_behind_an_end_read_before() {
    let mut failures = Vec::new();
    for failure in [WatchFailure::Refused, WatchFailure::Cut] {
        for listed_before in [0, 1] {
            failures.extend(read_with_a_failed_watch(failure, listed_before).await);
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Reads the end of the results after `listed_before` of them at an edge, and again with `failure` once another edge has
/// read the next one. Returns the reads that failed.
async fn read_with_a_failed_watch(failure: WatchFailure, listed_before: usize) -> Vec<String> {
    let (mut site, relays) = EdgeSite::start_with_relays(3).await;
    hold_scored_items(&site).await;
    submit_job(&site, listed_before, 1).await;
    let (owner, others) = owner_and_others(&site).await;
    let (early_reader, late_reader) = (others[0], others[1]);
    if listed_before > 0 {
        read_until_listed(&site, late_reader, listed_before - 1).await;
    }
    site.edges[owner].process.freeze();
    read_nothing(&site, early_reader, listed_before).await;
    site.edges[owner].process.resume();
    release_scored_items(&site);
    let mut listed = read_until_listed(&site, late_reader, listed_before).await;
    settle().await;
    site.edges[owner].process.kill();
    let case = format!("{failure:?} after {listed_before} results");
    let down = StoreFault { down: true, ..StoreFault::default() };
    if failure == WatchFailure::Refused {
        site.store.set_fault(down);
        listed.try_read(&site, early_reader, listed_before, true, &case).await;
    } else {
        relays[early_reader].set_rule(RelayRule::Stall);
        let cut = async {
            actix_rt::time::sleep(Duration::from_millis(100)).await;
            site.store.set_fault(down);
            relays[early_reader].set_rule(RelayRule::Cut);
        };
        future::join(listed.try_read(&site, early_reader, listed_before, true, &case), cut).await;
    }
    site.store.set_fault(StoreFault::default());
    relays[early_reader].set_rule(RelayRule::Pass);
    listed.check_edges(&site, &others, &format!("{case}, once the store serves")).await;
    listed.into_failures(&site).await
}

/// Guards against an owner that was suspended beyond its lease, obtains another one, and denies the results which its successor
/// has listed meanwhile.
#[actix_rt::test]
async fn an_owner_that_was_suspended_beyond_its_lease_denies_no_result_of_its_successor() {
    let mut failures = Vec::new();
    for suspends_others in [false, true] {
        let cases = [false, true].map(|waits| read_at_a_succeeded_owner(suspends_others, waits));
        failures.extend(future::join_all(cases).await.concat());
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Suspends the owner until another edge has listed a result, and reads at the first owner from its return on; it cannot
/// receive changes of the store from other edges if those are suspended then. Returns the reads that failed.
async fn read_at_a_succeeded_owner(suspends_others: bool, waits: bool) -> Vec<String> {
    let site = site_with_held_scores(3).await;
    let other_job = job_submission(1, &[job_item("other", 1, false)]);
    assert_eq!(site.submit_job(0, "other", &other_job).await.status, 202);
    submit_job(&site, 1, 1).await;
    let (owner, others) = owner_and_others(&site).await;
    read_until_listed(&site, others[0], 0).await;
    site.edges[owner].process.freeze();
    // This change answers the owner's pending request for changes, which then does not return the end of its ownership.
    assert_eq!(site.send_job_request(others[0], "DELETE", "/pimentoslip/lots/other").await.status, 200);
    wait_for("another edge owns the job", || async { claimant(&site, &others) }).await;
    release_scored_items(&site);
    let mut listed = read_until_listed(&site, others[0], 1).await;
    settle().await;
    if suspends_others {
        others.iter().for_each(|edge| site.edges[*edge].process.freeze());
    }
    site.edges[owner].process.resume();
    let case = format!("others suspended: {suspends_others}");
    let probed_until = Instant::now() + Duration::from_secs(3);
    while Instant::now() < probed_until && listed.failures.is_empty() {
        listed.try_read(&site, owner, 1, waits, &case).await;
    }
    others.iter().for_each(|edge| site.edges[*edge].process.resume());
    listed.check_edges(&site, &[0, 1, 2], &case).await;
    listed.into_failures(&site).await
}

/// Guards against a job that is opened as one that has not run, from a submission that an edge has kept since the job was
/// accepted, although another edge ran the job.
#[actix_rt::test]
async fn an_owner_that_kept_the_submission_denies_no_result_of_the_edge_that_ran_the_job() {
    let mut site = EdgeSite::without_edges();
    site.write_default_config();
    let (view_address, view) = site.store.open_view().expect("another address of the store");
    site.start_edge(view_address);
    site.start_edge(view_address);
    site.wait_ready().await;
    // The third edge, to which jobs of the route are assigned, gets no configuration and does not run its job.
    view.hold_range(Some("op/"));
    site.start_edge(view_address);
    let (owner, others) = (2, [0, 1]);
    wait_for("every edge has stored its entry", || async {
        (site.store.contents().range("p/w/vm/", "").len() == 3).then_some(())
    })
    .await;
    actix_rt::time::sleep(APPLY_TIME).await;
    submit_job(&site, 1, 0).await;
    wait_for("the owner waits for a configuration", || async {
        site.edges[owner].process.log().contains("event=job_waits_for_config").then_some(())
    })
    .await;
    site.edges[owner].process.freeze();
    let successor = wait_for("another edge owns the job", || async { claimant(&site, &others) }).await;
    let reader = 1 - successor;
    let mut listed = read_until_listed(&site, reader, 0).await;
    site.edges[owner].process.resume();
    site.engines.iter().for_each(PlatformUpstream::start_draining);
    settle().await;
    view.hold_range(None);
    wait_for("the owner is ready", || async { (site.readiness_status(owner).await == 200).then_some(()) }).await;
    site.edges[successor].process.kill();
    wait_for("the first owner owns the job again", || async { claimant(&site, &[owner]) }).await;
    let probed_until = Instant::now() + Duration::from_secs(1);
    while Instant::now() < probed_until && listed.failures.is_empty() {
        listed.probe_edges(&site, &[owner, reader], "no item can run").await;
    }
    site.engines.iter().for_each(PlatformUpstream::list_again);
    listed.check_edges(&site, &[owner, reader], "items can run").await;
    let failures = listed.into_failures(&site).await;
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Why an edge reads results from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StoreReadCause {
    OwnerKilled,
    JobEnded,
}

/// Guards against the end of a page that is taken for the end of the results, because the next text does not fit into it.
#[actix_rt::test]
async fn the_end_of_a_page_hides_no_result_after_it() {
    let mut failures = Vec::new();
    for cause in [StoreReadCause::OwnerKilled, StoreReadCause::JobEnded] {
        for text_bytes in [600_000, 400_000, 250_000] {
            failures.extend(read_pages_of_large_texts(cause, text_bytes).await);
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Reads the results of a job whose texts have `text_bytes` bytes page by page at an edge that reads the store. Returns the
/// reads that failed.
async fn read_pages_of_large_texts(cause: StoreReadCause, text_bytes: usize) -> Vec<String> {
    const ITEMS: usize = 5;
    const EVENT_BYTES: usize = 10_000;
    let mut site = EdgeSite::start(3).await;
    let events: String = (1..=text_bytes / EVENT_BYTES)
        .map(|number| format!("id: {number}\ndata: {}\n\n", "t".repeat(EVENT_BYTES - 1)))
        .collect();
    let head = "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nserver-signature: raw\r\nweight-versions: 1\r\n";
    let body_head = format!("content-type: text/event-stream\r\ncontent-length: {}\r\n\r\n", events.len());
    let answer = RawAnswer { first: format!("{head}{body_head}{events}"), ..RawAnswer::default() };
    let server = RawServer::start(answer).await;
    site.register("large", "engine", server.address, "ready", 1);
    site.engines.iter().for_each(PlatformUpstream::start_draining);
    actix_rt::time::sleep(APPLY_TIME).await;
    let items: Vec<Value> = (0..ITEMS).map(|number| job_item(&format!("item-{number}"), 1, false)).collect();
    assert_eq!(site.submit_job(0, JOB, &job_submission(1, &items)).await.status, 202);
    let (owner, others) = owner_and_others(&site).await;
    let mut listed = ListedResults::default();
    let results = site.all_results(others[1], JOB).await;
    assert_eq!(results[0]["text"].as_str().map(str::len), Some(text_bytes - 1));
    listed.record(0, ResultsPage { results, received_at: Instant::now() }, "first read");
    if cause == StoreReadCause::JobEnded {
        end_job(&site, others[1]).await;
    }
    settle().await;
    if cause == StoreReadCause::OwnerKilled {
        site.edges[owner].process.kill();
    }
    let case = format!("{cause:?}, {text_bytes} bytes");
    let mut position = 0;
    while position < ITEMS {
        let page =
            wait_for("the edge answers", || async { read_page(&site, others[0], position, true).await.ok() }).await;
        if page.results.is_empty() {
            listed.failures.push(format!("{case}: nothing at position {position}"));
            break;
        }
        assert!(page.results.len() < ITEMS, "the results do not fit into one page");
        position += page.results.len();
        listed.record(position - page.results.len(), page, &case);
    }
    listed.into_failures(&site).await
}

/// Fault around which the results of a job are read at every edge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadFault {
    AllRestarted,
    OwnerKilled,
    OwnerSuspended,
    /// The job ends as soon as a result is listed.
    EndedAfterListing,
    /// One edge is cut off from the store, but not from the other edges.
    OneCutOff,
    /// The store refuses all calls while edges wait for results, and the owner is killed.
    StoreAway,
    /// The store discards the history after the revision at which edges have read an end of the results, and the owner is
    /// killed.
    HistoryDiscarded,
}

impl ReadFault {
    /// Whether the owner is suspended when the other edges read the end of the results.
    fn suspends_owner(self) -> bool {
        matches!(self, Self::OwnerSuspended | Self::OneCutOff | Self::StoreAway | Self::HistoryDiscarded)
    }

    /// Whether the owner is killed after it has listed a result.
    fn kills_owner(self) -> bool {
        matches!(self, Self::StoreAway | Self::HistoryDiscarded)
    }
}

/// Guards against results that an edge denies after a fault of edges, during the job, after its end and after a second end.
#[actix_rt::test]
async fn every_edge_has_each_listed_result_after_a_fault_of_edges() {
    use ReadFault::{AllRestarted, EndedAfterListing, OwnerKilled, OwnerSuspended};
    read_at_every_edge([AllRestarted, OwnerKilled, OwnerSuspended, EndedAfterListing]).await;
}

/// Guards against results that an edge denies after a fault of the store, during the job, after its end and after a second end.
#[actix_rt::test]
async fn every_edge_has_each_listed_result_after_a_fault_of_the_store() {
    use ReadFault::{HistoryDiscarded, OneCutOff, StoreAway};
    read_at_every_edge([OneCutOff, StoreAway, HistoryDiscarded]).await;
}

async fn read_at_every_edge(faults: impl IntoIterator<Item = ReadFault>) {
    let mut failures = Vec::new();
    for fault in faults {
        failures.extend(read_around(fault).await);
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Reads the results of a job at every edge during and after `fault`, after the end of the job and after its second end.
/// Returns the reads that failed.
async fn read_around(fault: ReadFault) -> Vec<String> {
    /// Results that are listed before the fault.
    const LISTED_BEFORE: usize = 2;
    let (mut site, relays) = EdgeSite::start_with_relays(3).await;
    hold_scored_items(&site).await;
    submit_job(&site, LISTED_BEFORE, 1).await;
    let (owner, others) = owner_and_others(&site).await;
    let (cut_off, reader) = (others[0], others[1]);
    let mut listed = read_until_listed(&site, reader, LISTED_BEFORE - 1).await;
    let mut running = vec![0, 1, 2];
    match fault {
        ReadFault::AllRestarted => {
            site.edges.iter_mut().for_each(|edge| edge.process.kill());
            site.restart_edges(&[0, 1, 2]);
        }
        ReadFault::OwnerKilled => site.edges[owner].process.kill(),
        _ if fault.suspends_owner() => site.edges[owner].process.freeze(),
        _ => {}
    }
    running.retain(|edge| fault == ReadFault::AllRestarted || *edge != owner);
    for page in future::join_all(running.iter().map(|edge| read_end(&site, *edge, LISTED_BEFORE))).await {
        listed.record(LISTED_BEFORE, page, &format!("{fault:?}, before the listing"));
    }
    if fault.suspends_owner() {
        site.edges[owner].process.resume();
    }
    if fault == ReadFault::OneCutOff {
        relays[cut_off].set_rule(RelayRule::Cut);
    }
    release_scored_items(&site);
    listed.read_until(&site, reader, LISTED_BEFORE).await;
    if fault == ReadFault::HistoryDiscarded {
        site.store.contents().discard_history();
    }
    if fault.kills_owner() {
        site.edges[owner].process.kill();
    } else if fault != ReadFault::OwnerKilled {
        running = vec![0, 1, 2];
    }
    if fault != ReadFault::EndedAfterListing {
        settle().await;
        let store_leaves = async {
            if fault == ReadFault::StoreAway {
                actix_rt::time::sleep(Duration::from_millis(100)).await;
                site.store.set_fault(StoreFault { down: true, ..StoreFault::default() });
            }
        };
        future::join(listed.probe_edges(&site, &running, &format!("{fault:?}, during it")), store_leaves).await;
        site.store.set_fault(StoreFault::default());
        listed.check_edges(&site, &running, &format!("{fault:?}, before the end")).await;
    }
    for (ending_edge, name) in [(reader, "first"), (cut_off, "second")] {
        end_job(&site, ending_edge).await;
        settle().await;
        listed.check_edges(&site, &running, &format!("{fault:?}, after the {name} end")).await;
    }
    relays[cut_off].set_rule(RelayRule::Pass);
    if !running.contains(&owner) {
        site.restart_edges(&[owner]);
        site.wait_ready().await;
    }
    listed.check_edges(&site, &[0, 1, 2], &format!("{fault:?}, after it")).await;
    listed.into_failures(&site).await
}

/// Reads the end of the results after `position` of them at `edge` until it answers.
async fn read_end(site: &EdgeSite, edge: usize, position: usize) -> ResultsPage {
    wait_for("the edge answers", || async { read_page(site, edge, position, true).await.ok() }).await
}

/// Guards against reads that all go to the store because the owner has lost its lease in an outage and claimed the job again.
#[actix_rt::test]
async fn an_owner_that_claimed_its_job_again_answers_reads_from_its_memory() {
    let site = site_with_held_scores(3).await;
    submit_job(&site, 1, 0).await;
    let (_, others) = owner_and_others(&site).await;
    read_until_listed(&site, others[0], 0).await;
    site.store.set_fault(StoreFault { down: true, ..StoreFault::default() });
    actix_rt::time::sleep(OUTAGE_TIME).await;
    site.store.set_fault(StoreFault::default());
    wait_for("the job is claimed again", || async { claimant(&site, &[0, 1, 2]) }).await;
    let mut sources = Vec::new();
    for _ in 0..ROUNDS {
        sources.clear();
        for edge in 0..3 {
            read_nothing(&site, edge, 1).await;
            let log = site.edges[edge].process.log();
            sources.push(log.lines().rfind(|line| line.contains("event=results_empty")).unwrap_or_default().to_owned());
        }
        if sources.iter().all(|line| line.contains("source=own")) {
            return;
        }
    }
    panic!("an edge asks the store: {sources:#?}");
}

/// Guards against a job that was accepted without a key, on a route that needs none, and is not found afterwards.
#[actix_rt::test]
async fn a_job_accepted_without_a_key_is_found_with_and_without_one() {
    let site = EdgeSite::start(2).await;
    site.write_config_with(3, &[("rose", ROSE_KEY)], &["open".to_owned()]);
    actix_rt::time::sleep(APPLY_TIME).await;
    let job = job_submission(1, &[job_item("plain", 2, false)]).to_string();
    let reply = site.send(0, "POST", &format!("/open/{JOB}"), &[("request-id", JOB)], &job).await;
    assert_eq!(reply.status, 202, "{reply:?}");
    let bearer = format!("Bearer {ROSE_KEY}");
    let (lot, item) = (format!("/pimentoslip/lots/{JOB}?after=0"), format!("/pimentoslip/items/{JOB}?id=plain"));
    let reads = [("GET", lot.as_str()), ("GET", item.as_str()), ("DELETE", lot.as_str())];
    for headers in [vec![], vec![("authorization", bearer.as_str())]] {
        for (method, path) in reads {
            for edge in 0..2 {
                let reply = site.send(edge, method, path, &headers, "").await;
                assert_eq!(reply.status, 200, "{method} {path} at edge {edge} with {headers:?}: {reply:?}");
            }
        }
    }
    let unknown = site.send(0, "GET", "/pimentoslip/lots/unknown?after=0", &[], "").await;
    assert_eq!(unknown.status, 401, "{unknown:?}");
}
