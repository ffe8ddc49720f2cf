//! Request limits that upstreams name in their responses, and the rates that cold upstreams bear. Each limit holds for all daemons together: one daemon, the
//! upstream's coordinator, grants permits at the rate of the limit, and a request to the upstream needs one.

mod cold_period;
mod cold_rule;
mod coordinator_table;
mod grant_shares;
mod grant_table;
mod limit_observation;
mod permit_answer;
mod permit_ask;
mod permit_pool;
mod rate_limit;
mod rate_share;
mod request_urgency;

pub use cold_period::ColdPeriod;
pub use cold_rule::{ColdAllowance, ColdRule};
pub use coordinator_table::CoordinatorTable;
pub use grant_shares::GrantShares;
pub use grant_table::GrantTable;
pub use limit_observation::LimitObservation;
pub use permit_answer::{GrantedPermit, PermitAnswer};
pub use permit_ask::{PermitAsk, PermitWant};
pub use permit_pool::PermitPool;
pub use rate_limit::{InvalidRate, RateLimit};
pub use rate_share::RateShare;
pub use request_urgency::RequestUrgency;
