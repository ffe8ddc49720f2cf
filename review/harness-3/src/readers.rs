//! Many clients read the results of one batch job at the same moment.

use crate::{
    caller::{CallerCounts, call_repeatedly},
    sampler::{Runs, Sampler},
    site::{Record, Site, item, route, send},
};
use serde_json::{Value, json};
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

const ZONES: [&str; 3] = ["nadi", "lautoka", "suva"];
/// Memory of an edge, above which its process is killed.
const MEMORY_MB: u64 = 110;
/// Items of the batch job, in groups of eight; each has 22 events.
const ITEMS: usize = 232;
const EVENTS: u64 = 22;
/// Callers on kept connections at each edge.
const CALLERS_PER_EDGE: usize = 10;
/// Time that a sampler of `counter` takes for an answer.
const WORK_MS: u64 = 200;
/// Clients that read the results, with and without the disruption.
const READERS: usize = 300;
const READERS_CALM: usize = 6;
/// Interval at which each of them reads.
const READ_INTERVAL: Duration = Duration::from_millis(500);
const READ_AT: Duration = Duration::from_secs(8);
const END_AT: Duration = Duration::from_secs(20);
/// Delay before a process that has ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Lost requests that the rule allows.
const LOST_MAX: usize = 3;

pub async fn run(is_disrupted: bool) -> i32 {
    let record = Rc::new(RefCell::new(Record::create()));
    let runs: Runs = Rc::default();
    let mut site = Site::prepare();
    let routes = vec![
        route("stock", "safe", "counter"),
        route("score", "safe", "counter"),
        route("wedding-card", "rollout", "engine"),
    ];
    let services = vec![
        json!({ "name": "counter", "healthPath": "/health", "maxConnections": 110 }),
        json!({ "name": "engine", "healthPath": "/health", "maxConnections": 180, "engine": { "models": [{ "name": "verse" }] } }),
    ];
    site.store.put("op/config", &Site::config(2, routes, services));
    let zone = |number: usize| ZONES[number % ZONES.len()];
    let _counters: Vec<_> = (0..12)
        .map(|number| {
            Sampler::start(&site.store, &runs, "counter", zone(number), &format!("counter-{number}"), 6, WORK_MS)
        })
        .collect();
    let _engines: Vec<_> = (0..8)
        .map(|number| {
            let id = format!("engine-{number}");
            Sampler::start_engine(&site.store, &runs, "engine", zone(number), &id, 16, 20, 36_751)
        })
        .collect();
    for number in 0..ZONES.len() {
        site.add_edge(number, zone(number), MEMORY_MB);
        site.start_edge(number);
    }
    site.wait_all_ready().await;
    *record.borrow_mut() = Record::create();
    let counts = Rc::<CallerCounts>::default();
    for edge in &site.edges {
        for number in 0..CALLERS_PER_EDGE {
            let name = format!("stock-{}-{number}", edge.name);
            let (runs, counts, record) = (runs.clone(), counts.clone(), record.clone());
            actix_rt::spawn(call_repeatedly(edge.frontend, name, runs, counts, record, END_AT));
        }
    }
    let items: Vec<Value> = (0..ITEMS)
        .map(|number| {
            let mut item = item(&format!("item-{number}"), &format!("g{}", number / 8), EVENTS, 600);
            item["headers"]["Token-Count"] = json!("271,40");
            item
        })
        .collect();
    let body = json!({ "step": 0, "model": "verse", "minVersion": 1, "desired": 26, "items": items }).to_string();
    let frontends: Vec<_> = site.edges.iter().map(|edge| edge.frontend).collect();
    let headers = [("deadline-ms", "12000".to_owned())];
    let reply = send(frontends[0], "POST", "/wedding-card/step", "step", &headers, body.into_bytes(), 4_000).await;
    record.borrow_mut().line(&format!("a batch job of {ITEMS} items is submitted: {}", reply.status));
    while record.borrow().elapsed() < READ_AT {
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
    let path = "/pimentoslip/lots/step?after=0";
    let reply = send(frontends[1], "GET", path, "read", &[], Vec::new(), 4_000).await;
    let page: Value = serde_json::from_slice(&reply.body).unwrap_or_default();
    record.borrow_mut().line(&format!(
        "a page has {} of {} results, {} bytes",
        page["next"],
        page["total"],
        reply.body.len()
    ));
    if page["next"].as_u64().is_none_or(|next| next < 100) {
        return 2;
    }
    let readers = if is_disrupted { READERS } else { READERS_CALM };
    record.borrow_mut().line(&format!("{readers} clients read it from now on, each twice a second"));
    let (read, unread) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
    for number in 0..readers {
        let (frontends, read, unread, record) = (frontends.clone(), read.clone(), unread.clone(), record.clone());
        actix_rt::spawn(async move {
            let mut edge = number;
            while record.borrow().elapsed() < END_AT {
                let reply = send(frontends[edge % frontends.len()], "GET", path, "read", &[], Vec::new(), 4_000).await;
                let counter = if reply.status == 200 { &read } else { &unread };
                counter.set(counter.get() + 1);
                edge += 1;
                actix_rt::time::sleep(READ_INTERVAL).await;
            }
        });
    }
    let edge_count = ZONES.len();
    let (mut ends, mut peaks, mut restart_at) = (vec![0; edge_count], vec![0; edge_count], vec![None; edge_count]);
    while record.borrow().elapsed() < END_AT {
        for edge in 0..edge_count {
            if let Some(at) = restart_at[edge] {
                if Instant::now() >= at {
                    restart_at[edge] = None;
                    site.start_edge(edge);
                }
                continue;
            }
            let resident = site.resident_bytes(edge);
            peaks[edge] = peaks[edge].max(resident.unwrap_or(0) >> 20);
            if resident.is_some_and(|bytes| bytes <= MEMORY_MB << 20) {
                continue;
            }
            ends[edge] += 1;
            let text = resident.map_or("ended".to_owned(), |bytes| format!("uses {} MB and is killed", bytes >> 20));
            record.borrow_mut().line(&format!("the process of {} {text}", site.edges[edge].name));
            if let Some(mut process) = site.edges[edge].process.take() {
                let _ = process.kill();
                let _ = process.wait();
            }
            restart_at[edge] = Some(Instant::now() + RESTART_DELAY);
        }
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    actix_rt::time::sleep(Duration::from_secs(4)).await;
    let lost = counts.lost.borrow().len();
    let mut record = record.borrow_mut();
    record.line(&format!("ends of the edges' processes: {ends:?}; largest memory in MB: {peaks:?}"));
    record.line(&format!("reads: {} answered with 200, {} not", read.get(), unread.get()));
    record.line(&format!("requests of callers: {} sent, {} served", counts.sent.get(), counts.served.get()));
    record.line(&format!(
        "requests on kept connections that were passed on to a sampler and not answered: {lost}; {LOST_MAX} are allowed"
    ));
    record.line(if lost > LOST_MAX { "LOST is broken" } else { "LOST holds" });
    i32::from(lost > LOST_MAX)
}
