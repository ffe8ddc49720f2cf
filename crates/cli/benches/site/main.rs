//! Measurements of real daemons as separate processes against stand-ins, printed as CSV.
//!
//! `cargo bench --bench site -- EXPERIMENT ...` runs the named ones of: slopes, memory, streams, way, chunks, claims,
//! changes, flood, routing, steps. Without a name all are run.

#[allow(dead_code, unused_imports)]
#[path = "../../tests/processes/support/mod.rs"]
mod support;

mod capacity;
mod probe;
mod service;
mod training;

#[actix_rt::main]
async fn main() {
    let asked: Vec<String> = std::env::args().skip(1).filter(|name| !name.starts_with('-')).collect();
    let wanted = |name: &str| asked.is_empty() || asked.iter().any(|asked| asked == name);
    if wanted("slopes") {
        capacity::slopes().await;
    }
    if wanted("memory") {
        capacity::memory().await;
    }
    if wanted("streams") {
        capacity::streams().await;
    }
    if wanted("changes") {
        capacity::changes().await;
    }
    if wanted("claims") {
        service::claims().await;
    }
    if wanted("way") {
        service::way().await;
    }
    if wanted("chunks") {
        service::chunks().await;
    }
    if wanted("flood") {
        service::flood().await;
    }
    if wanted("routing") {
        service::routing().await;
    }
    if wanted("steps") {
        training::steps().await;
    }
}
