//! Messages between daemons.

mod claim;
mod exchange;
mod forward;
mod usage_totals;

pub use claim::{ClaimRequest, ClaimResponse, SettleRequest, SettleState, StoredAnswer};
pub use exchange::{ExchangeAnswer, ExchangeRequest, MemberBody};
pub use forward::{ForwardAnswer, ForwardRequest};
pub use usage_totals::{TotalsAnswer, TotalsLine};
