//! `pimentoslip check BASE [--overlay FILE]`: validates a configuration without a daemon.

use super::{FileArgs, with_file_args};
use crate::CliResult;
use clap::{ArgMatches, Command};

/// Adds the arguments of the command.
pub fn with_flags(command: Command) -> Command {
    with_file_args(command)
}

/// Validates the files. The error lists every fault with its file, key and remedy.
pub fn run(args: &ArgMatches) -> CliResult<()> {
    let config = FileArgs::from(args).read()?;
    println!(
        "ok: site {}, {} services, {} organisations",
        config.site.name,
        config.services.len(),
        config.organisations.len()
    );
    Ok(())
}
