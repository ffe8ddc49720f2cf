//! Two trainers share a route. Four groups of the first one have prompts that are larger than the memory of a sampler.

use crate::{
    sampler::{Run, Runs, Sampler},
    site::{Record, Site, item, route, send},
};
use serde_json::{Value, json};
use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

const ZONES: [&str; 3] = ["nadi", "lautoka", "suva"];
const ENGINES: usize = 8;
const SLOTS: u64 = 16;
/// Tokens that fit into the memory of a sampler.
const KV_TOKENS: u64 = 36_751;
/// Tokens of an item that is larger than that, and of the others.
const OVERSIZE_TOKENS: u64 = 60_000;
const TOKENS: u64 = 311;
/// Groups of the first trainer, of four items, and how many of them are too large.
const FIRST_GROUPS: usize = 18;
const FIRST_GROUP_ITEMS: usize = 4;
const OVERSIZE_GROUPS: usize = 4;
/// Groups of the second trainer, of eight items.
const SECOND_GROUPS: usize = 29;
const SECOND_GROUP_ITEMS: usize = 8;
/// Time after the first submission at which a trainer gives a step up.
const STEP: Duration = Duration::from_secs(12);
/// Time between the submissions of the two trainers.
const GAP: Duration = Duration::from_millis(50);
/// Time without a sampler that the rule names.
const IDLE: Duration = Duration::from_secs(5);

/// Groups that a trainer waits for: nine in ten.
fn awaited(groups: usize) -> usize {
    (groups * 9 + 5) / 10
}

fn submission(name: &str, groups: usize, group_items: usize, oversize_groups: usize) -> Vec<u8> {
    let items: Vec<Value> = (0..groups * group_items)
        .map(|number| {
            let group = number / group_items;
            let tokens = if group < oversize_groups { OVERSIZE_TOKENS } else { TOKENS };
            let mut item = item(&format!("{name}-{number}"), &format!("{name}-g{group}"), 21, 600);
            item["headers"]["Token-Count"] = json!(format!("{},40", tokens - 40));
            item["tokens"] = json!(tokens);
            item
        })
        .collect();
    json!({ "step": 0, "model": "verse", "minVersion": 1, "desired": awaited(groups), "items": items })
        .to_string()
        .into_bytes()
}

/// Groups of which all items are among `results`.
fn whole_groups(results: &[Value], groups: usize, group_items: usize) -> usize {
    let group_of = |result: &Value| {
        result["id"].as_str()?.rsplit('-').next()?.parse::<usize>().ok().map(|number| number / group_items)
    };
    let mut counts = vec![0; groups];
    results.iter().filter_map(group_of).for_each(|group| counts[group] += 1);
    counts.iter().filter(|count| **count == group_items).count()
}

/// Submits a step, reads its results until enough groups are whole or the step is over, and ends it. Returns when it was first
/// submitted, and whether enough groups were read in time.
async fn train(
    edges: Vec<SocketAddr>,
    name: &'static str,
    groups: usize,
    group_items: usize,
    body: Vec<u8>,
    record: Rc<RefCell<Record>>,
) -> (Instant, bool) {
    let begun = Instant::now();
    let headers = [("deadline-ms", "12000".to_owned())];
    let reply = send(edges[0], "POST", &format!("/wedding-card/{name}"), name, &headers, body, 4_000).await;
    record.borrow_mut().line(&format!("step {name} of {} items is submitted: {}", groups * group_items, reply.status));
    assert_eq!(reply.status, 202, "step {name} is not accepted");
    let mut results: Vec<Value> = Vec::new();
    let mut is_whole = false;
    for edge in edges.iter().cycle().skip(1) {
        if begun.elapsed() >= STEP || is_whole {
            break;
        }
        actix_rt::time::sleep(Duration::from_millis(500).min(STEP.saturating_sub(begun.elapsed()))).await;
        let path = format!("/pimentoslip/lots/{name}?after={}", results.len());
        let reply = send(*edge, "GET", &path, "read", &[], Vec::new(), 1_000).await;
        let page: Value = serde_json::from_slice(&reply.body).unwrap_or_default();
        results.extend(page["results"].as_array().cloned().unwrap_or_default());
        is_whole = whole_groups(&results, groups, group_items) >= awaited(groups);
    }
    let whole = whole_groups(&results, groups, group_items);
    record
        .borrow_mut()
        .line(&format!("step {name}: {whole} of {groups} groups read after {:.1} s", begun.elapsed().as_secs_f64()));
    let reply = send(edges[1], "DELETE", &format!("/pimentoslip/lots/{name}"), "end", &[], Vec::new(), 4_000).await;
    record.borrow_mut().line(&format!("the end of step {name}: {}", reply.status));
    (begun, is_whole)
}

/// Whether a run was at a sampler between `from` and `to`.
fn is_at_sampler(run: &Run, from: Instant, to: Instant) -> bool {
    run.at <= to && run.ended_at.is_none_or(|ended_at| ended_at >= from)
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
        json!({ "name": "counter", "healthPath": "/health", "maxConnections": 100 }),
        json!({ "name": "engine", "healthPath": "/health", "maxConnections": 150, "engine": { "models": [{ "name": "verse" }] } }),
    ];
    site.store.put("op/config", &Site::config(2, routes, services));
    let zone = |number: usize| ZONES[number % ZONES.len()];
    let _desks: Vec<_> = (0..12)
        .map(|number| Sampler::start(&site.store, &runs, "counter", zone(number), &format!("counter-{number}"), 6, 25))
        .collect();
    let engines: Vec<_> = (0..ENGINES)
        .map(|number| {
            Sampler::start_engine(
                &site.store,
                &runs,
                "engine",
                zone(number),
                &format!("engine-{number}"),
                SLOTS,
                20,
                KV_TOKENS,
            )
        })
        .collect();
    for number in 0..ZONES.len() {
        site.add_edge(number, zone(number), 110);
        site.start_edge(number);
    }
    site.wait_all_ready().await;
    *record.borrow_mut() = Record::create();
    let edges: Vec<SocketAddr> = site.edges.iter().map(|edge| edge.frontend).collect();
    let oversize_groups = if is_disrupted { OVERSIZE_GROUPS } else { 0 };
    let first = train(
        edges.clone(),
        "first",
        FIRST_GROUPS,
        FIRST_GROUP_ITEMS,
        submission("first", FIRST_GROUPS, FIRST_GROUP_ITEMS, oversize_groups),
        record.clone(),
    );
    let first = actix_rt::spawn(first);
    actix_rt::time::sleep(GAP).await;
    let turned: Vec<SocketAddr> = edges[1..].iter().chain(&edges[..1]).copied().collect();
    let second = train(
        turned,
        "second",
        SECOND_GROUPS,
        SECOND_GROUP_ITEMS,
        submission("second", SECOND_GROUPS, SECOND_GROUP_ITEMS, 0),
        record.clone(),
    );
    let second = actix_rt::spawn(second);
    // How many requests all model samplers work on, over time.
    let mut busy: Vec<(Instant, usize)> = Vec::new();
    let begun = Instant::now();
    while begun.elapsed() < STEP + Duration::from_secs(1) {
        actix_rt::time::sleep(Duration::from_millis(50)).await;
        let count = engines.iter().map(|engine| engine.running()).sum();
        busy.push((Instant::now(), count));
        if busy.len().is_multiple_of(20) {
            let runs = runs.borrow();
            let begun_items = (0..SECOND_GROUPS * SECOND_GROUP_ITEMS)
                .filter(|number| runs.iter().any(|run| run.id == format!("second-{number}")))
                .count();
            record
                .borrow_mut()
                .line(&format!("the samplers work on {count} requests; {begun_items} items of step second have begun"));
        }
    }
    let (Ok(_), Ok((submitted_at, is_whole))) = (first.await, second.await) else { return 2 };
    let runs = runs.borrow();
    let ran_out_at = submitted_at + STEP;
    let idle_from = ran_out_at - IDLE;
    let item_runs = |number: usize| {
        let id = format!("second-{number}");
        runs.iter().filter(move |run| run.id == id)
    };
    let numbers = 0..SECOND_GROUPS * SECOND_GROUP_ITEMS;
    let begun_count = numbers.clone().filter(|number| item_runs(*number).any(|run| run.at < ran_out_at)).count();
    let left: Vec<usize> = numbers
        .filter(|number| {
            let is_finished =
                item_runs(*number).any(|run| run.is_complete && run.ended_at.is_some_and(|at| at < ran_out_at));
            !is_finished && !item_runs(*number).any(|run| is_at_sampler(run, idle_from, ran_out_at))
        })
        .collect();
    let most_busy =
        busy.iter().filter(|(at, _)| *at >= idle_from && *at <= ran_out_at).map(|(_, count)| *count).max().unwrap_or(0);
    let slots = ENGINES * SLOTS as usize;
    let mut record = record.borrow_mut();
    record.line(&format!("step second ran out of time: {}; items that had begun: {begun_count}", !is_whole));
    record.line(&format!("items that were at no sampler in its last 5 s, and were not finished: {}", left.len()));
    record.line(&format!("most requests that the samplers worked on in these 5 s: {most_busy} of {slots}"));
    let is_broken = !is_whole && begun_count > 0 && !left.is_empty() && most_busy < slots / 2;
    record.line(if is_broken { "LOST is broken" } else { "LOST holds" });
    i32::from(is_broken)
}
