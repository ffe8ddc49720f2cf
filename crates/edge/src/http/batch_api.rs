//! Public API for batch jobs: submits a job, reads its results and item bodies, and ends it.

use super::{
    api_refusal::ApiRefusal,
    proxy::read_body,
    request_context::{RequestContext, header_text},
};
use crate::{
    edge_state::EdgeState,
    job::{self, EndOutcome, JobView, ResultsQuery, SubmitOutcome, SubmittedJob},
    worker_parts::WorkerParts,
};
use actix_web::{HttpRequest, HttpResponse, http::Method, web};
use bytes::Bytes;
use form_urlencoded::parse;
use pimentoslip_kernel::{AbsenceProof, JobPlacement, ReadAnswer, RouteRule, TimePoint};
use pimentoslip_platform::{
    BatchItem, BatchSubmission, ITEM_PARAMETER, ListedResult, POSITION_PARAMETER, ResultPage, decode_submission,
    encode_page, header,
};
use pimentoslip_server::ChargedBody;
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::stored::{JobEntry, ResultEntry};
use std::{sync::Arc, time::Duration};
use tokio::sync::SemaphorePermit;

/// Largest total size of the texts in a page of results; the API allows pages of 1 MB.
const PAGE_BYTES_MAX: usize = 900_000;
/// Longest time for which a read waits for new results; the limit is part of the API.
const READ_WAIT_MS_MAX: u64 = 1_000;
/// Time for which a write to the store is retried; callers wait longer than this and retry after a failure.
const WRITE_TIMEOUT_MS: u64 = 2_000;
/// Time in which calls of this interface are answered.
pub const ANSWER_MS_MAX: u64 = WRITE_TIMEOUT_MS;

/// Stores a submitted batch job. Submitting the same job again is accepted too.
pub async fn submit_job(
    parts: &WorkerParts,
    context: &RequestContext,
    request: &HttpRequest,
    payload: web::Payload,
    rule: &RouteRule,
) -> Result<HttpResponse, ApiRefusal> {
    if request.method() != Method::POST || context.id.is_empty() {
        return Err(ApiRefusal::Malformed);
    }
    let grant = if rule.allows_anonymous { None } else { context.key_grant(request)? };
    let organisation = grant.map_or_else(|| "".into(), |grant| grant.organisation);
    let (body, _body_share) = read_body(parts, context, payload).await?;
    let submission = decode_submission(&body).map_err(|error| {
        LogLine::new("submission_malformed").field("job", &context.id).field("reason", error).warn();
        ApiRefusal::Malformed
    })?;
    let entry = JobEntry {
        organisation,
        host: context.host.clone(),
        path: context.path.as_str().into(),
        item_count: submission.items.len(),
        model: submission.model.clone(),
        oldest_version: submission.oldest_version,
        expected_tokens: expected_tokens(&submission),
        config_version: Some(context.config.version),
        submitted_unix_ms: parts.state.unix_ms(),
        region: parts.state.settings.region.clone(),
    };
    let (step, items) = (submission.step, submission.items.len());
    let deadline = context.deadline.min(parts.state.now().plus_ms(WRITE_TIMEOUT_MS));
    let submission = Arc::new(submission);
    let placement = JobPlacement {
        key: rule.name.clone(),
        homes: context.config.homes(rule, Some(&entry.organisation)),
        accepted_in: entry.region.clone(),
    };
    let new_job = SubmittedJob { id: context.id.clone(), entry, placement, body, submission };
    let outcome = job::submit_job(parts, &new_job, deadline).await;
    LogLine::new("job_submitted")
        .field("job", &context.id)
        .field("route", &rule.name)
        .field("step", step)
        .field("items", items)
        .field("result", format!("{outcome:?}").to_lowercase())
        .info();
    match outcome {
        SubmitOutcome::Accepted => Ok(HttpResponse::Accepted().finish()),
        SubmitOutcome::Foreign => Err(ApiRefusal::JobNotFound),
        SubmitOutcome::NotDone => Err(ApiRefusal::StoreUnreachable),
        SubmitOutcome::Unknown => Err(ApiRefusal::OutcomeUnknown),
    }
}

/// Sum of the expected tokens of all items.
fn expected_tokens(submission: &BatchSubmission) -> u64 {
    let tokens = submission.items.iter().map(BatchItem::expected_tokens);
    tokens.fold(0, u64::saturating_add).min(JobEntry::EXPECTED_TOKENS_MAX)
}

/// The job `id`; fails with `JobNotFound` unless the request's key belongs to the organisation that submitted the job. One that
/// was accepted without a key belongs to no organisation, and needs none.
async fn find_job(
    parts: &WorkerParts,
    context: &RequestContext,
    request: &HttpRequest,
    id: &str,
) -> Result<JobView, ApiRefusal> {
    let grant = context.key_grant(request);
    let is_known = parts.state.jobs().get(id).is_some_and(|view| view.entry.organisation.is_empty());
    if let Err(refusal) = &grant
        && !is_known
        && !context.config.accepts_anonymous_jobs()
    {
        // The store is not read for a caller without a valid key.
        return Err(*refusal);
    }
    let view = job::read_job(&parts.state, &parts.store, id).await.map_err(|error| {
        LogLine::new("job_read_failed").field("job", id).field("reason", error).warn();
        ApiRefusal::StoreUnreachable
    })?;
    if let Some(view) = view.as_ref().filter(|view| view.entry.organisation.is_empty()) {
        return Ok(view.clone());
    }
    let organisation = grant?.map(|grant| grant.organisation);
    view.filter(|view| Some(&view.entry.organisation) == organisation.as_ref()).ok_or(ApiRefusal::JobNotFound)
}

/// The decoded value of the query parameter `name`; `None` if it is missing.
fn query_parameter(request: &HttpRequest, name: &str) -> Option<String> {
    parse(request.query_string().as_bytes()).find(|(key, _)| key == name).map(|(_, value)| value.into_owned())
}

/// Responds with a page of the job's results from a position on. Waits for the first one if the caller requests that.
pub async fn read_results(
    parts: &WorkerParts,
    context: &RequestContext,
    request: &HttpRequest,
    id: &str,
) -> Result<HttpResponse, ApiRefusal> {
    let view = find_job(parts, context, request, id).await?;
    let position = query_parameter(request, POSITION_PARAMETER).map_or(Ok(0), |text| text.parse::<usize>());
    let position = position.map_err(|_| ApiRefusal::Malformed)?;
    let wait_ms =
        header_text(request.headers(), header::WAIT_MS).and_then(|text| text.trim().parse().ok()).unwrap_or(0);
    let arrived_at = context.arrived_at;
    let wait_until = arrived_at.plus_ms(READ_WAIT_MS_MAX.min(wait_ms)).min(context.deadline);
    let query = ResultsQuery { position, bytes_max: PAGE_BYTES_MAX, arrived_at, wait_until };
    let answer = match AbsenceProof::from_job_size(position, view.entry.item_count) {
        Some(proof) => Ok(ReadAnswer::absent(proof)),
        None => job::read_results(&parts.state, &parts.store, &parts.peer_client, &id.into(), &query).await,
    };
    let answer = answer.map_err(|error| {
        LogLine::new("results_read_failed").field("job", id).field("position", position).field("reason", error).warn();
        ApiRefusal::StoreUnreachable
    })?;
    let results: Vec<ListedResult<'_>> = answer.results().iter().map(|result| listed_result(result)).collect();
    let page = ResultPage { item_count: view.entry.item_count, next_position: position + results.len(), results };
    let body = encode_page(&page).map_err(|_| ApiRefusal::StoreUnreachable)?;
    let body = charged_body(&parts.state, body)?;
    Ok(HttpResponse::Ok().content_type("application/json").body(body))
}

/// The representation of a stored result in the API.
fn listed_result(result: &ResultEntry) -> ListedResult<'_> {
    ListedResult {
        id: &result.item_id,
        state: if result.completed { "completed" } else { "terminated" },
        text: &result.text,
        versions: &result.versions,
        score: result.score.as_deref(),
    }
}

/// Responds with the request body of one item of the job.
pub async fn read_item(
    parts: &WorkerParts,
    context: &RequestContext,
    request: &HttpRequest,
    id: &str,
) -> Result<HttpResponse, ApiRefusal> {
    find_job(parts, context, request, id).await?;
    let item = query_parameter(request, ITEM_PARAMETER).ok_or(ApiRefusal::Malformed)?;
    let _turn = item_read_turn(&parts.state, context.deadline).await?;
    let body = job::read_item_body(&parts.state, &parts.store, &parts.peer_client, &id.into(), &item).await.map_err(
        |error| {
            LogLine::new("item_read_failed").field("job", id).field("item", &item).field("reason", error).warn();
            ApiRefusal::StoreUnreachable
        },
    )?;
    let body = charged_body(&parts.state, body.ok_or(ApiRefusal::JobNotFound)?)?;
    Ok(HttpResponse::Ok().content_type("application/octet-stream").body(body))
}

/// A body that is in the budget until the caller has read it. Fails if the budget is used up; then nothing was done.
fn charged_body(state: &EdgeState, body: impl Into<Bytes>) -> Result<ChargedBody, ApiRefusal> {
    ChargedBody::new(body, state.buffers.share()).ok_or(ApiRefusal::MemoryUsedUp)
}

/// Waits until fewer than `ITEM_READS_MAX` item bodies are being read, up to `deadline`.
async fn item_read_turn(state: &EdgeState, deadline: TimePoint) -> Result<SemaphorePermit<'_>, ApiRefusal> {
    let left = Duration::from_millis(deadline.since_ms(state.now()));
    let turn = actix_rt::time::timeout(left, state.item_reads.acquire()).await;
    turn.ok().and_then(Result::ok).ok_or(ApiRefusal::DeadlinePassed)
}

/// Ends a batch job before all its results are complete.
pub async fn end_job(
    parts: &WorkerParts,
    context: &RequestContext,
    request: &HttpRequest,
    id: &str,
) -> Result<HttpResponse, ApiRefusal> {
    find_job(parts, context, request, id).await?;
    let deadline = context.deadline.min(parts.state.now().plus_ms(WRITE_TIMEOUT_MS));
    let outcome = job::end_job(&parts.state, &parts.store, id, deadline).await;
    LogLine::new("job_end")
        .field("job", id)
        .field("request_id", &context.id)
        .field("result", format!("{outcome:?}").to_lowercase())
        .info();
    match outcome {
        EndOutcome::Ended => Ok(HttpResponse::Ok().finish()),
        EndOutcome::NotDone => Err(ApiRefusal::StoreUnreachable),
        EndOutcome::Unknown => Err(ApiRefusal::OutcomeUnknown),
    }
}
