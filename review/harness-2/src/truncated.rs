//! Case: a model sampler is killed while it sends an answer that has no length and ends with its connection.

use crate::{
    engine::{Engine, EngineOptions, whole_text},
    jobs::{read_results, submission, submit},
    site::{Folder, KEY, Options, Record, register, route, start_edges, write_config},
    store::Store,
};
use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

const EVENTS: u64 = 21;
const EVENT_MS: u64 = 60;
/// Batch jobs, and the items of each.
const JOBS: usize = 7;
const ITEMS: usize = 88;
const SAMPLERS: usize = 9;
/// The answer of one sampler that has no length: one in fifty.
const UNFRAMED_ANSWER: u64 = 50;
/// Event after which that sampler is killed.
const KILLED_AFTER: u64 = 5;
/// Time until the sampler is back; the site file has 4.5 s.
const DOWN: Duration = Duration::from_millis(4_500);
/// Time after which the entry of a silent sampler is removed: three heartbeats.
const LISTED: Duration = Duration::from_millis(3_600);
const MODEL: &str = "daka510000";

pub fn run(record: &Arc<Record>, has_trouble: bool) -> io::Result<bool> {
    let folder = Folder::create()?;
    let store = Store::start()?;
    let zones: &'static [&'static str] = &["huamanga", "carmen-alto", "san-juan"];
    let mut engines = Vec::new();
    for index in 0..SAMPLERS {
        let unframed_answer = if index == 0 { UNFRAMED_ANSWER } else { 0 };
        let options = EngineOptions { id: format!("i-{index}"), events: EVENTS, event_ms: EVENT_MS, unframed_answer };
        let engine = Engine::start(&options, record)?;
        register(&store, &engine.id, "rollout-llm", engine.address, zones[index % 3], 12, Some(MODEL));
        engines.push(engine);
    }
    let service = format!(
        "{{\"name\":\"rollout-llm\",\"healthPath\":\"/health\",\"maxConnections\":150,\"engine\":{{\"slots\":12,\"models\":[{{\"name\":\"{MODEL}\"}}]}}}}"
    );
    write_config(&store, 2, &[route("cards", "rollout", "rollout-llm", 10_000, 500, 3)], &[service]);
    let names = [("edge-huamanga-1", zones[0]), ("edge-carmen-alto-1", zones[1]), ("edge-san-juan-1", zones[2])];
    let edges = start_edges(&folder, &names, &store, &Options { zones, provider: None, memory_mb: 260 })?;
    let addresses: Vec<SocketAddr> = edges.iter().map(|edge| edge.front).collect();
    let mut readers = Vec::new();
    for job in 0..JOBS {
        let (id, reading) = (format!("7c41e09b52d6a3f{job}"), addresses.clone());
        let items: Vec<String> = (0..ITEMS).map(|index| format!("{job:02x}{index:014x}")).collect();
        record.line(format!("trainer: submits {id}, a batch job of {ITEMS} items"));
        submit(&addresses, KEY, "cards", &id, &submission(&items, MODEL))?;
        readers.push(thread::spawn(move || read_results(&reading, KEY, &id, ITEMS, Duration::from_secs(40))));
    }
    let deadline = Instant::now() + Duration::from_secs(15);
    let mut cut_item = None;
    while Instant::now() < deadline && cut_item.is_none() {
        let lines = engines[0].lines.lock().expect("lines").clone();
        let suffix = format!(" {KILLED_AFTER}");
        cut_item = lines.iter().find_map(|line| line.strip_prefix("event ")?.strip_suffix(&suffix).map(str::to_owned));
        thread::sleep(Duration::from_millis(5));
    }
    let Some(cut_item) = cut_item else { return Err(io::Error::other("no answer without a length was begun")) };
    if has_trouble {
        engines[0].kill();
        record.say(format!("sampler i-0 is killed after event {KILLED_AFTER} of {cut_item}"));
        thread::sleep(LISTED);
        store.remove("servers/i-0");
        thread::sleep(DOWN - LISTED);
        let options = EngineOptions { id: "i-9".to_owned(), events: EVENTS, event_ms: EVENT_MS, unframed_answer: 0 };
        let engine = Engine::start(&options, record)?;
        register(&store, &engine.id, "rollout-llm", engine.address, zones[0], 12, Some(MODEL));
        engines.push(engine);
    }
    let mut rows = Vec::new();
    for reader in readers {
        rows.extend(reader.join().map_err(|_| io::Error::other("the trainer failed"))?);
    }
    record.say(format!("sampler i-0 began {} answers", engines[0].count("run")));
    let mut is_kept = true;
    for row in &rows {
        if row.state == "completed" && row.text != whole_text(&row.id, EVENTS) {
            let events = row.text.lines().count();
            record.say(format!("BROKEN: {} is completed with {events} of {EVENTS} events", row.id));
            is_kept = false;
        }
    }
    record.say(format!("{} of {} results were read", rows.len(), JOBS * ITEMS));
    if rows.is_empty() {
        return Err(io::Error::other("no result was read"));
    }
    Ok(is_kept)
}
