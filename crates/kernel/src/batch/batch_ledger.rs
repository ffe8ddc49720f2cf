//! Scheduling, progress and results of one batch job, kept by the daemon that owns the job.

use super::{
    BatchOptions, EventOutcome, FailureCount, ItemPool, ItemResult, ItemSpec, ItemState, JobCheckpoint, LedgerState,
    ResultChunk, RunAssignment, RunOutcome, SampleText, ScoreOutcome, UnfinishedItem, pool_queue::PoolQueue,
};
use crate::{SharedName, TimePoint};
use std::{cmp::Reverse, collections::BTreeMap};

/// Backoff before an item is run or scored again after a failed attempt.
const RETRY_BACKOFF_MS: u64 = 50;
/// Time for which an item waits for an upstream that can continue its text. After that its text is discarded and generated
/// again by any upstream, which takes about as long for a text of average length.
const CONTINUE_WAIT_MS: u64 = 300;
/// Minimum number of unsaved events of a text for which it is written to a checkpoint. Generating fewer events again
/// takes less time than moving the job to another owner.
const CHECKPOINT_EVENTS_MIN: u64 = 8;

/// Progress of an item.
#[derive(Clone, Debug, PartialEq, Eq)]
enum ItemPhase {
    /// Queued; may be run from `not_before` on.
    Waiting { not_before: TimePoint },
    /// A run at an upstream is in progress.
    Running,
    /// The text is complete; it may be scored from `not_before` on.
    ScorePending { not_before: TimePoint },
    /// A request to the scorer is in progress.
    Scoring,
    /// The item has a result.
    Finished,
}

/// An item with its progress.
#[derive(Clone, Debug)]
struct ItemEntry {
    spec: ItemSpec,
    phase: ItemPhase,
    /// Events received so far; cleared when the item is finished.
    text: SampleText,
    /// When the text is discarded unless an upstream continues it; `None` while none is missing.
    continue_by: Option<TimePoint>,
    failures: FailureCount,
    /// Failures that are in checkpoints, including one whose write is not confirmed.
    saved_failures: FailureCount,
}

impl ItemEntry {
    /// The item's entry in the queue of items to be run.
    fn run_entry(&self, item_index: usize) -> (Reverse<u64>, usize) {
        (Reverse(self.spec.expected_tokens), item_index)
    }

    /// Discards the events received so far; the next run starts with the first event.
    fn discard_text(&mut self) {
        self.text = SampleText::default();
        self.continue_by = None;
    }
}

/// Progress and results of the items of one batch job.
#[derive(Debug)]
pub struct BatchLedger {
    options: BatchOptions,
    items: Vec<ItemEntry>,
    /// Items to be run, by descending expected length.
    run_queue: PoolQueue<ItemPool, (Reverse<u64>, usize)>,
    /// Items to be scored, by the service of the scorer; its pool is `None` if there is no route to the scorer.
    score_queue: PoolQueue<Option<SharedName>, usize>,
    /// Results that are in no chunk yet.
    unlisted: Vec<ItemResult>,
    /// Results whose write to the store is not confirmed yet.
    pending_chunk: Option<ResultChunk>,
    /// Number of results that are stored, and so visible to the submitter.
    listed_count: usize,
    /// Texts whose write to the store is not confirmed yet.
    pending_checkpoint: Option<JobCheckpoint>,
    /// Number of checkpoints in the store, which is also the number of the next one.
    checkpoint_count: usize,
    /// Whether items have failed since the last checkpoint was created.
    has_unsaved_failures: bool,
    /// Number of unfinished items in each group.
    unfinished_by_group: BTreeMap<SharedName, usize>,
    /// Whether the submitter waits for a result that is not listed yet.
    listing_urgent: bool,
    /// Whether the submitter ended the job.
    ended: bool,
}

impl BatchLedger {
    /// Creates the ledger of a job. `listed` holds the indexes of the items whose results are stored already.
    #[must_use]
    pub fn new(options: BatchOptions, specs: Vec<ItemSpec>, listed: &[usize]) -> Self {
        let mut items: Vec<ItemEntry> = specs
            .into_iter()
            .map(|spec| ItemEntry {
                spec,
                phase: ItemPhase::Waiting { not_before: TimePoint(0) },
                text: SampleText::default(),
                continue_by: None,
                failures: FailureCount::default(),
                saved_failures: FailureCount::default(),
            })
            .collect();
        for item_index in listed {
            if let Some(item) = items.get_mut(*item_index) {
                item.phase = ItemPhase::Finished;
            }
        }
        let mut unfinished_by_group: BTreeMap<SharedName, usize> = BTreeMap::new();
        for item in &items {
            let unfinished = unfinished_by_group.entry(item.spec.group.clone()).or_default();
            *unfinished += usize::from(item.phase != ItemPhase::Finished);
        }
        let mut run_queue = PoolQueue::default();
        let waiting = items.iter().enumerate().filter(|(_, item)| item.phase != ItemPhase::Finished);
        waiting.for_each(|(item_index, item)| run_queue.insert(item.run_entry(item_index), None));
        Self {
            options,
            items,
            run_queue,
            score_queue: PoolQueue::default(),
            unlisted: Vec::new(),
            pending_chunk: None,
            listed_count: listed.len(),
            pending_checkpoint: None,
            checkpoint_count: 0,
            has_unsaved_failures: false,
            unfinished_by_group,
            listing_urgent: false,
            ended: false,
        }
    }

    /// State that the next owner needs in addition to the stored results and checkpoints.
    #[must_use]
    pub fn handover_state(&self) -> LedgerState {
        let pending = self.pending_chunk.iter().flat_map(|chunk| &chunk.results);
        let unfinished = self.items.iter().enumerate().filter(|(_, item)| item.phase != ItemPhase::Finished);
        let items = unfinished.map(|(item_index, item)| UnfinishedItem {
            item_index,
            text: item.text.clone(),
            is_complete: matches!(item.phase, ItemPhase::ScorePending { .. } | ItemPhase::Scoring),
            run_failures: item.failures.run_failures,
            score_failures: item.failures.score_failures,
        });
        LedgerState {
            unlisted: pending.chain(&self.unlisted).cloned().collect(),
            items: items.collect(),
            checkpoints: self.checkpoint_count.saturating_add(usize::from(self.pending_checkpoint.is_some())),
        }
    }

    /// Restores the state that the previous owner handed over. Failures are restored for all unfinished items, texts only for
    /// waiting items that have none, and results only for unfinished items.
    pub fn restore(&mut self, state: LedgerState) {
        self.checkpoint_count = self.checkpoint_count.max(state.checkpoints);
        for restored in state.items {
            let Some(item) = self.items.get_mut(restored.item_index) else { continue };
            let failures =
                FailureCount { run_failures: restored.run_failures, score_failures: restored.score_failures };
            item.failures = item.failures.merged(failures);
            self.has_unsaved_failures |= item.failures != item.saved_failures;
            let is_waiting = matches!(item.phase, ItemPhase::Waiting { .. }) && item.text.last_event().is_none();
            // A text of unknown software cannot be continued.
            let is_usable = restored.is_complete || restored.text.software().is_some();
            let is_restorable = is_waiting && is_usable && restored.text.is_consistent();
            if !is_restorable {
                continue;
            }
            item.text = restored.text;
            if restored.is_complete && item.text.last_event().is_some() {
                item.phase = ItemPhase::ScorePending { not_before: TimePoint(0) };
                self.run_queue.remove(&item.run_entry(restored.item_index));
                self.score_queue.insert(restored.item_index, None);
            }
        }
        for result in state.unlisted {
            if self.items.get(result.item_index).is_some_and(|item| item.phase != ItemPhase::Finished) {
                self.add_result(result);
            }
        }
    }

    /// Restores the texts and failures of waiting items from all stored checkpoints, which are passed in the order of
    /// their numbers.
    pub fn replay_checkpoints(&mut self, checkpoints: &[JobCheckpoint]) {
        self.checkpoint_count = self.checkpoint_count.max(checkpoints.len());
        for (item_index, failures) in checkpoints.iter().flat_map(|checkpoint| &checkpoint.failures) {
            if let Some(item) = self.items.get_mut(*item_index) {
                // A conflicting checkpoint of an earlier owner may hold fewer.
                item.failures = item.failures.merged(*failures);
                item.saved_failures = item.failures;
            }
        }
        for part in checkpoints.iter().flat_map(|checkpoint| &checkpoint.parts) {
            if let Some(item) = self.items.get_mut(part.item_index)
                && matches!(item.phase, ItemPhase::Waiting { .. })
            {
                item.text.replay_part(part);
            }
        }
    }

    /// The checkpoint to be stored next and its number. Texts are added until their data reaches `bytes_max`, so the
    /// last one may exceed it. The same checkpoint is returned until its write succeeds or conflicts; `None` if too few
    /// events and no failures are new, or the job has ended.
    pub fn next_checkpoint(&mut self, bytes_max: usize) -> Option<(usize, &JobCheckpoint)> {
        if self.ended {
            return None;
        }
        if self.pending_checkpoint.is_none() {
            let mut bytes = 0;
            let mut parts = Vec::new();
            let mut failures = Vec::new();
            self.has_unsaved_failures = false;
            let unfinished = self.items.iter_mut().enumerate().filter(|(_, item)| item.phase != ItemPhase::Finished);
            for (item_index, item) in unfinished {
                if bytes < bytes_max && item.text.unsaved_count() >= CHECKPOINT_EVENTS_MIN {
                    let part = item.text.take_unsaved_part(item_index);
                    bytes += part.as_ref().map_or(0, |part| part.text.len());
                    parts.extend(part);
                }
                if item.failures != item.saved_failures {
                    item.saved_failures = item.failures;
                    failures.push((item_index, item.failures));
                }
            }
            let is_empty = parts.is_empty() && failures.is_empty();
            self.pending_checkpoint = (!is_empty).then_some(JobCheckpoint { parts, failures });
        }
        Some((self.checkpoint_count, self.pending_checkpoint.as_ref()?))
    }

    /// Handles the confirmation that the checkpoint `number` is stored.
    pub fn checkpoint_stored(&mut self, number: usize) {
        if self.pending_checkpoint.is_some() && self.checkpoint_count == number {
            self.pending_checkpoint = None;
            self.checkpoint_count = self.checkpoint_count.saturating_add(1);
        }
    }

    /// Handles a write of the checkpoint `number` that found a different checkpoint stored under that number. It is
    /// then uncertain what is stored, so the following checkpoints write every text again from its first event, and all
    /// failures.
    pub fn checkpoint_conflicted(&mut self, number: usize) {
        if self.checkpoint_count != number {
            return;
        }
        self.pending_checkpoint = None;
        self.checkpoint_count = self.checkpoint_count.saturating_add(1);
        for item in &mut self.items {
            item.text.clear_saved();
            item.saved_failures = FailureCount::default();
            self.has_unsaved_failures |= item.failures != item.saved_failures;
        }
    }

    /// Whether failures are in no checkpoint, or items that were given up in no chunk of results. The next owner would run these
    /// items again as often as if they had never failed.
    #[must_use]
    pub fn has_unsaved_failures(&self) -> bool {
        self.has_unsaved_failures || self.unlisted.iter().any(|result| result.state == ItemState::Terminated)
    }

    /// Whether the submitter waits for a result that is not listed yet. If so, results should be listed at once instead
    /// of in larger chunks.
    #[must_use]
    pub fn is_listing_urgent(&self) -> bool {
        self.listing_urgent
    }

    /// Number of items that wait to be run.
    #[must_use]
    pub fn waiting_count(&self) -> usize {
        self.run_queue.len()
    }

    /// Number of items that wait to be run by the upstreams of `pool`, or by those of a pool that is not known.
    #[must_use]
    pub fn waiting_count_for(&self, pool: ItemPool) -> usize {
        self.run_queue.len_for(pool)
    }

    /// The pools that items wait for to be run; `None` stands for one that is not known.
    pub fn waiting_pools(&self) -> impl Iterator<Item = Option<&ItemPool>> {
        self.run_queue.pools()
    }

    /// Handles a new configuration, under which items and scorers may be routed elsewhere.
    pub fn forget_pools(&mut self) {
        self.run_queue.forget_pools();
        self.score_queue.forget_pools();
    }

    /// Number of items that wait to be scored by the upstreams of `service`, or of a service that is not known.
    #[must_use]
    pub fn unscored_count_for(&self, service: SharedName) -> usize {
        self.score_queue.len_for(Some(service))
    }

    /// Number of items.
    #[must_use]
    pub fn item_count(&self) -> usize {
        self.items.len()
    }

    /// Number of results that are stored, and so visible to the submitter.
    #[must_use]
    pub fn listed_count(&self) -> usize {
        self.listed_count
    }

    /// Whether no work is left: all results are listed, or the submitter ended the job.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        let all_listed = self.unlisted.is_empty() && self.pending_chunk.is_none();
        self.ended || (all_listed && self.all_items_finished())
    }

    /// Whether the submitter ended the job.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        self.ended
    }

    /// Ends the job at the submitter's request: no item is run and no result is listed from now on.
    pub fn end(&mut self) {
        self.ended = true;
        self.run_queue.clear();
        self.score_queue.clear();
    }

    /// Marks the longest item that may be run at `now`, and waits for no full pool, as running and returns it.
    pub fn start_next_run(&mut self, now: TimePoint, is_full: impl Fn(&ItemPool) -> bool) -> Option<RunAssignment> {
        let items = &self.items;
        let is_ready = |entry: &(Reverse<u64>, usize)| match items[entry.1].phase {
            ItemPhase::Waiting { not_before } => not_before <= now,
            _ => false,
        };
        let (_, item_index) = self.run_queue.take_first(is_full, is_ready)?;
        let item = &mut self.items[item_index];
        item.phase = ItemPhase::Running;
        Some(RunAssignment {
            item_index,
            resume_after: item.text.last_event(),
            software: item.text.software().cloned(),
        })
    }

    /// Marks the first item that may be scored at `now`, and waits for no full service, as being scored and returns its index.
    /// `is_full` gets `None` for items to whose scorers there is no route.
    pub fn start_next_scoring(
        &mut self,
        now: TimePoint,
        is_full: impl Fn(&Option<SharedName>) -> bool,
    ) -> Option<usize> {
        let items = &self.items;
        let is_ready = |item_index: &usize| match items[*item_index].phase {
            ItemPhase::ScorePending { not_before } => not_before <= now,
            _ => false,
        };
        let item_index = self.score_queue.take_first(is_full, is_ready)?;
        self.items[item_index].phase = ItemPhase::Scoring;
        Some(item_index)
    }

    /// Handles an event that arrived in the run of an item: event `number` of the text, generated by `version` of the
    /// weights and `software` of the upstream. An event of a version of the weights that the job doesn't accept discards
    /// the text.
    pub fn event_received(
        &mut self,
        item_index: usize,
        number: u64,
        version: u64,
        software: &SharedName,
        data: &str,
    ) -> EventOutcome {
        let options = self.options;
        let Some(item) = self.items.get_mut(item_index) else { return EventOutcome::Mismatch };
        if self.ended || item.phase != ItemPhase::Running {
            return EventOutcome::Mismatch;
        }
        let mixes_versions = options.single_version && item.text.versions().iter().any(|earlier| *earlier != version);
        if version < options.oldest_version || mixes_versions {
            item.discard_text();
            return EventOutcome::Restart;
        }
        if item.text.push_event(number, version, software, data) {
            EventOutcome::Accepted
        } else {
            EventOutcome::Mismatch
        }
    }

    /// Handles the end of an item's run.
    pub fn run_ended(&mut self, item_index: usize, outcome: RunOutcome, now: TimePoint) {
        let attempts_max = self.options.attempts_max;
        let Some(item) = self.items.get_mut(item_index) else { return };
        if self.ended || item.phase != ItemPhase::Running {
            return;
        }
        item.continue_by = None;
        match outcome {
            RunOutcome::Completed if item.text.last_event().is_some() && item.spec.needs_score => {
                item.phase = ItemPhase::ScorePending { not_before: now };
                self.score_queue.insert(item_index, None);
            }
            RunOutcome::Completed if item.text.last_event().is_some() => self.complete_item(item_index, None),
            RunOutcome::Completed | RunOutcome::Interrupted | RunOutcome::NotRun => self.retry_later(item_index, now),
            RunOutcome::Failed => {
                item.failures.run_failures = item.failures.run_failures.saturating_add(1);
                self.has_unsaved_failures = true;
                if item.failures.run_failures >= attempts_max {
                    self.terminate_item(item_index)
                } else {
                    self.retry_later(item_index, now)
                }
            }
            RunOutcome::Unrunnable => self.terminate_item(item_index),
        }
    }

    /// Handles the end of a request to the scorer. The item is terminated after `failures_max` failures of its scorer.
    pub fn scoring_ended(&mut self, item_index: usize, outcome: ScoreOutcome, failures_max: u32, now: TimePoint) {
        let Some(item) = self.items.get_mut(item_index) else { return };
        if self.ended || item.phase != ItemPhase::Scoring {
            return;
        }
        match outcome {
            ScoreOutcome::Signed(signature) => return self.complete_item(item_index, Some(signature)),
            ScoreOutcome::Failed => {
                item.failures.score_failures = item.failures.score_failures.saturating_add(1);
                self.has_unsaved_failures = true;
            }
            ScoreOutcome::Interrupted => {}
        }
        if item.failures.score_failures >= failures_max.max(1) {
            return self.terminate_item(item_index);
        }
        item.phase = ItemPhase::ScorePending { not_before: now.plus_ms(RETRY_BACKOFF_MS) };
        self.score_queue.insert(item_index, None);
    }

    /// When unfinished items are terminated.
    #[must_use]
    pub fn retention_ends_at(&self) -> TimePoint {
        self.options.retention_ends_at
    }

    /// Terminates all unfinished items once the retention time is over. The caller must cancel the runs of those that
    /// were running.
    pub fn expire_items(&mut self, now: TimePoint) {
        if self.ended || now < self.options.retention_ends_at {
            return;
        }
        for item_index in 0..self.items.len() {
            if self.items[item_index].phase != ItemPhase::Finished {
                self.terminate_item(item_index);
            }
        }
    }

    /// Terminates all unfinished items because the job's route no longer exists.
    pub fn terminate_unfinished(&mut self) {
        self.options.retention_ends_at = TimePoint(0);
        self.expire_items(TimePoint(0));
    }

    /// The results to be stored next: at most `bytes_max` bytes, or a single larger result. The same chunk is returned
    /// until it is stored; `None` if there are no new results or the job has ended.
    pub fn next_chunk(&mut self, bytes_max: usize) -> Option<&ResultChunk> {
        if self.ended {
            return None;
        }
        if self.pending_chunk.is_none() && !self.unlisted.is_empty() {
            let mut bytes = 0;
            let fitting = self.unlisted.iter().take_while(|result| {
                bytes += result.stored_bytes();
                bytes <= bytes_max
            });
            let count = fitting.count().max(1);
            let results = self.unlisted.drain(..count).collect();
            self.listing_urgent &= !self.unlisted.is_empty();
            self.pending_chunk = Some(ResultChunk { first_position: self.listed_count, results });
        }
        self.pending_chunk.as_ref()
    }

    /// Number of results that are finished but in no chunk yet.
    #[must_use]
    pub fn unlisted_count(&self) -> usize {
        self.unlisted.len()
    }

    /// Handles the confirmation that the chunk at `first_position` is stored, which makes its results listed.
    pub fn chunk_stored(&mut self, first_position: usize) {
        if self.pending_chunk.as_ref().is_none_or(|chunk| chunk.first_position != first_position) {
            return;
        }
        if let Some(chunk) = self.pending_chunk.take() {
            self.listed_count += chunk.results.len();
        }
    }

    /// Whether every item has a result, and no further result will be added to the next chunk.
    #[must_use]
    pub fn all_items_finished(&self) -> bool {
        self.items.iter().all(|item| item.phase == ItemPhase::Finished)
    }

    /// Number of events received for an item's text; 0 once the item is finished.
    #[must_use]
    pub fn event_count(&self, item_index: usize) -> u64 {
        self.items.get(item_index).map_or(0, |item| item.text.event_count())
    }

    /// Length of an item's text, in bytes; 0 once the item is finished.
    #[must_use]
    pub fn text_bytes(&self, item_index: usize) -> usize {
        self.items.get(item_index).map_or(0, |item| item.text.byte_count())
    }

    /// Puts an item that [`Self::start_next_run`] returned back into the queue, because no upstream of `pool` has capacity for
    /// it; `None` if its pool is not known.
    pub fn requeue_run(&mut self, item_index: usize, pool: Option<ItemPool>) {
        let Some(item) = self.items.get_mut(item_index) else { return };
        if item.phase == ItemPhase::Running {
            item.phase = ItemPhase::Waiting { not_before: TimePoint(0) };
            self.run_queue.insert(item.run_entry(item_index), pool);
        }
    }

    /// Puts an item that [`Self::start_next_run`] returned back into the queue, because no upstream that could continue
    /// its text has capacity. If that lasts, or `is_served` is false, as there is no such upstream, the text is discarded.
    pub fn defer_run(&mut self, item_index: usize, is_served: bool, now: TimePoint) {
        let Some(item) = self.items.get_mut(item_index) else { return };
        if item.phase != ItemPhase::Running {
            return;
        }
        let continue_by = *item.continue_by.get_or_insert(now.plus_ms(CONTINUE_WAIT_MS));
        if is_served && now < continue_by {
            return self.retry_later(item_index, now);
        }
        item.discard_text();
        self.requeue_run(item_index, None);
    }

    /// Discards the text of a running item, whose run is about to end: it is not certain that one version of the
    /// software generated it.
    pub fn discard_text(&mut self, item_index: usize) {
        if let Some(item) = self.items.get_mut(item_index).filter(|item| item.phase == ItemPhase::Running) {
            item.discard_text();
        }
    }

    /// Puts an item that [`Self::start_next_scoring`] returned back into the queue, because no upstream of `service` has capacity
    /// to score it, or, with `None`, because there is no route to its scorer.
    pub fn requeue_scoring(&mut self, item_index: usize, service: Option<SharedName>) {
        let Some(item) = self.items.get_mut(item_index) else { return };
        if item.phase == ItemPhase::Scoring {
            item.phase = ItemPhase::ScorePending { not_before: TimePoint(0) };
            self.score_queue.insert(item_index, Some(service));
        }
    }

    /// Whether the run of the item should continue: the item is marked as running and the job has not ended.
    #[must_use]
    pub fn is_running(&self, item_index: usize) -> bool {
        !self.ended && self.items.get(item_index).is_some_and(|item| item.phase == ItemPhase::Running)
    }

    /// Queues an item to be run again after a backoff.
    fn retry_later(&mut self, item_index: usize, now: TimePoint) {
        let item = &mut self.items[item_index];
        item.phase = ItemPhase::Waiting { not_before: now.plus_ms(RETRY_BACKOFF_MS) };
        self.run_queue.insert(item.run_entry(item_index), None);
    }

    /// Finishes an item with its complete text.
    fn complete_item(&mut self, item_index: usize, score: Option<String>) {
        let (text, versions) = std::mem::take(&mut self.items[item_index].text).into_parts();
        self.add_result(ItemResult { item_index, state: ItemState::Completed, text, versions, score });
    }

    /// Finishes an item without a text.
    fn terminate_item(&mut self, item_index: usize) {
        let (text, versions) = (String::new(), Vec::new());
        self.add_result(ItemResult { item_index, state: ItemState::Terminated, text, versions, score: None });
    }

    /// Marks the item of `result` as finished and queues the result for the next chunk.
    fn add_result(&mut self, result: ItemResult) {
        let item_index = result.item_index;
        let item = &mut self.items[item_index];
        item.phase = ItemPhase::Finished;
        item.text = SampleText::default();
        self.run_queue.remove(&item.run_entry(item_index));
        self.score_queue.remove(&item_index);
        let group = item.spec.group.clone();
        self.unlisted.push(result);
        self.count_finished_item(&group);
    }

    /// Counts a finished item of `group`. Listing becomes urgent when the number of complete groups reaches the number
    /// that the submitter waits for.
    fn count_finished_item(&mut self, group: &str) {
        let Some(unfinished) = self.unfinished_by_group.get_mut(group) else { return };
        *unfinished = unfinished.saturating_sub(1);
        if *unfinished > 0 {
            return;
        }
        let complete_groups = self.unfinished_by_group.values().filter(|unfinished| **unfinished == 0).count() as u64;
        self.listing_urgent |= complete_groups >= self.options.groups_awaited;
    }
}
