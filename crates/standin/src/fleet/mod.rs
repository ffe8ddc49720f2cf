//! Stand-ins that speak the users' platform's protocol: store, upstreams, and the interface for usage reports.

mod fleet_provider;
mod fleet_sampler;
mod fleet_store;
mod store_memory;

pub use fleet_provider::{FleetProvider, ScaleOrder, UsageReport};
pub use fleet_sampler::{FleetSampler, SamplerFault, SamplerShape, SeenCall};
pub use fleet_store::{FleetStore, StoreFault};
pub use store_memory::StoreMemory;
