//! A route of batch jobs sends one item in ten to a second service, whose only sampler is lost for good.

use crate::{
    sampler::{Runs, Sampler},
    site::{Record, Site, item, route, send},
};
use serde_json::{Value, json};
use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

const ZONES: [&str; 3] = ["nadi", "lautoka", "suva"];
const ENGINES: usize = 8;
const SLOTS: u64 = 16;
const KV_TOKENS: u64 = 36_751;
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Groups of the step, of four items each.
const GROUPS: usize = 24;
const GROUP_ITEMS: usize = 4;
const ITEMS: usize = GROUPS * GROUP_ITEMS;
/// Time from the loss of the sampler to the step: its entry is gone, and `contactMs` is over.
const LOSS_TO_STEP: Duration = Duration::from_secs(8);
/// Time after the first submission at which the trainer gives the step up.
const STEP: Duration = Duration::from_secs(12);
/// Time without a sampler that the rule names.
const IDLE: Duration = Duration::from_secs(5);

fn config(version: u64, is_split: bool) -> Value {
    let mut cards = route("wedding-card", "rollout", "verse-lm");
    if is_split {
        cards["service"] = Value::Null;
        cards["trafficSplit"] =
            json!([{ "service": "verse-lm", "weight": 90 }, { "service": "verse-lm-next", "weight": 10 }]);
    }
    let engine = |name: &str| json!({ "name": name, "healthPath": "/health", "maxConnections": 180, "engine": { "models": [{ "name": "verse" }] } });
    let routes = vec![route("quote", "safe", "counter"), route("score", "safe", "counter"), cards];
    let counter = json!({ "name": "counter", "healthPath": "/health", "maxConnections": 110 });
    Site::config(version, routes, vec![counter, engine("verse-lm"), engine("verse-lm-next")])
}

pub async fn run(is_disrupted: bool) -> i32 {
    let mut record = Record::create();
    let runs: Runs = Rc::default();
    let mut site = Site::prepare();
    site.store.put("op/config", &config(2, false));
    let zone = |number: usize| ZONES[number % ZONES.len()];
    let _counters: Vec<_> = (0..12)
        .map(|number| Sampler::start(&site.store, &runs, "counter", zone(number), &format!("counter-{number}"), 6, 25))
        .collect();
    let start_engine = |service: &str, number: usize| {
        let id = format!("{service}-{number}");
        Sampler::start_engine(&site.store, &runs, service, zone(number), &id, SLOTS, 20, KV_TOKENS)
    };
    let engines: Vec<_> = (0..ENGINES).map(|number| start_engine("verse-lm", number)).collect();
    let next_engine = start_engine("verse-lm-next", 0);
    for number in 0..ZONES.len() {
        site.add_edge(number, zone(number), 110);
        site.start_edge(number);
    }
    site.wait_all_ready().await;
    record = {
        drop(record);
        Record::create()
    };
    let edges: Vec<SocketAddr> = site.edges.iter().map(|edge| edge.frontend).collect();
    site.store.put("op/config", &config(3, true));
    record.line("configuration 3 sends one item in ten to verse-lm-next");
    actix_rt::time::sleep(Duration::from_secs(4)).await;
    if is_disrupted {
        record.line("the sampler of verse-lm-next is lost for good");
        actix_rt::spawn(next_engine.clone().end(HEARTBEAT));
    }
    actix_rt::time::sleep(LOSS_TO_STEP).await;
    let items: Vec<Value> = (0..ITEMS)
        .map(|number| {
            let mut item = item(&format!("item-{number}"), &format!("g{}", number / GROUP_ITEMS), 22, 600);
            item["headers"]["Token-Count"] = json!("271,40");
            item["tokens"] = json!(311);
            item
        })
        .collect();
    let body = json!({ "step": 0, "model": "verse", "minVersion": 1, "desired": 22, "items": items }).to_string();
    let submitted_at = Instant::now();
    let headers = [("deadline-ms", "12000".to_owned())];
    let reply = send(edges[0], "POST", "/wedding-card/step", "step", &headers, body.into_bytes(), 4_000).await;
    record.line(&format!("a step of {ITEMS} items is submitted: {}", reply.status));
    if reply.status != 202 {
        return 2;
    }
    let (mut read, mut busy) = (0, Vec::new());
    while submitted_at.elapsed() < STEP {
        actix_rt::time::sleep(Duration::from_millis(50)).await;
        let count: usize = engines.iter().map(|engine| engine.running()).sum();
        busy.push((submitted_at.elapsed(), count));
        if busy.len().is_multiple_of(20) {
            let edge = edges[busy.len() / 20 % edges.len()];
            let reply =
                send(edge, "GET", &format!("/pimentoslip/lots/step?after={read}"), "read", &[], Vec::new(), 800).await;
            let page: Value = serde_json::from_slice(&reply.body).unwrap_or_default();
            read = page["next"].as_u64().unwrap_or(read);
            record.line(&format!("{read} results are listed; the samplers of verse-lm work on {count} requests"));
        }
    }
    let ran_out_at = submitted_at + STEP;
    let reply = send(edges[1], "DELETE", "/pimentoslip/lots/step", "end", &[], Vec::new(), 4_000).await;
    record.line(&format!("the step ran out of time and is ended: {}", reply.status));
    let runs = runs.borrow();
    let item_runs = |number: usize| {
        let id = format!("item-{number}");
        runs.iter().filter(move |run| run.id == id)
    };
    let begun = (0..ITEMS).filter(|number| item_runs(*number).next().is_some()).count();
    let left = (0..ITEMS)
        .filter(|number| {
            !item_runs(*number).any(|run| run.is_complete)
                && !item_runs(*number).any(|run| run.ended_at.is_none_or(|at| at >= ran_out_at - IDLE))
        })
        .count();
    let most_busy = busy.iter().filter(|(at, _)| *at >= STEP - IDLE).map(|(_, count)| *count).max().unwrap_or(0);
    let slots = ENGINES * SLOTS as usize;
    record.line(&format!("items that had begun: {begun} of {ITEMS}; results read: {read}"));
    record.line(&format!("items that were at no sampler in its last 5 s, and were not finished: {left}"));
    record.line(&format!("most requests that the samplers worked on in these 5 s: {most_busy} of {slots}"));
    // The items that are drawn for the lost service cannot run: about one in ten, and not judged.
    let is_broken = begun > 0 && left > ITEMS / 4 && most_busy < slots / 2;
    record.line(if is_broken { "LOST is broken" } else { "LOST holds" });
    i32::from(is_broken)
}
