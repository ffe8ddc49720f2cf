//! MIXED: a daemon of the site stands still for a moment while a configuration with new routes is written. Batch jobs on these
//! routes are accepted, and some are given to a daemon that does not know the configuration yet, which terminates their items.

use crate::{
    Verdict,
    record::Record,
    site::{Job, Site},
};
use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

const DAEMONS: usize = 4;
const ROUTES: usize = 60;
const EVENT_TIME: Duration = Duration::from_millis(20);
const FREEZE_TIME: Duration = Duration::from_millis(1_500);

pub fn play(record: Arc<Record>, has_trouble: bool) -> Verdict {
    let mut site = Site::new(record.clone());
    for number in 1..=4 {
        site.start_sampler(&format!("i-llm{number}"), "llm", 12, Some(1), EVENT_TIME);
    }
    for number in 1..=2 {
        site.start_sampler(&format!("i-desk{number}"), "desk", 20, None, EVENT_TIME);
    }
    let mut routes = vec![("cards".to_owned(), "/cards/".to_owned())];
    site.write_config(2, &routes);
    for _ in 0..DAEMONS {
        site.start_daemon();
    }
    if !site.wait_ready() {
        return Verdict::NotRun;
    }
    let mut accepted: Vec<Job> = Vec::new();
    for frozen in 0..DAEMONS {
        let frozen_at = Instant::now();
        if has_trouble {
            site.daemons[frozen].signal("STOP");
            record.line(&format!("{} stands still", site.daemons[frozen].name));
        }
        thread::sleep(Duration::from_millis(100));
        let first = routes.len();
        routes.extend((0..ROUTES).map(|route| (format!("r{frozen}x{route}"), format!("/new{frozen}x{route}/"))));
        site.write_config(3 + frozen as u64 * 2, &routes);
        // A trainer starts on each new route. One that is told that the route does not exist does not try again.
        thread::sleep(Duration::from_millis(200));
        let others: Vec<usize> = (0..DAEMONS).filter(|daemon| *daemon != frozen).collect();
        for (number, (name, prefix)) in routes[first..].iter().enumerate() {
            let job = Job {
                id: format!("job-{name}"),
                prefix: prefix.clone(),
                step: 0,
                oldest_version: 1,
                desired: 1,
                items: vec![
                    (format!("e-{name}-1"), format!("g-{name}"), 4),
                    (format!("e-{name}-2"), format!("g-{name}"), 4),
                ],
            };
            if site.submit(others[number % others.len()], &job) == 202 {
                accepted.push(job);
            }
            thread::sleep(Duration::from_millis(15));
        }
        if has_trouble {
            thread::sleep(FREEZE_TIME.saturating_sub(frozen_at.elapsed()));
            site.daemons[frozen].signal("CONT");
            record.line(&format!(
                "{} goes on after {:.2} s",
                site.daemons[frozen].name,
                frozen_at.elapsed().as_secs_f64()
            ));
        }
        thread::sleep(Duration::from_millis(1_500));
    }
    judge(&site, &record, &accepted)
}

/// MIXED: a result is `terminated` before a 422, `maxAttempts` answers of 500, `retentionS`, the end of its batch job or of its
/// route. Here no item fails, no job was ended, each route is in all later configurations, and a minute has not passed.
fn judge(site: &Site, record: &Record, accepted: &[Job]) -> Verdict {
    let (mut completed, mut terminated, mut missing) = (0, 0, 0);
    for job in accepted {
        let mut results = Vec::new();
        for attempt in 0..8 {
            if let Some(more) = site.read(attempt % DAEMONS, &job.id, results.len()) {
                results.extend(more);
            }
            if results.len() == job.items.len() {
                break;
            }
        }
        terminated += results.iter().filter(|result| result.get("state").text() == "terminated").count();
        completed += results.iter().filter(|result| result.get("state").text() == "completed").count();
        missing += job.items.len() - results.len();
    }
    record.line(&format!(
        "{} jobs accepted; of their items {completed} completed, {terminated} terminated, {missing} not listed yet",
        accepted.len()
    ));
    match (accepted.is_empty(), terminated) {
        (true, _) => Verdict::NotRun,
        (false, 0) => Verdict::Held,
        (false, _) => Verdict::Broken,
    }
}
