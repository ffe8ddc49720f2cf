//! Background tasks of a daemon: discovery, exchange with peers, and the duties that it may hold.

mod discovery_task;
mod domain_duty;
mod duty_lease;
mod exchange_task;
mod order_sender;
mod order_task;
mod periodic_actor;
mod usage_task;

pub use discovery_task::DiscoveryTask;
pub use exchange_task::{ExchangeTask, PeerUpdate, answer_exchange, push_update};
pub use order_task::OrderTask;
pub use periodic_actor::{PeriodicActor, PeriodicTask, StopMessage};
pub use usage_task::{UsageTask, sealed_reports};
