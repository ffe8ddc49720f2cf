//! Steps through kills of their home, lost answers, and engines that swap or misbehave.

use super::support::{DaemonSite, HttpAnswer, SiteOptions, wait_for};
use pimentoslip_kernel::{FetchCursor, KeySecret, highest_ranked};
use pimentoslip_standin::EngineFault;
use pimentoslip_wire::caller::{FetchRequest, FetchResponse, OpenRequest, PublishRequest, SampleBody};

const GROUPS: usize = 8;
const GROUP_SIZE: usize = 8;
const SAMPLES: usize = GROUPS * GROUP_SIZE;

fn open_request(step: u64) -> OpenRequest {
    OpenRequest {
        trainer: "menus".into(),
        step,
        service: "drafts".into(),
        prompts: (0..GROUPS).map(|group| format!("menu {group}").into()).collect(),
        group_size: GROUP_SIZE,
        max_tokens: 64,
    }
}

async fn open(site: &DaemonSite, daemon: usize, key: &KeySecret, step: u64) -> HttpAnswer {
    site.send(daemon, "POST", "/v1/steps", key, &[], &open_request(step)).await
}

/// A trainer with its cursor.
struct Trainer {
    step: u64,
    cursor: FetchCursor,
    published: u64,
    samples: Vec<SampleBody>,
}

impl Trainer {
    fn new(step: u64) -> Self {
        Self { step, cursor: FetchCursor::default(), published: 0, samples: Vec::new() }
    }

    /// One fetch from daemon `at`. Opens the step again when its home is gone. True at the end.
    async fn fetch(&mut self, site: &DaemonSite, daemon: usize, key: &KeySecret, max: usize) -> bool {
        let fetch = FetchRequest {
            trainer: "menus".into(),
            step: self.step,
            cursor: self.cursor.clone(),
            published_version: self.published,
            samples_max: max,
            wait_ms: 500,
        };
        let answer = site.send(daemon, "POST", "/v1/steps/fetch", key, &[], &fetch).await;
        if answer.error("code") == "step_unknown" {
            open(site, daemon, key, self.step).await;
        }
        if answer.status != 200 {
            return false;
        }
        let answer: FetchResponse = answer.json();
        for sample in answer.samples {
            assert!(!self.cursor.contains(sample.position), "sample {} came twice", sample.position);
            self.cursor.insert(sample.position);
            self.samples.push(sample);
        }
        answer.complete
    }

    /// Fetches to the end, from each of the daemons in turn.
    async fn fetch_all(&mut self, site: &DaemonSite, daemons: &[usize], key: &KeySecret, max: usize) {
        const TURNS: usize = 2_000;
        for turn in 0..TURNS {
            if self.fetch(site, daemons[turn % daemons.len()], key, max).await {
                return;
            }
        }
        panic!("{} of {SAMPLES} samples after {TURNS} fetches", self.samples.len());
    }

    /// Publishes the next version, which the trainer knows of from then on.
    async fn publish(&mut self, site: &DaemonSite, daemon: usize, key: &KeySecret, version: u64) {
        let publish = PublishRequest { service: "drafts".into(), version };
        let answer = site.send(daemon, "POST", "/v1/weights", key, &[], &publish).await;
        assert_eq!(answer.status, 200, "{answer:?}");
        self.published = version;
    }
}

fn home_of(site: &DaemonSite, step: u64) -> usize {
    let names: Vec<String> = site.daemons.iter().map(|daemon| daemon.name.clone()).collect();
    let home = highest_ranked(&format!("step/velorio/menus/{step}"), &names).expect("a home");
    names.iter().position(|name| name == home).expect("a daemon")
}

#[actix_rt::test]
async fn a_step_outlives_its_home() {
    let mut site = DaemonSite::start(SiteOptions::default()).await;
    let key = site.create_key(0, 1).await;
    for step in 1..=2 {
        let mut trainer = Trainer::new(step);
        let home = home_of(&site, step);
        let entry = (home + 1) % 3;
        assert_eq!(open(&site, entry, &key, step).await.status, 200);
        while trainer.samples.len() < SAMPLES / 4 {
            trainer.fetch(&site, entry, &key, 5).await;
        }
        site.restart_daemon(home).await;
        trainer.fetch_all(&site, &[entry], &key, 7).await;
        assert_eq!(trainer.samples.len(), SAMPLES);
        site.wait_ready().await;
    }
}

#[actix_rt::test]
async fn a_frozen_home_and_a_second_one_deliver_each_sample_once() {
    let site = DaemonSite::start(SiteOptions::default()).await;
    let key = site.create_key(0, 1).await;
    let mut trainer = Trainer::new(1);
    let home = home_of(&site, 1);
    let (entry, other) = ((home + 1) % 3, (home + 2) % 3);
    open(&site, entry, &key, 1).await;
    while trainer.samples.len() < SAMPLES / 4 {
        trainer.fetch(&site, entry, &key, 5).await;
    }
    site.daemons[home].process.freeze();
    while trainer.samples.len() < SAMPLES / 2 {
        trainer.fetch(&site, other, &key, 3).await;
    }
    // The first home wakes and still holds its samples.
    site.daemons[home].process.resume();
    trainer.fetch_all(&site, &[home, entry, other], &key, 3).await;
    assert_eq!(trainer.samples.len(), SAMPLES);
}

#[actix_rt::test]
async fn versions_are_true_across_swaps_and_none_is_older_than_the_bound() {
    const BOUND: u64 = 2;
    let options = SiteOptions {
        engine_flags: vec!["--token-us=2000".to_owned(), "--shortest=24".to_owned()],
        ..SiteOptions::default()
    };
    let site = DaemonSite::start(options).await;
    let key = site.create_key(0, 1).await;
    let mut trainer = Trainer::new(1);
    open(&site, 0, &key, 1).await;
    let (mut version, mut turn, mut swapped) = (1, 0, 0);
    loop {
        turn += 1;
        if turn % 2 == 0 && version < 8 {
            version += 1;
            trainer.publish(&site, turn % 3, &key, version).await;
        }
        let known = trainer.samples.len();
        let complete = trainer.fetch(&site, turn % 3, &key, 9).await;
        for sample in &trainer.samples[known..] {
            check_versions(sample);
            let oldest = sample.segments.iter().map(|segment| segment.version).min().expect("a segment");
            assert!(oldest + BOUND >= trainer.published, "{sample:?} is too old for {}", trainer.published);
            swapped += usize::from(sample.segments.len() > 1);
        }
        if complete {
            break;
        }
    }
    assert_eq!(trainer.samples.len(), SAMPLES);
    println!("{swapped} of {SAMPLES} samples saw a swap");
}

/// The stand-in writes the version into each token, which the segments must match.
fn check_versions(sample: &SampleBody) {
    let words: Vec<&str> = sample.text.split_whitespace().collect();
    assert_eq!(words.len(), sample.segments.last().expect("a segment").end as usize, "{sample:?}");
    for segment in &sample.segments {
        let expected = format!("w{}", segment.version);
        let words = &words[segment.start as usize..segment.end as usize];
        assert!(words.iter().all(|word| *word == expected), "{sample:?}");
    }
}

#[actix_rt::test]
async fn an_engine_that_swaps_in_the_middle_is_told_by_segments() {
    let site = DaemonSite::start(SiteOptions { engines: vec!["a"], ..SiteOptions::default() }).await;
    let key = site.create_key(0, 1).await;
    site.set_engine_fault(0, EngineFault { swap_after_chunks: Some(2), ..EngineFault::default() }).await;
    let mut trainer = Trainer::new(1);
    open(&site, 0, &key, 1).await;
    while !trainer.fetch(&site, 0, &key, 64).await {}
    trainer.samples.iter().for_each(check_versions);
    assert!(trainer.samples.iter().any(|sample| sample.segments.len() > 1), "some saw the swap");
}

#[actix_rt::test]
async fn samples_of_unknown_version_and_cut_samples_are_run_again() {
    let site = DaemonSite::start(SiteOptions::default()).await;
    let key = site.create_key(0, 1).await;
    let mute = EngineFault { omit_version: true, ..EngineFault::default() };
    site.set_engine_fault(0, mute.clone()).await;
    site.set_engine_fault(1, mute).await;
    let mut trainer = Trainer::new(1);
    open(&site, 0, &key, 1).await;
    wait_for("discarded samples are logged", || async {
        site.logs().contains("named no weight version").then_some(())
    })
    .await;
    trainer.fetch(&site, 0, &key, 64).await;
    assert!(trainer.samples.is_empty(), "nothing of unknown version is delivered");
    for engine in 0..2 {
        site.set_engine_fault(engine, EngineFault { cut_streams: 5, wrong_request_ids: 2, ..EngineFault::default() })
            .await;
    }
    trainer.fetch_all(&site, &[1], &key, 64).await;
    assert_eq!(trainer.samples.len(), SAMPLES);
    trainer.samples.iter().for_each(check_versions);
}

#[actix_rt::test]
async fn a_failed_swap_is_ordered_again() {
    let site = DaemonSite::start(SiteOptions { engines: vec!["a"], ..SiteOptions::default() }).await;
    let key = site.create_key(0, 1).await;
    site.set_engine_fault(0, EngineFault { fail_swap: true, ..EngineFault::default() }).await;
    let mut trainer = Trainer::new(1);
    trainer.publish(&site, 1, &key, 5).await;
    wait_for("the failure is logged", || async { site.logs().contains("event=weights_failed").then_some(()) }).await;
    site.set_engine_fault(0, EngineFault::default()).await;
    wait_for("the engine has the weights", || async {
        let status = site.status(0).await?;
        status.upstreams.iter().any(|upstream| upstream.version == Some(5)).then_some(())
    })
    .await;
}
