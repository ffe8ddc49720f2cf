//! In-process stand-ins for the platform's services and for upstreams, used by tests, the demo and benchmarks.
//!
//! Each stand-in serves HTTP at its own address. The key-value, engine and plain service stand-ins accept faults to
//! simulate by `PUT /standin/fault`, the platform stand-ins by method calls; [`TcpRelay`] simulates faults of the
//! network.

mod engine_fault;
mod engine_service;
mod engine_simulator;
mod kv_fault;
mod kv_service;
mod kv_store;
mod orders_service;
mod plain_fault;
mod plain_service;
mod platform;
mod recorded_request;
mod running;
mod slot_queue;
mod tcp_relay;
mod usage_service;
mod vms_service;

pub use engine_fault::EngineFault;
pub use engine_service::start_engine;
pub use engine_simulator::{EngineSettings, EngineSimulator};
pub use kv_fault::KvFault;
pub use kv_service::start_kv;
pub use kv_store::KvStore;
pub use orders_service::{OrderSettings, RecordedOrder, SpareUpstream, start_orders};
pub use plain_fault::PlainFault;
pub use plain_service::start_plain;
pub use platform::{
    PlatformProvider, PlatformStore, PlatformUpstream, PlatformUsageReport, RecordedCall, ScaleOrder, StoreContents,
    StoreFault, StoreView, UpstreamFault, UpstreamSettings,
};
pub use recorded_request::RecordedRequest;
pub use running::{Result, RunningStandin};
pub use tcp_relay::{RelayRule, TcpRelay};
pub use usage_service::{RecordedUsageReport, start_usage};
pub use vms_service::start_vms;
