//! Requirements of a request on the upstream that is selected for it.

use super::sampler_entry::SamplerEntry;
use crate::{HomeRegions, RequestUrgency, SharedName, TimePoint};

/// One slot in this many is reserved for interactive requests, whose callers wait for the response.
const RESERVED_SLOTS_DIVISOR: u64 = 3;

/// Capacity that an upstream must have for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CapacityNeed {
    /// None: the request may be queued at the upstream.
    Queue,
    /// A slot that no request of this daemon uses; the requests of other daemons do not count, since this daemon does not
    /// see their ends. Upstreams that serve models need none, as they order requests themselves.
    OwnSlot,
    /// At least one free slot.
    FreeSlot,
    /// At least one free slot, for a long text: the upstream at which it would be complete first is preferred to one with fewer
    /// requests.
    TextSlot,
    /// A free slot beyond those reserved for interactive requests. Used for scoring: at the end of a step hundreds of
    /// scoring requests are sent at once, to upstreams that also serve interactive requests such as price quotes.
    SpareSlot,
}

impl CapacityNeed {
    /// Whether the upstream of `entry` has the capacity.
    pub(super) fn is_met(self, entry: &SamplerEntry, now: TimePoint) -> bool {
        let slots = entry.record.slots;
        match self {
            Self::Queue => true,
            Self::OwnSlot => entry.inflight < slots.max(1) || !entry.record.versions.is_empty(),
            Self::FreeSlot | Self::TextSlot => entry.load(now) < slots,
            Self::SpareSlot => entry.load(now) < slots - slots / RESERVED_SLOTS_DIVISOR,
        }
    }
}

/// Requirements of a request on its upstream.
#[derive(Clone, Copy, Debug)]
pub struct SamplerQuery<'a> {
    /// Service that the request is for.
    pub service: &'a str,
    /// Model that the request needs, and the oldest acceptable version of its weights.
    pub model: Option<(&'a str, u64)>,
    /// Version of the software that the upstream must have, to continue what it generated; `None` for any.
    pub software: Option<&'a str>,
    /// Failure domain of the daemon, whose upstreams are preferred.
    pub failure_domain: &'a str,
    /// Regions in which the upstream must be; `None` for any.
    pub homes: Option<&'a HomeRegions>,
    /// Ids of upstreams that must not be selected, such as those already tried.
    pub excluded: &'a [SharedName],
    /// Capacity that the upstream must have.
    pub capacity: CapacityNeed,
    /// Key that selects among upstreams of equal cost; requests with the same key prefer the same upstream.
    pub affinity: &'a str,
    /// Need of permits, at upstreams that name a limit.
    pub permits: PermitNeed,
}

/// Need of permits for requests to upstreams that name a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PermitNeed {
    /// Urgency of the requests.
    pub urgency: RequestUrgency,
    /// Number of requests that wait for an upstream, this one included.
    pub count: u32,
    /// Time until which they can wait for a permit.
    pub useful_until: TimePoint,
    /// Time until which they wait for a permit rather than use an upstream with a longer expected wait.
    pub preferred_until: TimePoint,
}

impl PermitNeed {
    /// Need of a query that selects no upstream.
    pub const NONE: Self =
        Self { urgency: RequestUrgency::LEAST, count: 0, useful_until: TimePoint(0), preferred_until: TimePoint(0) };
}
