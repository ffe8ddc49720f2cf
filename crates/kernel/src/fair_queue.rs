//! Weighted fair queueing of requests between organisations, within classes of urgency.

use crate::{RequestUrgency, SharedName};
use std::collections::{BTreeMap, BTreeSet};

/// Identifies a queued request; numbered in order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueTicket(pub u64);

/// A request that is added to the queue.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// Organisation of the caller.
    pub organisation: SharedName,
    /// Weight of the organisation.
    pub weight: u64,
    /// Expected cost of the request.
    pub tokens: u64,
    /// Class of the request; more urgent ones are admitted first.
    pub urgency: RequestUrgency,
    /// Order among the requests of the organisation in the same class; equal ones are admitted in order of arrival.
    pub order: u64,
}

/// Requests of one organisation in a class.
#[derive(Clone, Debug, Default)]
struct OrganisationQueue {
    /// Virtual start time of its next request.
    start: u64,
    /// Weight of the organisation, as of its last request.
    weight: u64,
    /// Waiting requests by order, with their expected costs.
    waiting: BTreeMap<(u64, QueueTicket), u64>,
}

/// Requests of equal urgency.
#[derive(Clone, Debug, Default)]
struct UrgencyClass {
    /// Highest virtual start time among the admitted requests.
    virtual_now: u64,
    /// Admissions of other classes since requests wait here or one was last admitted.
    passed_over: u32,
    organisations: BTreeMap<SharedName, OrganisationQueue>,
}

/// Start-time fair queue: orders waiting requests by urgency and then by the virtual start time of their organisations,
/// so that the backlog of an organisation delays only its own requests.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    /// Number of the last ticket.
    last_ticket: u64,
    classes: BTreeMap<RequestUrgency, UrgencyClass>,
    /// Class, organisation and order of each waiting request.
    places: BTreeMap<QueueTicket, (RequestUrgency, SharedName, u64)>,
    /// Number of requests admitted by [`Self::admit`] that have not ended.
    running: usize,
}

/// Virtual time units per token at weight 1. The scale keeps the quotient above zero for small requests of
/// organisations with a high weight, so that they still advance virtual time.
const VIRTUAL_UNITS_PER_TOKEN: u64 = 1_000;
/// A class with waiting requests gets at least one in this many admissions, so that more urgent ones do not starve it.
const PASSED_OVER_MAX: u32 = 7;
/// Organisations without waiting requests that a class remembers.
const IDLE_ORGANISATIONS_MAX: usize = 1_024;

impl FairQueue {
    /// Adds a request of `organisation` with `weight` and an expected cost of `tokens`, of the highest urgency.
    /// Returns `None` if the organisation already has `depth_max` requests waiting.
    pub fn enqueue(
        &mut self,
        organisation: &SharedName,
        weight: u64,
        tokens: u64,
        depth_max: usize,
    ) -> Option<QueueTicket> {
        let urgency = RequestUrgency::of_caller(0);
        let organisation = organisation.clone();
        self.enqueue_request(QueuedRequest { organisation, weight, tokens, urgency, order: 0 }, depth_max)
    }

    /// Adds a request. Returns `None` if its organisation already has `depth_max` requests of the same urgency waiting.
    pub fn enqueue_request(&mut self, request: QueuedRequest, depth_max: usize) -> Option<QueueTicket> {
        if self.depth(request.urgency, &request.organisation) >= depth_max {
            return None;
        }
        self.last_ticket += 1;
        let ticket = QueueTicket(self.last_ticket);
        self.place(ticket, request);
        Some(ticket)
    }

    fn place(&mut self, ticket: QueueTicket, request: QueuedRequest) {
        let QueuedRequest { organisation, weight, tokens, urgency, order } = request;
        let class = self.classes.entry(urgency).or_default();
        if class.is_empty() {
            class.passed_over = 0;
        }
        if class.organisations.len() > IDLE_ORGANISATIONS_MAX {
            let virtual_now = class.virtual_now;
            class.organisations.retain(|_, queue| !queue.waiting.is_empty() || queue.start > virtual_now);
        }
        let queue = class.organisations.entry(organisation.clone()).or_default();
        if queue.waiting.is_empty() {
            queue.start = queue.start.max(class.virtual_now);
        }
        queue.weight = weight.max(1);
        queue.waiting.insert((order, ticket), tokens.max(1));
        self.places.insert(ticket, (urgency, organisation, order));
    }

    /// Corrects the organisation's virtual time once the actual cost of a request is known.
    pub fn adjust_cost(&mut self, organisation: &str, weight: u64, expected_tokens: u64, actual_tokens: u64) {
        let weight = weight.max(1);
        for queue in self.classes.values_mut().filter_map(|class| class.organisations.get_mut(organisation)) {
            queue.start = (queue.start + actual_tokens * VIRTUAL_UNITS_PER_TOKEN / weight)
                .saturating_sub(expected_tokens * VIRTUAL_UNITS_PER_TOKEN / weight);
        }
    }

    /// Moves a waiting request to the class `urgency`; it keeps its order there.
    pub fn reclassify(&mut self, ticket: QueueTicket, urgency: RequestUrgency, weight: u64) {
        let Some((_, organisation, order)) = self.places.get(&ticket).cloned() else { return };
        let Some((tokens, _)) = self.remove(ticket) else { return };
        self.place(ticket, QueuedRequest { organisation, weight, tokens, urgency, order });
    }

    /// Puts a waiting request before those of its organisation and class that are not put first, whatever their order.
    pub fn put_first(&mut self, ticket: QueueTicket) {
        let Some((urgency, organisation, order)) = self.places.get_mut(&ticket) else { return };
        let queue = self.classes.get_mut(urgency).and_then(|class| class.organisations.get_mut(organisation));
        let Some(queue) = queue else { return };
        if let Some(tokens) = queue.waiting.remove(&(*order, ticket)) {
            *order = 0;
            queue.waiting.insert((0, ticket), tokens);
        }
    }

    /// Admits the next waiting request. Returns `None` if `running_max` requests are running or none is waiting.
    pub fn admit(&mut self, running_max: usize) -> Option<QueueTicket> {
        if self.running >= running_max {
            return None;
        }
        let ticket = self.in_order().next()?;
        self.admit_ticket(ticket);
        self.running += 1;
        Some(ticket)
    }

    /// Removes the waiting request `ticket` and charges it to its organisation, also if it is not the next one. It is not
    /// counted as running.
    pub fn admit_ticket(&mut self, ticket: QueueTicket) {
        let Some((urgency, organisation, _)) = self.places.get(&ticket).cloned() else { return };
        let Some((tokens, start)) = self.remove(ticket) else { return };
        for (class_urgency, class) in &mut self.classes {
            class.passed_over = if *class_urgency == urgency { 0 } else { class.passed_over.saturating_add(1) };
        }
        if let Some(class) = self.classes.get_mut(&urgency) {
            class.virtual_now = class.virtual_now.max(start);
            if let Some(queue) = class.organisations.get_mut(&organisation) {
                queue.start = start + tokens * VIRTUAL_UNITS_PER_TOKEN / queue.weight;
            }
        }
    }

    /// The waiting requests in the order in which they would be admitted, if no other one arrived.
    pub fn in_order(&self) -> impl Iterator<Item = QueueTicket> + '_ {
        let overdue =
            self.classes.iter().filter(|(_, class)| class.passed_over >= PASSED_OVER_MAX && !class.is_empty());
        // Of classes that were passed over equally often, the more urgent one is first.
        let overdue = overdue.max_by_key(|(urgency, class)| (class.passed_over, std::cmp::Reverse(**urgency)));
        let first = overdue.map(|(urgency, _)| *urgency);
        let others = self.classes.iter().filter(move |(urgency, _)| Some(**urgency) != first);
        let classes = first.and_then(|urgency| self.classes.get(&urgency)).into_iter();
        classes.chain(others.map(|(_, class)| class)).flat_map(UrgencyClass::in_order)
    }

    /// Removes a waiting request, which is not charged to its organisation.
    pub fn cancel(&mut self, ticket: QueueTicket) {
        self.remove(ticket);
    }

    /// Frees the slot of an admitted request that ended.
    pub fn release(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether no request is waiting.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Number of waiting requests of `organisation` in the class `urgency`.
    #[must_use]
    pub fn depth(&self, urgency: RequestUrgency, organisation: &str) -> usize {
        let queue = self.classes.get(&urgency).and_then(|class| class.organisations.get(organisation));
        queue.map_or(0, |queue| queue.waiting.len())
    }

    /// Number of requests that are ahead of `ticket` among those of its organisation and class.
    #[must_use]
    pub fn own_ahead(&self, ticket: QueueTicket) -> usize {
        let Some((urgency, organisation, order)) = self.places.get(&ticket) else { return 0 };
        let queue = self.classes.get(urgency).and_then(|class| class.organisations.get(organisation));
        queue.map_or(0, |queue| queue.waiting.range(..(*order, ticket)).count())
    }

    /// Organisations with waiting requests in any class: urgency, name, weight and number of requests.
    pub fn backlogs(&self) -> impl Iterator<Item = (RequestUrgency, &SharedName, u64, usize)> {
        self.classes.iter().flat_map(|(urgency, class)| {
            let waiting = class.organisations.iter().filter(|(_, queue)| !queue.waiting.is_empty());
            waiting.map(|(name, queue)| (*urgency, name, queue.weight, queue.waiting.len()))
        })
    }

    /// Removes a waiting request. Returns its expected cost and the virtual start time of its organisation.
    fn remove(&mut self, ticket: QueueTicket) -> Option<(u64, u64)> {
        let (urgency, organisation, order) = self.places.remove(&ticket)?;
        let queue = self.classes.get_mut(&urgency)?.organisations.get_mut(&organisation)?;
        let tokens = queue.waiting.remove(&(order, ticket))?;
        Some((tokens, queue.start))
    }
}

impl UrgencyClass {
    fn is_empty(&self) -> bool {
        self.organisations.values().all(|queue| queue.waiting.is_empty())
    }

    /// The waiting requests of the class in the order of admission.
    fn in_order(&self) -> impl Iterator<Item = QueueTicket> + '_ {
        // Organisations with equal virtual times take turns by the arrival of their first requests.
        let mut heads = BTreeSet::new();
        for (name, queue) in &self.organisations {
            if let Some(((_, ticket), _)) = queue.waiting.first_key_value() {
                heads.insert((queue.start, *ticket, name));
            }
        }
        let mut iterators: BTreeMap<&SharedName, _> =
            heads.iter().map(|(_, _, name)| (*name, self.organisations[*name].waiting.iter().peekable())).collect();
        std::iter::from_fn(move || {
            let (start, ticket, name) = heads.pop_first()?;
            let waiting = iterators.get_mut(name)?;
            let (_, tokens) = waiting.next()?;
            if let Some(((_, next_ticket), _)) = waiting.peek() {
                let next_start = start + tokens * VIRTUAL_UNITS_PER_TOKEN / self.organisations[name].weight;
                heads.insert((next_start, *next_ticket, name));
            }
            Some(ticket)
        })
    }
}
