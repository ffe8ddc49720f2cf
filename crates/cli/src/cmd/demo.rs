//! `pimentoslip demo`

use crate::{CliResult, demo, util};
use clap::{ArgMatches, Command};

/// Adds no flags.
pub fn with_flags(command: Command) -> Command {
    command
}

/// Runs the whole path in this process and says what happened.
pub fn run(_args: &ArgMatches) -> CliResult<()> {
    pimentoslip_daemon::disable_logs();
    util::block_on(demo::run())
}
