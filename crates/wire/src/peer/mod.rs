//! Messages between daemons.

mod claim;
mod exchange;
mod forward;
mod job_push;
mod job_read;
mod news;
mod run_report;
mod usage_push;
mod usage_totals;

pub use claim::{ClaimRequest, ClaimResponse, SettleRequest, SettleState, StoredAnswer};
pub use exchange::{ExchangeAnswer, ExchangeRequest, MemberBody};
pub use forward::{ForwardAnswer, ForwardRequest};
pub use job_push::JobPush;
pub use job_read::{ItemAnswer, ItemRequest, ResultsAnswer, ResultsRequest};
pub use news::{NewsAnswer, NewsChange, NewsEntry, NewsRequest};
pub use run_report::RunReport;
pub use usage_push::UsagePush;
pub use usage_totals::{TotalsAnswer, TotalsLine};
