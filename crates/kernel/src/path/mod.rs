//! Paths to what a daemon calls: direct, or relayed through a peer that reaches it.

mod path_selector;
mod path_table;
mod peer_contact;
mod relay_peer;
mod replay_window;
mod service_path;

pub use path_selector::PathSelector;
pub use path_table::{DirectLoss, PEERS_ASKED, PathGain, PathProbe, PathQuery, PathTable, PathVerdict, RelayState};
pub use peer_contact::PeerCheck;
pub use relay_peer::{RelayFailure, RelayPeer};
pub use replay_window::ReplayWindow;
pub use service_path::ServicePath;
