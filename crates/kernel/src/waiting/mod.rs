//! Requests that wait for room at the upstreams of a service: their order, and which of them are refused.

mod entry_meter;
mod line_decision;
mod line_request;
mod room_outlook;
mod run_pace;
mod waiting_line;

pub use line_decision::{LineDecision, LineRefusal, RefusalCause, WaitEstimate};
pub use line_request::LineRequest;
pub use room_outlook::RoomOutlook;
pub use run_pace::RunPace;
pub use waiting_line::{LineBounds, WaitingLine};
