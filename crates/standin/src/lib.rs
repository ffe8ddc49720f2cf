//! Small stand-ins for everything outside the service, for tests, the demo and measurements.
//!
//! Each one serves HTTP on an address of its own and takes faults by `PUT /standin/fault`.

mod engine_fault;
mod engine_model;
mod engine_service;
mod fleet;
mod kv_fault;
mod kv_service;
mod kv_store;
mod orders_service;
mod plain_fault;
mod plain_service;
mod running;
mod seen_request;
mod slot_queue;
mod tcp_relay;
mod usage_service;
mod vms_service;

pub use engine_fault::EngineFault;
pub use engine_model::{EngineModel, EngineShape};
pub use engine_service::engine;
pub use fleet::{
    FleetProvider, FleetSampler, FleetStore, SamplerFault, SamplerShape, ScaleOrder, SeenCall, StoreFault, StoreMemory,
    UsageReport,
};
pub use kv_fault::KvFault;
pub use kv_service::kv;
pub use kv_store::KvStore;
pub use orders_service::{OrderLog, OrderSettings, SpareUpstream, orders};
pub use plain_fault::PlainFault;
pub use plain_service::plain;
pub use running::{Result, RunningStandin};
pub use seen_request::SeenRequest;
pub use tcp_relay::{RelayRule, TcpRelay};
pub use usage_service::{UsageLog, usage};
pub use vms_service::vms;
