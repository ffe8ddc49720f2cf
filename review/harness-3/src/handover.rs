//! The edges are stopped and started in turn, while an item of a batch job fails at each run.

use crate::{
    sampler::{Runs, Sampler},
    site::{Record, Site, item, route, send},
};
use serde_json::json;
use std::{
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

const ZONES: [&str; 3] = ["huamanga", "carmen-alto", "san-juan"];
const EDGES: usize = 7;
/// Items that fail at each run; their ids begin with [`FAILING_ID`].
const FAILING_ITEMS: usize = 4;
pub const FAILING_ID: &str = "failing";
/// Attempts that the route allows.
const ATTEMPTS_MAX: usize = 3;
/// Time between two stops; the largest of the site's days is 2 s.
const GAP: Duration = Duration::from_millis(1_300);
/// Time after the submission at which the trainer gives the step up.
const STEP: Duration = Duration::from_secs(12);

pub async fn run(is_disrupted: bool) -> i32 {
    let runs: Runs = Rc::default();
    let mut site = Site::prepare();
    let routes = vec![
        route("tray-quote", "safe", "order-desk"),
        route("score", "safe", "order-desk"),
        route("card-rollout", "rollout", "engine"),
    ];
    let services = vec![
        json!({ "name": "order-desk", "healthPath": "/health", "maxConnections": 100 }),
        json!({ "name": "engine", "healthPath": "/health", "maxConnections": 150, "engine": { "models": [{ "name": "verse" }] } }),
    ];
    site.store.put("op/config", &Site::config(2, routes, services));
    let zone = |number: usize| ZONES[number % ZONES.len()];
    let _desks: Vec<_> = (0..3)
        .map(|number| Sampler::start(&site.store, &runs, "order-desk", zone(number), &format!("desk-{number}"), 6, 25))
        .collect();
    let _engines: Vec<_> = (0..9)
        .map(|number| {
            let id = format!("engine-{number}");
            Sampler::start_engine(&site.store, &runs, "engine", zone(number), &id, 12, 20, 45_902)
        })
        .collect();
    for number in 0..EDGES {
        site.add_edge(number, zone(number), 260);
        site.start_edge(number);
    }
    site.wait_all_ready().await;
    let mut record = Record::create();
    let mut items: Vec<_> =
        (0..FAILING_ITEMS).map(|number| item(&format!("{FAILING_ID}-{number}"), "g0", 21, 600)).collect();
    items.extend((0..20).map(|number| item(&format!("sound-{number}"), &format!("g{}", 1 + number / 4), 21, 600)));
    let body = json!({ "step": 0, "model": "verse", "minVersion": 1, "desired": 6, "items": items }).to_string();
    let submitted_at = Instant::now();
    let headers = [("deadline-ms", "12000".to_owned())];
    let reply =
        send(site.edges[0].frontend, "POST", "/card-rollout/step", "step", &headers, body.into_bytes(), 4_000).await;
    record.line(&format!("a step is submitted: {}", reply.status));
    if reply.status != 202 {
        return 2;
    }
    let mut stopped: Vec<usize> = Vec::new();
    let mut next_stop = submitted_at + GAP;
    while submitted_at.elapsed() < STEP {
        actix_rt::time::sleep(Duration::from_millis(20)).await;
        for edge in stopped.clone() {
            if site.has_ended(edge) {
                site.start_edge(edge);
            }
        }
        if is_disrupted && Instant::now() >= next_stop && stopped.len() < EDGES {
            next_stop += GAP;
            // First the machine that started a task last.
            let owner = site.last_edge_with("event=job_begun job=step ");
            let owner = owner.filter(|owner| !stopped.contains(owner));
            let Some(edge) = owner.or_else(|| (0..EDGES).find(|edge| !stopped.contains(edge))) else { continue };
            record.line(&format!("{} gets SIGTERM", site.edges[edge].name));
            site.terminate(edge);
            stopped.push(edge);
        }
    }
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for run in runs.borrow().iter().filter(|run| run.id.starts_with(FAILING_ID)) {
        *counts.entry(run.id.clone()).or_default() += 1;
        let at = run.at.duration_since(submitted_at).as_secs_f64();
        record.line(&format!("{} reached a sampler {at:.3} s after its submission", run.id));
    }
    for (id, count) in &counts {
        record.line(&format!("{id} reached a sampler {count} times, and was answered 500 each time"));
    }
    let Some(most) = counts.values().max().copied() else { return 2 };
    let is_broken = most > 3 * ATTEMPTS_MAX;
    record.line(if is_broken { "BUDGET is broken" } else { "BUDGET holds" });
    i32::from(is_broken)
}
