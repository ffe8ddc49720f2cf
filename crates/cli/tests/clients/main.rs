//! Tests of clients that exhaust a process: they send ahead and read no answer. These tests have a target of their own, since no
//! other test may run beside them; each holds [`TEST_TURN`] while it runs.

// Shared with the target `processes`, which uses more of it.
#[allow(dead_code, unused_imports)]
#[path = "../processes/support/mod.rs"]
mod support;

mod crowd;
mod edge_crowds;
mod own_interface_crowds;

use tokio::sync::Mutex;

/// Held by the test that runs.
static TEST_TURN: Mutex<()> = Mutex::const_new(());
