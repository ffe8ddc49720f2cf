//! ORDER: a sampler spoils a stream: in one piece come two events and bytes that are no event. The stream is continued at
//! another sampler after the second event, and the caller never gets the two.

use crate::{Verdict, record::Record, sampler::Spoilage, site::Site};
use std::{sync::Arc, thread, time::Duration};

const STREAMS: usize = 100;
/// Every such stream is spoilt: three in a hundred, the largest share on the sheets.
const SPOILT_EVERY: usize = 33;
const EVENTS: u64 = 10;
const EVENT_TIME: Duration = Duration::from_millis(10);

pub fn play(record: Arc<Record>, has_trouble: bool) -> Verdict {
    let mut site = Site::new(record.clone());
    for number in 1..=4 {
        site.start_sampler(&format!("i-llm{number}"), "llm", 12, Some(1), EVENT_TIME);
    }
    site.write_config(2, &[]);
    for _ in 0..3 {
        site.start_daemon();
    }
    if !site.wait_ready() {
        return Verdict::NotRun;
    }
    let (mut complete, mut broken) = (0, 0);
    for number in 0..STREAMS {
        let id = format!("9c41d07b{number:08x}");
        if has_trouble && number % SPOILT_EVERY == SPOILT_EVERY - 1 {
            site.log.lock().unwrap().spoilt.insert(id.clone(), Spoilage::Garbage { after: 3 });
        }
        let frontend = site.daemons[number % site.daemons.len()].frontend;
        let (status, body, is_complete) = site.request_stream(frontend, "talk", &id, EVENTS);
        if status != 200 || !is_complete {
            continue;
        }
        complete += 1;
        let expected: String = (1..=EVENTS).map(|event| format!("id: {event}\ndata: {id}:{event}\n\n")).collect();
        if body != expected {
            broken += 1;
            record.line(&format!("stream {id} is complete for its caller, but its events are not: {body:?}"));
        }
        thread::sleep(Duration::from_millis(10));
    }
    record.line(&format!("{STREAMS} streams, {complete} complete, {broken} of them with missing or repeated events"));
    match (complete, broken) {
        (0, _) => Verdict::NotRun,
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    }
}
