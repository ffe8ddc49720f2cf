//! Commands of `pimentoslip`, the operators' command line.

mod admin_client;
mod cli_error;
pub mod cmd;
mod connection_args;
mod demo;
mod util;

pub use cli_error::{CliError, CliResult};
