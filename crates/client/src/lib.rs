//! Clients of the platform's interfaces, and the clock for leases and deadlines.

mod call_timeout;
mod connection_reaper;
mod crash_probe;
mod deadline_body;
mod etcd_client;
mod exchange_log;
mod head_fields;
mod http_client;
mod key_value_client;
mod lease_clock;
mod platform_error;
mod provider_client;
mod response_head;
mod strict_stream;

pub use call_timeout::CallTimeout;
pub use crash_probe::{is_refusing_connections, probe_after_loss, probe_connection};
pub use deadline_body::DeadlineBody;
pub use etcd_client::EtcdClient;
pub use exchange_log::{ExchangeLog, RepeatedRequest};
pub use http_client::{client_with_tcp_user_timeout, is_unsent, plain_client, plain_upstream_client, upstream_client};
pub use key_value_client::KeyValueClient;
pub use lease_clock::LeaseClock;
pub use platform_error::{PlatformError, Result};
pub use provider_client::ProviderClient;
pub use response_head::ResponseHead;
