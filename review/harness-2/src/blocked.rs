//! Case: a group of items whose shared prompt is larger than the memory of any sampler, in a batch job of one tenant.
//!
//! Another tenant's batch jobs come on the same route. The samplers have room for all of them.

use crate::{
    engine::event_data,
    http::{call, listen, read_request, response_bytes, serve},
    jobs::{read_results, submission, submit},
    site::{Folder, HOST, KEY, OTHER_KEY, Options, Record, register, route, start_edges, write_config},
    store::Store,
};
use std::{
    collections::BTreeMap,
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const MODEL: &str = "daka510000";
const SAMPLERS: usize = 9;
const SLOTS: usize = 12;
const EVENTS: u64 = 21;
const EVENT_MS: u64 = 40;
/// Items of the first tenant's step: 11 groups of 8.
const ITEMS: usize = 88;
/// Items of the second tenant's step: 24 groups of 8.
const SECOND_ITEMS: usize = 192;
/// Items of the first tenant's step that are large: one group.
const LARGE_ITEMS: usize = 8;
/// Quotes that the first tenant asks for meanwhile.
const QUOTES: u64 = 60;
/// Time after which the trainer gives a step up.
const STEP_DEADLINE: Duration = Duration::from_secs(12);
/// Time until a refusal reaches the daemon: the way between two zones and back.
const REFUSAL_DELAY: Duration = Duration::from_millis(1);
/// Time for which an item may be at no sampler while the samplers are under half full.
const IDLE_MAX: Duration = Duration::from_secs(5);
const LARGE_ITEM: &str = "large-";

#[derive(Default)]
struct Shared {
    /// When items were last at a sampler that ran them.
    last_run: Mutex<BTreeMap<String, Instant>>,
    running: AtomicUsize,
    refusals: AtomicUsize,
}

fn serve_sampler(mut stream: &TcpStream, id: &str, shared: &Shared, is_large: bool) -> io::Result<()> {
    let mut reader = BufReader::new(stream);
    loop {
        let request = read_request(&mut reader)?;
        let item = request.header("request-id").to_owned();
        let expected = request.header("expect-instance");
        if !expected.is_empty() && expected != id {
            stream.write_all(&response_bytes(421, &[("Request-Id", &item), ("Instance-Id", id)], b""))?;
            continue;
        }
        if request.path().starts_with("/quotes/") {
            let signature = format!("signed-{item}");
            let headers = [("Request-Id", item.as_str()), ("Server-Signature", signature.as_str())];
            stream.write_all(&response_bytes(200, &headers, b"a price"))?;
            continue;
        }
        if !request.path().starts_with("/cards/") {
            stream.write_all(&response_bytes(200, &[("Instance-Id", id)], b"{}"))?;
            continue;
        }
        if is_large && item.starts_with(LARGE_ITEM) {
            shared.refusals.fetch_add(1, Ordering::SeqCst);
            thread::sleep(REFUSAL_DELAY);
            stream.write_all(&response_bytes(503, &[("Request-Id", &item), ("Not-Executed", "1")], b""))?;
            continue;
        }
        shared.last_run.lock().expect("runs").insert(item.clone(), Instant::now());
        shared.running.fetch_add(1, Ordering::SeqCst);
        let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
        let mut send = || -> io::Result<()> {
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: {item}\r\nServer-Signature: signed-{item}\r\nWeight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
            );
            stream.write_all(head.as_bytes())?;
            for event in after + 1..=EVENTS {
                thread::sleep(Duration::from_millis(EVENT_MS));
                let block = format!("id: {event}\ndata: {}\n\n", event_data(&item, event));
                stream.write_all(format!("{:x}\r\n{block}\r\n", block.len()).as_bytes())?;
            }
            stream.write_all(b"0\r\n\r\n")
        };
        let sent = send();
        shared.running.fetch_sub(1, Ordering::SeqCst);
        sent?;
    }
}

pub fn run(record: &Arc<Record>, has_trouble: bool) -> io::Result<bool> {
    let folder = Folder::create()?;
    let store = Store::start()?;
    let shared = Arc::new(Shared::default());
    let zones: &'static [&'static str] = &["huamanga", "carmen-alto", "san-juan"];
    for index in 0..SAMPLERS {
        let (listener, address) = listen()?;
        let (id, shared) = (format!("i-{index}"), shared.clone());
        register(&store, &id, "rollout-llm", address, zones[index % 3], SLOTS, Some(MODEL));
        serve(listener, move |stream| serve_sampler(&stream, &id, &shared, has_trouble).unwrap_or_default());
    }
    let service = format!(
        "{{\"name\":\"rollout-llm\",\"healthPath\":\"/health\",\"maxConnections\":150,\"engine\":{{\"slots\":12,\"models\":[{{\"name\":\"{MODEL}\"}}]}}}}"
    );
    let desk = "{\"name\":\"order-desk\",\"healthPath\":\"/health\",\"maxConnections\":100}".to_owned();
    let (listener, address) = listen()?;
    register(&store, "d-0", "order-desk", address, zones[0], 6, None);
    let desk_shared = Arc::<Shared>::default();
    serve(listener, move |stream| serve_sampler(&stream, "d-0", &desk_shared, false).unwrap_or_default());
    let routes = [
        route("cards", "rollout", "rollout-llm", 10_000, 500, 3),
        route("quotes", "safe", "order-desk", 2_000, 150, 2),
    ];
    write_config(&store, 2, &routes, &[service, desk]);
    let names = [("edge-huamanga-1", zones[0]), ("edge-carmen-alto-1", zones[1]), ("edge-san-juan-1", zones[2])];
    let edges = start_edges(&folder, &names, &store, &Options { zones, provider: None, memory_mb: 260 })?;
    let addresses: Vec<SocketAddr> = edges.iter().map(|edge| edge.front).collect();
    let mut first: Vec<String> = (LARGE_ITEMS..ITEMS).map(|index| format!("first-{index}")).collect();
    first.extend((0..LARGE_ITEMS).map(|index| format!("{LARGE_ITEM}{index}")));
    submit(&addresses, KEY, "cards", "job-first", &submission(&first, MODEL))?;
    record.line(format!(
        "trainer of the first tenant: has submitted a step of {ITEMS} items, {LARGE_ITEMS} of them large"
    ));
    thread::sleep(Duration::from_millis(500));
    let second: Vec<String> = (0..SECOND_ITEMS).map(|index| format!("second-{index}")).collect();
    submit(&addresses, OTHER_KEY, "cards", "job-second", &submission(&second, MODEL))?;
    record.line(format!("trainer of the second tenant: has submitted a step of {SECOND_ITEMS} items"));
    let started = Instant::now();
    let readers = [(KEY, "job-first", ITEMS), (OTHER_KEY, "job-second", SECOND_ITEMS)].map(|(key, job, count)| {
        let addresses = addresses.clone();
        thread::spawn(move || read_results(&addresses, key, job, count, STEP_DEADLINE).len())
    });
    // Until the trainer gives the step up.
    let (mut quotes, mut busy_at) = (0, started);
    for number in 0..QUOTES {
        let (id, key) = (format!("quote-{number}"), format!("Bearer {KEY}"));
        let headers =
            [("Host", HOST), ("Request-Id", id.as_str()), ("Deadline-Ms", "2000"), ("Authorization", key.as_str())];
        let address = addresses[number as usize % addresses.len()];
        let answer = call(address, "POST", "/quotes/tray", &headers, b"how much", Duration::from_secs(3));
        quotes += usize::from(answer.is_ok_and(|answer| answer.status == 200));
        let running = shared.running.load(Ordering::SeqCst);
        if running * 2 >= SAMPLERS * SLOTS {
            busy_at = Instant::now();
        }
        if number % 5 == 0 {
            let begun = second_begun(&shared);
            record.line(format!(
                "second tenant: {begun} of {SECOND_ITEMS} items begun; {running} of {} slots in use; large items were refused {} times",
                SAMPLERS * SLOTS,
                shared.refusals.load(Ordering::SeqCst)
            ));
        }
        thread::sleep(
            (started + STEP_DEADLINE / QUOTES as u32 * (number as u32 + 1)).saturating_duration_since(Instant::now()),
        );
    }
    // Items that no sampler has begun were at none since their submission.
    let begun = second_begun(&shared);
    let waiting = SECOND_ITEMS - begun;
    let [first_read, second_read] = readers.map(|reader| reader.join().unwrap_or(0));
    record.say(format!("first tenant: {quotes} of {QUOTES} quotes and {first_read} of {ITEMS} items served"));
    record.say(format!("second tenant: {second_read} of {SECOND_ITEMS} items served in {} s", STEP_DEADLINE.as_secs()));
    let has_room = busy_at.elapsed() > IDLE_MAX;
    record.say(format!(
        "{waiting} items of its step were at no sampler in all that time, {begun} were; half of the slots {} free for 5 s",
        if has_room { "were" } else { "were not" }
    ));
    let is_kept = waiting == 0 || begun == 0 || !has_room;
    if !is_kept {
        record.say(
            "BROKEN: the step ran out of time while items of it were at no sampler for 5 s, and others of it had begun",
        );
    }
    Ok(is_kept)
}

/// Number of the second tenant's items that a sampler has begun to run.
fn second_begun(shared: &Shared) -> usize {
    shared.last_run.lock().expect("runs").keys().filter(|item| item.starts_with("second")).count()
}
