//! Keeps the texts of items that a trainer ended its job without, and continues them when a later job contains the items again.

use super::owned_job::OwnedJob;
use crate::edge_metrics::EdgeMetrics;
use pimentoslip_kernel::{CarriedText, ItemIdentity, SampleText, fingerprint};
use pimentoslip_platform::{BatchItem, header};
use pimentoslip_telemetry::LogLine;
use pimentoslip_wire::stored::JobEntry;

/// Identity of an item of the job that `entry` describes. What a sampler is asked for must be the same.
fn item_identity(entry: &JobEntry, item: &BatchItem) -> ItemIdentity {
    let mut parts: Vec<&[u8]> = vec![entry.host.as_bytes(), item.path.as_bytes(), item.group.as_bytes(), &item.body];
    let headers = item.headers.iter().filter(|(name, _)| !name.eq_ignore_ascii_case(header::EXPECTED_TOKENS));
    parts.extend(headers.flat_map(|(name, value)| [name.as_bytes(), value.as_bytes()]));
    ItemIdentity {
        organisation: entry.organisation.clone(),
        id: item.id.clone(),
        fingerprint: fingerprint(&parts),
    }
}

/// Keeps the texts of the groups of an ended job that are not completely listed.
pub fn keep_texts(job: &OwnedJob) {
    let (mut texts, groups) = {
        let ledger = job.ledger.borrow();
        (ledger.unlisted_texts(), ledger.incomplete_groups())
    };
    let now = job.state.now();
    let mut jobs = job.state.jobs();
    for result in jobs.cached_results(&job.id, 0, usize::MAX).unwrap_or_default() {
        let item = job.submission.items.get(result.item_index);
        if result.completed && item.is_some_and(|item| groups.contains(&item.group)) {
            let text = SampleText::complete(result.text.clone(), result.versions.clone());
            texts.push((result.item_index, CarriedText { text, is_complete: true }));
        }
    }
    let (text_count, carried_texts) = (texts.len(), jobs.carried_texts());
    for (item_index, carried) in texts {
        if let Some(item) = job.submission.items.get(item_index) {
            carried_texts.keep(item_identity(&job.entry, item), carried, now);
        }
    }
    let kept_bytes = carried_texts.byte_count();
    EdgeMetrics::global().carried_bytes.set(i64::try_from(kept_bytes).unwrap_or(i64::MAX));
    LogLine::new("texts_kept")
        .field("job", &job.id)
        .field("groups", groups.len())
        .field("items", text_count)
        .field("kept_bytes", kept_bytes)
        .info();
}

/// Continues the items of a job that this process begins from the texts that earlier jobs have left.
pub fn continue_texts(job: &OwnedJob) {
    let mut ledger = job.ledger.borrow_mut();
    let options = ledger.options();
    let now = job.state.now();
    let mut jobs = job.state.jobs();
    let carried_texts = jobs.carried_texts();
    let (mut item_count, mut event_count) = (0, 0);
    for (item_index, item) in job.submission.items.iter().enumerate() {
        let identity = item_identity(&job.entry, item);
        let carried = carried_texts.take(&identity, options.oldest_version, options.single_version, now);
        let Some(carried) = carried else { continue };
        let reason = if carried.is_complete { "complete" } else { "continued" };
        let events = carried.text.event_count();
        if ledger.continue_from(item_index, carried) {
            item_count += 1;
            event_count += events;
            EdgeMetrics::increment(&EdgeMetrics::global().carried_items, reason);
        }
    }
    if item_count > 0 {
        LogLine::new("texts_continued")
            .field("job", &job.id)
            .field("items", item_count)
            .field("events", event_count)
            .info();
    }
}
