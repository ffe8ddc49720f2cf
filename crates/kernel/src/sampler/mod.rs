//! Upstreams that register themselves, and the choice among them.

mod sampler_record;
mod sampler_table;

pub use sampler_record::{SamplerRecord, SamplerState};
pub use sampler_table::{CapacityNeed, SamplerOutcome, SamplerQuery, SamplerTable};
