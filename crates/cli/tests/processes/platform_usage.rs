//! Tests of usage reports around outages of the store and of edges: each served request is reported in its window, or its
//! count is dropped with a log line.

use crate::support::EdgeSite;
use pimentoslip_standin::StoreFault;
use std::{
    collections::BTreeMap,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Length of a usage window.
const WINDOW_MS: u64 = 5_000;
/// Time after a window within which its counts must be reported or dropped, outages included.
const REPORT_TIME: Duration = Duration::from_secs(25);
/// Time from the start of a window to a moment at which the seal that is due in it has been written.
const AFTER_SEAL_MS: u64 = 200;
/// Starts of a site until its first requests are served before a window is sealed.
const STARTS_MAX: usize = 5;
const POLL_INTERVAL: Duration = Duration::from_millis(100);
const COUNT_PREFIX: &str = "p/usage/count/";
const SEALED_PREFIX: &str = "p/usage/sealed/";

/// Starts a site with windows of [`WINDOW_MS`].
async fn start_site(edges: usize) -> EdgeSite {
    EdgeSite::start_with_usage_window(edges, WINDOW_MS / 1_000).await
}

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock after 1970");
    u64::try_from(since_epoch.as_millis()).expect("a time in milliseconds")
}

/// Waits until `offset_ms` after the start of the next window, and returns that window.
async fn next_window(offset_ms: u64) -> u64 {
    let window = unix_ms() / WINDOW_MS + 1;
    wait_until(window * WINDOW_MS + offset_ms).await;
    window
}

/// Waits until `until_unix_ms`.
async fn wait_until(until_unix_ms: u64) {
    actix_rt::time::sleep(Duration::from_millis(until_unix_ms.saturating_sub(unix_ms()))).await;
}

/// Sends `requests` requests, each of which must be served, to the edges in `edges` in turn.
async fn serve(site: &EdgeSite, edges: &[usize], requests: usize) {
    for (number, edge) in (0..requests).zip(edges.iter().cycle()) {
        assert_eq!(site.send_quote(*edge, &format!("q-{number}")).await.status, 200);
    }
}

fn set_store_down(site: &EdgeSite, down: bool) {
    site.store.set_fault(StoreFault { down, ..StoreFault::default() });
}

/// Reported requests by window. Panics if a window was reported with different counts.
fn reported_requests(site: &EdgeSite) -> BTreeMap<u64, u64> {
    let mut counts_by_window = BTreeMap::new();
    for report in site.provider.reports() {
        let counts = counts_by_window.entry(report.window).or_insert_with(|| report.counts.clone());
        assert_eq!(*counts, report.counts, "all reports of window {} have the same counts", report.window);
    }
    let requests = counts_by_window.into_iter().map(|(window, counts)| (window, counts["rose"].as_u64().unwrap_or(0)));
    requests.collect()
}

/// Waits until `requests` requests are reported, at most for [`REPORT_TIME`]. Returns the number that is reported then.
async fn wait_reported(site: &EdgeSite, requests: u64) -> u64 {
    let give_up_at = Instant::now() + REPORT_TIME;
    loop {
        let reported = reported_requests(site).values().sum();
        if reported == requests || Instant::now() > give_up_at {
            return reported;
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

/// Windows of the count entries in the store that are sealed or older than a sealed window.
fn outdated_counts(site: &EdgeSite) -> Vec<String> {
    let keys = |prefix: &str| -> Vec<String> {
        let entries = site.store.contents().range(prefix, "");
        entries.iter().filter_map(|entry| entry["key"].as_str().map(str::to_owned)).collect()
    };
    let sealed_windows = keys(SEALED_PREFIX);
    let last_sealed = sealed_windows.last().and_then(|key| key.strip_prefix(SEALED_PREFIX)).unwrap_or_default();
    let counts = keys(COUNT_PREFIX).into_iter();
    counts.filter(|key| key.strip_prefix(COUNT_PREFIX).is_some_and(|rest| rest[..12] <= *last_sealed)).collect()
}

/// Waits until no outdated counts are in the store, at most for [`REPORT_TIME`]. Returns the remaining ones.
async fn wait_removed(site: &EdgeSite) -> Vec<String> {
    let give_up_at = Instant::now() + REPORT_TIME;
    loop {
        let remaining = outdated_counts(site);
        if remaining.is_empty() || Instant::now() > give_up_at {
            return remaining;
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

/// The lines about usage in the logs of all edges, without those of writes that failed during an outage.
fn usage_lines(site: &EdgeSite) -> Vec<String> {
    let logs = site.edges.iter().map(|edge| (&edge.vm, edge.process.log()));
    let lines = logs.flat_map(|(vm, log)| log.lines().map(|line| format!("{vm}: {line}")).collect::<Vec<_>>());
    lines.filter(|line| line.contains("event=usage_") && !line.contains("event=usage_not_")).collect()
}

/// Sum of the field `requests` over the lines of dropped counts in the logs of all edges.
fn dropped_requests(site: &EdgeSite) -> u64 {
    let lines = usage_lines(site).into_iter().filter(|line| line.contains("event=usage_dropped"));
    let requests = lines.filter_map(|line| line.split("requests=").nth(1)?.split(' ').next()?.parse::<u64>().ok());
    requests.sum()
}

/// Starts a site and serves `requests` requests there before its first window is sealed. A site that starts too slowly for that is
/// left for another one.
async fn serve_before_a_seal(requests: usize) -> EdgeSite {
    for _ in 0..STARTS_MAX {
        // One window is sealed in the time of each; the next seal is nearly that time away.
        next_window(AFTER_SEAL_MS).await;
        let site = start_site(3).await;
        serve(&site, &[0, 1, 2], requests).await;
        if site.store.contents().range(SEALED_PREFIX, "").is_empty() {
            return site;
        }
    }
    panic!("a window was sealed before the requests were served in each of {STARTS_MAX} starts");
}

/// Guards against a new holder that begins with the current window because no window is sealed, although counts of earlier
/// windows are kept by edges or stored.
#[actix_rt::test]
async fn requests_before_an_outage_of_the_store_are_reported_if_no_window_was_sealed_before() {
    let site = serve_before_a_seal(12).await;
    set_store_down(&site, true);
    actix_rt::time::sleep(Duration::from_secs(9)).await;
    set_store_down(&site, false);
    assert_eq!(wait_reported(&site, 12).await, 12, "{:#?}", usage_lines(&site));
    assert_eq!(wait_removed(&site).await, Vec::<String>::new());
}

/// Guards against counts that are stored after their window was sealed, which nobody reports, removes or logs.
#[actix_rt::test]
async fn counts_of_an_edge_that_was_suspended_until_after_the_seal_are_dropped_with_a_log_line() {
    let site = start_site(3).await;
    // The seal of the first window shows that there is a holder.
    let holder = loop {
        if let Some(report) = site.provider.reports().last() {
            break report.holder.clone();
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    };
    let suspended = site.edges.iter().position(|edge| edge.vm != holder).expect("an edge without the duty");
    let window = next_window(300).await;
    serve(&site, &[suspended], 6).await;
    site.edges[suspended].process.freeze();
    wait_until((window + 1) * WINDOW_MS + 6_500).await;
    site.edges[suspended].process.resume();
    let next_window = next_window(300).await;
    serve(&site, &[suspended], 4).await;
    assert_eq!(wait_reported(&site, 4).await, 4, "counts of later windows are reported: {:#?}", usage_lines(&site));
    assert_eq!(reported_requests(&site).get(&next_window), Some(&4));
    assert_eq!(wait_removed(&site).await, Vec::<String>::new());
    // Lines are written with a delay.
    actix_rt::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(dropped_requests(&site), 6, "{:#?}", usage_lines(&site));
}

/// Guards against a window that is sealed on the return of the store, before the edges have stored the counts that they kept.
#[actix_rt::test]
async fn counts_kept_during_an_outage_of_the_store_are_stored_before_their_window_is_sealed() {
    let mut failures = Vec::new();
    for (edges, away_ms) in [(1, 4_000), (1, 6_000), (3, 4_000), (3, 6_000)] {
        let site = start_site(edges).await;
        let window = next_window(500).await;
        serve(&site, &(0..edges).collect::<Vec<_>>(), 12).await;
        wait_until((window + 1) * WINDOW_MS + 1_500).await;
        set_store_down(&site, true);
        actix_rt::time::sleep(Duration::from_millis(away_ms)).await;
        set_store_down(&site, false);
        let reported = wait_reported(&site, 12).await;
        if reported != 12 {
            failures.push((edges, away_ms, reported, usage_lines(&site)));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
