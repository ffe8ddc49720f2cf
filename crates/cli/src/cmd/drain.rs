//! `pimentoslip drain`

use crate::{CliResult, config::Config, util};
use clap::{ArgMatches, Command};

/// Adds the flags.
pub fn with_flags(command: Command) -> Command {
    Config::flags(command)
}

/// Makes the daemon named by `--daemon` finish its requests and stop.
pub fn run(args: &ArgMatches) -> CliResult<()> {
    let answer: serde_json::Value = util::block_on(async { Config::from_args(args).open().post("drain", &()).await })?;
    if args.get_flag("json") {
        return util::print_json(&answer);
    }
    println!("draining {}", answer["draining"].as_str().unwrap_or(""));
    Ok(())
}
