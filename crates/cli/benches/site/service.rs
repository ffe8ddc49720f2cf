//! Experiments on what callers observe: latency, throughput and fairness.

use crate::{
    probe::{cpu_seconds, latency_histogram, metric_sum, min_median_max, quantile_ms, record_latency},
    support::{DaemonSite, HttpClient, SiteOptions},
};
use futures_util::{StreamExt, future::join_all};
use hdrhistogram::Histogram;
use pimentoslip_kernel::KeySecret;
use pimentoslip_wire::admin::KeyRequest;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::time::{Duration, Instant};

const ROUNDS: usize = 5;
/// Path of the plain service that handles orders.
const ORDERS_PATH: &str = "/services/desk/orders";

/// Settings of a site without engines.
fn plain_site() -> SiteOptions {
    SiteOptions { engines: vec![], ..SiteOptions::default() }
}

/// Measures the commits and the latency of claims by the minimum time between two group commits.
pub async fn measure_claims() {
    println!("claims,interval_ms,callers,orders,orders_s,commits,claims_per_commit,p50_ms,p99_ms");
    for interval_ms in [1, 5, 20, 50] {
        for callers in [1, 16, 64] {
            let flag = format!("--claim-interval-ms={interval_ms}");
            let site = DaemonSite::start(SiteOptions { daemon_flags: vec![flag], ..plain_site() }).await;
            let key = site.create_key(0, 1).await;
            let started_at = Instant::now();
            let latencies = join_all((0..callers).map(|caller| send_orders(&site, &key, caller, 60)));
            let mut all_latencies = latency_histogram();
            latencies.await.iter().for_each(|latencies| all_latencies.add(latencies).expect("a histogram"));
            let seconds = started_at.elapsed().as_secs_f64();
            let mut commits = 0.0;
            let mut claims = 0.0;
            for daemon in &site.daemons {
                commits += metric_sum(&site.http, &daemon.control_address, "claim_commits_total").await;
                claims += metric_sum(&site.http, &daemon.control_address, "claims_total").await;
            }
            println!(
                "claims,{interval_ms},{callers},{},{:.0},{commits},{:.1},{:.2},{:.2}",
                all_latencies.len(),
                all_latencies.len() as f64 / seconds,
                claims / commits,
                quantile_ms(&all_latencies, 0.5),
                quantile_ms(&all_latencies, 0.99)
            );
        }
    }
}

/// Sends `count` orders one after the other and returns their latencies.
async fn send_orders(site: &DaemonSite, key: &KeySecret, caller: usize, count: usize) -> Histogram<u64> {
    let mut latencies = latency_histogram();
    for number in 0..count {
        let name = format!("order-{caller}-{number}");
        let started_at = Instant::now();
        let answer = site.send(caller % 3, "POST", ORDERS_PATH, key, &[("idempotency-key", &name)], &number).await;
        assert_eq!(answer.status, 200, "{answer:?}");
        record_latency(&mut latencies, started_at.elapsed());
    }
    latencies
}

/// Measures the latency that a daemon adds, by interleaved direct and proxied calls.
pub async fn measure_proxy_latency() {
    println!("way,round,direct_p50_ms,through_p50_ms,added_p50_ms,direct_p99_ms,through_p99_ms,cpu_us_a_request");
    let base_config = SiteOptions::default()
        .base_config
        .replace("open_paths = [\"/menu\"]", "open_paths = [\"/menu\"]\nrepeatable = true");
    let site = DaemonSite::start(SiteOptions { base_config, daemons: vec!["a"], ..plain_site() }).await;
    let key = site.create_key(0, 1).await;
    let bearer = format!("Bearer {}", key.expose());
    let proxied_url = format!("http://{}{ORDERS_PATH}", site.daemons[0].public_address);
    let direct_url = format!("http://{}/orders", site.desk_address);
    let mut added_p50s = Vec::new();
    for round in 0..ROUNDS {
        let (mut direct_latencies, mut proxied_latencies) = (latency_histogram(), latency_histogram());
        let cpu_before = cpu_seconds(&site.daemons[0].process);
        const CALLS_PER_ROUND: usize = 2_000;
        for _ in 0..CALLS_PER_ROUND {
            let started_at = Instant::now();
            site.http.send("POST", &direct_url, &[("x-request-id", "d")], &1).await;
            record_latency(&mut direct_latencies, started_at.elapsed());
            let started_at = Instant::now();
            let answer = site.http.send("POST", &proxied_url, &[("authorization", &bearer)], &1).await;
            record_latency(&mut proxied_latencies, started_at.elapsed());
            assert_eq!(answer.status, 200, "{answer:?}");
        }
        let cpu = (cpu_seconds(&site.daemons[0].process) - cpu_before) * 1e6 / CALLS_PER_ROUND as f64;
        let (direct_p50, proxied_p50) = (quantile_ms(&direct_latencies, 0.5), quantile_ms(&proxied_latencies, 0.5));
        added_p50s.push(proxied_p50 - direct_p50);
        println!(
            "way,{round},{direct_p50:.3},{proxied_p50:.3},{:.3},{:.3},{:.3},{cpu:.0}",
            proxied_p50 - direct_p50,
            quantile_ms(&direct_latencies, 0.99),
            quantile_ms(&proxied_latencies, 0.99)
        );
    }
    let (least, median, most) = min_median_max(&added_p50s);
    println!("way,added p50 ms,min {least:.3},median {median:.3},max {most:.3}");
}

/// Measures how many streamed chunks per second one daemon forwards, and its processor time for each. Engines send
/// either as fast as they can, so that many chunks arrive together, or paced, so that each chunk arrives alone.
pub async fn measure_chunks() {
    println!("chunks,mode,round,streams,chunks,seconds,chunks_s,cpu_cores,chunks_a_cpu_second");
    measure_chunk_mode("together", "0", 20_000, 16).await;
    measure_chunk_mode("alone", "2000", 1_000, 160).await;
}

/// Measures the throughput of chunks at one speed of the engines, set by `token_us`.
async fn measure_chunk_mode(mode: &str, token_us: &str, tokens: usize, streams: usize) {
    let flags = [
        format!("--token-us={token_us}"),
        "--chunk-tokens=1".to_owned(),
        format!("--shortest={tokens}"),
        "--slots=64".to_owned(),
    ];
    let base_config = SiteOptions::default()
        .base_config
        .replace("kind = \"engine\"", "kind = \"engine\"\ninflight_per_upstream = 64");
    let options = SiteOptions {
        daemons: vec!["a"],
        engines: vec!["a", "a", "a", "a"],
        engine_flags: flags.to_vec(),
        base_config,
        ..SiteOptions::default()
    };
    let site = DaemonSite::start(options).await;
    let key = site.create_key(0, 1).await;
    for round in 0..ROUNDS {
        let cpu_before = cpu_seconds(&site.daemons[0].process);
        let started_at = Instant::now();
        let counts = join_all((0..streams).map(|stream| read_stream(&site, &key, stream, tokens))).await;
        let seconds = started_at.elapsed().as_secs_f64();
        let cpu = cpu_seconds(&site.daemons[0].process) - cpu_before;
        let chunks: usize = counts.iter().sum();
        println!(
            "chunks,{mode},{round},{streams},{chunks},{seconds:.2},{:.0},{:.2},{:.0}",
            chunks as f64 / seconds,
            cpu / seconds,
            chunks as f64 / cpu
        );
    }
}

/// Requests a stream, reads it to its end and returns the number of its events.
async fn read_stream(site: &DaemonSite, key: &KeySecret, stream: usize, tokens: usize) -> usize {
    let url = format!("http://{}/v1/chat/completions", site.daemons[0].public_address);
    let body = serde_json::json!({
        "model": "drafts", "stream": true, "max_tokens": tokens,
        "messages": [{ "role": "user", "content": format!("{stream}") }],
    });
    let request = site.http.request("POST", &url).bearer_auth(key.expose());
    let mut response = request.send_json(&body).await.expect("a stream");
    let mut count = 0;
    while let Some(Ok(chunk)) = response.next().await {
        count += count_events(&chunk);
    }
    count
}

/// Number of events whose start is in `chunk`.
fn count_events(chunk: &[u8]) -> usize {
    chunk.windows(6).filter(|window| window == b"data: ").count()
}

/// Requests a completion from the daemon with index `daemon`. Returns whether it succeeded.
async fn request_completion(
    site: &DaemonSite,
    daemon: usize,
    http: &HttpClient,
    key: &KeySecret,
    prompt: &str,
    seed: u64,
) -> bool {
    let url = format!("http://{}/v1/chat/completions", site.daemons[daemon].public_address);
    let body = serde_json::json!({
        "model": "drafts", "max_tokens": 64, "seed": seed, "messages": [{ "role": "user", "content": prompt }],
    });
    let bearer = format!("Bearer {}", key.expose());
    http.send("POST", &url, &[("authorization", &bearer)], &body).await.status == 200
}

/// Measures the latencies of two organisations by admission policy, while one floods the site and the other sends one
/// request at a time.
pub async fn measure_flood() {
    println!("flood,policy,round,organisation,requests,p50_ms,p99_ms");
    let base_config = SiteOptions::default()
        .base_config
        .replace(
            "[services.drafts]\nkind = \"engine\"",
            "[services.drafts]\nkind = \"engine\"\ninflight_per_upstream = 3",
        )
        .replace(
            "[organisations.rose]\nservices = [\"desk\"]",
            "[organisations.rose]\nservices = [\"desk\", \"drafts\"]",
        )
        .replace("weight = 4\n", "");
    let mut sites = Vec::new();
    for policy in ["fair", "fifo"] {
        let options = SiteOptions {
            engine_flags: vec!["--slots=8".to_owned(), "--token-us=300".to_owned()],
            daemon_flags: vec![format!("--admission-policy={policy}")],
            base_config: base_config.clone(),
            ..SiteOptions::default()
        };
        let site = DaemonSite::start(options).await;
        let flood_key = site.create_key(0, 1).await;
        let small_key = create_key_for(&site, "rose").await;
        sites.push((policy, site, flood_key, small_key));
    }
    let mut ratios: Vec<(&str, f64)> = Vec::new();
    for round in 0..ROUNDS {
        for (policy, site, flood_key, small_key) in &sites {
            let (flood_latencies, small_latencies) = run_flood_round(site, flood_key, small_key, round).await;
            for (name, latencies) in [("flood", &flood_latencies), ("small", &small_latencies)] {
                println!(
                    "flood,{policy},{round},{name},{},{:.1},{:.1}",
                    latencies.len(),
                    quantile_ms(latencies, 0.5),
                    quantile_ms(latencies, 0.99)
                );
            }
            ratios.push((policy, quantile_ms(&small_latencies, 0.99) / quantile_ms(&flood_latencies, 0.99)));
        }
    }
    for policy in ["fair", "fifo"] {
        let policy_ratios: Vec<f64> =
            ratios.iter().filter(|(name, _)| *name == policy).map(|(_, ratio)| *ratio).collect();
        let (least, median, most) = min_median_max(&policy_ratios);
        println!("flood,{policy},small p99 over flood p99,min {least:.2},median {median:.2},max {most:.2}");
    }
}

/// Creates a key of `organisation`.
async fn create_key_for(site: &DaemonSite, organisation: &str) -> KeySecret {
    let secret = KeySecret::generate(&mut ChaCha8Rng::seed_from_u64(99));
    let request = KeyRequest {
        change_id: "other".into(),
        organisation: organisation.into(),
        key_id: secret.id.clone(),
        key_hash: Some(secret.hash()),
    };
    assert_eq!(site.admin_post(0, "keys/create", &request).await.status, 200);
    secret
}

/// Lets both organisations send requests for some seconds. Returns the latencies of the flooding organisation and of
/// the other one.
async fn run_flood_round(
    site: &DaemonSite,
    flood_key: &KeySecret,
    small_key: &KeySecret,
    round: usize,
) -> (Histogram<u64>, Histogram<u64>) {
    const FLOOD_CALLERS: usize = 90;
    const ROUND_TIME: Duration = Duration::from_secs(4);
    let end = Instant::now() + ROUND_TIME;
    let flood_callers = join_all((0..FLOOD_CALLERS).map(|caller| send_until(site, flood_key, caller, round, end)));
    let small_caller = send_until(site, small_key, 1_000, round, end);
    let (flood_latencies, small_latencies) = futures_util::future::join(flood_callers, small_caller).await;
    let mut all_latencies = latency_histogram();
    flood_latencies.iter().for_each(|latencies| all_latencies.add(latencies).expect("a histogram"));
    (all_latencies, small_latencies)
}

/// Sends requests one after the other until `end` and returns the latencies of the successful ones.
async fn send_until(site: &DaemonSite, key: &KeySecret, caller: usize, round: usize, end: Instant) -> Histogram<u64> {
    let http = HttpClient::new();
    let mut latencies = latency_histogram();
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let seed = (round * 1_000_000 + caller * 1_000 + number) as u64;
        let started_at = Instant::now();
        if request_completion(site, caller % 3, &http, key, &format!("prompt {seed}"), seed).await {
            record_latency(&mut latencies, started_at.elapsed());
        }
    }
    latencies
}

/// Measures latencies by route policy, under load with repeated prompt prefixes. Policies run interleaved on equal
/// seeds, with six equal engines and with six engines of which one is six times slower.
pub async fn measure_routing() {
    println!("routing,engines,policy,round,requests,p50_ms,p99_ms");
    for has_slow_engine in [false, true] {
        let engines = if has_slow_engine { "one slow" } else { "equal" };
        let mut sites = Vec::new();
        for policy in ["round-robin", "two-choices", "prefix-two-choices"] {
            let (site, key) = start_routing_site(policy, has_slow_engine).await;
            sites.push((policy, site, key, latency_histogram()));
        }
        for round in 0..ROUNDS {
            for (policy, site, key, all_latencies) in &mut sites {
                let latencies =
                    join_all((0..30).map(|caller| send_with_shared_prefixes(site, key, caller, round))).await;
                let mut round_latencies = latency_histogram();
                latencies.iter().for_each(|latencies| round_latencies.add(latencies).expect("a histogram"));
                let (p50, p99) = (quantile_ms(&round_latencies, 0.5), quantile_ms(&round_latencies, 0.99));
                println!("routing,{engines},{policy},{round},{},{p50:.2},{p99:.2}", round_latencies.len());
                all_latencies.add(&round_latencies).expect("a histogram");
            }
        }
        for (policy, _, _, all_latencies) in &sites {
            let (p50, p99) = (quantile_ms(all_latencies, 0.5), quantile_ms(all_latencies, 0.99));
            println!("routing,{engines},{policy},all rounds,{},{p50:.2},{p99:.2}", all_latencies.len());
        }
    }
}

/// Starts a site with six engines and a route policy. Returns it with a key.
async fn start_routing_site(policy: &str, has_slow_engine: bool) -> (DaemonSite, KeySecret) {
    let engines = if has_slow_engine { vec!["a", "b", "c", "a", "b"] } else { vec!["a", "b", "c", "a", "b", "c"] };
    let options = SiteOptions {
        engines,
        engine_flags: vec!["--slots=4".to_owned(), "--token-us=500".to_owned()],
        daemon_flags: vec![format!("--route-policy={policy}")],
        ..SiteOptions::default()
    };
    let mut site = DaemonSite::start(options).await;
    if has_slow_engine {
        site.options.engine_flags = vec!["--slots=4".to_owned(), "--token-us=3000".to_owned()];
        site.start_engine("c").await;
        site.wait_ready().await;
    }
    let key = site.create_key(0, 1).await;
    (site, key)
}

/// Sends requests whose prompts share prefixes, one after the other, and returns the latencies of the successful ones.
async fn send_with_shared_prefixes(site: &DaemonSite, key: &KeySecret, caller: usize, round: usize) -> Histogram<u64> {
    const CALLS_PER_ROUND: usize = 60;
    let http = HttpClient::new();
    let mut latencies = latency_histogram();
    for number in 0..CALLS_PER_ROUND {
        // Selects one of 600 long prefixes; an engine caches 64 of them.
        let prefix = (caller * 7_919 + number * 104_729 + round * 13) % 600;
        let prompt = format!("{prefix:-<300} and then {number}");
        let started_at = Instant::now();
        if request_completion(site, caller % 3, &http, key, &prompt, (caller * 1_000 + number) as u64).await {
            record_latency(&mut latencies, started_at.elapsed());
        }
    }
    latencies
}
