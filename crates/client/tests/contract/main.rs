//! Contract tests of the platform's interfaces. They run against the stand-ins, or against another implementation if
//! its address (`ip:port`) is set in `PIMENTOSLIP_CONTRACT_KV`, `_ORDERS`, `_USAGE` or `_VMS`.

mod key_value;
mod provider;

use pimentoslip_standin::{Result, RunningStandin};
use std::sync::Arc;

/// Address of the implementation set for `name`, or of a stand-in that is started now.
fn endpoint(name: &str, standin: impl FnOnce() -> Result<RunningStandin>) -> Arc<str> {
    match std::env::var(format!("PIMENTOSLIP_CONTRACT_{name}")) {
        Ok(address) => address.into(),
        Err(_) => standin().expect("a stand-in").spawn().0.to_string().into(),
    }
}
