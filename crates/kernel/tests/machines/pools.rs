//! Tests of batch jobs whose items need different upstreams: a pool of upstreams without room holds up only its own items.

use crate::sequence;
use pimentoslip_kernel::{
    BatchLedger, BatchOptions, EventOutcome, FIRST_EVENT_NUMBER, ItemPool, ItemSpec, RunAssignment, RunOutcome,
    ScoreOutcome, SharedName, TimePoint,
};
use quickcheck::{Arbitrary, Gen};
use std::collections::{BTreeMap, BTreeSet};

const POOLS: usize = 3;
const ITEMS: usize = 12;
const SOFTWARE: &str = "a";
/// Longest backoff of an item that is tried again, in milliseconds.
const BACKOFF_MS: u64 = 50;

/// Input to the simulation of a job and its upstreams.
#[derive(Clone, Debug)]
enum Command {
    /// The upstreams of a pool have so many free slots from now on.
    SetRoom { pool: usize, slots: usize },
    /// The configuration draws the items for other pools.
    MovePools { offset: usize },
    /// The scorers of items with this index and a multiple of [`POOLS`] more have room from now on, or none.
    SetScorer { pool: usize, has_room: bool },
    /// Everything that has room is started.
    Dispatch,
    /// A run ends, after it has generated the first event or before.
    EndRun { run: usize, selector: u8 },
    /// Time passes.
    Wait { ms: u64 },
}

impl Arbitrary for Command {
    fn arbitrary(rng: &mut Gen) -> Self {
        let (first, second) = (u8::arbitrary(rng), u8::arbitrary(rng));
        let pool = usize::from(first) % POOLS;
        match u8::arbitrary(rng) % 16 {
            0..=2 => Self::SetRoom { pool, slots: usize::from(second) % 4 },
            3 => Self::MovePools { offset: pool },
            4 => Self::SetScorer { pool, has_room: second.is_multiple_of(2) },
            5..=9 => Self::Dispatch,
            10..=13 => Self::EndRun { run: usize::from(first), selector: second },
            _ => Self::Wait { ms: u64::from(second) },
        }
    }
}

/// A job with its upstreams.
struct Simulation {
    ledger: BatchLedger,
    /// Free slots of each pool.
    rooms: [usize; POOLS],
    scorers: [bool; POOLS],
    offset: usize,
    runs: Vec<RunAssignment>,
    /// Items that wait, and when they may be run.
    waiting: BTreeMap<usize, TimePoint>,
    /// Items that have some text.
    with_text: BTreeSet<usize>,
    unscored: BTreeSet<usize>,
    now: TimePoint,
}

impl Simulation {
    fn new() -> Self {
        let options = BatchOptions {
            attempts_max: u32::MAX,
            oldest_version: 1,
            single_version: false,
            retention_ends_at: TimePoint(u64::MAX),
            groups_awaited: 1,
        };
        let specs = (0..ITEMS).map(|item_index| ItemSpec {
            group: "g".into(),
            expected_tokens: item_index as u64,
            needs_score: true,
        });
        Self {
            ledger: BatchLedger::new(options, specs.collect(), &[]),
            rooms: [1; POOLS],
            scorers: [true; POOLS],
            offset: 0,
            runs: Vec::new(),
            waiting: (0..ITEMS).map(|item_index| (item_index, TimePoint(0))).collect(),
            with_text: BTreeSet::new(),
            unscored: BTreeSet::new(),
            now: TimePoint(0),
        }
    }

    fn number(&self, item_index: usize) -> usize {
        (item_index + self.offset) % POOLS
    }

    fn pool(&self, item_index: usize) -> ItemPool {
        let software = self.with_text.contains(&item_index).then(|| SharedName::from(SOFTWARE));
        ItemPool { service: format!("s{}", self.number(item_index)).into(), model: None, software }
    }

    fn apply(&mut self, command: Command) -> Result<(), String> {
        match command {
            Command::SetRoom { pool, slots } => self.rooms[pool] = slots,
            Command::MovePools { offset } => {
                self.offset = offset;
                self.ledger.forget_pools();
            }
            Command::SetScorer { pool, has_room } => self.scorers[pool] = has_room,
            Command::Dispatch => {
                self.dispatch()?;
                self.score()?;
            }
            Command::EndRun { run, selector } if !self.runs.is_empty() => {
                let assignment = self.runs.swap_remove(run % self.runs.len());
                self.end_run(assignment, selector);
            }
            Command::EndRun { .. } => {}
            Command::Wait { ms } => self.now = self.now.plus_ms(ms),
        }
        Ok(())
    }

    /// Starts what has room, and checks that nothing else is left, and that each pool was tried once.
    fn dispatch(&mut self) -> Result<(), String> {
        let mut full = BTreeSet::new();
        let mut started = BTreeMap::<ItemPool, Vec<usize>>::new();
        while let Some(assignment) = self.ledger.start_next_run(self.now, |pool| full.contains(pool)) {
            let item_index = assignment.item_index;
            let (pool, number) = (self.pool(item_index), self.number(item_index));
            if self.waiting.get(&item_index).is_none_or(|ready_at| self.now < *ready_at) {
                return Err(format!("item {item_index} is started, but does not wait"));
            }
            if self.rooms[number] == 0 {
                full.insert(pool.clone());
                self.ledger.requeue_run(item_index, Some(pool));
                self.waiting.insert(item_index, TimePoint(0));
                continue;
            }
            self.rooms[number] -= 1;
            self.waiting.remove(&item_index);
            started.entry(pool).or_default().push(item_index);
            self.runs.push(assignment);
        }
        for (pool, items) in &started {
            let is_longest_first = items.windows(2).all(|pair| pair[0] > pair[1]);
            let shortest = items.last();
            let passed_over = self.waiting.iter().filter(|(_, ready_at)| **ready_at <= self.now);
            let is_passed_over = passed_over
                .filter(|(item_index, _)| self.pool(**item_index) == *pool)
                .any(|(item_index, _)| Some(item_index) > shortest);
            if !is_longest_first || is_passed_over {
                return Err(format!("pool {pool:?} got {items:?}, not its longest items"));
            }
        }
        let mut ready = self.waiting.iter().filter(|(_, ready_at)| **ready_at <= self.now);
        match ready.find(|(item_index, _)| self.rooms[self.number(**item_index)] > 0) {
            Some((item_index, _)) => Err(format!("item {item_index} waits beside free slots of its pool")),
            None => Ok(()),
        }
    }

    fn score(&mut self) -> Result<(), String> {
        let mut full = BTreeSet::new();
        while let Some(item_index) = self.ledger.start_next_scoring(self.now, |service| full.contains(service)) {
            let number = self.number(item_index);
            if self.scorers[number] {
                self.unscored.remove(&item_index);
                self.ledger.scoring_ended(item_index, ScoreOutcome::Signed("s".to_owned()), 1, self.now);
            } else {
                // One of the services stands for scorers without a route.
                let service = (number > 0).then(|| SharedName::from(format!("s{number}")));
                full.insert(service.clone());
                self.ledger.requeue_scoring(item_index, service);
            }
        }
        match self.unscored.iter().find(|item_index| self.scorers[self.number(**item_index)]) {
            Some(item_index) => Err(format!("item {item_index} is not scored beside a scorer with room")),
            None => Ok(()),
        }
    }

    fn end_run(&mut self, assignment: RunAssignment, selector: u8) {
        let item_index = assignment.item_index;
        if selector.is_multiple_of(2) {
            let number = assignment.resume_after.map_or(FIRST_EVENT_NUMBER, |last| last + 1);
            let outcome = self.ledger.event_received(item_index, number, 1, &SOFTWARE.into(), "x");
            assert_eq!(outcome, EventOutcome::Accepted);
            self.with_text.insert(item_index);
        }
        if selector.is_multiple_of(4) {
            self.ledger.run_ended(item_index, RunOutcome::Completed, self.now);
            self.unscored.insert(item_index);
        } else {
            self.ledger.run_ended(item_index, RunOutcome::Interrupted, self.now);
            self.waiting.insert(item_index, self.now.plus_ms(BACKOFF_MS));
        }
    }
}

/// Guards against items that wait beside idle upstreams because the next item of the queue needs other ones, or its scorer has no
/// room or no route.
#[test]
fn an_item_waits_only_for_room_at_its_own_upstreams() {
    sequence::check(0x12, 60, |commands: Vec<Command>| {
        let mut simulation = Simulation::new();
        for (index, command) in commands.into_iter().enumerate() {
            simulation.apply(command).map_err(|error| format!("step {index}: {error}"))?;
        }
        Ok(())
    });
}

/// Guards against a pass that looks at each of thousands of items for which there is no upstream.
#[test]
fn items_that_wait_for_a_full_pool_are_passed_over_at_once() {
    const WAITING: usize = 4_000;
    let options = BatchOptions {
        attempts_max: 1,
        oldest_version: 1,
        single_version: false,
        retention_ends_at: TimePoint(u64::MAX),
        groups_awaited: 1,
    };
    let spec = ItemSpec { group: "g".into(), expected_tokens: 1, needs_score: false };
    let mut ledger = BatchLedger::new(options, vec![spec; WAITING], &[]);
    let pool = ItemPool { service: "gone".into(), model: None, software: None };
    for _ in 0..WAITING {
        let assignment = ledger.start_next_run(TimePoint(0), |_| true).expect("an item that was not tried yet");
        ledger.requeue_run(assignment.item_index, Some(pool.clone()));
    }
    for _ in 0..3 {
        let mut full = BTreeSet::new();
        let mut tries = 0;
        while let Some(assignment) = ledger.start_next_run(TimePoint(0), |pool| full.contains(pool)) {
            tries += 1;
            full.insert(pool.clone());
            ledger.requeue_run(assignment.item_index, Some(pool.clone()));
        }
        assert_eq!((tries, ledger.waiting_count()), (1, WAITING));
    }
}
