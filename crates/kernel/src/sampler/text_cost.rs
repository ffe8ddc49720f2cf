//! Cost of an upstream for a text of a batch job, by when the text would be complete there.
//!
//! Load: a step whose longest texts take nearly all the time until it is due. Its items start in descending order of length, so
//! that the longest ones get the fastest upstreams and the short ones, which have time, the slower ones. An upstream generates
//! the texts of all its slots together, so that its speed counts for more than how many of its slots are used.

/// By how much an upstream that uses all its slots is slower than an idle one, in percent: some of its time for each event goes
/// to reading prompts and to longer batches.
const FULL_SLOWDOWN_PERCENT: u64 = 8;
/// Cost of an upstream in another failure domain, in percent of the time for an event. Decides between equally fast ones only.
const OTHER_DOMAIN_PERCENT: u64 = 2;

/// Cost of an upstream that takes `latency_ms` for an event, with `load` requests on `slots` slots.
pub(super) fn text_cost(latency_ms: u64, load: u64, slots: u64, is_other_domain: bool) -> u64 {
    let slots = slots.max(1);
    let load_cost = FULL_SLOWDOWN_PERCENT.saturating_mul(load.saturating_add(1));
    let base_percent = 100 + if is_other_domain { OTHER_DOMAIN_PERCENT } else { 0 };
    let slowdown = base_percent.saturating_mul(slots).saturating_add(load_cost);
    latency_ms.saturating_mul(slowdown).saturating_mul(10) / slots
}
