//! Benchmarks of daemons that run as separate processes against stand-ins. Results are printed as CSV.
//!
//! `cargo bench --bench site -- EXPERIMENT ...` runs the named experiments, or all of them without a name:
//!
//! - `slopes`: costs of idle daemons by their number
//! - `memory`: memory by the number of listed upstreams and of keys
//! - `streams`: memory and processor time by the number of open streams
//! - `changes`: time until a configuration change is confirmed
//! - `claims`: group commits of claims by commit interval
//! - `way`: latency that a daemon adds to a request
//! - `chunks`: throughput of streamed chunks
//! - `flood`: fairness between organisations under overload
//! - `routing`: latency by route policy
//! - `steps`: idle time, staleness and wasted tokens of training runs

#[allow(dead_code, unused_imports)]
#[path = "../../tests/processes/support/mod.rs"]
mod support;

mod capacity;
mod probe;
mod service;
mod training;

#[actix_rt::main]
async fn main() {
    let requested: Vec<String> = std::env::args().skip(1).filter(|name| !name.starts_with('-')).collect();
    let is_selected = |name: &str| requested.is_empty() || requested.iter().any(|requested| requested == name);
    if is_selected("slopes") {
        capacity::measure_idle_costs().await;
    }
    if is_selected("memory") {
        capacity::measure_memory().await;
    }
    if is_selected("streams") {
        capacity::measure_streams().await;
    }
    if is_selected("changes") {
        capacity::measure_changes().await;
    }
    if is_selected("claims") {
        service::measure_claims().await;
    }
    if is_selected("way") {
        service::measure_proxy_latency().await;
    }
    if is_selected("chunks") {
        service::measure_chunks().await;
    }
    if is_selected("flood") {
        service::measure_flood().await;
    }
    if is_selected("routing") {
        service::measure_routing().await;
    }
    if is_selected("steps") {
        training::measure_steps().await;
    }
}
