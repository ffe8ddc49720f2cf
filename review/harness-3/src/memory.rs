//! Trainers submit batch jobs with long prompts at the same moment, each within the limit on bodies.

use crate::{
    caller::{CallerCounts, call_repeatedly},
    sampler::{Runs, Sampler},
    site::{Record, Site, item, route, send},
};
use serde_json::{Value, json};
use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

const ZONES: [&str; 3] = ["nadi", "lautoka", "suva"];
/// Memory of an edge, above which its process is killed.
const MEMORY_MB: u64 = 110;
const TRAINERS: usize = 8;
/// Groups of a batch job, of four items each.
const GROUPS: usize = 24;
const GROUP_ITEMS: usize = 4;
/// Bytes of an item's body, with and without the disruption. The limit on the body of a batch job is 33,554,432.
const LONG_PROMPT_BYTES: usize = 80 << 10;
const PROMPT_BYTES: usize = 600;
/// Callers at each edge.
const CALLERS_PER_EDGE: usize = 10;
/// Time that a sampler of `counter` takes for an answer.
const WORK_MS: u64 = 200;
const SUBMIT_AT: Duration = Duration::from_secs(3);
/// Time after the first submission at which a trainer gives a step up.
const STEP: Duration = Duration::from_secs(12);
const END_AT: Duration = Duration::from_secs(30);
/// Delay before a process that has ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Lost requests that the rule allows.
const LOST_MAX: usize = 3;

/// Body of the batch job of one trainer.
fn submission(trainer: usize, prompt_bytes: usize) -> Vec<u8> {
    let items: Vec<Value> = (0..GROUPS * GROUP_ITEMS)
        .map(|number| {
            let group = format!("g{trainer}x{}", number / GROUP_ITEMS);
            let mut item = item(&format!("i{trainer}x{number}"), &group, 22, prompt_bytes);
            // About four bytes a token.
            let prompt_tokens = prompt_bytes / 4;
            item["headers"]["Token-Count"] = json!(format!("{prompt_tokens},40"));
            item["tokens"] = json!(prompt_tokens + 40);
            item
        })
        .collect();
    json!({ "step": 0, "model": "verse", "minVersion": 1, "desired": GROUPS * 9 / 10, "items": items })
        .to_string()
        .into_bytes()
}

/// Submits a batch job until it is accepted, each time at another edge, reads its results until the step is over, and ends it.
/// Returns how many results were read, or `None` if it was not accepted.
async fn train(site: Rc<RefCell<Site>>, trainer: usize, body: Vec<u8>, record: Rc<RefCell<Record>>) -> Option<usize> {
    let (id, begun) = (format!("job-{trainer}"), Instant::now());
    let frontends: Vec<_> = site.borrow().edges.iter().map(|edge| edge.frontend).collect();
    let mut edge = trainer;
    loop {
        let headers = [("deadline-ms", "12000".to_owned())];
        let reply = send(
            frontends[edge % frontends.len()],
            "POST",
            &format!("/wedding-card/{id}"),
            &id,
            &headers,
            body.clone(),
            4_000,
        )
        .await;
        record.borrow_mut().line(&format!("{id} of {} bytes is submitted: {}", body.len(), reply.status));
        if reply.status == 202 {
            break;
        }
        if begun.elapsed() > STEP {
            return None;
        }
        edge += 1;
        actix_rt::time::sleep(Duration::from_millis(200)).await;
    }
    let mut read = 0;
    while begun.elapsed() < STEP && read < GROUPS * GROUP_ITEMS {
        actix_rt::time::sleep(Duration::from_millis(500)).await;
        edge += 1;
        let path = format!("/pimentoslip/lots/{id}?after={read}");
        let reply = send(frontends[edge % frontends.len()], "GET", &path, "read", &[], Vec::new(), 2_500).await;
        let page: Value = serde_json::from_slice(&reply.body).unwrap_or_default();
        read = page["next"].as_u64().map_or(read, |next| next as usize);
    }
    let reply = send(
        frontends[(edge + 1) % frontends.len()],
        "DELETE",
        &format!("/pimentoslip/lots/{id}"),
        "end",
        &[],
        Vec::new(),
        4_000,
    )
    .await;
    let took = begun.elapsed().as_secs_f64();
    record.borrow_mut().line(&format!(
        "{id}: {read} of {} results read after {took:.1} s; its end: {}",
        GROUPS * GROUP_ITEMS,
        reply.status
    ));
    Some(read)
}

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
    let counters: Vec<_> = (0..12)
        .map(|number| {
            Sampler::start(&site.store, &runs, "counter", zone(number), &format!("counter-{number}"), 6, WORK_MS)
        })
        .collect();
    let engines: Vec<_> = (0..8)
        .map(|number| {
            Sampler::start_engine(
                &site.store,
                &runs,
                "engine",
                zone(number),
                &format!("engine-{number}"),
                16,
                20,
                36_751,
            )
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
            actix_rt::spawn(call_repeatedly(edge.frontend, name, runs.clone(), counts.clone(), record.clone(), END_AT));
        }
    }
    let site = Rc::new(RefCell::new(site));
    let edge_count = ZONES.len();
    let (mut ends, mut peaks, mut restart_at) = (vec![0; edge_count], vec![0; edge_count], vec![None; edge_count]);
    let mut trainers = Vec::new();
    while record.borrow().elapsed() < END_AT {
        if trainers.is_empty() && record.borrow().elapsed() >= SUBMIT_AT {
            let prompt_bytes = if is_disrupted { LONG_PROMPT_BYTES } else { PROMPT_BYTES };
            for trainer in 0..TRAINERS {
                let body = submission(trainer, prompt_bytes);
                trainers.push(actix_rt::spawn(train(site.clone(), trainer, body, record.clone())));
            }
        }
        for edge in 0..edge_count {
            let mut site = site.borrow_mut();
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
    let mut read = Vec::new();
    for trainer in trainers {
        read.push(trainer.await.ok().flatten());
    }
    actix_rt::time::sleep(Duration::from_secs(3)).await;
    let lost = counts.lost.borrow().len();
    let mut record = record.borrow_mut();
    record.line(&format!("ends of the edges' processes: {ends:?}; largest memory in MB: {peaks:?}"));
    record.line(&format!("results read of {} for each batch job: {read:?}", GROUPS * GROUP_ITEMS));
    record.line(&format!("requests of callers: {} sent, {} served", counts.sent.get(), counts.served.get()));
    record.line(&format!(
        "requests on kept connections that were passed on to a sampler and not answered: {lost}; {LOST_MAX} are allowed"
    ));
    if counts.served.get() == 0 || counters.is_empty() || engines.is_empty() {
        return 2;
    }
    record.line(if lost > LOST_MAX { "LOST is broken" } else { "LOST holds" });
    i32::from(lost > LOST_MAX)
}
