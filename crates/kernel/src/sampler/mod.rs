//! Samplers: upstreams that register with the platform and generate texts, score them or serve other requests. Keeps
//! their list and load, and selects one for each request.

mod evacuation_table;
mod leaving_processes;
mod sampler_entry;
mod sampler_query;
mod sampler_record;
mod sampler_table;
mod text_cost;
mod withhold_reason;

pub use evacuation_table::EvacuationTable;
pub use sampler_query::{CapacityNeed, PermitNeed, SamplerQuery};
pub use sampler_record::{SamplerRecord, SamplerState};
pub use sampler_table::{SamplerOutcome, SamplerTable};
pub use withhold_reason::WithholdReason;
