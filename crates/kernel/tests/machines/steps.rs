//! Steps: versions are true, no delivered sample is older than the bound, each arrives exactly once.

use crate::sequence;
use pimentoslip_kernel::{DispatchOrder, FetchCursor, SampleResult, StepLedger, StepSpec, TimePoint, TokenSegment};
use quickcheck::{Arbitrary, Gen};
use std::collections::HashMap;

const HOMES: u8 = 2;
const GROUPS: usize = 2;
const GROUP_SIZE: usize = 3;
const SAMPLES: usize = GROUPS * GROUP_SIZE;
const BOUND: u64 = 1;

#[derive(Clone, Debug)]
enum Command {
    /// The home's engines take one more sample.
    Dispatch {
        home: u8,
        hedge: bool,
    },
    /// Some running attempt ends whole, having seen so many version swaps.
    Finish {
        run: u8,
        swaps: u8,
        start: u8,
    },
    /// Some running attempt fails.
    Fail {
        run: u8,
    },
    /// The trainer publishes its next version.
    Publish,
    /// The trainer fetches from a home; the answer may be lost.
    Fetch {
        home: u8,
        max: u8,
        lost: bool,
    },
    /// The home's process ends and another opens the step again.
    Crash {
        home: u8,
    },
    Wait {
        ms: u16,
    },
}

impl Arbitrary for Command {
    fn arbitrary(rng: &mut Gen) -> Self {
        let (a, b) = (u8::arbitrary(rng), u8::arbitrary(rng));
        match u8::arbitrary(rng) % 16 {
            0..=4 => Self::Dispatch { home: a % HOMES, hedge: b % 2 == 0 },
            5..=8 => Self::Finish { run: a, swaps: b % 3, start: b / 8 % 3 },
            9 => Self::Fail { run: a },
            10 => Self::Publish,
            11..=13 => Self::Fetch { home: a % HOMES, max: b % 4 + 1, lost: b % 4 == 0 },
            14 if b % 4 == 0 => Self::Crash { home: a % HOMES },
            _ => Self::Wait { ms: u16::arbitrary(rng) % 500 },
        }
    }
}

struct World {
    now: TimePoint,
    homes: Vec<(u32, StepLedger)>,
    running: Vec<(usize, u32, DispatchOrder)>,
    published: u64,
    cursor: FetchCursor,
    received: HashMap<usize, u32>,
    /// What engines truly produced, by text.
    produced: HashMap<String, Vec<TokenSegment>>,
    texts: u64,
}

fn spec() -> StepSpec {
    StepSpec {
        service: "drafts".into(),
        prompts: (0..GROUPS).map(|group| format!("p{group}").into()).collect(),
        group_size: GROUP_SIZE,
        max_tokens: 8,
    }
}

impl World {
    fn new() -> Self {
        let published = 5;
        let home = || (0, StepLedger::new(spec(), BOUND, published));
        Self {
            now: TimePoint(0),
            homes: (0..HOMES).map(|_| home()).collect(),
            running: Vec::new(),
            published,
            cursor: FetchCursor::default(),
            received: HashMap::new(),
            produced: HashMap::new(),
            texts: 0,
        }
    }

    /// An engine produces a sample whose versions begin up to two behind and rise with each swap.
    fn produce(&mut self, sample: usize, swaps: u8, behind: u8) -> SampleResult {
        self.texts += 1;
        let text = format!("text-{}", self.texts);
        let mut segments = Vec::new();
        let first = self.published.saturating_sub(u64::from(behind));
        for swap in 0..=u64::from(swaps) {
            TokenSegment::append(&mut segments, 2, first + swap);
        }
        self.produced.insert(text.clone(), segments.clone());
        SampleResult { sample, text, segments }
    }

    fn fetch(&mut self, home: usize, max: usize, lost: bool) -> Result<(), String> {
        let answer = self.homes[home].1.fetch(&self.cursor, self.published, max);
        if lost {
            return Ok(());
        }
        for sample in answer {
            if self.produced.get(&sample.text) != Some(&sample.segments) {
                return Err(format!("sample {} names versions that did not produce it", sample.sample));
            }
            let oldest = sample.segments.iter().map(|segment| segment.version).min().unwrap_or(0);
            if oldest + BOUND < self.published {
                return Err(format!("sample {} of version {oldest} is too old for {}", sample.sample, self.published));
            }
            let times = self.received.entry(sample.sample).or_default();
            *times += 1;
            if *times > 1 {
                return Err(format!("sample {} came twice", sample.sample));
            }
            self.cursor.insert(sample.sample);
        }
        Ok(())
    }

    fn apply(&mut self, command: &Command) -> Result<(), String> {
        match *command {
            Command::Dispatch { home, hedge } => {
                let (process, ledger) = &mut self.homes[usize::from(home)];
                if let Some(order) = ledger.dispatch(self.now, hedge.then_some(100)) {
                    self.running.push((home.into(), *process, order));
                }
            }
            Command::Finish { run, swaps, start } if !self.running.is_empty() => {
                let (home, process, order) = self.running.remove(usize::from(run) % self.running.len());
                let sample = self.produce(order.sample, swaps, start);
                if self.homes[home].0 == process {
                    self.homes[home].1.attempt_finished(order, sample, self.now);
                }
            }
            Command::Fail { run } if !self.running.is_empty() => {
                let (home, process, order) = self.running.remove(usize::from(run) % self.running.len());
                if self.homes[home].0 == process {
                    self.homes[home].1.attempt_failed(order);
                }
            }
            Command::Finish { .. } | Command::Fail { .. } => {}
            Command::Publish => self.published += 1,
            Command::Fetch { home, max, lost } => self.fetch(home.into(), max.into(), lost)?,
            Command::Crash { home } => {
                let (process, ledger) = &mut self.homes[usize::from(home)];
                *process += 1;
                // The new home may not have heard of the newest version.
                *ledger = StepLedger::new(spec(), BOUND, self.published.saturating_sub(2));
            }
            Command::Wait { ms } => self.now = self.now.plus_ms(ms.into()),
        }
        Ok(())
    }

    /// With nothing failing any more, the step comes to its end.
    fn complete(&mut self) -> Result<(), String> {
        self.running.clear();
        self.homes[0] = (u32::MAX, StepLedger::new(spec(), BOUND, self.published));
        for _ in 0..=SAMPLES {
            self.fetch(0, SAMPLES, false)?;
            while let Some(order) = self.homes[0].1.dispatch(self.now, None) {
                let sample = self.produce(order.sample, 0, 0);
                self.homes[0].1.attempt_finished(order, sample, self.now);
            }
        }
        if self.cursor.len() != SAMPLES || !self.homes[0].1.is_complete() {
            return Err(format!("{} of {SAMPLES} samples arrived", self.cursor.len()));
        }
        Ok(())
    }
}

fn exactly_once(commands: Vec<Command>) -> Result<(), String> {
    let mut world = World::new();
    commands.iter().try_for_each(|command| world.apply(command))?;
    world.complete()
}

#[test]
fn each_sample_arrives_exactly_once_with_true_and_fresh_versions() {
    sequence::check(0x57e9, 80, exactly_once);
}

#[test]
fn the_same_fetch_again_gives_the_same_samples() {
    let mut world = World::new();
    while let Some(order) = world.homes[0].1.dispatch(world.now, None) {
        let sample = world.produce(order.sample, 0, 0);
        world.homes[0].1.attempt_finished(order, sample, world.now);
    }
    let first = world.homes[0].1.fetch(&world.cursor, 5, 4);
    let again = world.homes[0].1.fetch(&world.cursor, 5, 4);
    assert_eq!(first, again);
    assert_eq!(first.len(), 4);
}

#[test]
fn only_the_first_of_two_twins_counts() {
    let mut world = World::new();
    let orders: Vec<DispatchOrder> = std::iter::from_fn(|| world.homes[0].1.dispatch(TimePoint(0), None)).collect();
    let twin = world.homes[0].1.dispatch(TimePoint(1_000), Some(100)).expect("a hedge");
    assert!(twin.hedge);
    let first = world.produce(twin.sample, 0, 0);
    let second = world.produce(twin.sample, 0, 0);
    let outcome = world.homes[0].1.attempt_finished(twin, first.clone(), TimePoint(1_001));
    assert!(outcome.accepted);
    assert_eq!(outcome.superseded_attempts, [orders[twin.sample].attempt]);
    assert!(!world.homes[0].1.attempt_finished(orders[twin.sample], second, TimePoint(1_002)).accepted);
    assert_eq!(world.homes[0].1.fetch(&world.cursor, 5, 9), [first]);
    assert_eq!(world.homes[0].1.wasted_tokens(), 2);
}

#[test]
fn a_sample_without_versions_does_not_count() {
    let mut world = World::new();
    let order = world.homes[0].1.dispatch(TimePoint(0), None).expect("a sample");
    let nothing = SampleResult { sample: order.sample, text: "x".to_owned(), segments: Vec::new() };
    assert!(!world.homes[0].1.attempt_finished(order, nothing, TimePoint(1)).accepted);
    assert_eq!(world.homes[0].1.dispatch(TimePoint(1), None).map(|order| order.sample), Some(order.sample));
}
