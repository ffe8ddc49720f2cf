//! Messages between daemons.

mod changes;
mod claim;
mod crash_mark;
mod exchange;
mod forward;
mod job_push;
mod job_read;
mod permit;
mod reach;
mod relayed_call;
mod run_report;
mod streams;
mod usage_push;
mod usage_totals;

pub use changes::{ChangeBody, ChangesRequest, ChangesResponse, EntryBody, LapseBody, OutageBody};
pub use claim::{ClaimRequest, ClaimResponse, SettleRequest, SettleState, StoredResponse};
pub use crash_mark::{CrashMarkBody, CrashPush};
pub use exchange::{ExchangeRequest, ExchangeResponse, MemberBody};
pub use forward::{ForwardRequest, ForwardResponse};
pub use job_push::JobPush;
pub use job_read::{ItemRequest, ItemResponse, ResultsRequest, ResultsResponse};
pub use permit::{AnswerBody, AskBody, ObservationBody, PermitRequest, PermitResponse, UrgencyTimeBody, WantBody};
pub use reach::{ReachRequest, ReachResponse};
pub use relayed_call::{
    HeaderBody, RELAY_ANSWERED, RELAY_RESULT_HEADER, RELAY_UNMEASURED_HEADER, RelaySender, RelayedCall,
};
pub use run_report::RunReport;
pub use streams::{StreamBody, StreamsRequest, StreamsResponse};
pub use usage_push::UsagePush;
pub use usage_totals::{TotalsLine, TotalsResponse};
