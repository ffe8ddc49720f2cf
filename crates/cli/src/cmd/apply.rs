//! `pimentoslip apply BASE [--overlay FILE]`: stores a configuration.

use super::{FileArgs, with_file_args};
use crate::{CliError, CliResult, connection_args::ConnectionArgs, util};
use clap::{Arg, ArgMatches, Command};
use pimentoslip_kernel::SharedName;
use pimentoslip_wire::admin::{ApplyRequest, ChangeResponse, RecordBody};

/// Adds the arguments of the command.
pub fn with_flags(command: Command) -> Command {
    let command = command.arg(
        Arg::new("change")
            .long("change")
            .help("Id of the change; repeat the command with the same id if its response was lost"),
    );
    ConnectionArgs::with_flags(with_file_args(command))
}

/// Parsed arguments of the command.
struct Args {
    files: FileArgs,
    connection: ConnectionArgs,
    /// Id that makes a repeated request the same change; random unless given.
    change: SharedName,
    json: bool,
}

impl From<&ArgMatches> for Args {
    fn from(args: &ArgMatches) -> Self {
        let change = args.get_one::<String>("change").map_or_else(util::new_change_id, |change| change.as_str().into());
        Self { files: args.into(), connection: ConnectionArgs::from_args(args), change, json: args.get_flag("json") }
    }
}

/// Validates the files and stores their configuration.
pub fn run(args: &ArgMatches) -> CliResult<()> {
    let args = Args::from(args);
    let records = args.files.read()?.records();
    let records = records.into_iter().map(|(name, record)| RecordBody { name, revision: 0, record }).collect();
    let request = ApplyRequest { change_id: args.change, records };
    let response: ChangeResponse =
        util::block_on(async { args.connection.into_client().post("apply", &request).await })?;
    print_change(&response, args.json)
}

/// Prints the outcome of a change. Returns [`CliError::Pending`] if not every daemon confirmed it.
pub fn print_change(response: &ChangeResponse, json: bool) -> CliResult<()> {
    if json {
        util::print_json(response)?;
    } else {
        println!("stored: revision {}, {} records changed", response.revision, response.changed_count);
        println!("confirmed by: {}", response.confirmed.join(", "));
    }
    if response.accepted {
        return Ok(());
    }
    Err(CliError::Pending(response.unconfirmed.join(", ")))
}
