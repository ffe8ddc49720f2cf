//! `pimentoslip show`: prints the active configuration.

use crate::{CliResult, connection_args::ConnectionArgs, util};
use clap::{ArgMatches, Command};
use pimentoslip_wire::admin::ConfigResponse;

/// Adds the arguments of the command.
pub fn with_flags(command: Command) -> Command {
    ConnectionArgs::with_flags(command)
}

/// Prints the configuration records that are active in one daemon.
pub fn run(args: &ArgMatches) -> CliResult<()> {
    let response: ConfigResponse =
        util::block_on(async { ConnectionArgs::from_args(args).into_client().get("config").await })?;
    if args.get_flag("json") {
        return util::print_json(&response);
    }
    let age = response.age_ms.map_or_else(|| "unknown".to_owned(), |age| format!("{age} ms"));
    println!("daemon {}, revision {}, confirmed {age} ago", response.daemon, response.revision);
    let rows = response.records.iter().map(|body| {
        let content = serde_json::to_string(&body.record)?;
        Ok(vec![body.name.path(), body.revision.to_string(), content])
    });
    util::print_table(&["record", "revision", "content"], &rows.collect::<CliResult<Vec<_>>>()?);
    Ok(())
}
