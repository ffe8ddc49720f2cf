//! Runs one owned job: deals its items to upstreams and lists their results.

use super::{
    KeptJob,
    item_run::{model, run_item},
    job_reader::{read_listed, read_submission, read_texts},
    job_writer::{NewJob, hand_over},
    ledger_writer::{LedgerWriter, WriteOutcome},
    owned_job::OwnedJob,
    score_run::{ScoreHindrance, place_score, score_item},
};
use crate::{
    edge_metrics::EdgeMetrics, edge_state::EdgeState, relay::UpstreamGuard, store::StoreAccess,
    worker_parts::WorkerParts,
};
use awc::Client;
use pimentoslip_kernel::{
    BatchLedger, BatchTerms, ItemSpec, ItemWork, RoomNeed, RouteRule, SamplerQuery, SharedName, TextCheckpoint,
    TimePoint,
};
use pimentoslip_platform::{BatchItem, BatchSubmission, StoreError};
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::stored::ResultEntry;
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};
use tokio::{sync::Notify, task::JoinSet};

/// Longest time between two looks at a job.
const LOOK_PERIOD: Duration = Duration::from_millis(100);
/// Pause before a job's record is read again.
const READ_PAUSE: Duration = Duration::from_millis(200);

/// Owns `job` until it is settled or another daemon owns it.
pub async fn run_job(state: Arc<EdgeState>, upstreams: Client, store: StoreAccess, id: SharedName) {
    if let Some(job) = open_job(&state, upstreams, store, &id).await {
        work(&job).await;
        if state.is_draining() && !job.ledger.borrow().is_settled() {
            part(&job).await;
        }
        let ledger = job.ledger.borrow();
        let ms = state.now().since_ms(job.submitted);
        EdgeMetrics::global().batch_duration.observe(ms as f64 / 1_000.0);
        LogLine::new("job_left")
            .field("job", &id)
            .field("listed", ledger.listed())
            .field("items", ledger.total())
            .field("ended", ledger.is_ended())
            .field("age_ms", ms)
            .info();
    }
    EdgeMetrics::global().jobs_owned.dec();
    state.jobs().release(&id);
}

/// Whether this process has no more to do for `job`. A missing owner is no reason to stop: the lease may have lapsed
/// with the store, and this process claims the job again.
fn is_over(state: &EdgeState, job: &str) -> bool {
    state.ownership().is_taken(job) || state.jobs().is_ended(job) || state.is_draining()
}

/// What a new owner begins with.
struct JobRecord {
    kept: KeptJob,
    /// Listed results, in order.
    listed: Vec<ResultEntry>,
    /// Texts in the middle.
    texts: Vec<TextCheckpoint>,
}

/// Reads what the job needs, as often as it takes.
async fn open_job(state: &Arc<EdgeState>, upstreams: Client, store: StoreAccess, id: &SharedName) -> Option<OwnedJob> {
    let kept = state.jobs().take_submission(id);
    loop {
        if is_over(state, id) {
            return None;
        }
        match read_record(state, &store, id, kept.clone()).await {
            Ok(record) => return build_job(state, upstreams, store, id, record),
            Err(error) => {
                LogLine::new("job_unread").field("job", id).field("reason", error).warn();
                actix_rt::time::sleep(READ_PAUSE).await;
            }
        }
    }
}

async fn read_record(
    state: &EdgeState,
    store: &StoreAccess,
    id: &SharedName,
    kept: Option<KeptJob>,
) -> Result<JobRecord, StoreError> {
    match kept {
        // A job that has not run before has nothing on record.
        Some(kept) if kept.ledger.is_none() => Ok(JobRecord { kept, listed: Vec::new(), texts: Vec::new() }),
        Some(kept) => Ok(JobRecord { kept, listed: read_listed(state, store, id).await?, texts: Vec::new() }),
        None => {
            let (submission, body) = read_submission(store, id).await?;
            let kept = KeptJob { submission: Arc::new(submission), body, ledger: None };
            let listed = read_listed(state, store, id).await?;
            Ok(JobRecord { kept, listed, texts: read_texts(store, id).await? })
        }
    }
}

fn build_job(
    state: &Arc<EdgeState>,
    upstreams: Client,
    store: StoreAccess,
    id: &SharedName,
    record: JobRecord,
) -> Option<OwnedJob> {
    let JobRecord { kept: KeptJob { submission, body, ledger: former }, listed, texts } = record;
    let entry = state.jobs().get(id)?.entry.clone();
    let revision = state.ownership().owner(id)?.revision;
    let age_ms = state.unix_ms().saturating_sub(entry.submitted_unix_ms);
    let submitted = state.now().minus_ms(age_ms);
    let rule = state.config().and_then(|config| config.route(&entry.host, &entry.path).cloned());
    let terms = terms(rule.as_deref(), &submission, submitted);
    let specs = submission.items.iter().map(item_spec).collect();
    let indexes: Vec<usize> = listed.iter().map(|result| result.index).collect();
    let mut ledger = BatchLedger::new(terms, specs, &indexes);
    let handed = former.as_ref().map_or(0, |former| former.items.len() + former.unlisted.len());
    if let Some(former) = former {
        ledger.restore(former);
    }
    ledger.replay(&texts);
    LogLine::new("job_begun")
        .field("job", id)
        .field("step", submission.step)
        .field("items", submission.items.len())
        .field("listed", indexes.len())
        .field("handed_over", handed)
        .field("checkpoints", texts.len())
        .field("oldest_version", submission.oldest_version)
        .field("age_ms", age_ms)
        .field("revision", revision)
        .info();
    state.jobs().begin(id, submission.clone(), listed);
    Some(OwnedJob {
        state: state.clone(),
        upstreams,
        store,
        id: id.clone(),
        organisation: Some(entry.organisation.clone()).filter(|organisation| !organisation.is_empty()),
        entry,
        body,
        submission,
        submitted,
        revision: Rc::new(Cell::new(revision)),
        ledger: Rc::new(RefCell::new(ledger)),
        changed: Rc::new(Notify::new()),
    })
}

fn terms(rule: Option<&RouteRule>, submission: &BatchSubmission, submitted: TimePoint) -> BatchTerms {
    let batch = rule.and_then(RouteRule::batch);
    BatchTerms {
        attempts_max: rule.map_or(1, |rule| rule.attempts_max),
        oldest_version: submission.oldest_version,
        single_version: batch.is_some_and(|batch| batch.single_version),
        give_up_at: submitted.plus_ms(batch.map_or(u64::MAX, |batch| batch.retention_ms)),
        groups_awaited: submission.groups_awaited,
    }
}

fn item_spec(item: &BatchItem) -> ItemSpec {
    ItemSpec { group: item.group.clone(), expected_tokens: item.expected_tokens(), scored: item.scorer.is_some() }
}

/// Hands an unfinished job to another daemon.
async fn part(job: &OwnedJob) {
    let kind = job.route().map_or_else(|| job.entry.path.clone(), |rule| rule.name.clone());
    let new = NewJob {
        id: job.id.clone(),
        entry: job.entry.clone(),
        kind,
        body: job.body.clone(),
        submission: job.submission.clone(),
    };
    let ledger = job.ledger.borrow().state();
    let parts = WorkerParts::new(job.state.clone());
    hand_over(&parts, &new, job.revision.get(), ledger).await;
}

async fn work(job: &OwnedJob) {
    let state = &job.state;
    // Dropping the set ends all runs and closes their connections.
    let mut runs = JoinSet::new();
    let mut writer = LedgerWriter::new(state.now());
    loop {
        while runs.try_join_next().is_some() {}
        if is_over(state, &job.id) {
            if state.jobs().is_ended(&job.id) {
                job.ledger.borrow_mut().end();
            }
            return;
        }
        if let Some(owner) = state.ownership().owner(&job.id) {
            job.revision.set(owner.revision);
        }
        let now = state.now();
        deal(job, &mut runs, now);
        if writer.round(job, now).await == WriteOutcome::Superseded {
            return;
        }
        if job.ledger.borrow().is_settled() {
            state.ownership().job_closed(&job.id);
            state.jobs().settled(&job.id);
            state.results_listed.notify_waiters();
            return;
        }
        let _ = actix_rt::time::timeout(LOOK_PERIOD, job.changed.notified()).await;
    }
}

/// Starts as many runs and scorings as there is room for.
fn deal(job: &OwnedJob, runs: &mut JoinSet<()>, now: TimePoint) {
    let Some(rule) = job.route() else {
        if job.state.config().is_some() {
            LogLine::new("job_route_gone").field("job", &job.id).warn();
            job.ledger.borrow_mut().abandon();
        }
        return;
    };
    let Some(batch) = rule.batch() else { return };
    job.ledger.borrow_mut().expire(now);
    let give_up_at = job.submitted.plus_ms(batch.retention_ms);
    let waits = job.ledger.borrow().waiting() > 0;
    state_waiting(job, &rule, waits);
    while waits && job.state.jobs().is_first(&rule.name, &job.id, job.submitted) {
        let next = job.ledger.borrow_mut().next_run(now);
        let Some(work) = next else { break };
        let Some(guard) = place(job, &rule, work) else {
            job.ledger.borrow_mut().put_back(work.index);
            break;
        };
        runs.spawn_local(run_item(job.clone(), work, guard, rule.priority, give_up_at));
    }
    let waits = job.ledger.borrow().waiting() > 0;
    state_waiting(job, &rule, waits);
    deal_scores(job, runs, now);
}

/// Starts as many scorers' calls as there is room for.
fn deal_scores(job: &OwnedJob, runs: &mut JoinSet<()>, now: TimePoint) {
    loop {
        let next = job.ledger.borrow_mut().next_score(now);
        let Some(index) = next else { return };
        match place_score(job, index) {
            Ok(placed) => runs.spawn_local(score_item(job.clone(), index, placed)),
            Err(hindrance) => {
                job.ledger.borrow_mut().put_back_score(index);
                if hindrance == ScoreHindrance::NoRoute {
                    LogLine::new("scorer_unroutable").field("job", &job.id).field("index", index).warn();
                }
                return;
            }
        };
    }
}

fn state_waiting(job: &OwnedJob, rule: &RouteRule, waits: bool) {
    let submitted = waits.then_some(job.submitted);
    job.state.jobs().set_waiting(rule.name.clone(), job.id.clone(), submitted);
}

/// Chooses the upstream for an item.
fn place(job: &OwnedJob, rule: &RouteRule, work: ItemWork) -> Option<UpstreamGuard> {
    let item = &job.submission.items[work.index];
    let model = model(job, work.index);
    let service = rule.service(pimentoslip_kernel::fingerprint(&[item.id.as_bytes()]))?;
    let query = SamplerQuery {
        service,
        model: model.as_deref().map(|model| (model, job.submission.oldest_version)),
        failure_domain: &job.state.settings.failure_domain,
        excluded: &[],
        room: RoomNeed::FreeSlot,
        affinity: &item.group,
    };
    UpstreamGuard::pick(&job.state, &query)
}
