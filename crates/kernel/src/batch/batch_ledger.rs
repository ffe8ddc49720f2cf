//! A batch job at its owner: which items run next, what their runs brought, what may be listed.

use super::{
    BatchOptions, EventOutcome, ItemResult, ItemSpec, ItemState, LedgerState, ResultChunk, RunAssignment, RunOutcome,
    SampleText, ScoreOutcome, TextCheckpoint, UnfinishedItem,
};
use crate::{SharedName, TimePoint};
use std::collections::{BTreeMap, BTreeSet};

/// Pause before an item is tried again after a failed run.
const RETRY_PAUSE_MS: u64 = 50;
/// Events of a text that are worth a place in a checkpoint: fewer are generated anew in less than the time that a
/// takeover takes.
const CHECKPOINT_EVENTS_MIN: u64 = 8;

#[derive(Clone, Debug, PartialEq, Eq)]
enum ItemPhase {
    Waiting { until: TimePoint },
    Running,
    ScoreDue { until: TimePoint },
    Scoring,
    Finished,
}

#[derive(Clone, Debug)]
struct ItemEntry {
    spec: ItemSpec,
    phase: ItemPhase,
    text: SampleText,
    run_failures: u32,
    score_failures: u32,
}

/// The ledger of one batch job.
#[derive(Debug)]
pub struct BatchLedger {
    terms: BatchOptions,
    items: Vec<ItemEntry>,
    /// Waiting items; longest first.
    queue: BTreeSet<(std::cmp::Reverse<u64>, usize)>,
    /// Items whose text is whole and whose score is due.
    score_due: BTreeSet<usize>,
    unlisted: Vec<ItemResult>,
    chunk: Option<ResultChunk>,
    listed: usize,
    checkpoint: Option<TextCheckpoint>,
    checkpoints: usize,
    /// Unfinished items of each group.
    open_items: BTreeMap<SharedName, usize>,
    /// Whether the submitter waits for a result that is not listed yet.
    urgent: bool,
    ended: bool,
}

impl BatchLedger {
    /// Opens the ledger; `listed` are the indexes of the items already listed, in order.
    #[must_use]
    pub fn new(terms: BatchOptions, specs: Vec<ItemSpec>, listed: &[usize]) -> Self {
        let mut items: Vec<ItemEntry> = specs
            .into_iter()
            .map(|spec| ItemEntry {
                spec,
                phase: ItemPhase::Waiting { until: TimePoint(0) },
                text: SampleText::default(),
                run_failures: 0,
                score_failures: 0,
            })
            .collect();
        for index in listed {
            if let Some(item) = items.get_mut(*index) {
                item.phase = ItemPhase::Finished;
            }
        }
        let mut open_items: BTreeMap<SharedName, usize> = BTreeMap::new();
        for item in &items {
            let open = open_items.entry(item.spec.group.clone()).or_default();
            *open += usize::from(item.phase != ItemPhase::Finished);
        }
        let waiting = items.iter().enumerate().filter(|(_, item)| item.phase != ItemPhase::Finished);
        let queue = waiting.map(|(index, item)| (std::cmp::Reverse(item.spec.expected_tokens), index)).collect();
        Self {
            terms,
            items,
            queue,
            score_due: BTreeSet::new(),
            unlisted: Vec::new(),
            chunk: None,
            listed: listed.len(),
            checkpoint: None,
            checkpoints: 0,
            open_items,
            urgent: false,
            ended: false,
        }
    }

    /// What the next owner needs beyond the record.
    #[must_use]
    pub fn handover_state(&self) -> LedgerState {
        let pending = self.chunk.iter().flat_map(|chunk| &chunk.results);
        let unfinished = self.items.iter().enumerate().filter(|(_, item)| item.phase != ItemPhase::Finished);
        let partial = unfinished.map(|(index, item)| UnfinishedItem {
            index,
            text: item.text.clone(),
            is_complete: matches!(item.phase, ItemPhase::ScoreDue { .. } | ItemPhase::Scoring),
            run_failures: item.run_failures,
            score_failures: item.score_failures,
        });
        LedgerState {
            unlisted: pending.chain(&self.unlisted).cloned().collect(),
            items: partial.collect(),
            checkpoints: self.checkpoints + usize::from(self.checkpoint.is_some()),
        }
    }

    /// Takes over what a former owner knew. Items that are finished here stay as they are.
    pub fn restore(&mut self, state: LedgerState) {
        self.checkpoints = self.checkpoints.max(state.checkpoints);
        for part in state.items {
            let Some(item) = self.items.get_mut(part.index) else { continue };
            let untouched = matches!(item.phase, ItemPhase::Waiting { .. }) && item.text.last_event().is_none();
            if !untouched {
                continue;
            }
            item.text = part.text;
            item.run_failures = part.run_failures;
            item.score_failures = part.score_failures;
            if part.is_complete && item.text.last_event().is_some() {
                item.phase = ItemPhase::ScoreDue { until: TimePoint(0) };
                self.queue.remove(&(std::cmp::Reverse(item.spec.expected_tokens), part.index));
                self.score_due.insert(part.index);
            }
        }
        for result in state.unlisted {
            if self.items.get(result.index).is_some_and(|item| item.phase != ItemPhase::Finished) {
                self.put(result);
            }
        }
    }

    /// Takes over the texts on record, in the order of their checkpoints.
    pub fn replay_checkpoints(&mut self, checkpoints: &[TextCheckpoint]) {
        self.checkpoints = self.checkpoints.max(checkpoints.len());
        for part in checkpoints.iter().flat_map(|checkpoint| &checkpoint.parts) {
            if let Some(item) = self.items.get_mut(part.index)
                && matches!(item.phase, ItemPhase::Waiting { .. })
            {
                item.text.replay_part(part);
            }
        }
    }

    /// Texts to be put on record next, with the number of their checkpoint. The same ones are returned until they are
    /// on record.
    pub fn next_checkpoint(&mut self, bytes_max: usize) -> Option<(usize, &TextCheckpoint)> {
        if self.ended {
            return None;
        }
        if self.checkpoint.is_none() {
            let mut bytes = 0;
            let mut parts = Vec::new();
            let unfinished = self.items.iter_mut().enumerate().filter(|(_, item)| item.phase != ItemPhase::Finished);
            for (index, item) in unfinished {
                if bytes < bytes_max && item.text.unsaved_count() >= CHECKPOINT_EVENTS_MIN {
                    let part = item.text.take_unsaved_part(index);
                    bytes += part.as_ref().map_or(0, |part| part.text.len());
                    parts.extend(part);
                }
            }
            self.checkpoint = (!parts.is_empty()).then_some(TextCheckpoint { parts });
        }
        Some((self.checkpoints, self.checkpoint.as_ref()?))
    }

    /// The checkpoint `number` is on record.
    pub fn checkpoint_stored(&mut self, number: usize) {
        if self.checkpoint.is_some() && self.checkpoints == number {
            self.checkpoint = None;
            self.checkpoints += 1;
        }
    }

    /// Something else stands under `number`: what is on record is not known, and every text is put on record anew.
    pub fn checkpoint_conflicted(&mut self, number: usize) {
        if self.checkpoints != number {
            return;
        }
        self.checkpoint = None;
        self.checkpoints += 1;
        for item in &mut self.items {
            item.text.clear_saved();
        }
    }

    /// Whether the submitter waits for a result that is not listed yet, so that listing should not wait for more.
    #[must_use]
    pub fn is_listing_urgent(&self) -> bool {
        self.urgent
    }

    /// Items that wait to be run.
    #[must_use]
    pub fn waiting_count(&self) -> usize {
        self.queue.len()
    }

    /// Number of items.
    #[must_use]
    pub fn item_count(&self) -> usize {
        self.items.len()
    }

    /// Number of results that are listed.
    #[must_use]
    pub fn listed_count(&self) -> usize {
        self.listed
    }

    /// Whether nothing is left to do.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.ended || self.listed == self.items.len()
    }

    /// Whether the job was ended by its submitter.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        self.ended
    }

    /// Ends the job: nothing more runs and nothing more is listed.
    pub fn end(&mut self) {
        self.ended = true;
        self.queue.clear();
        self.score_due.clear();
    }

    /// The next item to run, which counts as running from now on.
    pub fn start_next_run(&mut self, now: TimePoint) -> Option<RunAssignment> {
        let ready = |entry: &&(std::cmp::Reverse<u64>, usize)| match self.items[entry.1].phase {
            ItemPhase::Waiting { until } => until <= now,
            _ => false,
        };
        let entry = *self.queue.iter().find(ready)?;
        self.queue.remove(&entry);
        let item = &mut self.items[entry.1];
        item.phase = ItemPhase::Running;
        Some(RunAssignment { index: entry.1, resume_after: item.text.last_event() })
    }

    /// The next item to score, which counts as being scored from now on.
    pub fn start_next_scoring(&mut self, now: TimePoint) -> Option<usize> {
        let ready = |index: &&usize| match self.items[**index].phase {
            ItemPhase::ScoreDue { until } => until <= now,
            _ => false,
        };
        let index = *self.score_due.iter().find(ready)?;
        self.score_due.remove(&index);
        self.items[index].phase = ItemPhase::Scoring;
        Some(index)
    }

    /// A run brought an event.
    pub fn event_received(&mut self, index: usize, number: u64, version: u64, data: &str) -> EventOutcome {
        let terms = self.terms;
        let Some(item) = self.items.get_mut(index) else { return EventOutcome::Mismatch };
        if self.ended || item.phase != ItemPhase::Running {
            return EventOutcome::Mismatch;
        }
        let mixed = terms.single_version && item.text.versions().iter().any(|known| *known != version);
        if version < terms.oldest_version || mixed {
            item.text = SampleText::default();
            return EventOutcome::Restart;
        }
        if item.text.push_event(number, version, data) { EventOutcome::Accepted } else { EventOutcome::Mismatch }
    }

    /// A run ended.
    pub fn run_ended(&mut self, index: usize, end: RunOutcome, now: TimePoint) {
        let attempts_max = self.terms.attempts_max;
        let Some(item) = self.items.get_mut(index) else { return };
        if self.ended || item.phase != ItemPhase::Running {
            return;
        }
        match end {
            RunOutcome::Completed if item.text.last_event().is_some() && item.spec.needs_score => {
                item.phase = ItemPhase::ScoreDue { until: now };
                self.score_due.insert(index);
            }
            RunOutcome::Completed if item.text.last_event().is_some() => self.finish(index, None),
            RunOutcome::Completed | RunOutcome::Interrupted | RunOutcome::NotRun => self.requeue(index, now),
            RunOutcome::Failed => {
                item.run_failures += 1;
                if item.run_failures >= attempts_max { self.give_up(index) } else { self.requeue(index, now) }
            }
            RunOutcome::Unrunnable => self.give_up(index),
        }
    }

    /// A scoring ended. The item is given up after `failures_max` failures of its scorer.
    pub fn scoring_ended(&mut self, index: usize, end: ScoreOutcome, failures_max: u32, now: TimePoint) {
        let Some(item) = self.items.get_mut(index) else { return };
        if self.ended || item.phase != ItemPhase::Scoring {
            return;
        }
        match end {
            ScoreOutcome::Signed(signature) => return self.finish(index, Some(signature)),
            ScoreOutcome::Failed => item.score_failures += 1,
            ScoreOutcome::Interrupted => {}
        }
        if item.score_failures >= failures_max.max(1) {
            return self.give_up(index);
        }
        item.phase = ItemPhase::ScoreDue { until: now.plus_ms(RETRY_PAUSE_MS) };
        self.score_due.insert(index);
    }

    /// Gives up what is past its retention. Running items are given up too; their runs must end.
    pub fn expire_items(&mut self, now: TimePoint) {
        if self.ended || now < self.terms.retention_ends_at {
            return;
        }
        for index in 0..self.items.len() {
            if self.items[index].phase != ItemPhase::Finished {
                self.give_up(index);
            }
        }
    }

    /// Gives up all that is left, because the job's route is gone.
    pub fn terminate_unfinished(&mut self) {
        self.terms.retention_ends_at = TimePoint(0);
        self.expire_items(TimePoint(0));
    }

    /// Results to be listed next, at most `bytes_max` of them unless the first alone is larger. The same
    /// chunk is returned until it is listed.
    pub fn next_chunk(&mut self, bytes_max: usize) -> Option<&ResultChunk> {
        if self.ended {
            return None;
        }
        if self.chunk.is_none() && !self.unlisted.is_empty() {
            let mut bytes = 0;
            let fits = self.unlisted.iter().take_while(|result| {
                bytes += result.stored_bytes();
                bytes <= bytes_max
            });
            let count = fits.count().max(1);
            let results = self.unlisted.drain(..count).collect();
            self.urgent &= !self.unlisted.is_empty();
            self.chunk = Some(ResultChunk { first_position: self.listed, results });
        }
        self.chunk.as_ref()
    }

    /// The chunk at `first` is stored, so its results are listed.
    pub fn chunk_stored(&mut self, first: usize) {
        if self.chunk.as_ref().is_none_or(|chunk| chunk.first_position != first) {
            return;
        }
        if let Some(chunk) = self.chunk.take() {
            self.listed += chunk.results.len();
        }
    }

    /// Whether every item is finished, so that no further result will join those that wait to be listed.
    #[must_use]
    pub fn all_items_finished(&self) -> bool {
        self.items.iter().all(|item| item.phase == ItemPhase::Finished)
    }

    /// Events of the item's text so far.
    #[must_use]
    pub fn event_count(&self, index: usize) -> u64 {
        self.items.get(index).map_or(0, |item| item.text.event_count())
    }

    /// No upstream has room for an item that [`Self::start_next_run`] returned.
    pub fn requeue_run(&mut self, index: usize) {
        let Some(item) = self.items.get_mut(index) else { return };
        if item.phase == ItemPhase::Running {
            item.phase = ItemPhase::Waiting { until: TimePoint(0) };
            self.queue.insert((std::cmp::Reverse(item.spec.expected_tokens), index));
        }
    }

    /// No upstream has room to score the item that [`Self::start_next_scoring`] returned.
    pub fn requeue_scoring(&mut self, index: usize) {
        let Some(item) = self.items.get_mut(index) else { return };
        if item.phase == ItemPhase::Scoring {
            item.phase = ItemPhase::ScoreDue { until: TimePoint(0) };
            self.score_due.insert(index);
        }
    }

    /// Whether the item still runs.
    #[must_use]
    pub fn is_running(&self, index: usize) -> bool {
        !self.ended && self.items.get(index).is_some_and(|item| item.phase == ItemPhase::Running)
    }

    fn requeue(&mut self, index: usize, now: TimePoint) {
        let item = &mut self.items[index];
        item.phase = ItemPhase::Waiting { until: now.plus_ms(RETRY_PAUSE_MS) };
        self.queue.insert((std::cmp::Reverse(item.spec.expected_tokens), index));
    }

    fn finish(&mut self, index: usize, score: Option<String>) {
        let (text, versions) = std::mem::take(&mut self.items[index].text).into_parts();
        self.put(ItemResult { index, state: ItemState::Completed, text, versions, score });
    }

    fn give_up(&mut self, index: usize) {
        let (text, versions) = (String::new(), Vec::new());
        self.put(ItemResult { index, state: ItemState::Terminated, text, versions, score: None });
    }

    fn put(&mut self, result: ItemResult) {
        let index = result.index;
        let item = &mut self.items[index];
        item.phase = ItemPhase::Finished;
        item.text = SampleText::default();
        self.queue.remove(&(std::cmp::Reverse(item.spec.expected_tokens), index));
        self.score_due.remove(&index);
        let group = item.spec.group.clone();
        self.unlisted.push(result);
        self.group_finished(&group);
    }

    /// An item of `group` is finished. The submitter goes on once it has read enough whole groups.
    fn group_finished(&mut self, group: &str) {
        let Some(open) = self.open_items.get_mut(group) else { return };
        *open = open.saturating_sub(1);
        if *open > 0 {
            return;
        }
        let whole = self.open_items.values().filter(|open| **open == 0).count() as u64;
        self.urgent |= whole >= self.terms.groups_awaited;
    }
}
