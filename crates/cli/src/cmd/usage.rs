//! `pimentoslip usage`: prints usage counts.

use crate::{CliResult, connection_args::ConnectionArgs, util};
use clap::{ArgMatches, Command};
use pimentoslip_wire::provider::UsageReport;

/// Adds the arguments of the command.
pub fn with_flags(command: Command) -> Command {
    ConnectionArgs::with_flags(command)
}

/// Prints the requests and tokens of each sealed usage window, by organisation and service.
pub fn run(args: &ArgMatches) -> CliResult<()> {
    let reports: Vec<UsageReport> =
        util::block_on(async { ConnectionArgs::from_args(args).into_client().get("usage").await })?;
    if args.get_flag("json") {
        return util::print_json(&reports);
    }
    let rows: Vec<Vec<String>> = reports
        .iter()
        .flat_map(|report| {
            report.lines.iter().map(|line| {
                let (organisation, service) = (line.organisation.to_string(), line.service.to_string());
                vec![
                    report.window.to_string(),
                    organisation,
                    service,
                    line.requests.to_string(),
                    line.tokens.to_string(),
                ]
            })
        })
        .collect();
    util::print_table(&["window", "organisation", "service", "requests", "tokens"], &rows);
    Ok(())
}
