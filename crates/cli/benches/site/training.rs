//! Experiment on what trainers observe: idle time, staleness of samples, and wasted tokens.

use crate::{
    probe::{metric_sum, min_median_max},
    support::{DaemonSite, SiteOptions},
};
use pimentoslip_kernel::{FetchCursor, KeySecret};
use pimentoslip_wire::caller::{FetchRequest, FetchResponse, OpenRequest, PublishRequest};
use std::time::{Duration, Instant};

const STEPS_PER_RUN: u64 = 8;
const GROUPS_PER_STEP: usize = 8;
const GROUP_SIZE: usize = 16;
/// Time that the trainer takes to train on one step.
const TRAINING_TIME: Duration = Duration::from_millis(900);
const ROUNDS: usize = 3;

/// Result of one training run.
struct RunReport {
    /// Share of the time in which the trainer waited for samples.
    idle_share: f64,
    /// Versions between the oldest weights of a sample and the published weights, for each sample.
    staleness: Vec<u64>,
}

/// Measures idle time, staleness and wasted tokens with and without running ahead and hedging; one engine of four is
/// slow.
pub async fn measure_steps() {
    println!("steps,run_ahead,hedging,round,idle_percent,stale_p50,stale_max,wasted_tokens");
    for run_ahead in [false, true] {
        for hedging in [false, true] {
            let mut idle_percents = Vec::new();
            for round in 0..ROUNDS {
                let (report, wasted_tokens) = run_training(run_ahead, hedging, round).await;
                let mut staleness = report.staleness.clone();
                staleness.sort_unstable();
                let (p50, max) = (staleness[staleness.len() / 2], staleness[staleness.len() - 1]);
                println!(
                    "steps,{run_ahead},{hedging},{round},{:.1},{p50},{max},{wasted_tokens}",
                    report.idle_share * 100.0
                );
                idle_percents.push(report.idle_share * 100.0);
            }
            let (least, median, most) = min_median_max(&idle_percents);
            println!("steps,{run_ahead},{hedging},idle percent,min {least:.1},median {median:.1},max {most:.1}");
        }
    }
}

/// Trains on a new site. Returns the result and the number of tokens that the daemons discarded.
async fn run_training(run_ahead: bool, hedging: bool, round: usize) -> (RunReport, f64) {
    let options = SiteOptions {
        engines: vec!["a", "b", "c"],
        engine_flags: vec!["--slots=16".to_owned(), "--token-us=2000".to_owned(), "--shortest=24".to_owned()],
        daemon_flags: vec![format!("--hedging={hedging}")],
        ..SiteOptions::default()
    };
    let mut site = DaemonSite::start(options).await;
    site.options.engine_flags =
        vec!["--slots=16".to_owned(), "--token-us=12000".to_owned(), "--shortest=24".to_owned()];
    site.start_engine("a").await;
    site.wait_ready().await;
    let key = site.create_key(0, 1).await;
    let report = train(&site, &key, run_ahead, round as u64 * 100).await;
    let mut wasted_tokens = 0.0;
    for daemon in &site.daemons {
        wasted_tokens += metric_sum(&site.http, &daemon.control_address, "wasted_tokens_total").await;
    }
    (report, wasted_tokens)
}

/// Simulates a trainer that trains on complete steps. If it runs ahead, it opens the next step before it trains.
async fn train(site: &DaemonSite, key: &KeySecret, run_ahead: bool, first_step: u64) -> RunReport {
    let started_at = Instant::now();
    let mut idle_time = Duration::ZERO;
    let mut staleness = Vec::new();
    let mut version = 1;
    open_step(site, key, first_step).await;
    for step in first_step..first_step + STEPS_PER_RUN {
        let wait_start = Instant::now();
        if !run_ahead && step > first_step {
            open_step(site, key, step).await;
        }
        fetch_all(site, key, step, version, &mut staleness).await;
        if step > first_step {
            // The first step is not counted, since no training precedes it that its sampling could overlap.
            idle_time += wait_start.elapsed();
        }
        if run_ahead && step + 1 < first_step + STEPS_PER_RUN {
            open_step(site, key, step + 1).await;
        }
        actix_rt::time::sleep(TRAINING_TIME).await;
        version += 1;
        let publish_request = PublishRequest { service: "drafts".into(), version };
        assert_eq!(site.send(0, "POST", "/v1/weights", key, &[], &publish_request).await.status, 200);
    }
    RunReport { idle_share: idle_time.as_secs_f64() / started_at.elapsed().as_secs_f64(), staleness }
}

/// Opens a step.
async fn open_step(site: &DaemonSite, key: &KeySecret, step: u64) {
    let request = OpenRequest {
        trainer: "menus".into(),
        step,
        service: "drafts".into(),
        prompts: (0..GROUPS_PER_STEP).map(|group| format!("menu {step} {group}").into()).collect(),
        group_size: GROUP_SIZE,
        max_tokens: 400,
    };
    assert_eq!(site.send(0, "POST", "/v1/steps", key, &[], &request).await.status, 200);
}

/// Fetches all samples of a step and adds the staleness of each to `staleness`.
async fn fetch_all(site: &DaemonSite, key: &KeySecret, step: u64, published: u64, staleness: &mut Vec<u64>) {
    let mut cursor = FetchCursor::default();
    loop {
        let request = FetchRequest {
            trainer: "menus".into(),
            step,
            cursor: cursor.clone(),
            published_version: published,
            samples_max: 256,
            wait_ms: 5_000,
        };
        let answer = site.send(0, "POST", "/v1/steps/fetch", key, &[], &request).await;
        assert_eq!(answer.status, 200, "{answer:?}");
        let response: FetchResponse = answer.json();
        for sample in &response.samples {
            cursor.insert(sample.position);
            let oldest = sample.segments.iter().map(|segment| segment.version).min().expect("a segment");
            staleness.push(published.saturating_sub(oldest));
        }
        if response.complete {
            return;
        }
    }
}
