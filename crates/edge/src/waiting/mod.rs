//! Requests that wait for room at an upstream.

mod line_directory;
mod line_seat;
mod line_task;
mod room_wait;
mod service_line;

pub use line_directory::LineDirectory;
pub use line_task::hand_over_slots;
pub use room_wait::{WaitTerms, early_refusal, wait_for_room};
