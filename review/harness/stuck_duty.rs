//! LOST: after a planned stop of the holder of the duty, the answer to one write of its successor is lost. From then on no
//! daemon gives orders, and the items of a step that only a new sampler can run are at no sampler.

use crate::{
    Verdict,
    json::Json,
    record::Record,
    site::{Job, Site, wait_until},
};
use std::{
    collections::BTreeSet,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const SLOTS: usize = 12;
const EVENT_TIME: Duration = Duration::from_millis(100);
const EVENTS: u64 = 21;
const GROUPS: usize = 22;
const GROUP_ITEMS: usize = 4;
/// A step runs out of time this long after its submission: the deadline on the sheet.
const STEP_TIME: Duration = Duration::from_millis(12_000);
/// The new sampler joins this long after the submission of the last step.
const JOIN_TIME: Duration = Duration::from_millis(2_500);
/// Time of steady state for which an item must have been at no sampler.
const IDLE_LIMIT: Duration = Duration::from_secs(5);
/// After the end of a disruption the store is stable again: `contactMs`.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Longest time in which answers of the store are lost.
const LOSS_TIME: Duration = Duration::from_millis(4_500);

struct Step {
    job: Job,
    submitted_at: Instant,
    ended_at: Instant,
    /// Ids of the items that were listed in time.
    listed: BTreeSet<String>,
    is_complete: bool,
    /// Highest number of items that ran at once in the last five seconds.
    busiest: usize,
}

pub fn play(record: Arc<Record>, has_trouble: bool) -> Verdict {
    let mut site = Site::new(record.clone());
    for number in 1..=4 {
        site.start_sampler(&format!("i-llm{number}"), "llm", SLOTS, Some(1), EVENT_TIME);
    }
    for number in 1..=3 {
        site.start_sampler(&format!("i-desk{number}"), "desk", 60, None, EVENT_TIME);
    }
    site.write_config(2, &[("cards".to_owned(), "/cards/".to_owned())]);
    for _ in 0..3 {
        site.start_daemon();
    }
    if !site.wait_ready() {
        return Verdict::NotRun;
    }
    // Step 1: all is calm, and the holder of the duty moves the samplers to version 2.
    site.name_version(2);
    let first = run_step(&site, 1, 1, None, &mut || {});
    record.line(&format!("step 1 complete: {}", first.is_complete));
    let holder = site.log.lock().unwrap().last_holder.clone();
    let Some(index) = site.daemons.iter().position(|daemon| daemon.name == holder) else { return Verdict::NotRun };
    if !first.is_complete || !wait_until(Duration::from_secs(8), || orders_settled(&site, 2)) {
        return Verdict::NotRun;
    }
    // Step 2 accepts version 2, which all samplers have. While it runs, the holder is stopped as in a rolling update: planned
    // work. It is not started again here.
    site.name_version(3);
    let loses = Arc::new(AtomicBool::new(has_trouble));
    let writes = Arc::new(AtomicUsize::new(0));
    let mut stop_at = Instant::now();
    let second = run_step(&site, 2, 2, Some(index), &mut || {
        stop_at = Instant::now();
        lose_one_write(&site, &record, &loses, &writes);
        site.daemons[index].signal("TERM");
        record.line(&format!("SIGTERM of {holder}, which gave the last order"));
    });
    record.line(&format!("step 2 complete: {}", second.is_complete));
    thread::sleep(LOSS_TIME.saturating_sub(stop_at.elapsed()));
    record.line(&format!("the daemons made {} writes in {} ms", writes.load(Ordering::SeqCst), LOSS_TIME.as_millis()));
    if has_trouble && loses.load(Ordering::SeqCst) {
        return Verdict::NotRun;
    }
    let disruption_ended_at = Instant::now();
    // The store is stable again, and the stopped process has ended, before the next step.
    thread::sleep(CONTACT + Duration::from_millis(1_500));
    // Step 3 accepts version 3 and newer. A new sampler joins, which has the newest version.
    site.name_version(4);
    let third = run_step(&site, 3, 3, Some(index), &mut || {});
    record.line(&format!("step 3 complete: {}", third.is_complete));
    judge(&site, &record, &third, disruption_ended_at)
}

/// Whether a sampler has `version` and none loads.
fn orders_settled(site: &Site, version: u64) -> bool {
    let listed = site.store.models_listed();
    !listed.is_empty() && listed.iter().all(|listed| *listed >= version)
}

/// From now on, the answer to one write of the daemons is lost: that of the next holder of the duty.
fn lose_one_write(site: &Site, record: &Arc<Record>, loses: &Arc<AtomicBool>, writes: &Arc<AtomicUsize>) {
    let (record, loses, writes) = (record.clone(), loses.clone(), writes.clone());
    let started_at = Instant::now();
    site.store.set_loss_rule(move |_, request| {
        let is_write = request.path.ends_with("/kv-txn") && started_at.elapsed() < LOSS_TIME;
        writes.fetch_add(usize::from(is_write), Ordering::SeqCst);
        let is_lost = is_write
            && request.text().contains("\"p/w/duty\"")
            && request.text().contains("\"puts\":[{")
            && loses.swap(false, Ordering::SeqCst);
        if is_lost {
            record.line("the store carries a write out, and its answer is lost");
        }
        is_lost
    });
}

/// Plays one step of the trainer: submits it, reads until enough groups are complete or its time is up, and ends it.
/// `disrupt` is called a moment after the submission.
fn run_step(site: &Site, number: u64, oldest_version: u64, stopped: Option<usize>, disrupt: &mut dyn FnMut()) -> Step {
    let items = (0..GROUPS * GROUP_ITEMS)
        .map(|item| (format!("e{number}x{item:03}"), format!("g{number}x{}", item / GROUP_ITEMS), EVENTS))
        .collect();
    let desired = GROUPS * 9 / 10;
    let job = Job {
        id: format!("7c41e09b{number:08x}"),
        prefix: "/cards/".to_owned(),
        step: number,
        oldest_version,
        desired,
        items,
    };
    let daemons: Vec<usize> = (0..site.daemons.len()).filter(|daemon| Some(*daemon) != stopped).collect();
    let submitted_at = Instant::now();
    let mut at = 0;
    while site.submit(daemons[at % daemons.len()], &job) != 202 && submitted_at.elapsed() < Duration::from_secs(3) {
        at += 1;
        thread::sleep(Duration::from_millis(100));
    }
    thread::sleep(Duration::from_millis(300));
    disrupt();
    let (mut position, mut listed, mut busiest) = (0, BTreeSet::new(), 0);
    let mut has_joined = number != 3;
    let mut is_complete = false;
    while !is_complete && submitted_at.elapsed() < STEP_TIME {
        if !has_joined && submitted_at.elapsed() >= JOIN_TIME {
            has_joined = true;
            site.start_sampler("i-llm5", "llm", SLOTS, Some(4), EVENT_TIME);
        }
        if submitted_at.elapsed() + IDLE_LIMIT >= STEP_TIME {
            busiest = busiest.max(site.log.lock().unwrap().running);
        }
        at += 1;
        if let Some(results) = site.read(daemons[at % daemons.len()], &job.id, position) {
            position += results.len();
            listed.extend(results.iter().map(|result: &Json| result.get("id").text().to_owned()));
        }
        let complete_groups =
            job.items.chunks(GROUP_ITEMS).filter(|group| group.iter().all(|(id, ..)| listed.contains(id)));
        is_complete = complete_groups.count() >= desired;
        thread::sleep(Duration::from_millis(100));
    }
    let ended_at = Instant::now();
    site.end(daemons[0], &job.id);
    Step { job, submitted_at, ended_at, listed, is_complete, busiest }
}

/// LOST: the step has run out of time, one of its items was at no sampler for 5 s of steady state though no sampler has
/// finished or failed it, others of the step had begun, and the samplers were under half full. No version was named then or
/// in the 6 s before: the last one was named before the step. One model is trained.
fn judge(site: &Site, record: &Record, step: &Step, disruption_ended_at: Instant) -> Verdict {
    if step.is_complete {
        return Verdict::Held;
    }
    let log = site.log.lock().unwrap();
    let has_begun = |id: &str| log.begun.get(id).is_some_and(|runs| runs.iter().any(|run| *run < step.ended_at));
    let begun = step.job.items.iter().filter(|(id, ..)| has_begun(id)).count();
    let never: Vec<&str> =
        step.job.items.iter().map(|(id, ..)| &**id).filter(|id| !has_begun(id) && !step.listed.contains(*id)).collect();
    // The arrival of the new sampler counts as a disruption here, to be on the safe side.
    let steady_from = (step.submitted_at + JOIN_TIME + CONTACT).max(disruption_ended_at + CONTACT);
    let steady = step.ended_at.saturating_duration_since(steady_from);
    let slots = SLOTS * 5;
    record.line(&format!(
        "step 3 ran out of time: {} items, {begun} begun, {} at no sampler in {:.1} s of steady state; at most {} of \
         {slots} slots were taken in the last five seconds",
        step.job.items.len(),
        never.len(),
        steady.as_secs_f64(),
        step.busiest
    ));
    let is_broken = !never.is_empty() && begun > 0 && steady >= IDLE_LIMIT && step.busiest * 2 < slots;
    if is_broken { Verdict::Broken } else { Verdict::Held }
}
