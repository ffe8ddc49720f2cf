//! `pimentoslip drain`: drains and stops a daemon.

use crate::{CliResult, connection_args::ConnectionArgs, util};
use clap::{ArgMatches, Command};

/// Adds the arguments of the command.
pub fn with_flags(command: Command) -> Command {
    ConnectionArgs::with_flags(command)
}

/// Requests that the daemon at `--daemon` finishes its requests and stops.
pub fn run(args: &ArgMatches) -> CliResult<()> {
    let response: serde_json::Value =
        util::block_on(async { ConnectionArgs::from_args(args).into_client().post("drain", &()).await })?;
    if args.get_flag("json") {
        return util::print_json(&response);
    }
    println!("draining {}", response["draining"].as_str().unwrap_or(""));
    Ok(())
}
