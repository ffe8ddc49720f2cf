//! `pimentoslip apply BASE [--overlay FILE]`

use super::{FileArgs, file_flags};
use crate::{CliError, CliResult, config::Config, util};
use clap::{Arg, ArgMatches, Command};
use pimentoslip_kernel::SharedName;
use pimentoslip_wire::admin::{ApplyRequest, ChangeResponse, RecordBody};

/// Adds the flags.
pub fn usage(command: Command) -> Command {
    let command =
        command.arg(Arg::new("change").long("change").help("Id of the change, to repeat one whose answer was lost"));
    Config::flags(file_flags(command))
}

struct Args {
    files: FileArgs,
    config: Config,
    change: SharedName,
    json: bool,
}

impl From<&ArgMatches> for Args {
    fn from(args: &ArgMatches) -> Self {
        let change = args.get_one::<String>("change").map_or_else(util::change_id, |change| change.as_str().into());
        Self { files: args.into(), config: Config::from_args(args), change, json: args.get_flag("json") }
    }
}

/// Checks the files and puts them in force.
pub fn run(args: &ArgMatches) -> CliResult<()> {
    let args = Args::from(args);
    let records = args.files.read()?.records();
    let records = records.into_iter().map(|(name, record)| RecordBody { name, revision: 0, record }).collect();
    let request = ApplyRequest { change_id: args.change, records };
    let answer: ChangeResponse = util::block_on(async { args.config.open().post("apply", &request).await })?;
    report_change(&answer, args.json)
}

/// Says what became of a change; one that is pending is an error of its own.
pub fn report_change(answer: &ChangeResponse, json: bool) -> CliResult<()> {
    if json {
        util::print_json(answer)?;
    } else {
        println!("on record: revision {}, {} records changed", answer.revision, answer.changed_count);
        println!("confirmed by: {}", answer.confirmed.join(", "));
    }
    if answer.accepted {
        return Ok(());
    }
    Err(CliError::Pending(answer.unconfirmed.join(", ")))
}
