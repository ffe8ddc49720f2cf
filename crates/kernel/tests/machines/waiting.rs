//! The waiting line under more callers than slots: each organisation gets its share, requests that are refused are refused
//! early, and nobody starves.

use crate::sequence;
use pimentoslip_kernel::{
    CapacityNeed, LineBounds, LineDecision, LineRequest, PermitNeed, QueueTicket, RefusalCause, RequestUrgency,
    RoomOutlook, SamplerOutcome, SamplerQuery, SamplerRecord, SamplerState, SamplerTable, SharedName, TimePoint,
    WaitingLine,
};
use quickcheck::{Arbitrary, Gen};
use std::collections::{BTreeMap, BTreeSet};

const SLOTS: usize = 4;
const RUN_MS: u64 = 20;
const OBJECTIVE_MS: u64 = 150;
const DEADLINE_MS: u64 = 800;
const BOUNDS: LineBounds = LineBounds { length_max: 200, bytes_max: 200_000 };
/// Requests that the slots serve in a second.
const CAPACITY_PER_S: u64 = SLOTS as u64 * 1_000 / RUN_MS;
const PLAY_MS: u64 = 20_000;
const REQUEST_BYTES: usize = 1_000;

/// A request of the load that is played.
#[derive(Clone, Debug)]
struct Attempt {
    organisation: usize,
    first_sent_at: u64,
    arrived_at: u64,
    is_return: bool,
}

/// What the requests of one organisation got.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    asked: u64,
    in_time: u64,
    late: u64,
    /// Requests refused for good.
    lost: u64,
    returned: u64,
    returned_served: u64,
}

/// A part of the mechanism that is taken out, to show that its check notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Missing {
    Nothing,
    Fairness,
    EarlyRefusal,
    Age,
}

/// Plays a load on a few slots.
struct Play {
    missing: Missing,
    now: u64,
    line: WaitingLine,
    waiting: BTreeMap<QueueTicket, (Attempt, u64)>,
    /// Ends of the running requests.
    running: Vec<u64>,
    /// Requests that arrive later.
    arrivals: BTreeMap<u64, Vec<Attempt>>,
    tallies: Vec<Tally>,
    /// Longest wait of a request that was refused.
    refused_wait_ms: u64,
}

impl Play {
    /// Plays organisations that send `rates` requests in a second, in irregular intervals.
    fn run(rates: &[u64], priorities: &[u32], missing: Missing) -> Self {
        let mut play = Self {
            missing,
            now: 0,
            line: WaitingLine::new(BOUNDS),
            waiting: BTreeMap::new(),
            running: Vec::new(),
            arrivals: BTreeMap::new(),
            tallies: vec![Tally::default(); rates.len()],
            refused_wait_ms: 0,
        };
        let mut random = 0x5eed_u64;
        while play.now < PLAY_MS {
            for (organisation, rate) in rates.iter().enumerate() {
                random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
                if (random >> 33) % 1_000 < *rate {
                    let attempt =
                        Attempt { organisation, first_sent_at: play.now, arrived_at: play.now, is_return: false };
                    play.tallies[organisation].asked += 1;
                    play.arrivals.entry(play.now).or_default().push(attempt);
                }
            }
            play.step(priorities);
            play.now += 1;
        }
        play
    }

    fn step(&mut self, priorities: &[u32]) {
        let now = TimePoint(self.now);
        let ended = self.running.iter().filter(|end| **end <= self.now).count();
        self.running.retain(|end| *end > self.now);
        (0..ended).for_each(|_| self.line.run_ended(RUN_MS, now));
        for attempt in self.arrivals.remove(&self.now).unwrap_or_default() {
            if self.running.len() < SLOTS && self.line.is_empty() {
                self.begin(&attempt);
                continue;
            }
            let request = self.line_request(&attempt, priorities[attempt.organisation]);
            match self.line.enter(request, self.outlook(), now) {
                Ok((ticket, until)) => {
                    self.waiting.insert(ticket, (attempt, until.0));
                }
                Err(refusal) => self.refused(&attempt, refusal.returns_at),
            }
        }
        while self.running.len() < SLOTS {
            let Some(ticket) = self.line.in_order().next() else { break };
            self.line.admit(ticket);
            let (attempt, _) = self.waiting.remove(&ticket).expect("a waiting request");
            self.begin(&attempt);
        }
        let due: Vec<QueueTicket> =
            self.waiting.iter().filter(|(_, (_, until))| *until <= self.now).map(|(ticket, _)| *ticket).collect();
        for ticket in due {
            match self.line.decide(ticket, self.outlook(), now) {
                LineDecision::Wait(until) => {
                    self.waiting.get_mut(&ticket).expect("a waiting request").1 = until.0.max(self.now + 1);
                }
                LineDecision::Refuse(refusal) => {
                    self.line.leave(ticket);
                    let (attempt, _) = self.waiting.remove(&ticket).expect("a waiting request");
                    self.refused(&attempt, refusal.returns_at);
                }
            }
        }
    }

    fn outlook(&self) -> RoomOutlook {
        RoomOutlook::SlotsInUse { running: self.running.len() as u64 }
    }

    fn line_request(&self, attempt: &Attempt, priority: u32) -> LineRequest {
        let name = if self.missing == Missing::Fairness { 0 } else { attempt.organisation };
        let decided_ms = if self.missing == Missing::EarlyRefusal { OBJECTIVE_MS } else { OBJECTIVE_MS / 10 };
        let first_sent_at = if self.missing == Missing::Age { 0 } else { attempt.first_sent_at };
        let mut request = request_at(attempt.arrived_at, name, priority);
        request.first_sent_at = TimePoint(first_sent_at);
        request.decided_at = TimePoint(attempt.arrived_at + decided_ms);
        request.deadline = TimePoint(attempt.first_sent_at + DEADLINE_MS);
        if self.missing == Missing::EarlyRefusal {
            // Requests wait as long as their objective, whatever is expected.
            request.useful_until = request.deadline.plus_ms(PLAY_MS);
            request.deadline = TimePoint(attempt.arrived_at + OBJECTIVE_MS);
        }
        request
    }

    fn begin(&mut self, attempt: &Attempt) {
        self.running.push(self.now + RUN_MS);
        let tally = &mut self.tallies[attempt.organisation];
        let is_in_time = self.now + RUN_MS <= attempt.arrived_at + OBJECTIVE_MS;
        tally.in_time += u64::from(is_in_time);
        tally.late += u64::from(!is_in_time);
        tally.returned_served += u64::from(attempt.is_return);
    }

    fn refused(&mut self, attempt: &Attempt, returns_at: Option<TimePoint>) {
        self.refused_wait_ms = self.refused_wait_ms.max(self.now - attempt.arrived_at);
        let returns_at = returns_at.map_or(self.now + 100, |at| at.0).max(self.now + 1);
        let latest = self.now + (attempt.first_sent_at + DEADLINE_MS).saturating_sub(self.now) / 3;
        if attempt.is_return || returns_at >= attempt.first_sent_at + DEADLINE_MS {
            self.tallies[attempt.organisation].lost += 1;
            return;
        }
        let arrived_at = returns_at.min(latest).max(self.now + 1);
        self.tallies[attempt.organisation].returned += 1;
        let attempt = Attempt { arrived_at, is_return: true, ..attempt.clone() };
        self.arrivals.entry(arrived_at).or_default().push(attempt);
    }

    /// Part of an organisation's requests that were served in time.
    fn part_in_time(&self, organisation: usize) -> f64 {
        self.tallies[organisation].in_time as f64 / self.tallies[organisation].asked as f64
    }
}

fn request_at(arrived_at: u64, organisation: usize, priority: u32) -> LineRequest {
    LineRequest {
        organisation: format!("o{organisation}").into(),
        weight: 1,
        urgency: RequestUrgency::of_caller(priority),
        first_sent_at: TimePoint(arrived_at),
        decided_at: TimePoint(arrived_at + OBJECTIVE_MS / 10),
        waits_until: TimePoint(arrived_at + OBJECTIVE_MS / 4),
        useful_until: TimePoint(arrived_at + OBJECTIVE_MS),
        deadline: TimePoint(arrived_at + DEADLINE_MS),
        depth_max: usize::MAX,
        cost: 1,
        bytes: REQUEST_BYTES,
    }
}

/// Rates of the load: three times what the slots serve, of which one organisation sends ten times as much as each other.
const OTHERS: u64 = 5;
const OTHER_RATE: u64 = 3 * CAPACITY_PER_S / (10 + OTHERS);
const RATES: [u64; 6] = [10 * OTHER_RATE, OTHER_RATE, OTHER_RATE, OTHER_RATE, OTHER_RATE, OTHER_RATE];
/// Part of its requests that an organisation's share of the slots serves.
const SHARE: f64 = (CAPACITY_PER_S / (OTHERS + 1)) as f64 / OTHER_RATE as f64;

/// Guards against an organisation that takes the room of others by the number of its requests.
#[test]
fn each_organisation_is_served_up_to_its_share_while_one_sends_ten_times_as_much() {
    let others_served = |missing| {
        let play = Play::run(&RATES, &[1; 6], missing);
        let others = (1..RATES.len()).map(|organisation| play.part_in_time(organisation));
        others.fold(f64::INFINITY, f64::min)
    };
    let worst = others_served(Missing::Nothing);
    assert!(worst >= 0.9 * SHARE, "{worst} of the requests are served in time, the share is {SHARE}");
    let worst = others_served(Missing::Fairness);
    assert!(worst < 0.9 * SHARE, "the check does not notice that fairness is missing: {worst}");
}

/// Guards against an organisation with few requests that waits although it asks for less than its share.
#[test]
fn an_organisation_below_its_share_is_served_as_if_it_were_alone() {
    let rates = [3 * CAPACITY_PER_S, 10, 10];
    let play = Play::run(&rates, &[1; 3], Missing::Nothing);
    for organisation in 1..3 {
        let part = play.part_in_time(organisation);
        assert!(part >= 0.98, "{part} of the requests are served in time: {:?}", play.tallies);
    }
    let served: u64 = play.tallies.iter().map(|tally| tally.in_time + tally.late).sum();
    assert!(served * 1_000 >= CAPACITY_PER_S * PLAY_MS * 97 / 100, "slots stay empty: {:?}", play.tallies);
}

/// Guards against requests that are held for long and refused then, and against those that are kept and served late.
#[test]
fn a_request_that_is_refused_waits_no_longer_than_a_tenth_of_its_objective() {
    let play = Play::run(&RATES, &[1; 6], Missing::Nothing);
    assert!(play.refused_wait_ms <= OBJECTIVE_MS / 10, "a refused request waited {} ms", play.refused_wait_ms);
    for tally in &play.tallies {
        assert!(tally.late * 20 <= tally.in_time, "requests are kept and served late: {:?}", play.tallies);
    }
    let play = Play::run(&RATES, &[1; 6], Missing::EarlyRefusal);
    assert!(play.refused_wait_ms > OBJECTIVE_MS / 10, "the check does not notice that early refusals are missing");
}

/// Guards against less urgent organisations that get nothing while urgent ones fill the slots.
#[test]
fn urgent_organisations_come_first_and_starve_nobody() {
    let rates = [CAPACITY_PER_S, CAPACITY_PER_S / 2, CAPACITY_PER_S / 2];
    let play = Play::run(&rates, &[0, 3, 7], Missing::Nothing);
    let parts: Vec<f64> = (0..3).map(|organisation| play.part_in_time(organisation)).collect();
    assert!(parts[0] >= 0.7, "the urgent one comes first: {parts:?}");
    let served = |organisation: usize| play.tallies[organisation].in_time + play.tallies[organisation].late;
    for organisation in 1..3 {
        assert!(served(organisation) * 20 >= play.tallies[organisation].asked, "{organisation} starves: {parts:?}");
    }
}

/// Guards against callers that were refused and are last again when they return.
#[test]
fn a_caller_that_returns_comes_before_the_new_requests_of_its_organisation() {
    // How much more often an attempt is served if it is repeated.
    let advantage = |missing| {
        let play = Play::run(&RATES, &[1; 6], missing);
        let tally = play.tallies[0];
        let new_served = tally.in_time + tally.late - tally.returned_served;
        (tally.returned_served * tally.asked) as f64 / (new_served * tally.returned).max(1) as f64
    };
    let with_age = advantage(Missing::Nothing);
    assert!(with_age >= 3.0, "repeated attempts are served {with_age} times as often as new ones");
    let without_age = advantage(Missing::Age);
    assert!(without_age < 3.0, "the check does not notice that the age is missing: {without_age}");
    let mut line = WaitingLine::new(BOUNDS);
    let busy = RoomOutlook::SlotsInUse { running: 4 };
    for _ in 0..3 {
        line.enter(request_at(1_000, 0, 1), busy, TimePoint(1_000)).expect("room in the line");
    }
    let returned = LineRequest { first_sent_at: TimePoint(700), ..request_at(1_000, 0, 1) };
    let (ticket, _) = line.enter(returned, busy, TimePoint(1_000)).expect("room in the line");
    assert_eq!(line.in_order().next(), Some(ticket));
}

/// Guards against refused callers that all return at the same time.
#[test]
fn refused_callers_return_one_after_the_other() {
    let mut line = WaitingLine::new(BOUNDS);
    line.run_ended(RUN_MS, TimePoint(1_000));
    let mut returns = Vec::new();
    for _ in 0..100 {
        let entered = line.enter(request_at(1_000, 0, 1), RoomOutlook::SlotsInUse { running: 4 }, TimePoint(1_000));
        if let Err(refusal) = entered {
            assert_eq!(refusal.cause, RefusalCause::TooLate);
            returns.push(refusal.returns_at.expect("a time").0);
        }
    }
    assert!(returns.len() >= 50, "{} of 100 are refused", returns.len());
    let latest = 1_000 + DEADLINE_MS / 3;
    assert!(returns.iter().all(|at| (1_001..=latest).contains(at)), "callers wait until {latest}: {returns:?}");
    for (index, at) in returns.iter().enumerate() {
        let together = returns[index..].iter().filter(|other| *other == at).count();
        assert!(together <= 3, "{together} return at {at}: {returns:?}");
    }
}

/// Guards against refusals of requests while nothing is known of the service.
#[test]
fn a_request_waits_while_nothing_is_known_of_the_next_room() {
    let mut line = WaitingLine::new(BOUNDS);
    let busy = RoomOutlook::SlotsInUse { running: 4 };
    let (first, until) = line.enter(request_at(1_000, 0, 1), busy, TimePoint(1_000)).expect("no run has ended yet");
    assert_eq!(line.decide(first, busy, until), LineDecision::Wait(TimePoint(1_000 + OBJECTIVE_MS / 4)));
    line.run_ended(60_000, TimePoint(1_001));
    let (second, _) = line.enter(request_at(1_000, 1, 1), RoomOutlook::Unknown, TimePoint(1_000)).expect("it waits");
    let waits_until = TimePoint(1_000 + OBJECTIVE_MS / 4);
    let LineDecision::Refuse(refusal) = line.decide(second, RoomOutlook::Unknown, waits_until) else {
        panic!("it waits for longer than a quarter of its objective");
    };
    assert_eq!(refusal.cause, RefusalCause::NoOutlook);
    let refused = RoomOutlook::Refused { until: TimePoint(1_020) };
    let (third, until) = line.enter(request_at(1_000, 2, 1), refused, TimePoint(1_000)).expect("room in 20 ms");
    assert_eq!(line.decide(third, refused, until), LineDecision::Wait(waits_until));
}

/// Guards against upstreams that hang, while the line still promises slots at their former pace.
#[test]
fn the_expected_wait_grows_while_no_run_ends() {
    let mut line = WaitingLine::new(BOUNDS);
    let busy = RoomOutlook::SlotsInUse { running: 4 };
    line.run_ended(RUN_MS, TimePoint(1_000));
    line.enter(request_at(1_000, 0, 1), busy, TimePoint(1_000)).expect("its turn is next");
    line.enter(request_at(1_020, 1, 1), busy, TimePoint(1_020)).expect("runs still end");
    let refusal = line.enter(request_at(1_300, 2, 1), busy, TimePoint(1_300)).expect_err("no run has ended for 300 ms");
    assert_eq!(refusal.cause, RefusalCause::TooLate);
    line.run_ended(RUN_MS, TimePoint(1_301));
    line.enter(request_at(1_301, 2, 1), busy, TimePoint(1_301)).expect("runs end again");
}

/// Guards against requests that keep their old place when the priority or the weight of their organisation changes.
#[test]
fn a_changed_priority_or_weight_moves_the_waiting_requests() {
    let mut line = WaitingLine::new(BOUNDS);
    let busy = RoomOutlook::SlotsInUse { running: 4 };
    let mut enter = |organisation, priority| {
        let request = request_at(1_000, organisation, priority);
        line.enter(request, busy, TimePoint(1_000)).expect("room in the line").0
    };
    let firsts: Vec<QueueTicket> = (0..20).map(|_| enter(0, 1)).collect();
    let seconds: Vec<QueueTicket> = (0..20).map(|_| enter(1, 1)).collect();
    seconds.iter().for_each(|ticket| line.reclassify(*ticket, RequestUrgency::of_caller(0), 1));
    assert_eq!(line.in_order().take(20).collect::<Vec<_>>(), seconds, "the urgent ones come first, in their order");
    seconds.iter().for_each(|ticket| line.reclassify(*ticket, RequestUrgency::of_caller(1), 3));
    let served = line.in_order().take(16).filter(|ticket| firsts.contains(ticket)).count();
    assert!((3..=5).contains(&served), "{served} of 16 are of weight 1, the others of weight 3");
}

/// A plain upstream with two slots.
fn upstream(id: &str) -> SamplerRecord {
    SamplerRecord {
        id: id.into(),
        service: "s".into(),
        address: format!("{id}:1").into(),
        failure_domain: "d".into(),
        slots: 2,
        state: SamplerState::Ready,
        software: "v1".into(),
        versions: BTreeMap::new(),
        started_unix_ms: 1,
        reclaimable: false,
    }
}

const QUERY: SamplerQuery<'_> = SamplerQuery {
    service: "s",
    model: None,
    software: None,
    failure_domain: "d",
    homes: None,
    excluded: &[],
    capacity: CapacityNeed::OwnSlot,
    affinity: "a",
    permits: PermitNeed::NONE,
};

/// Guards against load reports that hold requests back although they are old, false or malformed, and against requests in
/// excess of the slots that this daemon uses itself.
#[test]
fn only_the_slots_that_this_daemon_uses_hold_a_request_back() {
    let mut table = SamplerTable::default();
    ["u", "v"].iter().for_each(|id| table.upsert(upstream(id)));
    let now = TimePoint(1_000);
    ["u", "v"].iter().for_each(|id| assert!(!table.load_reported(id, u64::MAX, now), "a false report is no room"));
    let picked: Vec<SamplerRecord> = std::iter::from_fn(|| table.pick(&QUERY, now)).take(10).collect();
    assert_eq!(picked.len(), 4, "two slots each, whatever is reported");
    assert_eq!(table.room_outlook(&QUERY, now), RoomOutlook::SlotsInUse { running: 4 });
    table.request_ended(&picked[0], SamplerOutcome::Answered(None), now);
    assert!(table.pick(&QUERY, now).is_some(), "the end of a run frees its slot");
    table.path_missing("u", now.plus_ms(500));
    table.path_missing("v", now.plus_ms(300));
    assert_eq!(table.room_outlook(&QUERY, now), RoomOutlook::Unknown, "nothing is known of upstreams without a path");
    assert_eq!(table.next_chance(&QUERY, now), Some(now.plus_ms(300)));
}

/// Guards against a backoff after a refusal that outlasts the lack of room, and against a false report that ends one for longer
/// than until the next refusal.
#[test]
fn a_report_of_a_free_slot_ends_the_backoff_after_a_refusal() {
    let mut table = SamplerTable::default();
    table.upsert(upstream("u"));
    let now = TimePoint(1_000);
    for _ in 0..2 {
        let record = table.pick(&QUERY, now).expect("a free slot");
        table.request_ended(&record, SamplerOutcome::Refused, now);
        let RoomOutlook::Refused { until } = table.room_outlook(&QUERY, now) else { panic!("it backs off") };
        assert!(until > now && table.pick(&QUERY, now).is_none());
        assert!(!table.load_reported("u", 2, now), "both slots are in use");
        assert!(table.load_reported("u", 1, now), "a slot is free");
    }
    let record = table.pick(&QUERY, now).expect("a free slot");
    table.request_ended(&record, SamplerOutcome::Failed, now);
    assert!(!table.load_reported("u", 0, now) && table.pick(&QUERY, now).is_none(), "a failure is no lack of room");
}

/// Input to a line.
#[derive(Clone, Debug)]
enum Command {
    Enter { organisation: u8, priority: u8, kilobytes: u8 },
    Admit { skipped: u8 },
    Leave { index: u8 },
    Reclassify { index: u8, priority: u8, weight: u8 },
    EndRun { ms: u8 },
    Wait { ms: u8 },
}

impl Arbitrary for Command {
    fn arbitrary(rng: &mut Gen) -> Self {
        let (value, other) = (u8::arbitrary(rng), u8::arbitrary(rng));
        match u8::arbitrary(rng) % 12 {
            0..=5 => Self::Enter { organisation: value % 4, priority: other % 3, kilobytes: value / 4 },
            6 | 7 => Self::Admit { skipped: value % 4 },
            8 => Self::Leave { index: value },
            9 => Self::Reclassify { index: value, priority: other % 3, weight: other / 16 },
            10 => Self::EndRun { ms: other },
            _ => Self::Wait { ms: value },
        }
    }
}

/// Applies `commands` to a line and compares it with a simple model after each one.
fn check_against_model(commands: Vec<Command>) -> Result<(), String> {
    const SMALL: LineBounds = LineBounds { length_max: 12, bytes_max: 300_000 };
    let mut line = WaitingLine::new(SMALL);
    let mut now = 1_000;
    let mut model: BTreeMap<QueueTicket, (LineRequest, u64)> = BTreeMap::new();
    let mut gone = BTreeSet::new();
    for (number, command) in commands.into_iter().enumerate() {
        let outlook = [RoomOutlook::SlotsInUse { running: 3 }, RoomOutlook::Unknown][number % 2];
        let pick = |model: &BTreeMap<QueueTicket, _>, index: u8| {
            model.keys().nth(usize::from(index) % model.len().max(1)).copied()
        };
        match command {
            Command::Enter { organisation, priority, kilobytes } => {
                let mut request = request_at(now, organisation.into(), priority.into());
                request.bytes = usize::from(kilobytes) * 1_000;
                let held: usize = model.values().map(|(request, _)| request.bytes).sum();
                let is_full = model.len() >= SMALL.length_max || held + request.bytes > SMALL.bytes_max;
                match line.enter(request.clone(), outlook, TimePoint(now)) {
                    Ok(_) if is_full => return Err(format!("{} requests with {held} bytes wait", model.len())),
                    Ok((ticket, until)) => {
                        if !gone.insert(ticket) {
                            return Err(format!("{ticket:?} was used before"));
                        }
                        model.insert(ticket, (request, until.0));
                    }
                    Err(refusal) if (refusal.cause == RefusalCause::LineFull) != is_full => {
                        return Err(format!("{refusal:?} with {} requests and {held} bytes", model.len()));
                    }
                    Err(_) => {}
                }
            }
            Command::Admit { skipped } => {
                let ticket = line.in_order().nth(skipped.into());
                if let Some(ticket) = ticket {
                    line.admit(ticket);
                    model.remove(&ticket).ok_or_else(|| format!("{ticket:?} does not wait"))?;
                }
            }
            Command::Leave { index } => {
                if let Some(ticket) = pick(&model, index) {
                    line.leave(ticket);
                    model.remove(&ticket);
                }
            }
            Command::Reclassify { index, priority, weight } => {
                if let Some(ticket) = pick(&model, index) {
                    line.reclassify(ticket, RequestUrgency::of_caller(priority.into()), weight.into());
                }
            }
            Command::EndRun { ms } => line.run_ended(ms.into(), TimePoint(now)),
            Command::Wait { ms } => now += u64::from(ms),
        }
        let due: Vec<QueueTicket> =
            model.iter().filter(|(_, entry)| entry.1 <= now).map(|(ticket, _)| *ticket).collect();
        for ticket in due {
            let request = model[&ticket].0.clone();
            match line.decide(ticket, outlook, TimePoint(now)) {
                LineDecision::Wait(until) if until.0 <= now || now >= request.deadline.0 => {
                    return Err(format!("{ticket:?} waits until {until:?} at {now}: {request:?}"));
                }
                LineDecision::Wait(until) => model.get_mut(&ticket).ok_or("it waits")?.1 = until.0,
                LineDecision::Refuse(_) => {
                    line.leave(ticket);
                    model.remove(&ticket);
                }
            }
        }
        let order: Vec<QueueTicket> = line.in_order().collect();
        let distinct: BTreeSet<QueueTicket> = order.iter().copied().collect();
        let names: BTreeSet<SharedName> = model.values().map(|(request, _)| request.organisation.clone()).collect();
        let is_same = distinct.len() == order.len() && distinct.iter().eq(model.keys()) && line.len() == model.len();
        if !is_same || line.backlogs().len() != names.len() {
            return Err(format!("{order:?} wait, expected {:?}", model.keys()));
        }
    }
    Ok(())
}

#[test]
fn no_waiting_request_is_lost_or_gets_two_slots() {
    sequence::check_count(0x11ee, 80, 3_000, check_against_model);
}
