//! Messages between daemons.

mod claim;
mod exchange;
mod forward;
mod job_push;
mod usage_totals;

pub use claim::{ClaimRequest, ClaimResponse, SettleRequest, SettleState, StoredAnswer};
pub use exchange::{ExchangeAnswer, ExchangeRequest, MemberBody};
pub use forward::{ForwardAnswer, ForwardRequest};
pub use job_push::JobPush;
pub use usage_totals::{TotalsAnswer, TotalsLine};
