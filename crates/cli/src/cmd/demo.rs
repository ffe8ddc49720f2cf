//! `pimentoslip demo`: runs the demo.

use crate::{CliResult, demo, util};
use clap::{ArgMatches, Command};

/// Returns `command` unchanged: the demo has no arguments.
pub fn with_flags(command: Command) -> Command {
    command
}

/// Runs the demo in this process and prints the outcome of its checks. Logs are disabled to keep the output readable.
pub fn run(_args: &ArgMatches) -> CliResult<()> {
    pimentoslip_daemon::disable_logs();
    util::block_on(demo::run())
}
