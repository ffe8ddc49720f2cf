//! Plays one case against the project's own daemons, and judges what the stand-ins have seen.
//!
//! `review-harness CASE RECORD`; with `TROUBLE=0` without the disruption. Exit status: 0 if the rule held, 1 if it was
//! broken, 2 if the case could not run.

mod deadly_item;
mod endless;
mod http;
mod json;
mod lost_events;
mod new_route;
mod no_config;
mod record;
mod sampler;
mod site;
mod store;
mod stuck_duty;

use record::Record;
use std::{path::Path, process::exit, sync::Arc, thread, time::Duration};

/// Longest time of a case.
const CASE_TIME: Duration = Duration::from_secs(115);

/// Outcome of a case.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("usage: review-harness CASE RECORD");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(Record::create(Path::new(path)));
    record.line(&format!("case {case}, trouble {has_trouble}"));
    let play = match case.as_str() {
        "stuck-duty" => stuck_duty::play,
        "new-route" => new_route::play,
        "no-config" => no_config::play,
        "lost-events" => lost_events::play,
        "deadly-item" => deadly_item::play,
        "endless" => endless::play,
        _ => {
            eprintln!("no such case: {case}");
            exit(2);
        }
    };
    let watched = record.clone();
    thread::spawn(move || {
        thread::sleep(CASE_TIME);
        watched.line("the case took too long");
        site::kill_daemons();
        exit(2);
    });
    let verdict = std::panic::catch_unwind(|| play(record.clone(), has_trouble)).unwrap_or(Verdict::NotRun);
    let (text, status) = match verdict {
        Verdict::Held => ("the rule held", 0),
        Verdict::Broken => ("the rule was broken", 1),
        Verdict::NotRun => ("the case could not run", 2),
    };
    record.line(text);
    println!("{text}");
    exit(status);
}
