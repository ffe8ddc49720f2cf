//! Contracts of the platform's interfaces. They run against the stand-ins, or against another
//! implementation named by `PIMENTOSLIP_CONTRACT_KV`, `_ORDERS`, `_USAGE` or `_VMS` (`ip:port`).

mod key_value;
mod provider;

use pimentoslip_standin::{Result, RunningStandin};
use std::sync::Arc;

/// Address of the interface called `name`, or of a stand-in started now.
fn endpoint(name: &str, standin: impl FnOnce() -> Result<RunningStandin>) -> Arc<str> {
    match std::env::var(format!("PIMENTOSLIP_CONTRACT_{name}")) {
        Ok(address) => address.into(),
        Err(_) => standin().expect("a stand-in").spawn().0.to_string().into(),
    }
}
