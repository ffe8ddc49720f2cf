//! What trainers see: idle time, staleness, wasted tokens.

use crate::{
    probe::{metric, spread},
    support::{DaemonSite, SiteOptions},
};
use pimentoslip_kernel::{FetchCursor, KeySecret};
use pimentoslip_wire::caller::{FetchRequest, FetchResponse, OpenRequest, PublishRequest};
use std::time::{Duration, Instant};

const STEPS: u64 = 8;
const GROUPS: usize = 8;
const GROUP_SIZE: usize = 16;
const TRAIN: Duration = Duration::from_millis(900);
const ROUNDS: usize = 3;

/// What one training run showed.
struct RunReport {
    idle_share: f64,
    staleness: Vec<u64>,
}

/// Idle share, staleness and waste with and without running ahead and hedging; one engine of four is slow.
pub async fn steps() {
    println!("steps,run_ahead,hedging,round,idle_percent,stale_p50,stale_max,wasted_tokens");
    for run_ahead in [false, true] {
        for hedging in [false, true] {
            let mut idle = Vec::new();
            for round in 0..ROUNDS {
                let (report, wasted) = run(run_ahead, hedging, round).await;
                let mut staleness = report.staleness.clone();
                staleness.sort_unstable();
                let (p50, max) = (staleness[staleness.len() / 2], staleness[staleness.len() - 1]);
                println!("steps,{run_ahead},{hedging},{round},{:.1},{p50},{max},{wasted}", report.idle_share * 100.0);
                idle.push(report.idle_share * 100.0);
            }
            let (least, median, most) = spread(&idle);
            println!("steps,{run_ahead},{hedging},idle percent,min {least:.1},median {median:.1},max {most:.1}");
        }
    }
}

async fn run(run_ahead: bool, hedging: bool, round: usize) -> (RunReport, f64) {
    let shape = SiteOptions {
        engines: vec!["a", "b", "c"],
        engine_flags: vec!["--slots=16".to_owned(), "--token-us=2000".to_owned(), "--shortest=24".to_owned()],
        daemon_flags: vec![format!("--hedging={hedging}")],
        ..SiteOptions::default()
    };
    let mut site = DaemonSite::start(shape).await;
    site.options.engine_flags =
        vec!["--slots=16".to_owned(), "--token-us=12000".to_owned(), "--shortest=24".to_owned()];
    site.start_engine("a").await;
    site.wait_ready().await;
    let key = site.create_key(0, 1).await;
    let report = train(&site, &key, run_ahead, round as u64 * 100).await;
    let mut wasted = 0.0;
    for daemon in &site.daemons {
        wasted += metric(&site.http, &daemon.control_address, "wasted_tokens_total").await;
    }
    (report, wasted)
}

/// A trainer that trains on whole steps. Running ahead, it opens the next step before it trains.
async fn train(site: &DaemonSite, key: &KeySecret, run_ahead: bool, first: u64) -> RunReport {
    let began = Instant::now();
    let mut idle = Duration::ZERO;
    let mut staleness = Vec::new();
    let mut version = 1;
    open(site, key, first).await;
    for step in first..first + STEPS {
        let waiting = Instant::now();
        if !run_ahead && step > first {
            open(site, key, step).await;
        }
        fetch_all(site, key, step, version, &mut staleness).await;
        if step > first {
            // The first step has nothing before it that could hide its sampling.
            idle += waiting.elapsed();
        }
        if run_ahead && step + 1 < first + STEPS {
            open(site, key, step + 1).await;
        }
        actix_rt::time::sleep(TRAIN).await;
        version += 1;
        let publish = PublishRequest { service: "drafts".into(), version };
        assert_eq!(site.send(0, "POST", "/v1/weights", key, &[], &publish).await.status, 200);
    }
    RunReport { idle_share: idle.as_secs_f64() / began.elapsed().as_secs_f64(), staleness }
}

async fn open(site: &DaemonSite, key: &KeySecret, step: u64) {
    let open = OpenRequest {
        trainer: "menus".into(),
        step,
        service: "drafts".into(),
        prompts: (0..GROUPS).map(|group| format!("menu {step} {group}").into()).collect(),
        group_size: GROUP_SIZE,
        max_tokens: 400,
    };
    assert_eq!(site.send(0, "POST", "/v1/steps", key, &[], &open).await.status, 200);
}

async fn fetch_all(site: &DaemonSite, key: &KeySecret, step: u64, published: u64, staleness: &mut Vec<u64>) {
    let mut cursor = FetchCursor::default();
    loop {
        let fetch = FetchRequest {
            trainer: "menus".into(),
            step,
            cursor: cursor.clone(),
            published_version: published,
            samples_max: 256,
            wait_ms: 5_000,
        };
        let answer = site.send(0, "POST", "/v1/steps/fetch", key, &[], &fetch).await;
        assert_eq!(answer.status, 200, "{answer:?}");
        let answer: FetchResponse = answer.json();
        for sample in &answer.samples {
            cursor.insert(sample.position);
            let oldest = sample.segments.iter().map(|segment| segment.version).min().expect("a segment");
            staleness.push(published.saturating_sub(oldest));
        }
        if answer.complete {
            return;
        }
    }
}
