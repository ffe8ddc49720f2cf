//! Plays one case of the review against the project's daemons. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case
//! couldn't run.

mod blocked;
mod engine;
mod http;
mod jobs;
mod json;
mod memory;
mod overlap;
mod site;
mod store;
mod truncated;
mod twice;

use site::Record;
use std::{process::exit, sync::Arc};

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if let [mode, id, numbers @ ..] = &arguments[..]
        && mode == "engine"
    {
        let number = |index: usize| numbers.get(index).and_then(|text| text.parse().ok()).unwrap_or(0);
        let (events, event_ms, unframed_answer) = (number(0), number(1), number(2));
        let options = engine::EngineOptions { id: id.clone(), events, event_ms, unframed_answer };
        exit(i32::from(engine::run_engine(options).is_err()));
    }
    let [case, record_path] = &arguments[..] else {
        eprintln!("review-case CASE RECORD");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    let outcome = Record::create(record_path).and_then(|record| {
        let record = Arc::new(record);
        let outcome = match case.as_str() {
            "blocked" => blocked::run(&record, has_trouble),
            "memory" => memory::run(&record, has_trouble),
            "overlap" => overlap::run(&record, has_trouble),
            "truncated" => truncated::run(&record, has_trouble),
            "twice" => twice::run(&record, has_trouble),
            _ => Err(std::io::Error::other("no such case")),
        };
        record.say(match &outcome {
            Ok(true) => "the rule held".to_owned(),
            Ok(false) => "the rule was broken".to_owned(),
            Err(error) => format!("the case could not run: {error}"),
        });
        outcome
    });
    exit(match outcome {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(error) => {
            eprintln!("{error}");
            2
        }
    });
}
