//! BUDGET: one item of a batch job crashes each sampler that begins to run it. It is sent to one sampler after the other, for as
//! long as the job is open.

use crate::{
    Verdict,
    record::Record,
    site::{Job, Site},
};
use std::{
    collections::BTreeSet,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

const SAMPLERS: usize = 6;
const EVENT_TIME: Duration = Duration::from_millis(50);
const EVENTS: u64 = 21;
const GROUPS: usize = 22;
const GROUP_ITEMS: usize = 4;
/// The trainer ends its step after this time: the deadline on the sheet.
const STEP_TIME: Duration = Duration::from_millis(12_000);
/// `contactMs`.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Crashes after which a request must not be sent again, and the retries that are allowed all the same.
const CRASHES: usize = 3;
const RETRIES: usize = 3;

pub fn play(record: Arc<Record>, has_trouble: bool) -> Verdict {
    let mut site = Site::new(record.clone());
    for number in 1..=SAMPLERS {
        site.start_sampler(&format!("i-llm{number}"), "llm", 12, Some(1), EVENT_TIME);
    }
    for number in 1..=2 {
        site.start_sampler(&format!("i-desk{number}"), "desk", 60, None, EVENT_TIME);
    }
    site.write_config(2, &[("cards".to_owned(), "/cards/".to_owned())]);
    for _ in 0..3 {
        site.start_daemon();
    }
    if !site.wait_ready() {
        return Verdict::NotRun;
    }
    let items: Vec<(String, String, u64)> = (0..GROUPS * GROUP_ITEMS)
        .map(|item| (format!("e5b2907c{item:04}"), format!("g{}", item / GROUP_ITEMS), EVENTS))
        .collect();
    let deadly = items[items.len() / 2].0.clone();
    if has_trouble {
        site.log.lock().unwrap().deadly.insert(deadly.clone());
        record.line(&format!("item {deadly} crashes each sampler that begins to run it"));
    }
    let job = Job {
        id: "7c41e09b52d6a3f8".to_owned(),
        prefix: "/cards/".to_owned(),
        step: 0,
        oldest_version: 1,
        desired: GROUPS * 9 / 10,
        items,
    };
    if site.submit(0, &job) != 202 {
        return Verdict::NotRun;
    }
    let started_at = Instant::now();
    let (mut position, mut listed) = (0, BTreeSet::new());
    let mut at = 0;
    while listed.len() < job.items.len() && started_at.elapsed() < STEP_TIME {
        at += 1;
        if let Some(results) = site.read(at % site.daemons.len(), &job.id, position) {
            position += results.len();
            listed.extend(results.iter().map(|result| result.get("id").text().to_owned()));
        }
        thread::sleep(Duration::from_millis(100));
    }
    site.end(0, &job.id);
    judge(&site, &record, &job, &deadly, listed.len())
}

/// BUDGET: a request that crashes the samplers that run it reaches samplers in more than three retries, sent by machines in touch
/// later than `contactMs` after it has crashed the third. No machine of the system is disturbed here.
fn judge(site: &Site, record: &Record, job: &Job, deadly: &str, listed: usize) -> Verdict {
    let log = site.log.lock().unwrap();
    let late_runs = log.crashes.get(CRASHES - 1).map_or(0, |third| {
        let runs = log.begun.get(deadly).into_iter().flatten();
        runs.filter(|run| **run > *third + CONTACT).count()
    });
    record.line(&format!(
        "{} of {} items listed; {} crashes of {SAMPLERS} samplers; the item was run {late_runs} times later than {} s after the \
         third crash",
        listed,
        job.items.len(),
        log.crashes.len(),
        CONTACT.as_secs()
    ));
    if late_runs > RETRIES { Verdict::Broken } else { Verdict::Held }
}
