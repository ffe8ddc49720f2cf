//! Line of the requests that wait for a slot of one service.

use super::{
    LineDecision, LineRefusal, LineRequest, RefusalCause, RoomOutlook, RunPace, WaitEstimate, entry_meter::EntryMeter,
};
use crate::{FairQueue, QueueTicket, QueuedRequest, RequestUrgency, SharedName, TimePoint};
use std::collections::BTreeMap;

/// Rounds in which the expected wait is found, which depends on the requests that arrive during it.
const ESTIMATE_ROUNDS: usize = 6;
/// Turns that more urgent requests take at most for one of this class; see the share of a class in [`FairQueue`].
const URGENT_TURNS_MAX: u64 = 7;
/// Callers wait for the time named in a refusal up to their time left divided by this.
const RETURN_DIVISOR: u64 = 3;
const MICROSECONDS_PER_MS: u64 = 1_000;
/// Organisations and classes whose entries are counted.
const METERS_MAX: usize = 4_096;

/// Bounds of a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LineBounds {
    /// Most requests that wait.
    pub length_max: usize,
    /// Most memory in bytes that the waiting requests hold.
    pub bytes_max: usize,
}

/// A waiting request.
#[derive(Clone, Debug)]
struct Waiter {
    request: LineRequest,
    entered_at: TimePoint,
    /// Whether the request is no longer refused because of the expected wait.
    is_kept: bool,
}

/// Requests that wait for a slot of one service, in the order in which they get it.
#[derive(Clone, Debug)]
pub struct WaitingLine {
    bounds: LineBounds,
    queue: FairQueue,
    waiters: BTreeMap<QueueTicket, Waiter>,
    bytes: usize,
    /// When the line was last empty.
    busy_since: TimePoint,
    pace: RunPace,
    /// Entries by class and organisation.
    meters: BTreeMap<(RequestUrgency, SharedName), EntryMeter>,
    /// When the last refused request of a class and organisation returns.
    returns: BTreeMap<(RequestUrgency, SharedName), TimePoint>,
}

impl WaitingLine {
    /// Creates an empty line.
    #[must_use]
    pub fn new(bounds: LineBounds) -> Self {
        Self {
            bounds,
            queue: FairQueue::default(),
            waiters: BTreeMap::new(),
            bytes: 0,
            busy_since: TimePoint(0),
            pace: RunPace::default(),
            meters: BTreeMap::new(),
            returns: BTreeMap::new(),
        }
    }

    /// Adds a request, unless it would begin too late or the line is full. The caller must let [`Self::decide`] decide on
    /// it at the returned time, and report how it leaves.
    pub fn enter(
        &mut self,
        request: LineRequest,
        outlook: RoomOutlook,
        now: TimePoint,
    ) -> Result<(QueueTicket, TimePoint), LineRefusal> {
        if self.waiters.is_empty() {
            self.busy_since = now;
            self.meters.retain(|_, meter| !meter.is_idle(now));
            self.returns.retain(|_, returns_at| *returns_at > now);
        }
        self.count_entry(&request, now);
        let bytes = self.bytes.saturating_add(request.bytes);
        if self.waiters.len() >= self.bounds.length_max || bytes > self.bounds.bytes_max {
            return Err(self.full(&request, outlook, now));
        }
        let queued = QueuedRequest {
            organisation: request.organisation.clone(),
            weight: request.weight,
            tokens: request.cost,
            urgency: request.urgency,
            order: request.first_sent_at.0.max(1),
        };
        let Some(ticket) = self.queue.enqueue_request(queued, request.depth_max) else {
            return Err(self.full(&request, outlook, now));
        };
        self.bytes = bytes;
        self.waiters.insert(ticket, Waiter { request, entered_at: now, is_kept: false });
        match self.decide(ticket, outlook, now) {
            LineDecision::Wait(until) => Ok((ticket, until)),
            LineDecision::Refuse(refusal) => {
                self.leave(ticket);
                Err(refusal)
            }
        }
    }

    /// Decides whether the request `ticket` waits on. A refused one is still to be removed with [`Self::leave`].
    pub fn decide(&mut self, ticket: QueueTicket, outlook: RoomOutlook, now: TimePoint) -> LineDecision {
        let Some(waiter) = self.waiters.get(&ticket) else { return LineDecision::Wait(now) };
        let request = waiter.request.clone();
        let refuse = |cause, returns_at, estimate| LineDecision::Refuse(LineRefusal { cause, returns_at, estimate });
        if now >= request.deadline {
            return refuse(RefusalCause::DeadlinePassed, None, None);
        }
        if waiter.is_kept {
            return LineDecision::Wait(request.deadline);
        }
        let estimate = match outlook {
            RoomOutlook::SlotsInUse { running } => self.estimate(&request, self.queue.own_ahead(ticket), running, now),
            RoomOutlook::Refused { .. } | RoomOutlook::Unknown => None,
        };
        if let Some(estimate) = estimate {
            if estimate.begins_at > self.latest_begin(&request) {
                let returns_at = self.return_time(&request, estimate, now);
                return refuse(RefusalCause::TooLate, Some(returns_at), Some(estimate));
            }
            if now < request.decided_at {
                return LineDecision::Wait(request.decided_at.min(request.deadline));
            }
            if let Some(waiter) = self.waiters.get_mut(&ticket) {
                waiter.is_kept = true;
            }
            // Older requests that arrive later would make it late.
            self.queue.put_first(ticket);
            return LineDecision::Wait(request.deadline);
        }
        let refused_until = match outlook {
            RoomOutlook::Refused { until } => Some(until),
            RoomOutlook::SlotsInUse { .. } | RoomOutlook::Unknown => None,
        };
        if now >= request.decided_at && refused_until.is_some_and(|until| until > request.waits_until) {
            return refuse(RefusalCause::UpstreamsFull, refused_until, None);
        }
        if now >= request.waits_until {
            return refuse(RefusalCause::NoOutlook, refused_until, None);
        }
        let next = if now < request.decided_at { request.decided_at } else { request.waits_until };
        LineDecision::Wait(next.min(request.waits_until).min(request.deadline))
    }

    /// The waiting requests in the order in which a freed slot is offered to them.
    pub fn in_order(&self) -> impl Iterator<Item = QueueTicket> + '_ {
        self.queue.in_order()
    }

    /// Removes the request `ticket`, which gets a slot.
    pub fn admit(&mut self, ticket: QueueTicket) {
        self.queue.admit_ticket(ticket);
        self.remove_waiter(ticket);
    }

    /// Removes the request `ticket`, which gets no slot.
    pub fn leave(&mut self, ticket: QueueTicket) {
        self.queue.cancel(ticket);
        self.remove_waiter(ticket);
    }

    /// Moves the request `ticket` to another class or weight; it keeps its age.
    pub fn reclassify(&mut self, ticket: QueueTicket, urgency: RequestUrgency, weight: u64) {
        let Some(waiter) = self.waiters.get_mut(&ticket) else { return };
        if (waiter.request.urgency, waiter.request.weight) == (urgency, weight) {
            return;
        }
        (waiter.request.urgency, waiter.request.weight) = (urgency, weight);
        self.queue.reclassify(ticket, urgency, weight);
    }

    /// Records the end of a run at an upstream of the service; see [`RunPace::run_ended`].
    pub fn run_ended(&mut self, run_ms: u64, now: TimePoint) {
        self.pace.run_ended(run_ms, now);
    }

    /// Corrects the cost of an admitted request; see [`FairQueue::adjust_cost`].
    pub fn adjust_cost(&mut self, organisation: &str, weight: u64, expected_cost: u64, actual_cost: u64) {
        self.queue.adjust_cost(organisation, weight, expected_cost, actual_cost);
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Mean run time of the service in milliseconds; `None` before the first completed run.
    #[must_use]
    pub fn mean_run_ms(&self) -> Option<u64> {
        self.pace.mean_run_ms()
    }

    /// When the request that has waited longest entered the line.
    #[must_use]
    pub fn oldest_entry(&self) -> Option<TimePoint> {
        self.waiters.values().map(|waiter| waiter.entered_at).min()
    }

    /// Number of waiting requests by organisation, the longest backlog first.
    #[must_use]
    pub fn backlogs(&self) -> Vec<(SharedName, usize)> {
        let mut depths: BTreeMap<&SharedName, usize> = BTreeMap::new();
        for (_, name, _, depth) in self.queue.backlogs() {
            *depths.entry(name).or_default() += depth;
        }
        let mut backlogs: Vec<_> = depths.into_iter().map(|(name, depth)| (name.clone(), depth)).collect();
        backlogs.sort_by_key(|(_, depth)| std::cmp::Reverse(*depth));
        backlogs
    }

    /// Refusal of a request for which the line has no place.
    fn full(&mut self, request: &LineRequest, outlook: RoomOutlook, now: TimePoint) -> LineRefusal {
        let estimate = match outlook {
            RoomOutlook::SlotsInUse { running } => {
                let own_depth = self.queue.depth(request.urgency, &request.organisation);
                self.estimate(request, own_depth, running, now)
            }
            RoomOutlook::Refused { .. } | RoomOutlook::Unknown => None,
        };
        let returns_at = estimate.map(|estimate| self.return_time(request, estimate, now));
        LineRefusal { cause: RefusalCause::LineFull, returns_at, estimate }
    }

    fn remove_waiter(&mut self, ticket: QueueTicket) {
        if let Some(waiter) = self.waiters.remove(&ticket) {
            self.bytes = self.bytes.saturating_sub(waiter.request.bytes);
        }
    }

    fn count_entry(&mut self, request: &LineRequest, now: TimePoint) {
        if self.meters.len() >= METERS_MAX {
            self.meters.retain(|_, meter| !meter.is_idle(now));
            self.returns.retain(|_, returns_at| *returns_at > now);
        }
        let key = (request.urgency, request.organisation.clone());
        if self.meters.len() < METERS_MAX || self.meters.contains_key(&key) {
            self.meters.entry(key).or_default().count(now);
        }
    }

    /// Latest time at which `request` may begin to end in time. A request whose run takes longer than its time may begin
    /// until the time for which it waits without an outlook.
    fn latest_begin(&self, request: &LineRequest) -> TimePoint {
        let run_ms = self.pace.mean_run_ms().unwrap_or(0);
        request.useful_until.min(request.deadline).minus_ms(run_ms).max(request.waits_until.min(request.deadline))
    }

    /// When `request` begins with `own_ahead` requests of its organisation ahead of it. `None` before the first run.
    fn estimate(&self, request: &LineRequest, own_ahead: usize, running: u64, now: TimePoint) -> Option<WaitEstimate> {
        let interval_us = self.pace.interval_us(running, self.busy_since, now)?;
        let mut wait_us = interval_us;
        let mut turns_ahead = 0;
        for _ in 0..ESTIMATE_ROUNDS {
            turns_ahead = self.turns_ahead(request, own_ahead, wait_us / MICROSECONDS_PER_MS, now);
            let next_us = interval_us.saturating_mul(turns_ahead + 1);
            if next_us <= wait_us {
                break;
            }
            wait_us = next_us;
        }
        let begins_at = now.plus_ms(interval_us.saturating_mul(turns_ahead + 1) / MICROSECONDS_PER_MS);
        Some(WaitEstimate { turns_ahead, interval_us, begins_at })
    }

    /// Slots that other requests get before `request`, if it waits for `wait_ms`.
    fn turns_ahead(&self, request: &LineRequest, own_ahead: usize, wait_ms: u64, now: TimePoint) -> u64 {
        let own_turns = own_ahead as u64 + 1;
        let (mut peer_turns, mut urgent_turns) = (0_u64, 0_u64);
        let mut lower_turns: BTreeMap<RequestUrgency, u64> = BTreeMap::new();
        let mut add = |urgency: RequestUrgency, organisation: &SharedName, weight: u64, requests: u64| {
            if urgency < request.urgency {
                urgent_turns += requests;
            } else if urgency == request.urgency && *organisation != request.organisation {
                peer_turns += requests.min(own_turns * weight.max(1) / request.weight.max(1));
            } else if urgency > request.urgency {
                *lower_turns.entry(urgency).or_default() += requests;
            }
        };
        let mut waiting: BTreeMap<(RequestUrgency, &SharedName), (u64, u64)> = BTreeMap::new();
        for (urgency, organisation, weight, depth) in self.queue.backlogs() {
            waiting.insert((urgency, organisation), (weight, depth as u64));
        }
        for ((urgency, organisation), meter) in &self.meters {
            let (weight, depth) = waiting.remove(&(*urgency, organisation)).unwrap_or((1, 0));
            add(*urgency, organisation, weight, depth + meter.expected(wait_ms, now));
        }
        for ((urgency, organisation), (weight, depth)) in waiting {
            add(urgency, organisation, weight, depth);
        }
        let class_turns = own_turns + peer_turns;
        let lower_turns = lower_turns.into_values().map(|turns| turns.min(class_turns / URGENT_TURNS_MAX));
        class_turns - 1 + urgent_turns.min(class_turns * URGENT_TURNS_MAX) + lower_turns.sum::<u64>()
    }

    /// When a refused request is to return: when it would be let in, and after those of its organisation that were refused
    /// before, as far as its caller waits that long.
    fn return_time(&mut self, request: &LineRequest, estimate: WaitEstimate, now: TimePoint) -> TimePoint {
        let late_ms = estimate.begins_at.since_ms(self.latest_begin(request));
        let earliest = now.plus_ms(late_ms);
        let latest = now.plus_ms(request.deadline.since_ms(now) / RETURN_DIVISOR).max(earliest);
        let own_turns = self.queue.depth(request.urgency, &request.organisation) as u64 + 1;
        let turn_ms = (estimate.interval_us * (estimate.turns_ahead + 1) / own_turns / MICROSECONDS_PER_MS).max(1);
        let last = self.returns.entry((request.urgency, request.organisation.clone())).or_default();
        let next = last.plus_ms(turn_ms).max(earliest);
        // Later ones would not come at their time, and take the first places of the span again.
        *last = if next <= latest { next } else { earliest };
        *last
    }
}
