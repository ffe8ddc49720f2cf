//! Experiments for capacity planning: how costs grow with the number of daemons, upstreams, keys and streams.

use crate::{
    probe::{
        cpu_seconds, latency_histogram, linear_fit, metric_sum, min_median_max, quantile_ms, record_latency,
        resident_bytes,
    },
    support::{DaemonSite, SiteOptions},
};
use futures_util::StreamExt;
use pimentoslip_kernel::KeySecret;
use pimentoslip_wire::{
    admin::{ChangeResponse, KeyRequest},
    provider::{VmRole, VmState},
};
use std::time::{Duration, Instant};

const FAILURE_DOMAINS: [&str; 3] = ["a", "b", "c"];
/// Wait for background work to settle before a reading.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Time between the two readings from which a rate is computed.
const RATE_WINDOW: Duration = Duration::from_secs(8);

/// Settings of a site that orders no upstreams and seals no usage windows during the measurement.
fn idle_site(daemons: usize) -> SiteOptions {
    let daemons = (0..daemons).map(|index| FAILURE_DOMAINS[index % FAILURE_DOMAINS.len()]).collect();
    let options = SiteOptions { daemons, engines: vec![], ..SiteOptions::default() };
    let base_config = options.base_config.replace("usage_window_seconds = 2", "usage_window_seconds = 300");
    SiteOptions { base_config, ..options }
}

/// Measures the costs of idle daemons by their number.
pub async fn measure_idle_costs() {
    println!(
        "slopes,daemons,cpu_percent_median,cpu_percent_max,exchange_bytes_s_median,kv_calls_s_total,resident_mb_median"
    );
    let (mut cpu_points, mut byte_points, mut call_points) = (Vec::new(), Vec::new(), Vec::new());
    for count in [3, 6, 12, 24] {
        let site = DaemonSite::start(idle_site(count)).await;
        actix_rt::time::sleep(SETTLE_TIME).await;
        let before = read_all(&site).await;
        let started_at = Instant::now();
        actix_rt::time::sleep(RATE_WINDOW).await;
        let after = read_all(&site).await;
        let seconds = started_at.elapsed().as_secs_f64();
        let rate = |field: fn(&[f64; 4]) -> f64| -> Vec<f64> {
            before.iter().zip(&after).map(|(before, after)| (field(after) - field(before)) / seconds).collect()
        };
        let cpu: Vec<f64> = rate(|reading| reading[0]).iter().map(|share| share * 100.0).collect();
        let (bytes, calls) = (rate(|reading| reading[1]), rate(|reading| reading[2]));
        let resident: Vec<f64> = after.iter().map(|reading| reading[3] / 1e6).collect();
        let (cpu, bytes, calls) = (min_median_max(&cpu), min_median_max(&bytes).1, calls.iter().sum::<f64>());
        println!("slopes,{count},{:.2},{:.2},{bytes:.0},{calls:.1},{:.1}", cpu.1, cpu.2, min_median_max(&resident).1);
        cpu_points.push((count as f64, cpu.1));
        byte_points.push((count as f64, bytes));
        call_points.push((count as f64, calls));
    }
    for (name, points) in
        [("cpu_percent", cpu_points), ("exchange_bytes_s", byte_points), ("kv_calls_s_total", call_points)]
    {
        let (intercept, slope) = linear_fit(&points);
        println!("fit,{name},intercept {intercept:.3},slope {slope:.4} a daemon");
    }
}

/// Processor seconds, bytes exchanged with peers, key-value calls and resident bytes of each daemon.
async fn read_all(site: &DaemonSite) -> Vec<[f64; 4]> {
    let mut readings = Vec::new();
    for daemon in &site.daemons {
        let bytes = metric_sum(&site.http, &daemon.control_address, "exchange_bytes").await;
        let calls = metric_sum(&site.http, &daemon.control_address, "kv_calls").await;
        readings.push([cpu_seconds(&daemon.process), bytes, calls, resident_bytes(&daemon.process) as f64]);
    }
    readings
}

/// Measures memory by the number of listed upstreams and by the number of keys.
pub async fn measure_memory() {
    println!("memory,what,count,resident_mb");
    let site = DaemonSite::start(idle_site(3)).await;
    let mut points = Vec::new();
    for count in [0_usize, 500, 1_000, 2_000] {
        for index in 0..count {
            let address = format!("10.{}.{}.{}:80", index / 65_536, index / 256 % 256, index % 256);
            site.add_vm(&format!("up-{index}"), VmRole::Upstream, "a", &address, Some("desk"), VmState::Live).await;
        }
        actix_rt::time::sleep(SETTLE_TIME).await;
        report_memory(&site, "upstreams", count, &mut points).await;
    }
    print_fit("upstreams", &points);
    let site = DaemonSite::start(idle_site(3)).await;
    let mut points = Vec::new();
    let mut created_keys = 0;
    for count in [0_usize, 200, 400, 800] {
        while created_keys < count {
            let request = KeyRequest {
                change_id: format!("bench-{created_keys}").into(),
                organisation: "velorio".into(),
                key_id: format!("benchkey{created_keys:04}").into(),
                key_hash: Some(format!("{created_keys:064}")),
            };
            site.admin_post(0, "keys/create", &request).await;
            created_keys += 1;
        }
        report_memory(&site, "keys", count, &mut points).await;
    }
    print_fit("keys", &points);
}

/// Measures memory and processor time by the number of open streams.
pub async fn measure_streams() {
    println!("streams,open,resident_mb,cpu_percent");
    let flags = ["--token-us=50000", "--chunk-tokens=1", "--shortest=100000", "--slots=1000"];
    let base_config = SiteOptions::default()
        .base_config
        .replace("kind = \"engine\"", "kind = \"engine\"\ninflight_per_upstream = 1000");
    let base_config = base_config.replace("[services.drafts]", "[services.drafts]\nqueue_depth = 5000");
    let options = SiteOptions {
        daemons: vec!["a"],
        engines: vec!["a"],
        engine_flags: flags.map(ToString::to_string).to_vec(),
        base_config,
        ..SiteOptions::default()
    };
    let site = DaemonSite::start(options).await;
    let key = site.create_key(0, 1).await;
    let mut open_streams = Vec::new();
    let mut points = Vec::new();
    for count in [0_usize, 200, 400, 800] {
        while open_streams.len() < count {
            open_streams.push(open_stream(&site, &key, open_streams.len()).await);
        }
        actix_rt::time::sleep(SETTLE_TIME).await;
        let (cpu_before, started_at) = (cpu_seconds(&site.daemons[0].process), Instant::now());
        actix_rt::time::sleep(SETTLE_TIME).await;
        let cpu = (cpu_seconds(&site.daemons[0].process) - cpu_before) / started_at.elapsed().as_secs_f64() * 100.0;
        let resident = resident_bytes(&site.daemons[0].process) as f64;
        println!("streams,{count},{:.2},{cpu:.1}", resident / 1e6);
        points.push((count as f64, resident));
    }
    print_fit("open streams", &points);
}

/// Opens a stream and reads it in a background task.
async fn open_stream(site: &DaemonSite, key: &KeySecret, number: usize) -> actix_rt::task::JoinHandle<()> {
    let url = format!("http://{}/v1/chat/completions", site.daemons[0].public_address);
    let body = serde_json::json!({
        "model": "drafts", "stream": true, "max_tokens": 100_000,
        "messages": [{ "role": "user", "content": format!("{number}") }],
    });
    let request = site.http.request("POST", &url).bearer_auth(key.expose());
    let mut response = request.send_json(&body).await.expect("a stream");
    actix_rt::spawn(async move { while let Some(Ok(_)) = response.next().await {} })
}

/// Prints the median resident memory of the daemons and adds it to `points`.
async fn report_memory(site: &DaemonSite, resource: &str, count: usize, points: &mut Vec<(f64, f64)>) {
    let resident: Vec<f64> = site.daemons.iter().map(|daemon| resident_bytes(&daemon.process) as f64).collect();
    let median = min_median_max(&resident).1;
    points.push((count as f64, median));
    println!("memory,{resource},{count},{:.2}", median / 1e6);
}

/// Prints the line fitted to memory by the number of a resource, such as keys.
fn print_fit(resource: &str, points: &[(f64, f64)]) {
    let (intercept, slope) = linear_fit(points);
    println!("fit,memory by {resource},intercept {:.2} MB,slope {slope:.0} bytes each", intercept / 1e6);
}

/// Measures the time until a change is confirmed by every daemon.
pub async fn measure_changes() {
    println!("changes,daemons,count,p50_ms,p99_ms,max_ms,pending");
    for count in [3, 12, 24] {
        let site = DaemonSite::start(idle_site(count)).await;
        let mut latencies = latency_histogram();
        let mut pending = 0;
        for change in 0..200 {
            let request = KeyRequest {
                change_id: format!("bench-{change}").into(),
                organisation: "velorio".into(),
                key_id: format!("benchkey{:04}", change % 20).into(),
                key_hash: Some(format!("{change:064}")),
            };
            let started_at = Instant::now();
            let answer = site.admin_post(change % count, "keys/create", &request).await;
            record_latency(&mut latencies, started_at.elapsed());
            pending += usize::from(!answer.json::<ChangeResponse>().accepted);
        }
        let (p50, p99) = (quantile_ms(&latencies, 0.5), quantile_ms(&latencies, 0.99));
        println!("changes,{count},200,{p50:.2},{p99:.2},{:.2},{pending}", latencies.max() as f64 / 1_000.0);
    }
}
