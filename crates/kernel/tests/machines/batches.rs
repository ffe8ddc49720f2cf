//! Batch jobs: each item is listed exactly once, either with its complete text and the versions that generated it, or
//! as terminated for a valid reason, even if writes to the store are lost or the owner changes.

use crate::sequence;
use pimentoslip_kernel::{
    BatchLedger, BatchOptions, EventOutcome, FIRST_EVENT_NUMBER, ItemResult, ItemSpec, ItemState, JobCheckpoint,
    RunAssignment, RunOutcome, ScoreOutcome, TimePoint,
};
use quickcheck::{Arbitrary, Gen};
use std::collections::{BTreeMap, BTreeSet};

const ITEMS: usize = 4;
const ATTEMPTS_MAX: u32 = 2;
const SCORER_FAILURES_MAX: u32 = 3;
const RETENTION_MS: u64 = 20_000;
const CHUNK_BYTES_MAX: usize = 450;
const CHECKPOINT_BYTES_MAX: usize = 40;

/// Input to the simulation of a batch job.
#[derive(Clone, Debug)]
enum Command {
    /// The owner starts all items that may run.
    StartRuns,
    /// A run sends its next event, or with `skip` the one after it.
    SendEvent { run: u8, skip: bool },
    /// A run ends; `selector` determines the outcome.
    EndRun { run: u8, selector: u8 },
    /// The owner scores all items that may be scored; `selector` determines the outcome.
    Score { selector: u8 },
    /// The owner stores results; the answer may be lost.
    StoreResults { answer_lost: bool },
    /// The owner stores a checkpoint; the write or its answer may be lost.
    StoreCheckpoint { written: bool, answered: bool },
    /// The upstreams load the next version of the weights.
    ChangeVersion,
    /// Another daemon becomes the owner; the previous one crashed, or handed its state over.
    ChangeOwner { handed_over: bool },
    /// Time passes.
    Wait { ms: u16 },
}

impl Arbitrary for Command {
    fn arbitrary(rng: &mut Gen) -> Self {
        let (first, second) = (u8::arbitrary(rng), u8::arbitrary(rng));
        match u8::arbitrary(rng) % 20 {
            0..=3 => Self::StartRuns,
            4..=9 => Self::SendEvent { run: first, skip: second % 16 == 0 },
            10..=13 => Self::EndRun { run: first, selector: second },
            14..=15 => Self::Score { selector: first },
            16 if first % 2 == 0 => Self::StoreResults { answer_lost: first % 3 == 0 },
            16 => Self::StoreCheckpoint { written: second % 4 > 0, answered: second % 3 > 0 },
            17 if first % 2 == 0 => Self::ChangeVersion,
            18 if first % 3 == 0 => Self::ChangeOwner { handed_over: second % 2 == 0 },
            _ => Self::Wait { ms: u16::arbitrary(rng) % 600 },
        }
    }
}

/// Number of events in an item's complete text; only the longer texts reach the size for a checkpoint.
fn text_length(item_index: usize) -> u64 {
    item_index as u64 * 6 + 1
}

/// Data of event `number` of an item's text.
fn event_data(item_index: usize, number: u64) -> String {
    format!("{item_index}:{number}")
}

/// An item's complete text.
fn complete_text(item_index: usize) -> String {
    (FIRST_EVENT_NUMBER..=text_length(item_index))
        .map(|number| event_data(item_index, number))
        .collect::<Vec<_>>()
        .join("\n")
}

/// A run in progress at an upstream.
struct Run {
    assignment: RunAssignment,
    /// Number of the next event.
    next_event: u64,
}

/// Independent record of all inputs to the ledger, and the contents of the store.
#[derive(Default)]
struct Oracle {
    /// Versions of the accepted events of each item.
    event_versions: Vec<Vec<u64>>,
    run_failures: Vec<u32>,
    scorer_failures: Vec<u32>,
    /// Items that an upstream reported as unrunnable.
    unrunnable: BTreeSet<usize>,
    /// Results in the store.
    listed: Vec<ItemResult>,
    /// Checkpoints in the store by number.
    stored_checkpoints: BTreeMap<usize, StoredCheckpoint>,
    /// The checkpoint that the owner wrote last and its number, as it was when it was created.
    last_written: Option<(usize, StoredCheckpoint)>,
}

/// A checkpoint with the versions that generated its texts.
#[derive(Clone, Debug, PartialEq)]
struct StoredCheckpoint {
    checkpoint: JobCheckpoint,
    /// Version of each event of a text, from its first event to the last one in the checkpoint, by item.
    versions: BTreeMap<usize, Vec<u64>>,
}

/// A batch job with its owner, upstreams, scorer and store.
struct Simulation {
    options: BatchOptions,
    ledger: BatchLedger,
    /// Runs in progress.
    runs: Vec<Run>,
    oracle: Oracle,
    /// Version of the weights at the upstreams.
    version: u64,
    now: TimePoint,
}

/// Items of the job, all in one group. Every second one needs a score.
fn specs() -> Vec<ItemSpec> {
    let spec = |item_index: usize| ItemSpec {
        group: "g".into(),
        expected_tokens: text_length(item_index),
        needs_score: item_index.is_multiple_of(2),
    };
    (0..ITEMS).map(spec).collect()
}

impl Simulation {
    fn new(single_version: bool) -> Self {
        let retention_ends_at = TimePoint(RETENTION_MS);
        let options = BatchOptions {
            attempts_max: ATTEMPTS_MAX,
            oldest_version: 2,
            single_version,
            retention_ends_at,
            groups_awaited: 1,
        };
        let oracle = Oracle {
            event_versions: vec![Vec::new(); ITEMS],
            run_failures: vec![0; ITEMS],
            scorer_failures: vec![0; ITEMS],
            ..Oracle::default()
        };
        Self {
            options,
            ledger: BatchLedger::new(options, specs(), &[]),
            runs: Vec::new(),
            oracle,
            version: 1,
            now: TimePoint(0),
        }
    }

    fn apply(&mut self, command: &Command) -> Result<(), String> {
        match *command {
            Command::StartRuns => {
                while let Some(assignment) = self.ledger.start_next_run(self.now) {
                    if self.runs.iter().any(|run| run.assignment.item_index == assignment.item_index) {
                        return Err(format!("item {} has two runs at the same owner", assignment.item_index));
                    }
                    self.runs.push(Run {
                        assignment,
                        next_event: assignment.resume_after.map_or(FIRST_EVENT_NUMBER, |last| last + 1),
                    });
                }
            }
            Command::SendEvent { run, skip } => self.send_event(run, skip)?,
            Command::EndRun { run, selector } => self.end_run(run, selector),
            Command::Score { selector } => self.score(selector),
            Command::StoreResults { answer_lost } => self.store_results(answer_lost)?,
            Command::StoreCheckpoint { written, answered } => self.store_checkpoint(written, answered)?,
            Command::ChangeVersion => self.version += 1,
            Command::ChangeOwner { handed_over } => self.change_owner(handed_over),
            Command::Wait { ms } => {
                self.now = self.now.plus_ms(u64::from(ms));
                self.ledger.expire_items(self.now);
                self.runs.retain(|run| self.ledger.is_running(run.assignment.item_index));
            }
        }
        Ok(())
    }

    fn send_event(&mut self, run: u8, skip: bool) -> Result<(), String> {
        if self.runs.is_empty() {
            return Ok(());
        }
        let position = usize::from(run) % self.runs.len();
        let (item_index, number) =
            (self.runs[position].assignment.item_index, self.runs[position].next_event + u64::from(skip));
        if number > text_length(item_index) {
            return Ok(());
        }
        let expected_number = FIRST_EVENT_NUMBER + self.oracle.event_versions[item_index].len() as u64;
        let outcome = self.ledger.event_received(item_index, number, self.version, &event_data(item_index, number));
        let event_versions = &mut self.oracle.event_versions[item_index];
        let is_next = number == expected_number;
        match outcome {
            EventOutcome::Accepted if !is_next => {
                return Err(format!("event {number} of item {item_index} was accepted out of order"));
            }
            EventOutcome::Accepted if self.version < self.options.oldest_version => {
                return Err(format!("an event of the outdated version {} was accepted", self.version));
            }
            EventOutcome::Accepted => {
                event_versions.push(self.version);
                self.runs[position].next_event = number + 1;
            }
            EventOutcome::Restart => {
                event_versions.clear();
                self.runs.remove(position);
                self.ledger.run_ended(item_index, RunOutcome::Interrupted, self.now);
            }
            EventOutcome::Mismatch => {
                self.runs.remove(position);
                self.ledger.run_ended(item_index, RunOutcome::Interrupted, self.now);
            }
        }
        Ok(())
    }

    fn end_run(&mut self, run: u8, selector: u8) {
        if self.runs.is_empty() {
            return;
        }
        let position = usize::from(run) % self.runs.len();
        let item_index = self.runs[position].assignment.item_index;
        let is_complete = self.runs[position].next_event > text_length(item_index);
        let outcome = match selector % 12 {
            _ if is_complete && !selector.is_multiple_of(8) => RunOutcome::Completed,
            0..=5 => RunOutcome::Interrupted,
            6..=7 => RunOutcome::NotRun,
            8..=10 => RunOutcome::Failed,
            _ => RunOutcome::Unrunnable,
        };
        match outcome {
            RunOutcome::Failed => self.oracle.run_failures[item_index] += 1,
            RunOutcome::Unrunnable => {
                self.oracle.unrunnable.insert(item_index);
            }
            _ => {}
        }
        self.runs.remove(position);
        self.ledger.run_ended(item_index, outcome, self.now);
    }

    fn score(&mut self, selector: u8) {
        while let Some(item_index) = self.ledger.start_next_scoring(self.now) {
            let outcome = match selector % 4 {
                0 => {
                    self.oracle.scorer_failures[item_index] += 1;
                    ScoreOutcome::Failed
                }
                1 => ScoreOutcome::Interrupted,
                _ => ScoreOutcome::Signed(format!("s{item_index}")),
            };
            self.ledger.scoring_ended(item_index, outcome, SCORER_FAILURES_MAX, self.now);
        }
    }

    /// Stores the next chunk of results. A repeated write must find the same results at its position.
    fn store_results(&mut self, answer_lost: bool) -> Result<(), String> {
        let Some(chunk) = self.ledger.next_chunk(CHUNK_BYTES_MAX).cloned() else { return Ok(()) };
        let stored = &mut self.oracle.listed;
        if chunk.first_position == stored.len() {
            stored.extend(chunk.results.iter().cloned());
        } else if stored.get(chunk.first_position..chunk.first_position + chunk.results.len())
            != Some(&chunk.results[..])
        {
            return Err(format!("the chunk at position {} differs from the stored results", chunk.first_position));
        }
        if !answer_lost {
            self.ledger.chunk_stored(chunk.first_position);
        }
        self.check_results()
    }

    /// Stores the next checkpoint unless there is one under its number.
    fn store_checkpoint(&mut self, written: bool, answered: bool) -> Result<(), String> {
        let Some((number, checkpoint)) = self.ledger.next_checkpoint(CHECKPOINT_BYTES_MAX) else { return Ok(()) };
        let checkpoint = checkpoint.clone();
        let versions = |part: &pimentoslip_kernel::TextPart| {
            let event_count = usize::try_from(part.last_event + 1 - FIRST_EVENT_NUMBER).unwrap_or(usize::MAX);
            (part.item_index, self.oracle.event_versions[part.item_index].iter().copied().take(event_count).collect())
        };
        let created = match &self.oracle.last_written {
            // A repeated write: the items may have received events or restarted since the first attempt.
            Some((written_number, last_written))
                if *written_number == number && last_written.checkpoint == checkpoint =>
            {
                last_written.clone()
            }
            _ => StoredCheckpoint { versions: checkpoint.parts.iter().map(versions).collect(), checkpoint },
        };
        for part in &created.checkpoint.parts {
            let data: Vec<String> =
                (part.first_event..=part.last_event).map(|number| event_data(part.item_index, number)).collect();
            if part.text != data.join("\n") {
                return Err(format!(
                    "the part of item {} from event {} has the text {:?}",
                    part.item_index, part.first_event, part.text
                ));
            }
        }
        self.oracle.last_written = Some((number, created.clone()));
        if !written {
            return Ok(());
        }
        let stored = self.oracle.stored_checkpoints.entry(number).or_insert_with(|| created.clone()).clone();
        match (answered, stored == created) {
            (false, _) => {}
            (true, true) => self.ledger.checkpoint_stored(number),
            (true, false) => self.ledger.checkpoint_conflicted(number),
        }
        Ok(())
    }

    /// Replaces the owner. The new one restores the state that was handed over, or else the stored checkpoints.
    fn change_owner(&mut self, handed_over: bool) {
        let state = self.ledger.handover_state();
        let listed: Vec<usize> = self.oracle.listed.iter().map(|result| result.item_index).collect();
        self.runs.clear();
        self.ledger = BatchLedger::new(self.options, specs(), &listed);
        if handed_over {
            self.ledger.restore(state);
            return;
        }
        let checkpoints: Vec<JobCheckpoint> =
            self.oracle.stored_checkpoints.values().map(|stored| stored.checkpoint.clone()).collect();
        self.ledger.replay_checkpoints(&checkpoints);
        for item_index in (0..ITEMS).filter(|item_index| !listed.contains(item_index)) {
            let stored_versions =
                self.oracle.stored_checkpoints.values().rev().find_map(|stored| stored.versions.get(&item_index));
            self.oracle.event_versions[item_index] = stored_versions.cloned().unwrap_or_default();
            let stored = self.oracle.stored_checkpoints.values().flat_map(|stored| &stored.checkpoint.failures);
            let stored = stored.filter(|(index, _)| *index == item_index).map(|(_, count)| *count);
            let (runs, scores) = stored.fold((0, 0), |(runs, scores): (u32, u32), count| {
                (runs.max(count.run_failures), scores.max(count.score_failures))
            });
            self.oracle.run_failures[item_index] = runs;
            self.oracle.scorer_failures[item_index] = scores;
        }
    }

    fn check_results(&self) -> Result<(), String> {
        let mut seen = BTreeSet::new();
        for result in &self.oracle.listed {
            let item_index = result.item_index;
            if !seen.insert(item_index) {
                return Err(format!("item {item_index} is listed twice"));
            }
            match result.state {
                ItemState::Completed => self.check_completed(result)?,
                ItemState::Terminated => self.check_terminated(item_index)?,
            }
        }
        Ok(())
    }

    fn check_completed(&self, result: &ItemResult) -> Result<(), String> {
        let item_index = result.item_index;
        if result.text != complete_text(item_index) {
            return Err(format!("item {item_index} is listed with the text {:?}", result.text));
        }
        let generated_by: BTreeSet<u64> = self.oracle.event_versions[item_index].iter().copied().collect();
        if result.versions != generated_by.iter().copied().collect::<Vec<_>>() {
            return Err(format!(
                "item {item_index} lists the versions {:?} but was generated by {generated_by:?}",
                result.versions
            ));
        }
        if self.options.single_version && generated_by.len() != 1 {
            return Err(format!("item {item_index} mixes the versions {generated_by:?}"));
        }
        let needs_score = specs()[item_index].needs_score;
        if result.score != needs_score.then(|| format!("s{item_index}")) {
            return Err(format!("item {item_index} has the score {:?}", result.score));
        }
        Ok(())
    }

    fn check_terminated(&self, item_index: usize) -> Result<(), String> {
        let oracle = &self.oracle;
        let is_valid = oracle.unrunnable.contains(&item_index)
            || oracle.run_failures[item_index] >= ATTEMPTS_MAX
            || oracle.scorer_failures[item_index] >= SCORER_FAILURES_MAX
            || self.now >= self.options.retention_ends_at;
        if is_valid { Ok(()) } else { Err(format!("item {item_index} was terminated without a valid reason")) }
    }
}

/// Applies `commands`, then checks that the job finishes without further faults.
fn check_commands(single_version: bool, commands: Vec<Command>) -> Result<(), String> {
    let mut simulation = Simulation::new(single_version);
    for command in &commands {
        simulation.apply(command)?;
    }
    // Without further faults, all items must be listed within the following passes.
    simulation.version = simulation.version.max(2);
    for _ in 0..200 {
        simulation.apply(&Command::StartRuns)?;
        let runs = simulation.runs.len();
        for run in (0..runs).rev() {
            // A run that mixes versions is removed; its item runs again in the next pass.
            let Some(remaining) = simulation
                .runs
                .get(run)
                .map(|run| text_length(run.assignment.item_index) + FIRST_EVENT_NUMBER - run.next_event)
            else {
                continue;
            };
            for _ in 0..remaining {
                simulation.send_event(u8::try_from(run).unwrap_or(0), false)?;
            }
        }
        while !simulation.runs.is_empty() {
            simulation.end_run(0, 1);
        }
        simulation.score(3);
        simulation.store_results(false)?;
        simulation.apply(&Command::Wait { ms: 100 })?;
        if simulation.ledger.is_settled() {
            return simulation.check_results();
        }
    }
    Err(format!("{} of {ITEMS} items are listed at the end", simulation.oracle.listed.len()))
}

#[test]
fn each_item_is_listed_once_with_its_complete_text_and_versions() {
    sequence::check(0xba7c, 60, |commands| check_commands(false, commands));
}

#[test]
fn a_single_version_text_never_mixes_versions() {
    sequence::check(0xba7d, 60, |commands| check_commands(true, commands));
}

#[test]
fn an_ended_job_runs_and_lists_no_items() {
    let mut simulation = Simulation::new(false);
    simulation.version = 2;
    simulation.apply(&Command::StartRuns).unwrap();
    simulation.ledger.end();
    assert_eq!(simulation.ledger.event_received(0, FIRST_EVENT_NUMBER, 2, "0:1"), EventOutcome::Mismatch);
    assert_eq!(simulation.ledger.start_next_run(TimePoint(1)), None);
    assert!(simulation.ledger.next_chunk(CHUNK_BYTES_MAX).is_none());
    assert!(simulation.ledger.is_settled());
}

#[test]
fn the_longest_item_runs_first_also_after_it_was_requeued() {
    let mut simulation = Simulation::new(false);
    let first = simulation.ledger.start_next_run(TimePoint(0)).unwrap();
    assert_eq!(first.item_index, ITEMS - 1);
    simulation.ledger.requeue_run(first.item_index);
    assert_eq!(simulation.ledger.start_next_run(TimePoint(0)).unwrap().item_index, ITEMS - 1);
}

/// Options of a job whose items are tried once and may be of any version.
fn single_attempt() -> BatchOptions {
    BatchOptions {
        attempts_max: 1,
        oldest_version: 1,
        single_version: false,
        retention_ends_at: TimePoint(RETENTION_MS),
        groups_awaited: 1,
    }
}

/// Simulates an owner that crashes after it received `events` events of a text and stored a checkpoint after event
/// `saved`. Returns the event after which the next owner resumes the text.
fn resumed_after(saved: u64, events: u64) -> Option<u64> {
    let spec = ItemSpec { group: "g".into(), expected_tokens: 1, needs_score: false };
    let options = single_attempt();
    let mut first_owner = BatchLedger::new(options, vec![spec.clone()], &[]);
    first_owner.start_next_run(TimePoint(0)).unwrap();
    let mut checkpoints = Vec::new();
    for number in FIRST_EVENT_NUMBER..FIRST_EVENT_NUMBER + events {
        first_owner.event_received(0, number, 1, &event_data(0, number));
        if number == saved {
            checkpoints.extend(first_owner.next_checkpoint(1 << 20).map(|(_, checkpoint)| checkpoint.clone()));
        }
    }
    let mut second_owner = BatchLedger::new(options, vec![spec], &[]);
    second_owner.replay_checkpoints(&checkpoints);
    second_owner.start_next_run(TimePoint(0)).unwrap().resume_after
}

#[test]
fn the_next_owner_resumes_after_the_last_checkpoint() {
    for (saved, events, resumed) in [(40, 60, Some(40)), (8, 9, Some(8)), (7, 60, None), (100, 60, None)] {
        assert_eq!(resumed_after(saved, events), resumed, "checkpoint after event {saved} of {events}");
    }
}

/// Guards against a job that is never settled because a stored result names an item twice, or one that does not exist.
#[test]
fn a_job_with_a_doubled_or_unknown_stored_result_is_settled() {
    let spec = ItemSpec { group: "g".into(), expected_tokens: 1, needs_score: false };
    let options = single_attempt();
    for stored in [vec![0, 0], vec![0, 7], vec![0, 0, 7]] {
        let mut ledger = BatchLedger::new(options, vec![spec.clone(), spec.clone()], &stored);
        assert!(!ledger.is_settled(), "item 1 has no result: {stored:?}");
        assert_eq!(ledger.start_next_run(TimePoint(0)).expect("item 1 waits").item_index, 1);
        ledger.run_ended(1, RunOutcome::Unrunnable, TimePoint(0));
        assert!(!ledger.is_settled(), "the result of item 1 is not stored: {stored:?}");
        let chunk = ledger.next_chunk(CHUNK_BYTES_MAX).expect("a result");
        assert_eq!(chunk.first_position, stored.len());
        ledger.chunk_stored(stored.len());
        assert!(ledger.is_settled(), "{stored:?}");
    }
}

#[test]
fn listing_becomes_urgent_with_the_last_awaited_group() {
    let groups = ["a", "a", "b", "b", "c"];
    let specs = groups.map(|group| ItemSpec { group: group.into(), expected_tokens: 1, needs_score: false });
    let options = BatchOptions { groups_awaited: 2, ..single_attempt() };
    let mut ledger = BatchLedger::new(options, specs.into(), &[]);
    while ledger.start_next_run(TimePoint(0)).is_some() {}
    for (item_index, urgent) in [(0, false), (2, false), (1, false), (3, true)] {
        ledger.event_received(item_index, FIRST_EVENT_NUMBER, 1, "x");
        ledger.run_ended(item_index, RunOutcome::Completed, TimePoint(0));
        assert_eq!(ledger.is_listing_urgent(), urgent, "after item {item_index}");
    }
    let first = ledger.next_chunk(1 << 20).unwrap().first_position;
    ledger.chunk_stored(first);
    assert!(!ledger.is_listing_urgent());
}

/// Guards against an item that fails at each run and is run for ever, because each owner that crashes takes the number of
/// its failures with it.
#[test]
fn failures_of_an_item_count_across_owners_that_crash() {
    const ATTEMPTS_MAX: u32 = 3;
    let options = BatchOptions { attempts_max: ATTEMPTS_MAX, ..single_attempt() };
    for needs_score in [false, true] {
        let spec = ItemSpec { group: "g".into(), expected_tokens: 1, needs_score };
        let mut checkpoints: Vec<JobCheckpoint> = Vec::new();
        let mut failures = 0;
        loop {
            // Each owner sees one failure, stores its progress and crashes.
            let mut owner = BatchLedger::new(options, vec![spec.clone()], &[]);
            owner.replay_checkpoints(&checkpoints);
            let assignment = owner.start_next_run(TimePoint(0)).expect("the item waits");
            if needs_score {
                let first_event = assignment.resume_after.map_or(FIRST_EVENT_NUMBER, |last| last + 1);
                owner.event_received(0, first_event, 1, "x");
                owner.run_ended(0, RunOutcome::Completed, TimePoint(0));
                owner.start_next_scoring(TimePoint(0)).expect("the text is complete");
                owner.scoring_ended(0, ScoreOutcome::Failed, ATTEMPTS_MAX, TimePoint(0));
            } else {
                owner.run_ended(0, RunOutcome::Failed, TimePoint(0));
            }
            failures += 1;
            if owner.all_items_finished() {
                break;
            }
            assert!(failures < 10, "the item was not given up after {failures} failures");
            checkpoints.extend(owner.next_checkpoint(1 << 20).map(|(_, checkpoint)| checkpoint.clone()));
        }
        assert_eq!(failures, ATTEMPTS_MAX, "scored: {needs_score}");
    }
}
