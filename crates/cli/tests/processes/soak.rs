//! Soak on the users' platform: edges as separate processes are killed, frozen, stopped and restarted, the store and the
//! connections to it and to the upstreams fail, upstreams misbehave, leave and are replaced by others with another software
//! version, configurations add routes, the operator evacuates a failure domain, all at random and overlapping, while callers send requests, jobs and requests for streams, and one
//! upstream names a limit. What callers and upstreams see is compared with the promises. During all of this, the results of
//! open and ended jobs are read at all edges, and jobs are ended.
//!
//! `PIMENTOSLIP_SOAK_SEEDS=100..120` plays other seeds.

mod fault_injector;
mod job_callers;
mod job_oracle;

use crate::support::{EdgeSite, HOST, HttpAnswer, HttpClient, PathMatrix, ROSE_KEY, wait_for};
use fault_injector::{FaultInjector, LeavingDesk};
use futures_util::{StreamExt, future};
use job_callers::check_complete;
use job_oracle::{JobOracle, SETTLE_TIME};
use pimentoslip_standin::{PlatformUpstream, TcpRelay};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Seeds that every run of the tests plays.
const SEEDS: std::ops::Range<u64> = 0..2;
const EDGES: usize = 3;
/// Events of streams and of most items of jobs.
const EVENTS: u64 = 25;

/// Requests a second that the first desk takes.
const LIMIT: usize = 8;
/// Most requests that it may get in four seconds: one and a half times those of the limit, and five.
const LIMITED_MAX: usize = LIMIT * 4 * 3 / 2 + 5;
/// Versions of the engines' software.
const SOFTWARE: [&str; 2] = ["v1", "v2"];
/// Streams that are requested after the faults until one is complete.
const CALM_STREAMS_MAX: usize = 5;
/// Attempts of a caller to get the rest of a stream.
const STREAM_ATTEMPTS: usize = 6;

/// Time after an upstream has said that it leaves, after which only edges without a response of it send requests there.
const LEAVING_BOUND: Duration = Duration::from_secs(2);
/// Most requests that a leaving upstream may get after that of each process that has run since then: one that has not
/// received a response of it sends a few.
const LEAVING_MAX: usize = 2;

/// Desks of the north, before the one of the south.
const NORTHERN_DESKS: usize = 3;
/// Key with which the operator evacuates the south, where one desk runs.
const SOUTH_KEY: &str = "op/evacuate/south";
/// Key of the same for the other failure domain.
const NORTH_KEY: &str = "op/evacuate/north";
/// Requests to each edge while the south is evacuated.
const EVACUATED_REQUESTS: usize = 8;

/// Organisations and keys of all configurations.
const KEYS: [(&str, &str); 1] = [("rose", ROSE_KEY)];
/// Time after the faults for which jobs are still read and ended.
const CALM_TIME: Duration = Duration::from_secs(3);

/// Time after which a caller gives up, for example on a frozen edge.
const CALLER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// What a caller got of a stream.
#[derive(Debug, Default)]
struct ReadStream {
    /// Id of the attempt that brought the first event.
    first_attempt: String,
    /// Complete events of all attempts.
    events: Vec<String>,
    is_complete: bool,
}

/// Callers of a site. They know its addresses only.
struct Callers {
    http: HttpClient,
    /// Start of the URL of each edge.
    edges: Vec<String>,
    /// Whether the faults are over.
    is_calm: Cell<bool>,
    /// Whether the jobs are no longer read.
    is_over: Cell<bool>,
    /// Batch routes that were added, besides the first one.
    routes: RefCell<Vec<String>>,
    /// Judges the responses about jobs.
    oracle: JobOracle,
}

impl Callers {
    async fn send(&self, edge: usize, method: &str, path: &str, id: &str, body: &Value) -> HttpAnswer {
        let bearer = format!("Bearer {ROSE_KEY}");
        let headers = [("host", HOST), ("request-id", id), ("deadline-ms", "1500"), ("authorization", &bearer)];
        let url = format!("{}{path}", self.edges[edge]);
        let answer = actix_rt::time::timeout(CALLER_TIMEOUT, self.http.send(method, &url, &headers, body)).await;
        answer.unwrap_or_else(|_| HttpAnswer { status: 0, headers: Vec::new(), body: String::new() })
    }

    /// Sends requests until the faults are over. Returns the status that each was answered with.
    async fn send_requests(&self, path: &str, name: &str, seed: u64) -> BTreeMap<String, u16> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut statuses = BTreeMap::new();
        while !self.is_calm.get() {
            let id = format!("{name}-{seed}-{}", statuses.len());
            let answer = self.send(rng.random_range(0..EDGES), "POST", path, &id, &Value::Null).await;
            if answer.status == 200 {
                assert_eq!(answer.body, format!("answer to {id}"), "seed {seed}: the answer of another request");
            }
            assert!(matches!(answer.status, 0 | 200 | 500 | 502..=504), "seed {seed}: {id} got {answer:?}");
            statuses.insert(id, answer.status);
            actix_rt::time::sleep(Duration::from_millis(rng.random_range(0..30))).await;
        }
        statuses
    }

    /// Requests streams until the faults are over, and takes up again those that break off. Returns them. If none was complete
    /// by then, a few more are requested.
    async fn read_streams(&self, seed: u64) -> Vec<ReadStream> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed + 1);
        let mut streams: Vec<ReadStream> = Vec::new();
        let mut calm_streams = 0;
        while !self.is_calm.get()
            || (calm_streams < CALM_STREAMS_MAX && streams.iter().all(|stream| !stream.is_complete))
        {
            calm_streams += usize::from(self.is_calm.get());
            let mut stream = ReadStream::default();
            for attempt in 0..STREAM_ATTEMPTS {
                let id = format!("talk-{seed}-{}-{attempt}", streams.len());
                self.read_events(rng.random_range(0..EDGES), &id, &mut stream).await;
                if stream.is_complete {
                    break;
                }
                actix_rt::time::sleep(Duration::from_millis(rng.random_range(0..300))).await;
            }
            streams.push(stream);
        }
        streams
    }

    /// Requests the rest of a stream and adds the events of the answer, also if it breaks off.
    async fn read_events(&self, edge: usize, id: &str, stream: &mut ReadStream) {
        let mut request = self.http.request("POST", &format!("{}/talk/verse", self.edges[edge]));
        let bearer = format!("Bearer {ROSE_KEY}");
        let (length, last_event) = (EVENTS.to_string(), stream.events.len().to_string());
        let mut headers = vec![("host", HOST), ("request-id", id), ("deadline-ms", "1500"), ("authorization", &bearer)];
        headers.extend([("model", "verse"), ("length-hint", length.as_str())]);
        if !stream.events.is_empty() {
            headers.extend([("last-event-id", last_event.as_str()), ("resumes", stream.first_attempt.as_str())]);
        }
        for (name, value) in headers {
            request = request.append_header((name, value));
        }
        let sent = actix_rt::time::timeout(CALLER_TIMEOUT, request.send_body("how sad")).await;
        let Ok(Ok(mut answer)) = sent else { return };
        if answer.status() != 200 {
            return;
        }
        let mut received = String::new();
        loop {
            match actix_rt::time::timeout(CALLER_TIMEOUT, answer.next()).await {
                Ok(Some(Ok(chunk))) => received.push_str(&String::from_utf8_lossy(&chunk)),
                Ok(None) => {
                    stream.is_complete = true;
                    break;
                }
                _ => break,
            }
        }
        if stream.events.is_empty() {
            id.clone_into(&mut stream.first_attempt);
        }
        let complete_events = received.rsplit_once("\n\n").map_or("", |(events, _)| events);
        stream.events.extend(complete_events.split("\n\n").filter(|event| !event.is_empty()).map(str::to_owned));
    }
}

/// Plays one seed and compares what callers and upstreams saw with the promises.
async fn play(seed: u64) {
    let mut site = EdgeSite::without_edges();
    site.write_config(2, &KEYS);
    site.start_desk("desk-3");
    site.start_southern_desk("desk-4");
    site.start_engine_with("engine-3", SOFTWARE[1]);
    site.start_engine_with("engine-4", SOFTWARE[1]);
    site.desks[0].name_limit(Some(&LIMIT.to_string()));
    let mut relays = Vec::new();
    let mut matrix = PathMatrix::default();
    for _ in 0..EDGES {
        let relay = TcpRelay::start(matrix.add_edge(&site).await).await.expect("start a relay");
        site.start_edge(relay.address);
        relays.push(relay);
    }
    site.wait_ready().await;
    let edges = (0..EDGES).map(|edge| site.url(edge, "")).collect();
    let callers = Callers {
        http: HttpClient::new(),
        edges,
        is_calm: Cell::new(false),
        is_over: Cell::new(false),
        routes: RefCell::default(),
        oracle: JobOracle::new(seed),
    };
    let faults = async {
        let leaving = FaultInjector::new(&mut site, &relays, &mut matrix, &callers.routes, seed).run().await;
        callers.is_calm.set(true);
        let calm_window = usage_window();
        actix_rt::time::sleep(CALM_TIME).await;
        callers.is_over.set(true);
        (leaving, calm_window)
    };
    let started_at = Instant::now();
    let requests = future::join5(
        callers.send_requests("/quote/roses", "quote", seed),
        callers.send_requests("/once/order", "order", seed),
        callers.submit_jobs(seed),
        callers.read_streams(seed),
        faults,
    );
    let ((quotes, orders, jobs, streams, (leaving, calm_window)), ()) =
        future::join(requests, callers.use_jobs(seed)).await;
    // An edge that was asked to stop exits by itself, and is started again.
    for edge in 0..EDGES {
        // The port of a process that has exited may be taken by another test.
        while site.edges[edge].process.exit_status().is_some() || site.readiness_status(edge).await != 200 {
            if site.edges[edge].process.exit_status().is_some() {
                site.restart_edge(edge);
            }
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
    }
    wait_for("a quote is answered", || async {
        let answer = callers.send(0, "POST", "/quote/roses", "after", &Value::Null).await;
        (answer.status == 200).then_some(())
    })
    .await;
    assert!(!quotes.is_empty() && !orders.is_empty() && !jobs.is_empty(), "seed {seed}: nothing was asked");
    assert!(streams.iter().any(|stream| stream.is_complete), "seed {seed}: no stream was complete");
    streams.iter().for_each(|stream| check_stream(stream, seed));
    check_limit(&site.desks[0], started_at, seed);
    leaving.iter().for_each(|leaving| check_leaving(leaving, &site.restarts, seed));
    check_orders(&site, &orders, seed);
    actix_rt::time::sleep(SETTLE_TIME).await;
    for job in &jobs {
        if !callers.oracle.is_end_sent(job) {
            check_complete(&site, &callers.oracle, job).await;
        }
        callers.read_again(job).await;
    }
    check_evacuation(&site, &callers, seed).await;
    wait_for("the usage of a window after the faults is reported", || async {
        site.provider.reports().iter().any(|report| report.window >= calm_window).then_some(())
    })
    .await;
    println!("seed {seed}: {}", callers.oracle.summary());
}

/// Whatever happened to an edge, it learns of an evacuation; then it sends nothing there until the end of the evacuation.
async fn check_evacuation(site: &EdgeSite, callers: &Callers, seed: u64) {
    site.store.put(SOUTH_KEY, &json!({}));
    wait_for("every edge knows that the south is evacuated", || async {
        let is_known = |log: String| {
            log.rfind("event=domain_evacuated failure_domain=south")
                > log.rfind("event=domain_returned failure_domain=south")
        };
        site.edges.iter().all(|edge| is_known(edge.process.log())).then_some(())
    })
    .await;
    let southern = &site.desks[NORTHERN_DESKS];
    let before = southern.arrivals().len();
    let send = async |name: &str| {
        for number in 0..EDGES * EVACUATED_REQUESTS {
            callers.send(number % EDGES, "POST", "/quote/roses", &format!("{name}-{number}"), &Value::Null).await;
        }
    };
    send("evacuated").await;
    assert_eq!(southern.arrivals().len(), before, "seed {seed}: requests in the evacuated south");
    site.store.contents().remove(SOUTH_KEY);
    // The edges are in the north and prefer its upstreams.
    site.store.put(NORTH_KEY, &json!({}));
    wait_for("the south is used again", || async {
        send("returned").await;
        (southern.arrivals().len() > before).then_some(())
    })
    .await;
    site.store.contents().remove(NORTH_KEY);
}

/// Number of the current usage window, which lasts 1 s.
fn usage_window() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970").as_secs()
}

/// A stream has its events in order, each once, all of one software version.
fn check_stream(stream: &ReadStream, seed: u64) {
    for (index, event) in stream.events.iter().enumerate() {
        let number = event.lines().find_map(|line| line.strip_prefix("id: ")?.parse().ok());
        assert_eq!(number, Some(index + 1), "seed {seed}: {stream:?}");
    }
    let software: BTreeSet<&str> = stream
        .events
        .iter()
        .map(|event| event.rsplit_once('@').map_or(SOFTWARE[0], |(_, software)| software))
        .collect();
    assert!(software.len() <= 1, "seed {seed}: events of {software:?}: {stream:?}");
    assert!(!stream.is_complete || stream.events.len() as u64 == EVENTS, "seed {seed}: {stream:?}");
}

/// An upstream gets no more requests than its limit allows. What edges send that have just started, and have received no
/// response with the limit, has to fit into the slack too.
fn check_limit(desk: &PlatformUpstream, started_at: Instant, seed: u64) {
    let counted_from = started_at + Duration::from_secs(3);
    let arrivals: Vec<Instant> = desk.arrivals().into_iter().filter(|arrival| *arrival >= counted_from).collect();
    for (index, first) in arrivals.iter().enumerate() {
        let count = arrivals[index..].iter().take_while(|arrival| **arrival <= *first + Duration::from_secs(4)).count();
        assert!(count <= LIMITED_MAX, "seed {seed}: {count} requests in 4 s at a limit of {LIMIT} a second");
    }
}

/// A desk that leaves gets no requests of edges that have passed on a response of it.
fn check_leaving(leaving: &LeavingDesk, restarts: &[Instant], seed: u64) {
    let counted_from = leaving.announced_at + LEAVING_BOUND;
    let count = leaving.desk.arrivals().iter().filter(|arrival| **arrival > counted_from).count();
    let processes = EDGES + restarts.iter().filter(|restart| **restart > leaving.announced_at).count();
    let message = format!("seed {seed}: a leaving desk got {count} requests of {processes} processes");
    assert!(count <= LEAVING_MAX * processes, "{message}");
}

/// Each order ran once at most; one that was answered ran, one that was refused did not.
fn check_orders(site: &EdgeSite, orders: &BTreeMap<String, u16>, seed: u64) {
    let calls: Vec<_> = site.desks.iter().flat_map(|desk| desk.recorded_calls()).collect();
    for (id, status) in orders {
        let runs = calls.iter().filter(|call| call.id == *id).count();
        let is_true = match status {
            200 | 500 => runs == 1,
            503 => runs == 0,
            _ => runs <= 1,
        };
        assert!(is_true, "seed {seed}: {id} was answered {status} and ran {runs} times");
    }
    assert!(calls.iter().all(|call| call.organisation == "rose" || call.id.starts_with("score-")), "seed {seed}");
    assert!(calls.iter().all(|call| !call.has_key), "seed {seed}: a key reached an upstream");
}

/// The seeds to play: those of `PIMENTOSLIP_SOAK_SEEDS`, as `FIRST..END`, or the usual ones.
fn seeds() -> std::ops::Range<u64> {
    let requested = std::env::var("PIMENTOSLIP_SOAK_SEEDS").ok();
    let range = requested.as_deref().and_then(|text| text.split_once(".."));
    let parsed = range.and_then(|(first, end)| Some(first.parse().ok()?..end.parse().ok()?));
    parsed.unwrap_or(SEEDS)
}

#[actix_rt::test]
async fn promises_hold_while_processes_connections_and_the_store_fail() {
    for seed in seeds() {
        println!("seed {seed}");
        play(seed).await;
    }
}
