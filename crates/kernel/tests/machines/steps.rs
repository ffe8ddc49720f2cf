//! Tests of steps: the reported versions are correct, no returned sample exceeds the staleness bound, and each sample
//! is received exactly once.

use crate::sequence;
use pimentoslip_kernel::{DispatchOrder, FetchCursor, SampleResult, StepLedger, StepSpec, TimePoint, TokenSegment};
use quickcheck::{Arbitrary, Gen};
use std::collections::HashMap;

const OWNERS: u8 = 2;
const GROUPS: usize = 2;
const GROUP_SIZE: usize = 3;
const SAMPLES: usize = GROUPS * GROUP_SIZE;
const STALENESS_BOUND: u64 = 1;

/// Input to the simulation of a step.
#[derive(Clone, Debug)]
enum Command {
    /// The owner of the step dispatches one more attempt.
    Dispatch { owner: u8, hedge: bool },
    /// A running attempt completes. Its first token has a version `start` behind the newest one, and its engine changes
    /// the version `swaps` times.
    Finish { run: u8, swaps: u8, start: u8 },
    /// A running attempt fails.
    Fail { run: u8 },
    /// The trainer publishes its next version.
    Publish,
    /// The trainer fetches from an owner; the response may be lost.
    Fetch { owner: u8, max: u8, lost: bool },
    /// The owner's process ends, and its successor opens the step again.
    Crash { owner: u8 },
    /// Time passes.
    Wait { ms: u16 },
}

impl Arbitrary for Command {
    fn arbitrary(rng: &mut Gen) -> Self {
        let (first, second) = (u8::arbitrary(rng), u8::arbitrary(rng));
        match u8::arbitrary(rng) % 16 {
            0..=4 => Self::Dispatch { owner: first % OWNERS, hedge: second % 2 == 0 },
            5..=8 => Self::Finish { run: first, swaps: second % 3, start: second / 8 % 3 },
            9 => Self::Fail { run: first },
            10 => Self::Publish,
            11..=13 => Self::Fetch { owner: first % OWNERS, max: second % 4 + 1, lost: second % 4 == 0 },
            14 if second % 4 == 0 => Self::Crash { owner: first % OWNERS },
            _ => Self::Wait { ms: u16::arbitrary(rng) % 500 },
        }
    }
}

/// A trainer, the daemons that own its step (several may do so at the same time), and the engines.
struct Simulation {
    now: TimePoint,
    /// Process number and ledger of each owner.
    owners: Vec<(u32, StepLedger)>,
    /// Running attempts, with the index and the process number of their owner.
    running: Vec<(usize, u32, DispatchOrder)>,
    published: u64,
    cursor: FetchCursor,
    /// Number of times that the trainer received each sample.
    received: HashMap<usize, u32>,
    /// Versions that generated each text, as produced by the engines.
    generated: HashMap<String, Vec<TokenSegment>>,
    text_count: u64,
}

fn spec() -> StepSpec {
    StepSpec {
        service: "drafts".into(),
        prompts: (0..GROUPS).map(|group| format!("p{group}").into()).collect(),
        group_size: GROUP_SIZE,
        max_tokens: 8,
    }
}

impl Simulation {
    fn new() -> Self {
        let published = 5;
        let owner = || (0, StepLedger::new(spec(), STALENESS_BOUND, published));
        Self {
            now: TimePoint(0),
            owners: (0..OWNERS).map(|_| owner()).collect(),
            running: Vec::new(),
            published,
            cursor: FetchCursor::default(),
            received: HashMap::new(),
            generated: HashMap::new(),
            text_count: 0,
        }
    }

    /// A sample from an engine. Its first version is `behind` versions older than the newest one, and each swap raises
    /// it by one.
    fn generate(&mut self, position: usize, swaps: u8, behind: u8) -> SampleResult {
        self.text_count += 1;
        let text = format!("text-{}", self.text_count);
        let mut segments = Vec::new();
        let first = self.published.saturating_sub(u64::from(behind));
        for swap in 0..=u64::from(swaps) {
            TokenSegment::append(&mut segments, 2, first + swap);
        }
        self.generated.insert(text.clone(), segments.clone());
        SampleResult { position, text, segments }
    }

    /// Fetches from an owner, and checks each received sample unless the response is lost.
    fn fetch(&mut self, owner: usize, max: usize, lost: bool) -> Result<(), String> {
        let samples = self.owners[owner].1.fetch(&self.cursor, self.published, max);
        if lost {
            return Ok(());
        }
        for sample in samples {
            if self.generated.get(&sample.text) != Some(&sample.segments) {
                return Err(format!("sample {} reports versions that did not generate it", sample.position));
            }
            let oldest = sample.segments.iter().map(|segment| segment.version).min().unwrap_or(0);
            if oldest + STALENESS_BOUND < self.published {
                return Err(format!(
                    "sample {} of version {oldest} is too old for {}",
                    sample.position, self.published
                ));
            }
            let times = self.received.entry(sample.position).or_default();
            *times += 1;
            if *times > 1 {
                return Err(format!("sample {} was received twice", sample.position));
            }
            self.cursor.insert(sample.position);
        }
        Ok(())
    }

    fn apply(&mut self, command: &Command) -> Result<(), String> {
        match *command {
            Command::Dispatch { owner, hedge } => {
                let (process, ledger) = &mut self.owners[usize::from(owner)];
                if let Some(order) = ledger.dispatch(self.now, hedge.then_some(100)) {
                    self.running.push((owner.into(), *process, order));
                }
            }
            Command::Finish { run, swaps, start } if !self.running.is_empty() => {
                let (owner, process, order) = self.running.remove(usize::from(run) % self.running.len());
                let sample = self.generate(order.position, swaps, start);
                if self.owners[owner].0 == process {
                    self.owners[owner].1.attempt_finished(order, sample, self.now);
                }
            }
            Command::Fail { run } if !self.running.is_empty() => {
                let (owner, process, order) = self.running.remove(usize::from(run) % self.running.len());
                if self.owners[owner].0 == process {
                    self.owners[owner].1.attempt_failed(order, self.now);
                }
            }
            Command::Finish { .. } | Command::Fail { .. } => {}
            Command::Publish => self.published += 1,
            Command::Fetch { owner, max, lost } => self.fetch(owner.into(), max.into(), lost)?,
            Command::Crash { owner } => {
                let (process, ledger) = &mut self.owners[usize::from(owner)];
                *process += 1;
                // The new owner may not have observed the newest version.
                *ledger = StepLedger::new(spec(), STALENESS_BOUND, self.published.saturating_sub(2));
            }
            Command::Wait { ms } => self.now = self.now.plus_ms(ms.into()),
        }
        Ok(())
    }

    /// Checks that the step completes once nothing fails any more.
    fn complete(&mut self) -> Result<(), String> {
        self.running.clear();
        self.owners[0] = (u32::MAX, StepLedger::new(spec(), STALENESS_BOUND, self.published));
        for _ in 0..=SAMPLES {
            self.fetch(0, SAMPLES, false)?;
            while let Some(order) = self.owners[0].1.dispatch(self.now, None) {
                let sample = self.generate(order.position, 0, 0);
                self.owners[0].1.attempt_finished(order, sample, self.now);
            }
        }
        if self.cursor.len() != SAMPLES || !self.owners[0].1.is_complete() {
            return Err(format!("{} of {SAMPLES} samples were received", self.cursor.len()));
        }
        Ok(())
    }
}

fn check_exactly_once(commands: Vec<Command>) -> Result<(), String> {
    let mut simulation = Simulation::new();
    commands.iter().try_for_each(|command| simulation.apply(command))?;
    simulation.complete()
}

#[test]
fn each_sample_is_received_exactly_once_with_correct_and_recent_versions() {
    sequence::check(0x57e9, 80, check_exactly_once);
}

#[test]
fn a_repeated_fetch_returns_the_same_samples() {
    let mut simulation = Simulation::new();
    while let Some(order) = simulation.owners[0].1.dispatch(simulation.now, None) {
        let sample = simulation.generate(order.position, 0, 0);
        simulation.owners[0].1.attempt_finished(order, sample, simulation.now);
    }
    let first = simulation.owners[0].1.fetch(&simulation.cursor, 5, 4);
    let repeated = simulation.owners[0].1.fetch(&simulation.cursor, 5, 4);
    assert_eq!(first, repeated);
    assert_eq!(first.len(), 4);
}

#[test]
fn only_the_first_result_of_hedged_attempts_is_accepted() {
    let mut simulation = Simulation::new();
    let orders: Vec<DispatchOrder> =
        std::iter::from_fn(|| simulation.owners[0].1.dispatch(TimePoint(0), None)).collect();
    let hedge = simulation.owners[0].1.dispatch(TimePoint(1_000), Some(100)).expect("a hedge");
    assert!(hedge.hedge);
    let first = simulation.generate(hedge.position, 0, 0);
    let second = simulation.generate(hedge.position, 0, 0);
    let outcome = simulation.owners[0].1.attempt_finished(hedge, first.clone(), TimePoint(1_001));
    assert!(outcome.accepted);
    assert_eq!(outcome.superseded_attempts, [orders[hedge.position].attempt]);
    assert!(!simulation.owners[0].1.attempt_finished(orders[hedge.position], second, TimePoint(1_002)).accepted);
    assert_eq!(simulation.owners[0].1.fetch(&simulation.cursor, 5, 9), [first]);
    assert_eq!(simulation.owners[0].1.wasted_tokens(), 2);
}

/// Guards against a sample that fails at once and is attempted hundreds of times a second.
#[test]
fn a_failing_sample_is_attempted_at_most_ten_times_a_second_and_delays_no_other() {
    let spec = StepSpec { service: "s".into(), prompts: vec!["p".into()], group_size: 2, max_tokens: 1 };
    let mut ledger = StepLedger::new(spec, 1, 1);
    let mut attempts = [0; 2];
    for now in (0..10_000).step_by(20).map(TimePoint) {
        while let Some(order) = ledger.dispatch(now, None) {
            attempts[order.position] += 1;
            ledger.attempt_failed(order, now);
        }
    }
    assert!(attempts.iter().all(|count| (20..=100).contains(count)), "{attempts:?} attempts in 10 s");
}

#[test]
fn a_result_without_versions_is_rejected() {
    let mut simulation = Simulation::new();
    let order = simulation.owners[0].1.dispatch(TimePoint(0), None).expect("a sample");
    let unversioned = SampleResult { position: order.position, text: "x".to_owned(), segments: Vec::new() };
    assert!(!simulation.owners[0].1.attempt_finished(order, unversioned, TimePoint(1)).accepted);
    assert_eq!(simulation.owners[0].1.dispatch(TimePoint(1), None).map(|order| order.position), Some(order.position));
}
