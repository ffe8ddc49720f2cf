//! Batch jobs: each item is listed once, with its whole text and the versions that made it, or given up for a reason.

use crate::sequence;
use pimentoslip_kernel::{
    BatchLedger, BatchOptions, EventOutcome, FIRST_EVENT_NUMBER, ItemResult, ItemSpec, ItemState, RunAssignment,
    RunOutcome, ScoreOutcome, TextCheckpoint, TimePoint,
};
use quickcheck::{Arbitrary, Gen};
use std::collections::{BTreeMap, BTreeSet};

const ITEMS: usize = 4;
const ATTEMPTS_MAX: u32 = 2;
const SCORER_FAILURES_MAX: u32 = 3;
const GIVE_UP_MS: u64 = 20_000;
const CHUNK_BYTES: usize = 450;
const CHECKPOINT_BYTES: usize = 40;

#[derive(Clone, Debug)]
enum Command {
    /// The owner starts what it may.
    Run,
    /// A run brings an event, skipping some where `skip` says so.
    Event { run: u8, skip: bool },
    /// A run ends.
    EndRun { run: u8, how: u8 },
    /// The owner scores what it may; the scorer answers.
    Score { how: u8 },
    /// The owner writes results; the answer may be lost.
    List { lost: bool },
    /// The owner puts texts on record; the write or its answer may be lost.
    Save { written: bool, answered: bool },
    /// The weights change.
    Swap,
    /// The owner dies, or hands its state over; another one goes on.
    Change { handed: bool },
    /// Time passes.
    Wait { ms: u16 },
}

impl Arbitrary for Command {
    fn arbitrary(rng: &mut Gen) -> Self {
        let (a, b) = (u8::arbitrary(rng), u8::arbitrary(rng));
        match u8::arbitrary(rng) % 20 {
            0..=3 => Self::Run,
            4..=9 => Self::Event { run: a, skip: b % 16 == 0 },
            10..=13 => Self::EndRun { run: a, how: b },
            14..=15 => Self::Score { how: a },
            16 if a % 2 == 0 => Self::List { lost: a % 3 == 0 },
            16 => Self::Save { written: b % 4 > 0, answered: b % 3 > 0 },
            17 if a % 2 == 0 => Self::Swap,
            18 if a % 3 == 0 => Self::Change { handed: b % 2 == 0 },
            _ => Self::Wait { ms: u16::arbitrary(rng) % 600 },
        }
    }
}

/// Length of an item's text in events; the longest are worth a checkpoint.
fn length(index: usize) -> u64 {
    index as u64 * 6 + 1
}

fn data(index: usize, number: u64) -> String {
    format!("{index}:{number}")
}

fn text(index: usize) -> String {
    (FIRST_EVENT_NUMBER..=length(index)).map(|number| data(index, number)).collect::<Vec<_>>().join("\n")
}

struct Run {
    work: RunAssignment,
    next: u64,
}

/// What truly happened, kept apart from the ledger's own books.
#[derive(Default)]
struct Truth {
    /// Versions of the events that the owner was told to keep.
    kept: Vec<Vec<u64>>,
    failures: Vec<u32>,
    scorer_failures: Vec<u32>,
    impossible: BTreeSet<usize>,
    listed: Vec<ItemResult>,
    /// Checkpoints on record, each with the versions of all events of its texts up to there.
    record: BTreeMap<usize, SavedTexts>,
    /// The checkpoint that the owner wrote last, as it was when it was made.
    written: Option<(usize, SavedTexts)>,
}

#[derive(Clone, Debug, PartialEq)]
struct SavedTexts {
    checkpoint: TextCheckpoint,
    versions: BTreeMap<usize, Vec<u64>>,
}

struct World {
    terms: BatchOptions,
    ledger: BatchLedger,
    runs: Vec<Run>,
    truth: Truth,
    version: u64,
    now: TimePoint,
}

fn specs() -> Vec<ItemSpec> {
    let spec = |index: usize| ItemSpec {
        group: "g".into(),
        expected_tokens: length(index),
        needs_score: index.is_multiple_of(2),
    };
    (0..ITEMS).map(spec).collect()
}

impl World {
    fn new(single_version: bool) -> Self {
        let give_up_at = TimePoint(GIVE_UP_MS);
        let terms = BatchOptions {
            attempts_max: ATTEMPTS_MAX,
            oldest_version: 2,
            single_version,
            retention_ends_at: give_up_at,
            groups_awaited: 1,
        };
        let truth = Truth {
            kept: vec![Vec::new(); ITEMS],
            failures: vec![0; ITEMS],
            scorer_failures: vec![0; ITEMS],
            ..Truth::default()
        };
        Self {
            terms,
            ledger: BatchLedger::new(terms, specs(), &[]),
            runs: Vec::new(),
            truth,
            version: 1,
            now: TimePoint(0),
        }
    }

    fn step(&mut self, command: &Command) -> Result<(), String> {
        match *command {
            Command::Run => {
                while let Some(work) = self.ledger.start_next_run(self.now) {
                    if self.runs.iter().any(|run| run.work.index == work.index) {
                        return Err(format!("item {} runs twice at one owner", work.index));
                    }
                    self.runs.push(Run { work, next: work.resume_after.map_or(FIRST_EVENT_NUMBER, |last| last + 1) });
                }
            }
            Command::Event { run, skip } => self.event(run, skip)?,
            Command::EndRun { run, how } => self.end_run(run, how),
            Command::Score { how } => self.score(how),
            Command::List { lost } => self.list(lost)?,
            Command::Save { written, answered } => self.save(written, answered)?,
            Command::Swap => self.version += 1,
            Command::Change { handed } => self.change(handed),
            Command::Wait { ms } => {
                self.now = self.now.plus_ms(u64::from(ms));
                self.ledger.expire_items(self.now);
                self.runs.retain(|run| self.ledger.is_running(run.work.index));
            }
        }
        Ok(())
    }

    fn event(&mut self, run: u8, skip: bool) -> Result<(), String> {
        if self.runs.is_empty() {
            return Ok(());
        }
        let at = usize::from(run) % self.runs.len();
        let (index, number) = (self.runs[at].work.index, self.runs[at].next + u64::from(skip));
        if number > length(index) {
            return Ok(());
        }
        let before = FIRST_EVENT_NUMBER + self.truth.kept[index].len() as u64;
        let verdict = self.ledger.event_received(index, number, self.version, &data(index, number));
        let kept = &mut self.truth.kept[index];
        let fits = number == before;
        match verdict {
            EventOutcome::Accepted if !fits => {
                return Err(format!("event {number} of item {index} was taken out of turn"));
            }
            EventOutcome::Accepted if self.version < self.terms.oldest_version => {
                return Err(format!("an event of version {} was taken", self.version));
            }
            EventOutcome::Accepted => {
                kept.push(self.version);
                self.runs[at].next = number + 1;
            }
            EventOutcome::Restart => {
                kept.clear();
                self.runs.remove(at);
                self.ledger.run_ended(index, RunOutcome::Interrupted, self.now);
            }
            EventOutcome::Mismatch => {
                self.runs.remove(at);
                self.ledger.run_ended(index, RunOutcome::Interrupted, self.now);
            }
        }
        Ok(())
    }

    fn end_run(&mut self, run: u8, how: u8) {
        if self.runs.is_empty() {
            return;
        }
        let at = usize::from(run) % self.runs.len();
        let index = self.runs[at].work.index;
        let whole = self.runs[at].next > length(index);
        let end = match how % 12 {
            _ if whole && !how.is_multiple_of(8) => RunOutcome::Completed,
            0..=5 => RunOutcome::Interrupted,
            6..=7 => RunOutcome::NotRun,
            8..=10 => RunOutcome::Failed,
            _ => RunOutcome::Unrunnable,
        };
        match end {
            RunOutcome::Failed => self.truth.failures[index] += 1,
            RunOutcome::Unrunnable => {
                self.truth.impossible.insert(index);
            }
            _ => {}
        }
        self.runs.remove(at);
        self.ledger.run_ended(index, end, self.now);
    }

    fn score(&mut self, how: u8) {
        while let Some(index) = self.ledger.start_next_scoring(self.now) {
            let end = match how % 4 {
                0 => {
                    self.truth.scorer_failures[index] += 1;
                    ScoreOutcome::Failed
                }
                1 => ScoreOutcome::Interrupted,
                _ => ScoreOutcome::Signed(format!("s{index}")),
            };
            self.ledger.scoring_ended(index, end, SCORER_FAILURES_MAX, self.now);
        }
    }

    /// The store takes a chunk at its position once; a repeat finds its own chunk there.
    fn list(&mut self, lost: bool) -> Result<(), String> {
        let Some(chunk) = self.ledger.next_chunk(CHUNK_BYTES).cloned() else { return Ok(()) };
        let stored = &mut self.truth.listed;
        if chunk.first_position == stored.len() {
            stored.extend(chunk.results.iter().cloned());
        } else if stored.get(chunk.first_position..chunk.first_position + chunk.results.len())
            != Some(&chunk.results[..])
        {
            return Err(format!("position {} would hold other results than before", chunk.first_position));
        }
        if !lost {
            self.ledger.chunk_stored(chunk.first_position);
        }
        self.check()
    }

    /// The store takes a checkpoint under its number once.
    fn save(&mut self, written: bool, answered: bool) -> Result<(), String> {
        let Some((number, checkpoint)) = self.ledger.next_checkpoint(CHECKPOINT_BYTES) else { return Ok(()) };
        let checkpoint = checkpoint.clone();
        let versions = |part: &pimentoslip_kernel::TextPart| {
            let length = usize::try_from(part.last_event + 1 - FIRST_EVENT_NUMBER).unwrap_or(usize::MAX);
            (part.index, self.truth.kept[part.index].iter().copied().take(length).collect())
        };
        let made = match &self.truth.written {
            // The same texts again; the items may have gone on or begun anew since.
            Some((known, texts)) if *known == number && texts.checkpoint == checkpoint => texts.clone(),
            _ => SavedTexts { versions: checkpoint.parts.iter().map(versions).collect(), checkpoint },
        };
        for part in &made.checkpoint.parts {
            let data: Vec<String> =
                (part.first_event..=part.last_event).map(|number| data(part.index, number)).collect();
            if part.text != data.join("\n") {
                return Err(format!(
                    "the part of item {} from event {} is {:?}",
                    part.index, part.first_event, part.text
                ));
            }
        }
        self.truth.written = Some((number, made.clone()));
        if !written {
            return Ok(());
        }
        let stored = self.truth.record.entry(number).or_insert_with(|| made.clone()).clone();
        match (answered, stored == made) {
            (false, _) => {}
            (true, true) => self.ledger.checkpoint_stored(number),
            (true, false) => self.ledger.checkpoint_conflicted(number),
        }
        Ok(())
    }

    /// Another owner reads the record, and gets the former one's state if that could hand it over.
    fn change(&mut self, handed: bool) {
        let state = self.ledger.handover_state();
        let listed: Vec<usize> = self.truth.listed.iter().map(|result| result.index).collect();
        self.runs.clear();
        self.ledger = BatchLedger::new(self.terms, specs(), &listed);
        if handed {
            self.ledger.restore(state);
            return;
        }
        let record: Vec<TextCheckpoint> = self.truth.record.values().map(|texts| texts.checkpoint.clone()).collect();
        self.ledger.replay_checkpoints(&record);
        for index in (0..ITEMS).filter(|index| !listed.contains(index)) {
            let saved = self.truth.record.values().rev().find_map(|texts| texts.versions.get(&index));
            self.truth.kept[index] = saved.cloned().unwrap_or_default();
            self.truth.failures[index] = 0;
            self.truth.scorer_failures[index] = 0;
        }
    }

    fn check(&self) -> Result<(), String> {
        let mut seen = BTreeSet::new();
        for result in &self.truth.listed {
            let index = result.index;
            if !seen.insert(index) {
                return Err(format!("item {index} is listed twice"));
            }
            match result.state {
                ItemState::Completed => self.check_completed(result)?,
                ItemState::Terminated => self.check_terminated(index)?,
            }
        }
        Ok(())
    }

    fn check_completed(&self, result: &ItemResult) -> Result<(), String> {
        let index = result.index;
        if result.text != text(index) {
            return Err(format!("item {index} is listed with {:?}", result.text));
        }
        let made: BTreeSet<u64> = self.truth.kept[index].iter().copied().collect();
        if result.versions != made.iter().copied().collect::<Vec<_>>() {
            return Err(format!("item {index} names {:?}, was made under {made:?}", result.versions));
        }
        if self.terms.single_version && made.len() != 1 {
            return Err(format!("item {index} mixes versions {made:?}"));
        }
        let scored = specs()[index].needs_score;
        if result.score != scored.then(|| format!("s{index}")) {
            return Err(format!("item {index} has the score {:?}", result.score));
        }
        Ok(())
    }

    fn check_terminated(&self, index: usize) -> Result<(), String> {
        let truth = &self.truth;
        let reason = truth.impossible.contains(&index)
            || truth.failures[index] >= ATTEMPTS_MAX
            || truth.scorer_failures[index] >= SCORER_FAILURES_MAX
            || self.now >= self.terms.retention_ends_at;
        if reason { Ok(()) } else { Err(format!("item {index} was given up for no reason")) }
    }
}

fn law(single_version: bool, commands: Vec<Command>) -> Result<(), String> {
    let mut world = World::new(single_version);
    for command in &commands {
        world.step(command)?;
    }
    // Left alone, every job settles: all items are listed.
    world.version = world.version.max(2);
    for _ in 0..200 {
        world.step(&Command::Run)?;
        let runs = world.runs.len();
        for run in (0..runs).rev() {
            // A run that mixes versions ends; its item runs again in the next round.
            let Some(left) = world.runs.get(run).map(|run| length(run.work.index) + FIRST_EVENT_NUMBER - run.next)
            else {
                continue;
            };
            for _ in 0..left {
                world.event(u8::try_from(run).unwrap_or(0), false)?;
            }
        }
        while !world.runs.is_empty() {
            world.end_run(0, 1);
        }
        world.score(3);
        world.list(false)?;
        world.step(&Command::Wait { ms: 100 })?;
        if world.ledger.is_settled() {
            return world.check();
        }
    }
    Err(format!("{} of {ITEMS} items are listed in the end", world.truth.listed.len()))
}

#[test]
fn each_item_is_listed_once_whole_and_with_its_versions() {
    sequence::check(0xba7c, 60, |commands| law(false, commands));
}

#[test]
fn texts_of_one_version_mix_none() {
    sequence::check(0xba7d, 60, |commands| law(true, commands));
}

#[test]
fn an_ended_job_runs_and_lists_nothing_more() {
    let mut world = World::new(false);
    world.version = 2;
    world.step(&Command::Run).unwrap();
    world.ledger.end();
    assert_eq!(world.ledger.event_received(0, FIRST_EVENT_NUMBER, 2, "0:1"), EventOutcome::Mismatch);
    assert_eq!(world.ledger.start_next_run(TimePoint(1)), None);
    assert!(world.ledger.next_chunk(CHUNK_BYTES).is_none());
    assert!(world.ledger.is_settled());
}

#[test]
fn the_longest_item_runs_first_and_a_refused_one_keeps_its_place() {
    let mut world = World::new(false);
    let first = world.ledger.start_next_run(TimePoint(0)).unwrap();
    assert_eq!(first.index, ITEMS - 1);
    world.ledger.requeue_run(first.index);
    assert_eq!(world.ledger.start_next_run(TimePoint(0)).unwrap().index, ITEMS - 1);
}

/// Plays the loss of an owner in the middle of a text of `events` events, of which a checkpoint was written after
/// `saved`; returns the event after which the next owner goes on.
fn resumed_after(saved: u64, events: u64) -> Option<u64> {
    let spec = ItemSpec { group: "g".into(), expected_tokens: 1, needs_score: false };
    let terms = BatchOptions {
        attempts_max: 1,
        oldest_version: 1,
        single_version: false,
        retention_ends_at: TimePoint(GIVE_UP_MS),
        groups_awaited: 1,
    };
    let mut first = BatchLedger::new(terms, vec![spec.clone()], &[]);
    first.start_next_run(TimePoint(0)).unwrap();
    let mut record = Vec::new();
    for number in FIRST_EVENT_NUMBER..FIRST_EVENT_NUMBER + events {
        first.event_received(0, number, 1, &data(0, number));
        if number == saved {
            record.extend(first.next_checkpoint(1 << 20).map(|(_, checkpoint)| checkpoint.clone()));
        }
    }
    let mut second = BatchLedger::new(terms, vec![spec], &[]);
    second.replay_checkpoints(&record);
    second.start_next_run(TimePoint(0)).unwrap().resume_after
}

#[test]
fn the_next_owner_goes_on_from_the_last_checkpoint() {
    for (saved, events, resumed) in [(40, 60, Some(40)), (8, 9, Some(8)), (7, 60, None), (100, 60, None)] {
        assert_eq!(resumed_after(saved, events), resumed, "saved after {saved} of {events}");
    }
}

#[test]
fn the_group_that_a_submitter_waits_for_is_listed_without_delay() {
    let groups = ["a", "a", "b", "b", "c"];
    let specs = groups.map(|group| ItemSpec { group: group.into(), expected_tokens: 1, needs_score: false });
    let terms = BatchOptions {
        attempts_max: 1,
        oldest_version: 1,
        single_version: false,
        retention_ends_at: TimePoint(GIVE_UP_MS),
        groups_awaited: 2,
    };
    let mut ledger = BatchLedger::new(terms, specs.into(), &[]);
    while ledger.start_next_run(TimePoint(0)).is_some() {}
    for (index, urgent) in [(0, false), (2, false), (1, false), (3, true)] {
        ledger.event_received(index, FIRST_EVENT_NUMBER, 1, "x");
        ledger.run_ended(index, RunOutcome::Completed, TimePoint(0));
        assert_eq!(ledger.is_listing_urgent(), urgent, "after item {index}");
    }
    let first = ledger.next_chunk(1 << 20).unwrap().first_position;
    ledger.chunk_stored(first);
    assert!(!ledger.is_listing_urgent());
}
