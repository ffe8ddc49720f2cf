//! Runs one owned job: dispatches its items to upstreams, and stores their results.

use super::{
    PendingJob,
    dispatch_round::DispatchRound,
    item_run::{item_model, run_item},
    job_reader::{has_chunk_from, read_all_results, read_checkpoints, read_submission},
    job_writer::{SubmittedJob, hand_over_job},
    ledger_writer::{LedgerWriter, WriteOutcome},
    owned_job::{OwnedJob, job_placement},
    score_run::{PlacementError, prepare_score_call, score_item},
    waiting_pools::WaitingPools,
};
use crate::{
    edge_metrics::EdgeMetrics, edge_state::EdgeState, limit::queued_permits, relay::UpstreamGuard, store::StoreAccess,
    worker_parts::WorkerParts,
};
use awc::Client;
use pimentoslip_kernel::{
    AcceptanceBound, BatchLedger, BatchOptions, CapacityNeed, HomeRegions, ItemPool, ItemSpec, JobCheckpoint,
    RequestUrgency, RouteRule, RunAssignment, SamplerQuery, SharedName, TimePoint,
};
use pimentoslip_platform::{BatchItem, BatchSubmission, StoreError};
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::stored::ResultEntry;
use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    rc::Rc,
    sync::Arc,
    time::Duration,
};
use tokio::{sync::Notify, task::JoinSet};

/// Longest time between two passes over a job; the end of a run or a scoring triggers one at once.
const PASS_PERIOD: Duration = Duration::from_millis(100);
/// Runs and scorings that one pass starts at most, each by a comparison of all upstreams. Other tasks of the thread run
/// in between.
const STARTS_MAX: usize = 32;
/// Shortest time between two reports that a job's items wait for upstreams that may not run them.
const WITHHELD_REPORT_INTERVAL_MS: u64 = 10_000;
/// Delay before a failed read of a job is repeated.
const READ_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Marks a job as running until dropped, also by a panic; the job is then started again.
struct RunningJob {
    state: Arc<EdgeState>,
    id: SharedName,
}

impl Drop for RunningJob {
    fn drop(&mut self) {
        EdgeMetrics::global().jobs_owned.dec();
        self.state.jobs().job_released(&self.id);
    }
}

/// Runs the owned job `id` until it is settled or ended, another daemon owns it, or this daemon drains. In the last
/// case an unfinished job is handed over.
pub async fn run_job(state: Arc<EdgeState>, upstream_client: Client, store: StoreAccess, id: SharedName) {
    let _running_job = RunningJob { state: state.clone(), id: id.clone() };
    if let Some(job) = open_job(&state, upstream_client, store, &id).await {
        drive_job(&job).await;
        if state.is_draining() && !job.ledger.borrow().is_settled() {
            hand_over(&job).await;
        }
        let ledger = job.ledger.borrow();
        let age_ms = state.now().since_ms(job.submitted_at);
        EdgeMetrics::global().batch_duration.observe(age_ms as f64 / 1_000.0);
        LogLine::new("job_left")
            .field("job", &id)
            .field("listed", ledger.listed_count())
            .field("items", ledger.item_count())
            .field("ended", ledger.is_ended())
            .field("age_ms", age_ms)
            .info();
    }
}

/// Whether this process must stop running `job`. A missing owner is no reason to stop: the lease may have expired
/// while the store was unreachable, and this process then claims the job again.
fn should_stop(state: &EdgeState, job: &str) -> bool {
    state.ownership().is_owned_elsewhere(job) || state.jobs().is_ended(job) || state.is_draining()
}

/// Data from which the owner of a job starts to run it.
struct JobInputs {
    /// Revision of the ownership entry, which this process knew before the results were read.
    owner_revision: u64,
    /// Submission, and the progress that the previous owner handed over.
    pending: PendingJob,
    /// Stored results, in order of their positions.
    results: Vec<ResultEntry>,
    /// Stored checkpoints of unfinished texts.
    checkpoints: Vec<JobCheckpoint>,
}

/// Reads the job, and repeats failed reads. `None` if this process must stop running the job meanwhile.
async fn open_job(
    state: &Arc<EdgeState>,
    upstream_client: Client,
    store: StoreAccess,
    id: &SharedName,
) -> Option<OwnedJob> {
    wait_for_config(state, id).await?;
    let pending = state.jobs().take_pending(id);
    loop {
        if should_stop(state, id) {
            return None;
        }
        let owner_revision = state.ownership().own_revision(id)?;
        match read_inputs(state, &store, id, pending.clone(), owner_revision).await {
            Ok(inputs) => return build_job(state, upstream_client, store, id, inputs),
            Err(error) => {
                LogLine::new("job_read_failed").field("job", id).field("reason", error).warn();
                actix_rt::time::sleep(READ_RETRY_DELAY).await;
            }
        }
    }
}

/// Waits until the configuration is at least as new as the one under which the job was accepted. With an older one, a route
/// that this daemon does not know yet would count as removed. `None` if this process must stop running the job meanwhile.
async fn wait_for_config(state: &EdgeState, id: &SharedName) -> Option<()> {
    let config_version = state.jobs().get(id)?.entry.config_version;
    let bound = AcceptanceBound { config_version, learned_at: state.now() };
    let mut is_logged = false;
    while !is_bound_met(state, &bound) {
        if should_stop(state, id) {
            return None;
        }
        if !is_logged {
            is_logged = true;
            EdgeMetrics::increment(&EdgeMetrics::global().job_waits, "config_older");
            LogLine::new("job_waits_for_config")
                .field("job", id)
                .field("accepted_version", version_text(config_version))
                .field("own_version", version_text(state.config().map(|config| config.version)))
                .warn();
        }
        actix_rt::time::sleep(PASS_PERIOD).await;
    }
    Some(())
}

/// Whether this daemon's configuration meets `bound`.
fn is_bound_met(state: &EdgeState, bound: &AcceptanceBound) -> bool {
    // Read first, as another thread applies configurations.
    let current_as_of = state.config_current_as_of();
    state.config().is_some_and(|config| bound.is_met(config.version, current_as_of))
}

/// A version in log lines.
fn version_text(version: Option<u64>) -> String {
    version.map_or_else(|| "unknown".to_owned(), |version| version.to_string())
}

/// Reads the inputs that are not part of the pending job from the store; all of them if there is no pending job.
async fn read_inputs(
    state: &EdgeState,
    store: &StoreAccess,
    id: &SharedName,
    pending: Option<PendingJob>,
    owner_revision: u64,
) -> Result<JobInputs, StoreError> {
    // The job may have run meanwhile if this is not the ownership entry with which it came to this process.
    let pending = pending.filter(|pending| {
        pending.owner_revision == Some(owner_revision) && !state.jobs().is_entry_used(id, owner_revision)
    });
    match pending {
        // A job that has not run before has no stored results or checkpoints.
        Some(pending) if pending.ledger.is_none() => {
            Ok(JobInputs { owner_revision, pending, results: Vec::new(), checkpoints: Vec::new() })
        }
        Some(pending) => {
            let results = read_all_results(state, store, id).await?;
            Ok(JobInputs { owner_revision, pending, results, checkpoints: Vec::new() })
        }
        None => {
            let ((submission, body), results, checkpoints) = futures_util::try_join!(
                read_submission(store, id),
                read_all_results(state, store, id),
                read_checkpoints(store, id)
            )?;
            let pending = PendingJob { submission: Arc::new(submission), body, ledger: None, owner_revision: None };
            Ok(JobInputs { owner_revision, pending, results, checkpoints })
        }
    }
}

/// Builds the state of the job, with a ledger that continues from the stored and the handed-over progress. `None` if
/// the job is no longer in the index.
fn build_job(
    state: &Arc<EdgeState>,
    upstream_client: Client,
    store: StoreAccess,
    id: &SharedName,
    inputs: JobInputs,
) -> Option<OwnedJob> {
    let JobInputs { owner_revision, pending, results, checkpoints } = inputs;
    let PendingJob { submission, body, ledger: previous_ledger, .. } = pending;
    let entry = state.jobs().get(id)?.entry.clone();
    let age_ms = state.unix_ms().saturating_sub(entry.submitted_unix_ms);
    let submitted_at = state.now().minus_ms(age_ms);
    let rule = state.config().and_then(|config| config.route(&entry.host, &entry.path).cloned());
    let options = batch_options(rule.as_deref(), &submission, submitted_at);
    let specs = submission.items.iter().map(item_spec).collect();
    let stored_indexes: Vec<usize> = results.iter().map(|result| result.item_index).collect();
    let mut ledger = BatchLedger::new(options, specs, &stored_indexes);
    let handed_over = previous_ledger.as_ref().map_or(0, |ledger| ledger.items.len() + ledger.unlisted.len());
    if let Some(previous_ledger) = previous_ledger {
        ledger.restore(previous_ledger);
    }
    ledger.replay_checkpoints(&checkpoints);
    LogLine::new("job_begun")
        .field("job", id)
        .field("step", submission.step)
        .field("items", submission.items.len())
        .field("listed", stored_indexes.len())
        .field("handed_over", handed_over)
        .field("checkpoints", checkpoints.len())
        .field("oldest_version", submission.oldest_version)
        .field("age_ms", age_ms)
        .field("revision", owner_revision)
        .info();
    state.jobs().job_opened(id, submission.clone(), results, owner_revision);
    Some(OwnedJob {
        state: state.clone(),
        upstream_client,
        store,
        id: id.clone(),
        organisation: Some(entry.organisation.clone()).filter(|organisation| !organisation.is_empty()),
        entry,
        body,
        submission,
        submitted_at,
        owner_revision: Rc::new(Cell::new(owner_revision)),
        ledger: Rc::new(RefCell::new(ledger)),
        run_failures: Rc::default(),
        withheld_report_at: Rc::new(Cell::new(TimePoint(0))),
        ledger_changed: Rc::new(Notify::new()),
    })
}

/// Options of the job, from its submission and its route. They stay as they are while this process runs the job. Without a
/// route, which has been removed then, a failed item is not tried again.
fn batch_options(rule: Option<&RouteRule>, submission: &BatchSubmission, submitted_at: TimePoint) -> BatchOptions {
    let batch_rule = rule.and_then(RouteRule::batch_rule);
    BatchOptions {
        attempts_max: rule.map_or(1, |rule| rule.attempts_max),
        oldest_version: submission.oldest_version,
        single_version: batch_rule.is_some_and(|batch_rule| batch_rule.single_version),
        retention_ends_at: submitted_at.plus_ms(batch_rule.map_or(u64::MAX, |batch_rule| batch_rule.retention_ms)),
        groups_awaited: submission.groups_awaited,
    }
}

/// The ledger's description of an item.
fn item_spec(item: &BatchItem) -> ItemSpec {
    ItemSpec { group: item.group.clone(), expected_tokens: item.expected_tokens(), needs_score: item.scorer.is_some() }
}

/// Hands an unfinished job over to another daemon.
async fn hand_over(job: &OwnedJob) {
    let submitted_job = SubmittedJob {
        id: job.id.clone(),
        entry: job.entry.clone(),
        placement: job_placement(&job.state, &job.entry),
        body: job.body.clone(),
        submission: job.submission.clone(),
    };
    let ledger = job.ledger.borrow().handover_state();
    let parts = WorkerParts::new(job.state.clone());
    hand_over_job(&parts, &submitted_job, job.owner_revision.get(), ledger).await;
}

/// Dispatches items and stores results, pass by pass, until the job is settled or this process must stop running it.
async fn drive_job(job: &OwnedJob) {
    let state = &job.state;
    // Dropping the set cancels all runs and closes their connections.
    let mut runs = JoinSet::new();
    let mut writer = LedgerWriter::new(state.now());
    let mut round = DispatchRound::default();
    loop {
        while let Some(ended) = runs.try_join_next() {
            if let Err(error) = ended {
                // The ledger does not know that the run has ended. The job starts again from what is stored.
                LogLine::new("item_run_failed").field("job", &job.id).field("reason", error).warn();
                EdgeMetrics::increment(&EdgeMetrics::global().task_failures, "item_run");
                return;
            }
        }
        if should_stop(state, &job.id) {
            if state.jobs().is_ended(&job.id) {
                job.ledger.borrow_mut().end();
            }
            return;
        }
        let own_revision = state.ownership().own_revision(&job.id);
        if let Some(revision) = own_revision {
            job.owner_revision.set(revision);
            verify_listing(job, revision).await;
        }
        let now = state.now();
        let has_more = dispatch_items(job, &mut runs, &mut round, now);
        if writer.write_due(job).await == WriteOutcome::Superseded {
            return;
        }
        if job.ledger.borrow().is_settled() {
            state.ownership().job_closed(&job.id);
            state.jobs().job_settled(&job.id);
            state.results_listed.notify_waiters();
            return;
        }
        if has_more {
            tokio::task::yield_now().await;
        } else {
            round.end();
            tokio::select! {
                () = job.ledger_changed.notified() => {}
                () = state.permits_changed.notified() => {}
                () = actix_rt::time::sleep(PASS_PERIOD) => {}
            }
        }
    }
}

/// Finds out, once for each new ownership entry, that nobody has stored results since the last one. If somebody has, or the store
/// cannot be read, readers ask the store until the next write of results is carried out.
async fn verify_listing(job: &OwnedJob, owner_revision: u64) {
    if job.state.jobs().is_entry_used(&job.id, owner_revision) {
        return;
    }
    let listed_count = job.ledger.borrow().listed_count();
    match has_chunk_from(&job.store, &job.id, listed_count).await {
        Ok(has_more) => {
            job.state.jobs().listing_verified(&job.id, owner_revision, !has_more);
            if has_more {
                LogLine::new("listing_outdated").field("job", &job.id).field("listed", listed_count).info();
            }
        }
        Err(error) => LogLine::new("listing_not_verified").field("job", &job.id).field("reason", error).warn(),
    }
}

/// Starts runs and scorings until no upstream has a free slot, but tries no more than [`STARTS_MAX`] of each. Returns whether
/// more may be started in this round. Terminates all unfinished items if the route is no longer configured.
fn dispatch_items(job: &OwnedJob, runs: &mut JoinSet<()>, round: &mut DispatchRound, now: TimePoint) -> bool {
    let Some(rule) = job.route() else {
        if job.state.config().is_some() {
            LogLine::new("job_route_gone").field("job", &job.id).warn();
            job.ledger.borrow_mut().terminate_unfinished();
        }
        return false;
    };
    if rule.batch_rule().is_none() {
        return false;
    }
    let retention_ends_at = {
        let mut ledger = job.ledger.borrow_mut();
        ledger.expire_items(now);
        if round.config_read(job.state.config().map(|config| config.version)) {
            ledger.forget_pools();
        }
        ledger.retention_ends_at()
    };
    update_waiting(job, &rule, round);
    let mut try_count = 0;
    while try_count < STARTS_MAX && !rule.targets.is_empty() {
        let next_run = job.ledger.borrow_mut().start_next_run(now, |pool| round.is_full(pool));
        let Some(assignment) = next_run else { break };
        try_count += 1;
        if let Some(guard) = place_item(job, &rule, &assignment, round, now) {
            runs.spawn_local(run_item(job.clone(), assignment, guard, rule.priority, retention_ends_at));
        }
    }
    update_waiting(job, &rule, round);
    let scores_more = dispatch_scores(job, runs, round, now);
    try_count == STARTS_MAX || scores_more
}

/// Selects an upstream for an item that is to be run. `None` if there is none; the item is then queued again, and its pool passed
/// over for the rest of the round.
fn place_item(
    job: &OwnedJob,
    rule: &RouteRule,
    assignment: &RunAssignment,
    round: &mut DispatchRound,
    now: TimePoint,
) -> Option<UpstreamGuard> {
    let item_index = assignment.item_index;
    let Some(pool) = item_pool(job, rule, assignment) else {
        job.ledger.borrow_mut().requeue_run(item_index, None);
        return None;
    };
    let is_listed = assignment.software.is_none() || job.state.is_list_confirmed();
    let may_run = is_listed
        && !round.is_full(&pool)
        && job.state.jobs().is_oldest_waiting(&rule.name, &job.id, job.submitted_at, &pool);
    if may_run {
        if let Some(guard) = select_upstream(job, rule, assignment) {
            round.pool_served(&pool, true);
            return Some(guard);
        }
        let is_withheld = check_withheld(job, rule, assignment, now);
        let is_served = is_pool_served(job, rule, assignment, now);
        if assignment.software.is_some() && !is_withheld {
            // Other upstreams may generate the text again.
            job.ledger.borrow_mut().defer_run(item_index, is_served, now);
            return None;
        }
        round.pool_served(&pool, is_served);
    }
    round.pool_full(pool.clone());
    job.ledger.borrow_mut().requeue_run(item_index, Some(pool));
    None
}

/// Starts scorer calls until no upstream has a spare slot, but tries no more than [`STARTS_MAX`]. Returns whether more may be
/// started in this round.
fn dispatch_scores(job: &OwnedJob, runs: &mut JoinSet<()>, round: &mut DispatchRound, now: TimePoint) -> bool {
    for _ in 0..STARTS_MAX {
        let next_index = job.ledger.borrow_mut().start_next_scoring(now, |service| round.is_scorer_full(service));
        let Some(item_index) = next_index else { return false };
        let service = match prepare_score_call(job, item_index) {
            Ok(call) => {
                runs.spawn_local(score_item(job.clone(), item_index, call));
                continue;
            }
            Err(PlacementError::NoCapacity(service)) => Some(service),
            Err(PlacementError::NoRoute) => {
                if !round.is_scorer_full(&None) {
                    LogLine::new("scorer_unroutable").field("job", &job.id).field("index", item_index).warn();
                }
                None
            }
        };
        round.scorer_full(service.clone());
        job.ledger.borrow_mut().requeue_scoring(item_index, service);
    }
    true
}

/// Records in the index what the job's items wait for, which defers newer jobs of its route. Items that no upstream could run
/// defer nothing.
fn update_waiting(job: &OwnedJob, rule: &RouteRule, round: &DispatchRound) {
    let ledger = job.ledger.borrow();
    let mut wait = WaitingPools { submitted_at: job.submitted_at, has_untried: false, targets: BTreeSet::new() };
    for pool in ledger.waiting_pools() {
        match pool {
            Some(pool) if round.is_unserved(pool) => {}
            Some(pool) => {
                wait.targets.insert((pool.service.clone(), pool.model.clone()));
            }
            None => wait.has_untried = true,
        }
    }
    let has_waiting = wait.has_untried || !wait.targets.is_empty();
    job.state.jobs().set_waiting(rule.name.clone(), job.id.clone(), has_waiting.then_some(wait));
}

/// Selects an upstream with a free slot for an item, and counts the run on it; one that has not failed the item, if possible.
/// `None` if there is no such upstream.
fn select_upstream(job: &OwnedJob, rule: &RouteRule, assignment: &RunAssignment) -> Option<UpstreamGuard> {
    let model = item_model(job, assignment.item_index);
    let homes = job.homes();
    let query = item_query(job, rule, assignment, model.as_deref(), homes.as_ref())?;
    let failed = job.run_failures.borrow().upstreams(assignment.item_index);
    if !failed.is_empty() {
        let guard = UpstreamGuard::pick(&job.state, &SamplerQuery { excluded: &failed, ..query });
        if guard.is_some() {
            return guard;
        }
        job.run_failures.borrow_mut().forget(assignment.item_index);
    }
    UpstreamGuard::pick(&job.state, &query)
}

/// Whether no upstream may run the item, whatever its software, although some could: its text is kept until one may. Logs that
/// from time to time.
fn check_withheld(job: &OwnedJob, rule: &RouteRule, assignment: &RunAssignment, now: TimePoint) -> bool {
    let model = item_model(job, assignment.item_index);
    let homes = job.homes();
    let query = item_query(job, rule, assignment, model.as_deref(), homes.as_ref());
    let reason =
        query.and_then(|query| job.state.upstreams().withhold_reason(&SamplerQuery { software: None, ..query }, now));
    let Some(reason) = reason else { return false };
    if now >= job.withheld_report_at.get() {
        job.withheld_report_at.set(now.plus_ms(WITHHELD_REPORT_INTERVAL_MS));
        EdgeMetrics::increment(&EdgeMetrics::global().job_waits, reason.as_str());
        LogLine::new("items_withheld")
            .field("job", &job.id)
            .field("items", job.ledger.borrow().waiting_count() + 1)
            .field("reason", reason.as_str())
            .warn();
    }
    true
}

/// Whether an upstream serves the item, with room or without.
fn is_pool_served(job: &OwnedJob, rule: &RouteRule, assignment: &RunAssignment, now: TimePoint) -> bool {
    let model = item_model(job, assignment.item_index);
    let homes = job.homes();
    let query = item_query(job, rule, assignment, model.as_deref(), homes.as_ref());
    query.is_some_and(|query| job.state.upstreams().is_served(&query, now))
}

/// Service that the item is drawn for. `None` if the route has no targets.
fn item_service<'a>(job: &OwnedJob, rule: &'a RouteRule, item_index: usize) -> Option<&'a SharedName> {
    rule.service_for_draw(pimentoslip_kernel::fingerprint(&[job.submission.items[item_index].id.as_bytes()]))
}

/// The pool of upstreams that can run an item. `None` if the route has no targets.
fn item_pool(job: &OwnedJob, rule: &RouteRule, assignment: &RunAssignment) -> Option<ItemPool> {
    Some(ItemPool {
        service: item_service(job, rule, assignment.item_index)?.clone(),
        model: item_model(job, assignment.item_index),
        software: assignment.software.clone(),
    })
}

/// Query for an upstream with a free slot that can run an item. `None` if the route has no targets.
fn item_query<'a>(
    job: &'a OwnedJob,
    rule: &'a RouteRule,
    assignment: &'a RunAssignment,
    model: Option<&'a str>,
    homes: Option<&'a HomeRegions>,
) -> Option<SamplerQuery<'a>> {
    let item = &job.submission.items[assignment.item_index];
    let pool = item_pool(job, rule, assignment)?;
    let waiting_count = job.ledger.borrow().waiting_count_for(pool) + 1;
    Some(SamplerQuery {
        service: item_service(job, rule, assignment.item_index)?,
        model: model.map(|model| (model, job.submission.oldest_version)),
        software: assignment.software.as_deref(),
        failure_domain: &job.state.settings.failure_domain,
        homes,
        excluded: &[],
        capacity: CapacityNeed::TextSlot,
        affinity: &item.group,
        permits: queued_permits(&job.state, RequestUrgency::of_item(rule.priority), waiting_count),
    })
}
