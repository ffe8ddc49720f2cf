//! Batch jobs: submissions, reads and ends.

use super::{
    api_refusal::ApiRefusal,
    proxy::read_body,
    request_context::{RequestContext, header_text},
};
use crate::{
    job::{self, JobView, ResultsQuery, SubmitOutcome, SubmittedJob},
    worker_parts::WorkerParts,
};
use actix_web::{HttpRequest, HttpResponse, http::Method, web};
use form_urlencoded::parse;
use pimentoslip_kernel::RouteRule;
use pimentoslip_platform::{
    BatchItem, ITEM_PARAMETER, ListedResult, POSITION_PARAMETER, ResultPage, decode_submission, encode_page, header,
};
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::stored::{JobEntry, ResultEntry};
use std::sync::Arc;

/// Largest page of results, in bytes of text; the interface allows 1 MB of results.
const PAGE_BYTES_MAX: usize = 900_000;
/// Longest wait of a read in milliseconds, as the interface allows.
const READ_WAIT_MS_MAX: u64 = 1_000;
/// A write is tried for this long; callers wait longer and come again otherwise.
const WRITE_MS_MAX: u64 = 2_000;

/// Accepts a batch job.
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
    let body = read_body(parts, context, payload).await?;
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
        expected_tokens: submission.items.iter().map(BatchItem::expected_tokens).sum(),
        submitted_unix_ms: parts.state.unix_ms(),
    };
    let (step, items) = (submission.step, submission.items.len());
    let deadline = context.deadline.min(parts.state.now().plus_ms(WRITE_MS_MAX));
    let submission = Arc::new(submission);
    let new = SubmittedJob { id: context.id.clone(), entry, placement_key: rule.name.clone(), body, submission };
    let outcome = job::submit_job(parts, &new, deadline).await;
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

/// The job that a call names, if its key is one of the job's organisation.
async fn find_job(
    parts: &WorkerParts,
    context: &RequestContext,
    request: &HttpRequest,
    id: &str,
) -> Result<JobView, ApiRefusal> {
    let grant = context.key_grant(request)?;
    let view = job::read_job(&parts.state, &parts.store, id).await.map_err(|error| {
        LogLine::new("job_unread").field("job", id).field("reason", error).warn();
        ApiRefusal::StoreUnreachable
    })?;
    let view = view.ok_or(ApiRefusal::JobNotFound)?;
    let organisation = grant.map_or_else(|| "".into(), |grant| grant.organisation);
    if view.entry.organisation != organisation {
        return Err(ApiRefusal::JobNotFound);
    }
    Ok(view)
}

fn query_parameter(request: &HttpRequest, name: &str) -> Option<String> {
    parse(request.query_string().as_bytes()).find(|(key, _)| key == name).map(|(_, value)| value.into_owned())
}

/// Reads results.
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
    let wait_ms = if position >= view.entry.item_count { 0 } else { READ_WAIT_MS_MAX.min(wait_ms) };
    let wait_until = context.arrived_at.plus_ms(wait_ms).min(context.deadline);
    let read = ResultsQuery { position, bytes_max: PAGE_BYTES_MAX, wait_until };
    let results = job::read_results(&parts.state, &parts.store, &parts.peer_client, &id.into(), &read).await;
    let results = results.map_err(|error| {
        LogLine::new("results_unread").field("job", id).field("position", position).field("reason", error).warn();
        ApiRefusal::StoreUnreachable
    })?;
    let results: Vec<ListedResult<'_>> = results.iter().map(|result| listed_result(result)).collect();
    let page = ResultPage { item_count: view.entry.item_count, next_position: position + results.len(), results };
    let body = encode_page(&page).map_err(|_| ApiRefusal::StoreUnreachable)?;
    Ok(HttpResponse::Ok().content_type("application/json").body(body))
}

fn listed_result(result: &ResultEntry) -> ListedResult<'_> {
    ListedResult {
        id: &result.item_id,
        state: if result.completed { "completed" } else { "terminated" },
        text: &result.text,
        versions: &result.versions,
        score: result.score.as_deref(),
    }
}

/// Reads the body of an item.
pub async fn read_item(
    parts: &WorkerParts,
    context: &RequestContext,
    request: &HttpRequest,
    id: &str,
) -> Result<HttpResponse, ApiRefusal> {
    find_job(parts, context, request, id).await?;
    let item = query_parameter(request, ITEM_PARAMETER).ok_or(ApiRefusal::Malformed)?;
    let body = job::read_item_body(&parts.state, &parts.store, &parts.peer_client, &id.into(), &item).await.map_err(
        |error| {
            LogLine::new("item_unread").field("job", id).field("item", &item).field("reason", error).warn();
            ApiRefusal::StoreUnreachable
        },
    )?;
    let body = body.ok_or(ApiRefusal::JobNotFound)?;
    Ok(HttpResponse::Ok().content_type("application/octet-stream").body(body))
}

/// Ends a batch job.
pub async fn end_job(
    parts: &WorkerParts,
    context: &RequestContext,
    request: &HttpRequest,
    id: &str,
) -> Result<HttpResponse, ApiRefusal> {
    find_job(parts, context, request, id).await?;
    let deadline = context.deadline.min(parts.state.now().plus_ms(WRITE_MS_MAX));
    let ended = job::end_job(&parts.state, &parts.store, id, deadline).await;
    LogLine::new("job_end").field("job", id).field("request_id", &context.id).field("done", ended).info();
    if ended { Ok(HttpResponse::Ok().finish()) } else { Err(ApiRefusal::StoreUnreachable) }
}
