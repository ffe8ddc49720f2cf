//! Tests of training steps under killed and frozen daemons, lost answers, and engines that change their weights or send
//! invalid streams. The owner of a step is the daemon that runs it.

use super::support::{DaemonSite, HttpAnswer, SiteOptions, wait_for};
use pimentoslip_kernel::{FetchCursor, KeySecret, highest_ranked};
use pimentoslip_standin::EngineFault;
use pimentoslip_wire::caller::{FetchRequest, FetchResponse, OpenRequest, PublishRequest, SampleBody};

/// Groups of samples in a step, one for each prompt.
const GROUPS: usize = 8;
/// Samples in a group.
const GROUP_SIZE: usize = 8;
/// Samples in a step.
const SAMPLES: usize = GROUPS * GROUP_SIZE;

/// Request to open step `step`.
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

/// Opens step `step` at a daemon.
async fn open_step(site: &DaemonSite, daemon: usize, key: &KeySecret, step: u64) -> HttpAnswer {
    site.send(daemon, "POST", "/v1/steps", key, &[], &open_request(step)).await
}

/// Trainer that fetches the samples of one step.
struct Trainer {
    step: u64,
    /// Positions of the samples received so far, sent with each fetch.
    cursor: FetchCursor,
    /// Weight version that the trainer published last; 0 before the first.
    published_version: u64,
    /// Samples in the order of their arrival.
    samples: Vec<SampleBody>,
}

impl Trainer {
    fn new(step: u64) -> Self {
        Self { step, cursor: FetchCursor::default(), published_version: 0, samples: Vec::new() }
    }

    /// Fetches at most `samples_max` samples from a daemon, and opens the step again if its owner no longer has it.
    /// Returns whether the step is complete.
    async fn fetch(&mut self, site: &DaemonSite, daemon: usize, key: &KeySecret, samples_max: usize) -> bool {
        let request = FetchRequest {
            trainer: "menus".into(),
            step: self.step,
            cursor: self.cursor.clone(),
            published_version: self.published_version,
            samples_max,
            wait_ms: 500,
        };
        let answer = site.send(daemon, "POST", "/v1/steps/fetch", key, &[], &request).await;
        if answer.error("code") == "step_unknown" {
            open_step(site, daemon, key, self.step).await;
        }
        if answer.status != 200 {
            return false;
        }
        let response: FetchResponse = answer.json();
        for sample in response.samples {
            assert!(!self.cursor.contains(sample.position), "sample {} was received twice", sample.position);
            self.cursor.insert(sample.position);
            self.samples.push(sample);
        }
        response.complete
    }

    /// Fetches at most `samples_max` samples at a time from each of `daemons` in turn until the step is complete.
    /// Panics after 2000 fetches.
    async fn fetch_all(&mut self, site: &DaemonSite, daemons: &[usize], key: &KeySecret, samples_max: usize) {
        const MAX_FETCHES: usize = 2_000;
        for turn in 0..MAX_FETCHES {
            if self.fetch(site, daemons[turn % daemons.len()], key, samples_max).await {
                return;
            }
        }
        panic!("{} of {SAMPLES} samples after {MAX_FETCHES} fetches", self.samples.len());
    }

    /// Publishes a weight version, which later fetches report as the last published one.
    async fn publish(&mut self, site: &DaemonSite, daemon: usize, key: &KeySecret, version: u64) {
        let request = PublishRequest { service: "drafts".into(), version };
        let answer = site.send(daemon, "POST", "/v1/weights", key, &[], &request).await;
        assert_eq!(answer.status, 200, "{answer:?}");
        self.published_version = version;
    }
}

/// Index of the daemon that owns step `step`.
fn owner_index(site: &DaemonSite, step: u64) -> usize {
    let names: Vec<String> = site.daemons.iter().map(|daemon| daemon.name.clone()).collect();
    let owner = highest_ranked(&format!("step/velorio/menus/{step}"), &names).expect("a highest ranked daemon");
    names.iter().position(|name| name == owner).expect("the index of the owner")
}

/// Guards against samples that are lost or delivered twice when the owner of a step is killed and restarted.
#[actix_rt::test]
async fn a_step_is_completed_after_its_owner_is_killed() {
    let mut site = DaemonSite::start(SiteOptions::default()).await;
    let key = site.create_key(0, 1).await;
    for step in 1..=2 {
        let mut trainer = Trainer::new(step);
        let owner = owner_index(&site, step);
        let entry = (owner + 1) % 3;
        assert_eq!(open_step(&site, entry, &key, step).await.status, 200);
        while trainer.samples.len() < SAMPLES / 4 {
            trainer.fetch(&site, entry, &key, 5).await;
        }
        site.restart_daemon(owner).await;
        trainer.fetch_all(&site, &[entry], &key, 7).await;
        assert_eq!(trainer.samples.len(), SAMPLES);
        site.wait_ready().await;
    }
}

/// Guards against samples that are delivered twice because a frozen owner resumes after another daemon has taken over
/// its step.
#[actix_rt::test]
async fn a_resumed_owner_and_its_successor_deliver_each_sample_once() {
    let site = DaemonSite::start(SiteOptions::default()).await;
    let key = site.create_key(0, 1).await;
    let mut trainer = Trainer::new(1);
    let owner = owner_index(&site, 1);
    let (entry, other_daemon) = ((owner + 1) % 3, (owner + 2) % 3);
    open_step(&site, entry, &key, 1).await;
    while trainer.samples.len() < SAMPLES / 4 {
        trainer.fetch(&site, entry, &key, 5).await;
    }
    site.daemons[owner].process.freeze();
    while trainer.samples.len() < SAMPLES / 2 {
        trainer.fetch(&site, other_daemon, &key, 3).await;
    }
    // The first owner resumes and still holds its samples.
    site.daemons[owner].process.resume();
    trainer.fetch_all(&site, &[owner, entry, other_daemon], &key, 3).await;
    assert_eq!(trainer.samples.len(), SAMPLES);
}

/// Guards against samples that name the wrong weight version, or are older than the staleness bound allows, while new
/// weights are loaded.
#[actix_rt::test]
async fn samples_name_their_true_weight_version_and_respect_the_staleness_bound() {
    // `staleness_bound` of the base configuration.
    const STALENESS_BOUND_VERSIONS: u64 = 2;
    let options = SiteOptions {
        engine_flags: vec!["--token-us=2000".to_owned(), "--shortest=24".to_owned()],
        ..SiteOptions::default()
    };
    let site = DaemonSite::start(options).await;
    let key = site.create_key(0, 1).await;
    let mut trainer = Trainer::new(1);
    open_step(&site, 0, &key, 1).await;
    let (mut version, mut turn, mut mixed_samples) = (1, 0, 0);
    loop {
        turn += 1;
        if turn % 2 == 0 && version < 8 {
            version += 1;
            trainer.publish(&site, turn % 3, &key, version).await;
        }
        let previous_count = trainer.samples.len();
        let is_complete = trainer.fetch(&site, turn % 3, &key, 9).await;
        for sample in &trainer.samples[previous_count..] {
            check_versions(sample);
            let oldest = sample.segments.iter().map(|segment| segment.version).min().expect("a segment");
            assert!(
                oldest + STALENESS_BOUND_VERSIONS >= trainer.published_version,
                "{sample:?} is older than the bound allows after version {}",
                trainer.published_version
            );
            mixed_samples += usize::from(sample.segments.len() > 1);
        }
        if is_complete {
            break;
        }
    }
    assert_eq!(trainer.samples.len(), SAMPLES);
    println!("{mixed_samples} of {SAMPLES} samples contain more than one weight version");
}

/// Checks the segments of a sample against its text, in which the stand-in engine names the version of each token.
fn check_versions(sample: &SampleBody) {
    let words: Vec<&str> = sample.text.split_whitespace().collect();
    assert_eq!(words.len(), sample.segments.last().expect("a segment").end as usize, "{sample:?}");
    for segment in &sample.segments {
        let expected = format!("w{}", segment.version);
        let words = &words[segment.start as usize..segment.end as usize];
        assert!(words.iter().all(|word| *word == expected), "{sample:?}");
    }
}

/// Guards against a sample that names a single version although the engine changed its weights while generating it.
#[actix_rt::test]
async fn a_weight_change_within_a_sample_shows_in_its_segments() {
    let site = DaemonSite::start(SiteOptions { engines: vec!["a"], ..SiteOptions::default() }).await;
    let key = site.create_key(0, 1).await;
    site.set_engine_fault(0, EngineFault { swap_after_chunks: Some(2), ..EngineFault::default() }).await;
    let mut trainer = Trainer::new(1);
    open_step(&site, 0, &key, 1).await;
    while !trainer.fetch(&site, 0, &key, 64).await {}
    trainer.samples.iter().for_each(check_versions);
    assert!(trainer.samples.iter().any(|sample| sample.segments.len() > 1), "a sample contains the weight change");
}

/// Guards against the delivery of samples whose version is missing, whose stream was cut or whose answer has a wrong
/// id.
#[actix_rt::test]
async fn samples_without_a_version_and_cut_samples_are_discarded_and_run_again() {
    let site = DaemonSite::start(SiteOptions::default()).await;
    let key = site.create_key(0, 1).await;
    let omit_version = EngineFault { omit_version: true, ..EngineFault::default() };
    site.set_engine_fault(0, omit_version.clone()).await;
    site.set_engine_fault(1, omit_version).await;
    let mut trainer = Trainer::new(1);
    open_step(&site, 0, &key, 1).await;
    wait_for("discarded samples are logged", || async {
        site.logs().contains("named no weight version").then_some(())
    })
    .await;
    trainer.fetch(&site, 0, &key, 64).await;
    assert!(trainer.samples.is_empty(), "no sample without a version is delivered");
    for engine in 0..2 {
        site.set_engine_fault(engine, EngineFault { cut_streams: 5, wrong_request_ids: 2, ..EngineFault::default() })
            .await;
    }
    trainer.fetch_all(&site, &[1], &key, 64).await;
    assert_eq!(trainer.samples.len(), SAMPLES);
    trainer.samples.iter().for_each(check_versions);
}

/// Guards against an engine that keeps its previous weights after one failed order to load new ones.
#[actix_rt::test]
async fn a_failed_weight_load_is_ordered_again() {
    let site = DaemonSite::start(SiteOptions { engines: vec!["a"], ..SiteOptions::default() }).await;
    let key = site.create_key(0, 1).await;
    site.set_engine_fault(0, EngineFault { fail_swap: true, ..EngineFault::default() }).await;
    let mut trainer = Trainer::new(1);
    trainer.publish(&site, 1, &key, 5).await;
    wait_for("the failure is logged", || async { site.logs().contains("event=weights_failed").then_some(()) }).await;
    site.set_engine_fault(0, EngineFault::default()).await;
    wait_for("the engine reports the new weights", || async {
        let status = site.status(0).await?;
        status.upstreams.iter().any(|upstream| upstream.version == Some(5)).then_some(())
    })
    .await;
}

/// Guards against a trainer's wait that has no limit, or that ends its call because a sum overflows.
#[actix_rt::test]
async fn a_fetch_that_would_wait_for_ever_is_answered_when_samples_are_ready() {
    let site = DaemonSite::start(SiteOptions::default()).await;
    let key = site.create_key(0, 1).await;
    assert_eq!(open_step(&site, 0, &key, 1).await.status, 200);
    for daemon in 0..3 {
        let fetch = FetchRequest {
            trainer: "menus".into(),
            step: 1,
            cursor: FetchCursor::default(),
            published_version: 0,
            samples_max: 1,
            wait_ms: u64::MAX,
        };
        let answer = site.send(daemon, "POST", "/v1/steps/fetch", &key, &[], &fetch).await;
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(answer.json::<FetchResponse>().samples.len(), 1);
    }
}

/// Guards against a sample that is never run again because engines crashed while they ran it.
#[actix_rt::test]
async fn a_sample_is_completed_after_crashes_of_the_engines_that_ran_it() {
    const FETCHES_MAX: usize = 60;
    let site = DaemonSite::start(SiteOptions { engines: vec!["a", "b", "c", "a"], ..SiteOptions::default() }).await;
    let key = site.create_key(0, 1).await;
    for engine in 0..3 {
        site.set_engine_fault(engine, EngineFault { crash_on: Some("menu 0".to_owned()), ..EngineFault::default() })
            .await;
    }
    let open = OpenRequest { prompts: vec!["menu 0".into()], group_size: 1, ..open_request(1) };
    assert_eq!(site.send(0, "POST", "/v1/steps", &key, &[], &open).await.status, 200);
    let mut trainer = Trainer::new(1);
    let mut fetches = 0;
    while !trainer.fetch(&site, fetches % 3, &key, SAMPLES).await {
        fetches += 1;
        assert!(fetches < FETCHES_MAX, "the sample was not run again: {}", site.logs());
    }
    assert_eq!(trainer.samples.len(), 1);
}
