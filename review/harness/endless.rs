//! Fault: a sampler answers a few requests for streams with line feeds without end. The daemon keeps them all, until the platform
//! kills it for its memory.

use crate::{Verdict, record::Record, sampler::Spoilage, site::Site};
use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const EVENTS: u64 = 10;
const EVENT_TIME: Duration = Duration::from_millis(10);
const DAEMONS: usize = 3;
/// `memoryMb` of the settings.
const MEMORY_BYTES: usize = 260 << 20;
const RESTART_DELAY: Duration = Duration::from_millis(500);
const PLAY_TIME: Duration = Duration::from_secs(60);
/// Answers are spoilt in the first part of each period only, for as long as on the sheets.
const PERIOD: Duration = Duration::from_secs(15);
const SPOILING_TIME: Duration = Duration::from_secs(5);
/// Time between two requests at one daemon.
const REQUEST_INTERVAL: Duration = Duration::from_millis(30);
/// One answer in this many is spoilt meanwhile: under three in a hundred, the share on the sheets.
const SPOILT_EVERY: usize = 34;
/// Ends of processes by themselves, on each of two machines, that make a fault.
const ENDS: usize = 3;

pub fn play(record: Arc<Record>, has_trouble: bool) -> Verdict {
    let mut site = Site::new(record.clone());
    for number in 1..=4 {
        site.start_sampler(&format!("i-llm{number}"), "llm", 12, Some(1), EVENT_TIME);
    }
    site.write_config(2, &[]);
    for _ in 0..DAEMONS {
        site.start_daemon();
    }
    if !site.wait_ready() {
        return Verdict::NotRun;
    }
    let frontends: Vec<_> = site.daemons.iter().map(|daemon| daemon.frontend).collect();
    let (served, cut, number) = (AtomicUsize::new(0), AtomicUsize::new(0), AtomicUsize::new(0));
    let mut ends = [0; DAEMONS];
    let mut most = 0;
    let mut restart_at: [Option<Instant>; DAEMONS] = [None; DAEMONS];
    let started_at = Instant::now();
    thread::scope(|scope| {
        // The harness of the daemons stays with this thread; the clients have what they need of it.
        let clients = Site::clients_of(&site);
        for frontend in frontends {
            let (clients, served, cut, number) = (clients.clone(), &served, &cut, &number);
            scope.spawn(move || {
                thread::scope(|streams| {
                    while started_at.elapsed() < PLAY_TIME {
                        let number = number.fetch_add(1, Ordering::SeqCst);
                        let id = format!("5a07c41d{number:08x}");
                        let is_spoiling = started_at.elapsed().as_secs() % PERIOD.as_secs() < SPOILING_TIME.as_secs();
                        if has_trouble && is_spoiling && number % SPOILT_EVERY == SPOILT_EVERY - 1 {
                            clients.log.lock().unwrap().spoilt.insert(id.clone(), Spoilage::Endless);
                        }
                        let clients = clients.clone();
                        streams.spawn(move || {
                            let (status, _, is_complete) = clients.request_stream(frontend, "once", &id, EVENTS);
                            let count = if status == 200 && is_complete { served } else { cut };
                            count.fetch_add(1, Ordering::SeqCst);
                        });
                        thread::sleep(REQUEST_INTERVAL);
                    }
                });
            });
        }
        // The platform: kills a process that uses more memory than its limit, and starts it again.
        while started_at.elapsed() < PLAY_TIME {
            for index in 0..DAEMONS {
                if let Some(at) = restart_at[index] {
                    if Instant::now() >= at {
                        site.restart(index);
                        restart_at[index] = None;
                    }
                    continue;
                }
                let memory = site.daemons[index].memory();
                most = most.max(memory);
                if memory > MEMORY_BYTES {
                    ends[index] += 1;
                    record.line(&format!(
                        "{} uses {} MB of {} MB and is killed",
                        site.daemons[index].name,
                        memory >> 20,
                        MEMORY_BYTES >> 20
                    ));
                    site.kill(index);
                    restart_at[index] = Some(Instant::now() + RESTART_DELAY);
                }
            }
            thread::sleep(Duration::from_millis(5));
        }
    });
    record.line(&format!(
        "{} streams served, {} not; ends for memory by machine: {ends:?}; most memory {} MB",
        served.load(Ordering::SeqCst),
        cut.load(Ordering::SeqCst),
        most >> 20
    ));
    if served.load(Ordering::SeqCst) == 0 {
        return Verdict::NotRun;
    }
    // A tenth of the machines in use, two at least, on which processes end by themselves three times.
    if ends.iter().filter(|count| **count >= ENDS).count() >= 2 { Verdict::Broken } else { Verdict::Held }
}
