//! `pimentoslip load`: filled in by the measurement tool.
use crate::CliResult;
use clap::{ArgMatches, Command};

/// Adds no flags yet.
pub fn usage(command: Command) -> Command {
    command
}

/// Not built yet.
pub fn run(_args: &ArgMatches) -> CliResult<()> {
    Err(crate::CliError::Failed("not built yet".to_owned()))
}
