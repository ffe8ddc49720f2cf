//! `pimentoslip diff BASE [--overlay FILE]`

use super::{FileArgs, file_flags};
use crate::{CliResult, config::Config, util};
use clap::{ArgMatches, Command};
use pimentoslip_kernel::{ConfigRecord, RecordName};
use pimentoslip_wire::admin::ShowAnswer;
use serde::Serialize;

/// Adds the flags.
pub fn with_flags(command: Command) -> Command {
    Config::flags(file_flags(command))
}

#[derive(Serialize)]
struct Difference {
    record: String,
    change: &'static str,
}

/// Compares the files with what is in force.
pub fn run(args: &ArgMatches) -> CliResult<()> {
    let wanted = FileArgs::from(args).read()?.records();
    let shown: ShowAnswer = util::block_on(async { Config::from_args(args).open().get("config").await })?;
    let differences = compare(&wanted, &shown);
    if args.get_flag("json") {
        return util::print_json(&differences);
    }
    if differences.is_empty() {
        println!("no difference");
    }
    for difference in differences {
        println!("{} {}", difference.change, difference.record);
    }
    Ok(())
}

fn compare(wanted: &[(RecordName, ConfigRecord)], shown: &ShowAnswer) -> Vec<Difference> {
    let stored = |name: &RecordName| {
        let found = shown.records.iter().find(|body| body.name == *name).map(|body| &body.record);
        found.filter(|record| **record != ConfigRecord::Removed)
    };
    let mut differences: Vec<Difference> = wanted
        .iter()
        .filter_map(|(name, record)| {
            let change = match stored(name) {
                None => "add",
                Some(old) if old != record => "change",
                Some(_) => return None,
            };
            Some(Difference { record: name.path(), change })
        })
        .collect();
    let owned = |name: &RecordName| matches!(name, RecordName::Service(_) | RecordName::Organisation(_));
    for body in shown.records.iter().filter(|body| owned(&body.name) && body.record != ConfigRecord::Removed) {
        if !wanted.iter().any(|(name, _)| *name == body.name) {
            differences.push(Difference { record: body.name.path(), change: "remove" });
        }
    }
    differences
}
