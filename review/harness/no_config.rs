//! MIXED: a daemon is added, and the store's answer to its first read of the configuration is lost. A batch job that it is given
//! before it reads again is run with one attempt for each item, whatever the route allows.

use crate::{
    Verdict,
    record::Record,
    site::{Job, Site, wait_until},
};
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

const ROUTES: usize = 24;
const EVENT_TIME: Duration = Duration::from_millis(20);
/// Answers of 500 after which an item may be given up: `maxAttempts` of the routes.
const ATTEMPTS: usize = 3;

pub fn play(record: Arc<Record>, has_trouble: bool) -> Verdict {
    let mut site = Site::new(record.clone());
    for number in 1..=4 {
        site.start_sampler(&format!("i-llm{number}"), "llm", 12, Some(1), EVENT_TIME);
    }
    for number in 1..=2 {
        site.start_sampler(&format!("i-desk{number}"), "desk", 20, None, EVENT_TIME);
    }
    let routes: Vec<(String, String)> =
        (0..ROUTES).map(|route| (format!("r{route}"), format!("/cards{route}/"))).collect();
    site.write_config(2, &routes);
    for _ in 0..2 {
        site.start_daemon();
    }
    if !site.wait_ready() {
        return Verdict::NotRun;
    }
    // A third daemon is added.
    let store = site.store.open();
    let loses = Arc::new(AtomicBool::new(has_trouble));
    let losing = loses.clone();
    let loss_record = record.clone();
    site.store.set_loss_rule(move |address, request| {
        let is_lost = address == store
            && request.path.ends_with("/kv-range")
            && request.parameter("pathPrefix") == "op/"
            && losing.swap(false, Ordering::SeqCst);
        if is_lost {
            loss_record.line("the answer to a read of the new daemon is lost");
        }
        is_lost
    });
    let known = site.store.count("p/w/vm/");
    site.start_daemon_at(store);
    if !wait_until(Duration::from_secs(5), || site.store.count("p/w/vm/") > known) {
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_millis(150));
    if has_trouble && loses.load(Ordering::SeqCst) {
        return Verdict::NotRun;
    }
    // A step on each route, at a daemon that has been there before. The first run of each item fails.
    let mut accepted: Vec<Job> = Vec::new();
    for (name, prefix) in &routes {
        let items: Vec<(String, String, u64)> =
            (1..=2).map(|item| (format!("e-{name}-{item}"), format!("g-{name}"), 4)).collect();
        for (id, ..) in &items {
            site.log.lock().unwrap().failures_left.insert(id.clone(), 1);
        }
        let job =
            Job { id: format!("job-{name}"), prefix: prefix.clone(), step: 0, oldest_version: 1, desired: 1, items };
        if site.submit(accepted.len() % 2, &job) == 202 {
            accepted.push(job);
        }
    }
    thread::sleep(Duration::from_millis(3_000));
    judge(&site, &record, &accepted)
}

/// MIXED: a result is `terminated` before `maxAttempts` answers of 500. There was no 422, no job was ended, no route was removed,
/// and `retentionS` has not passed.
fn judge(site: &Site, record: &Record, accepted: &[Job]) -> Verdict {
    let (mut completed, mut early) = (0, 0);
    for job in accepted {
        let mut results = Vec::new();
        for attempt in 0..12 {
            if let Some(more) = site.read(attempt % 2, &job.id, results.len()) {
                results.extend(more);
            }
            if results.len() == job.items.len() {
                break;
            }
        }
        let log = site.log.lock().unwrap();
        for result in &results {
            let id = result.get("id").text();
            let failures = log.failed.get(id).copied().unwrap_or(0);
            match result.get("state").text() {
                "completed" => completed += 1,
                _ if failures < ATTEMPTS => {
                    early += 1;
                    record.line(&format!("item {id} was terminated after {failures} answers of 500"));
                }
                _ => {}
            }
        }
    }
    record.line(&format!(
        "{} jobs accepted; {completed} items completed, {early} terminated before {ATTEMPTS} answers of 500",
        accepted.len()
    ));
    match (accepted.is_empty(), early) {
        (true, _) => Verdict::NotRun,
        (false, 0) => Verdict::Held,
        (false, _) => Verdict::Broken,
    }
}
