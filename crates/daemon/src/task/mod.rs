//! Work that every daemon does all the time.

mod domain_duty;
mod duty_lease;
mod exchange_task;
mod listing_task;
mod order_book;
mod order_task;
mod periodic_actor;
mod usage_task;

pub use exchange_task::{ExchangeTask, answer_exchange, push_records};
pub use listing_task::ListingTask;
pub use order_task::OrderTask;
pub use periodic_actor::{PeriodicActor, PeriodicTask, StopMessage};
pub use usage_task::{UsageTask, sealed_reports};
