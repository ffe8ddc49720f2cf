//! A request that many callers repeat, while the samplers of one zone lose power for some seconds.

use crate::{
    sampler::{Runs, Sampler},
    site::{Record, Site, route, send},
};
use serde_json::json;
use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

/// Zones, with one edge and four samplers each.
const ZONES: [&str; 3] = ["nadi", "lautoka", "suva"];
const EDGES_PER_ZONE: usize = 1;
const SAMPLERS_PER_ZONE: usize = 4;
/// Requests a second on the later route.
const PER_SECOND: f64 = 6.0;
/// One in this many of them on the first route.
const QUOTE_DIVISOR: u64 = 3;
const WORK_MS: u64 = 25;
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Begin and length of the disruption.
const DARK_AT: Duration = Duration::from_secs(12);
const DARK: Duration = Duration::from_secs(5);
/// Requests are judged from here on: `contactMs` and more after the samplers are back.
const STEADY_AT: Duration = Duration::from_secs(30);
const END_AT: Duration = Duration::from_secs(55);
const DEADLINE_MS: u64 = 2_000;

/// A caller's request with its attempts.
struct Outcome {
    sent_at: Duration,
    route: &'static str,
    is_served: bool,
}

/// Sends a request, and once more after a refusal that says it has not run.
async fn ask(site: Rc<Site>, edge: usize, route: &'static str, number: u64, record: Rc<RefCell<Record>>) -> Outcome {
    let sent_at = record.borrow().elapsed();
    let started = Instant::now();
    // The popular request is the same each time, those on the first route differ.
    let body = if route == "menu" { "bouquets of today".to_owned() } else { format!("quote {number}") };
    for attempt in 0..2 {
        let edge = (edge + attempt) % site.edges.len();
        let left_ms = DEADLINE_MS.saturating_sub(started.elapsed().as_millis() as u64);
        let id = format!("{route}-{number}-{attempt}");
        let path = format!("/{route}/today");
        let headers = [("deadline-ms", left_ms.to_string())];
        let frontend = site.edges[edge].frontend;
        let reply = send(frontend, "POST", &path, &id, &headers, body.clone().into_bytes(), left_ms).await;
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        record.borrow_mut().line(&format!("{id} at {}: {} {text}", site.edges[edge].name, reply.status));
        if reply.status == 200 {
            return Outcome { sent_at, route, is_served: true };
        }
        let wait_ms = (left_ms / 3).min(100);
        actix_rt::time::sleep(Duration::from_millis(wait_ms)).await;
    }
    Outcome { sent_at, route, is_served: false }
}

pub async fn run(is_disrupted: bool) -> i32 {
    let record = Rc::new(RefCell::new(Record::create()));
    let runs: Runs = Rc::default();
    let mut site = Site::prepare();
    let config = |version: u64, with_menu: bool| {
        let mut routes = vec![route("quote", "safe", "counter")];
        if with_menu {
            routes.push(route("menu", "safe", "counter"));
        }
        Site::config(
            version,
            routes,
            vec![json!({ "name": "counter", "healthPath": "/health", "maxConnections": 110 })],
        )
    };
    site.store.put("op/config", &config(2, false));
    let samplers: Vec<Rc<Sampler>> = ZONES
        .iter()
        .flat_map(|zone| (0..SAMPLERS_PER_ZONE).map(move |number| (*zone, format!("counter-{zone}-{number}"))))
        .map(|(zone, id)| Sampler::start(&site.store, &runs, "counter", zone, &id, 6, WORK_MS))
        .collect();
    for number in 0..ZONES.len() * EDGES_PER_ZONE {
        site.add_edge(number, ZONES[number % ZONES.len()], 110);
        site.start_edge(number);
    }
    site.wait_all_ready().await;
    let site = Rc::new(site);
    *record.borrow_mut() = Record::create();
    let mut asked = Vec::new();
    let (mut has_menu, mut is_dark) = (false, false);
    let mut number = 0_u64;
    let mut random = std::time::UNIX_EPOCH.elapsed().map_or(1, |elapsed| elapsed.subsec_nanos()) | 1;
    loop {
        let elapsed = record.borrow().elapsed();
        if elapsed >= END_AT {
            break;
        }
        if !has_menu && elapsed >= Duration::from_secs(2) {
            has_menu = true;
            site.store.put("op/config", &config(3, true));
            record.borrow_mut().line("configuration 3 adds the route menu");
        }
        if is_disrupted && !is_dark && elapsed >= DARK_AT {
            is_dark = true;
            record.borrow_mut().line("the samplers of nadi lose power");
            for sampler in samplers.iter().filter(|sampler| sampler.id.contains("nadi")) {
                actix_rt::spawn(sampler.clone().lose_power(DARK, HEARTBEAT));
            }
        }
        let edge = number as usize % site.edges.len();
        if number.is_multiple_of(QUOTE_DIVISOR) {
            let edge = (number / QUOTE_DIVISOR) as usize % site.edges.len();
            asked.push(actix_rt::spawn(ask(site.clone(), edge, "quote", number, record.clone())));
        }
        if elapsed >= Duration::from_secs(6) {
            asked.push(actix_rt::spawn(ask(site.clone(), edge, "menu", number, record.clone())));
        }
        number += 1;
        // Callers do not ask at regular intervals.
        random ^= random << 13;
        random ^= random >> 17;
        random ^= random << 5;
        let factor = 0.5 + f64::from(random) / f64::from(u32::MAX);
        actix_rt::time::sleep(Duration::from_secs_f64(factor / PER_SECOND)).await;
    }
    let mut outcomes = Vec::new();
    for task in asked {
        outcomes.extend(task.await);
    }
    let share = |route: &str, from: Duration, to: Duration| {
        let judged: Vec<&Outcome> = outcomes
            .iter()
            .filter(|outcome| outcome.route == route && outcome.sent_at >= from && outcome.sent_at < to)
            .collect();
        (judged.iter().filter(|outcome| outcome.is_served).count(), judged.len())
    };
    for (name, from, to) in
        [("before", Duration::ZERO, DARK_AT), ("between", DARK_AT, STEADY_AT), ("steady state", STEADY_AT, END_AT)]
    {
        for route in ["quote", "menu"] {
            let (served, sent) = share(route, from, to);
            record.borrow_mut().line(&format!("{name}: route {route}: {served} of {sent} requests served"));
        }
    }
    let (first, later) = (share("quote", STEADY_AT, END_AT), share("menu", STEADY_AT, END_AT));
    if first.1 == 0 || later.1 < 20 {
        return 2;
    }
    let is_broken = (later.0 as f64 / later.1 as f64) < 0.25 * (first.0 as f64 / first.1 as f64);
    record.borrow_mut().line(if is_broken { "CONFIG is broken" } else { "CONFIG holds" });
    site.print_marks(&mut record.borrow_mut());
    i32::from(is_broken)
}
