//! `pimentoslip diff BASE [--overlay FILE]`: compares files with the active configuration.

use super::{FileArgs, with_file_args};
use crate::{CliResult, connection_args::ConnectionArgs, util};
use clap::{ArgMatches, Command};
use pimentoslip_kernel::{ConfigRecord, RecordName};
use pimentoslip_wire::admin::ConfigResponse;
use serde::Serialize;

/// Adds the arguments of the command.
pub fn with_flags(command: Command) -> Command {
    ConnectionArgs::with_flags(with_file_args(command))
}

/// One configuration record that applying the files would change.
#[derive(Serialize)]
struct Difference {
    /// Path of the record, such as `service/desk`.
    record: String,
    /// `add`, `change` or `remove`.
    change: &'static str,
}

/// Compares the files with the configuration that is active in one daemon.
pub fn run(args: &ArgMatches) -> CliResult<()> {
    let file_records = FileArgs::from(args).read()?.records();
    let response: ConfigResponse =
        util::block_on(async { ConnectionArgs::from_args(args).into_client().get("config").await })?;
    let differences = compare(&file_records, &response);
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

/// Differences between the records of the files and the active records that the daemon returned.
fn compare(file_records: &[(RecordName, ConfigRecord)], response: &ConfigResponse) -> Vec<Difference> {
    let active_record = |name: &RecordName| {
        let record = response.records.iter().find(|body| body.name == *name).map(|body| &body.record);
        record.filter(|record| **record != ConfigRecord::Removed)
    };
    let mut differences: Vec<Difference> = file_records
        .iter()
        .filter_map(|(name, record)| {
            let change = match active_record(name) {
                None => "add",
                Some(active) if active != record => "change",
                Some(_) => return None,
            };
            Some(Difference { record: name.path(), change })
        })
        .collect();
    // Applying files removes the services and organisations that they leave out. Keys and weights are not
    // part of the files.
    let removable = |name: &RecordName| matches!(name, RecordName::Service(_) | RecordName::Organisation(_));
    for body in response.records.iter().filter(|body| removable(&body.name) && body.record != ConfigRecord::Removed) {
        if !file_records.iter().any(|(name, _)| *name == body.name) {
            differences.push(Difference { record: body.name.path(), change: "remove" });
        }
    }
    differences
}
