//! HTTP listeners whose clients use bounded memory and descriptors.

mod answer_body;
mod buffer_budget;
mod charged_body;
mod client_connection;
mod client_stream;
mod client_table;
mod client_watch;
mod http_listener;
mod listener_limits;
mod request_body;

pub use buffer_budget::{BufferBudget, BufferShare};
pub use charged_body::ChargedBody;
pub use client_watch::ClientWatch;
pub use http_listener::{HttpListener, LimitObserver, ListenerOptions};
pub use listener_limits::ListenerLimits;
