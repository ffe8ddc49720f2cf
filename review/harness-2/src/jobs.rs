//! A trainer's calls.

use crate::{
    http::call,
    json::{Json, quoted},
    site::HOST,
};
use std::{
    io,
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

/// A result as the trainer has read it.
#[derive(Clone, Debug)]
pub struct ResultRow {
    pub id: String,
    pub state: String,
    pub text: String,
}

/// Body of the submission of a batch job with these items, all in one group each.
pub fn submission(items: &[String], model: &str) -> String {
    let items: Vec<String> = items
        .iter()
        .map(|id| {
            format!(
                concat!(
                    "{{\"id\":{id},\"path\":\"/cards/1/{plain}\",\"headers\":{{\"Model\":\"{model}\",\"Token-Count\":\"40,400\"}},",
                    "\"body\":\"q83vEjRWeJA=\",\"tokens\":440,\"group\":{id}}}"
                ),
                id = quoted(id),
                plain = id,
                model = model
            )
        })
        .collect();
    format!(
        "{{\"step\":0,\"model\":\"{model}\",\"minVersion\":1,\"desired\":{},\"items\":[{}]}}",
        items.len(),
        items.join(",")
    )
}

/// Submits a batch job under the path prefix of `route`, until it is accepted.
pub fn submit(addresses: &[SocketAddr], key: &str, route: &str, job: &str, body: &str) -> io::Result<()> {
    let path = format!("/{route}/submit");
    let key = format!("Bearer {key}");
    for attempt in 0..10 {
        let headers = [
            ("Host", HOST),
            ("Request-Id", job),
            ("Authorization", key.as_str()),
            ("Content-Type", "application/json"),
        ];
        let address = addresses[attempt % addresses.len()];
        let answer = call(address, "POST", &path, &headers, body.as_bytes(), Duration::from_secs(4));
        if answer.is_ok_and(|answer| answer.status == 202) {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(200));
    }
    Err(io::Error::other("the batch job was not accepted"))
}

/// Reads the results of a batch job at the daemons in turn, until `count` are read or `limit` has passed.
pub fn read_results(addresses: &[SocketAddr], key: &str, job: &str, count: usize, limit: Duration) -> Vec<ResultRow> {
    let (key, deadline) = (format!("Bearer {key}"), Instant::now() + limit);
    let mut rows: Vec<ResultRow> = Vec::new();
    for address in addresses.iter().cycle() {
        if rows.len() >= count || Instant::now() >= deadline {
            break;
        }
        let target = format!("/pimentoslip/lots/{job}?after={}", rows.len());
        let headers = [("Host", HOST), ("Authorization", key.as_str()), ("Wait-Ms", "500")];
        let answer = call(*address, "GET", &target, &headers, &[], Duration::from_secs(4));
        let page = answer.ok().filter(|answer| answer.status == 200).and_then(|answer| Json::parse(&answer.text()));
        let Some(page) = page else {
            thread::sleep(Duration::from_millis(200));
            continue;
        };
        for result in page.get("results").map(Json::as_list).unwrap_or_default() {
            let text = |name| result.get(name).and_then(Json::as_str).unwrap_or_default().to_owned();
            rows.push(ResultRow { id: text("id"), state: text("state"), text: text("text") });
        }
    }
    rows
}
