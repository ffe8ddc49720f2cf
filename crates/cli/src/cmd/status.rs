//! `pimentoslip status`: prints the state of the site.

use crate::{CliResult, connection_args::ConnectionArgs, util};
use clap::{ArgMatches, Command};
use pimentoslip_wire::admin::StatusResponse;

/// Adds the arguments of the command.
pub fn with_flags(command: Command) -> Command {
    ConnectionArgs::with_flags(command)
}

/// Prints the state of the site as recorded by one daemon.
pub fn run(args: &ArgMatches) -> CliResult<()> {
    let status: StatusResponse =
        util::block_on(async { ConnectionArgs::from_args(args).into_client().get("status").await })?;
    if args.get_flag("json") {
        return util::print_json(&status);
    }
    println!(
        "daemon {}: revision {}, {}{}",
        status.daemon,
        status.revision,
        if status.keys_trusted { "configuration confirmed" } else { "configuration not confirmed" },
        if status.draining { ", draining" } else { "" }
    );
    println!(
        "spend {} of floor {} and ceiling {} cents an hour; staleness bound {} versions",
        status.spend_cents_per_hour, status.floor_cents_per_hour, status.ceiling_cents_per_hour, status.staleness_bound
    );
    print_tables(&status);
    Ok(())
}

/// Prints one table each for daemons, duties, upstreams and steps.
fn print_tables(status: &StatusResponse) {
    let daemons: Vec<Vec<String>> = status
        .daemons
        .iter()
        .map(|daemon| vec![daemon.name.to_string(), daemon.failure_domain.to_string(), daemon.state.clone()])
        .collect();
    println!();
    util::print_table(&["daemon", "failure domain", "state"], &daemons);
    let duties: Vec<Vec<String>> = status
        .duties
        .iter()
        .map(|duty| {
            let fencing = duty.fencing.map_or_else(|| "-".to_owned(), |fencing| fencing.to_string());
            vec![duty.duty.to_string(), duty.state.clone(), fencing]
        })
        .collect();
    println!();
    util::print_table(&["duty", "state here", "fencing"], &duties);
    let upstreams: Vec<Vec<String>> = status
        .upstreams
        .iter()
        .map(|upstream| {
            let version = upstream.version.map_or_else(|| "-".to_owned(), |version| version.to_string());
            vec![
                upstream.name.to_string(),
                upstream.service.to_string(),
                upstream.failure_domain.to_string(),
                upstream.state.clone(),
                upstream.inflight.to_string(),
                version,
            ]
        })
        .collect();
    println!();
    util::print_table(&["upstream", "service", "failure domain", "state", "inflight", "version"], &upstreams);
    let steps: Vec<Vec<String>> = status
        .steps
        .iter()
        .map(|step| {
            let counts = [step.confirmed, step.ready, step.running, step.total].map(|count| count.to_string());
            [vec![step.step.to_string()], counts.to_vec()].concat()
        })
        .collect();
    println!();
    util::print_table(&["step", "confirmed", "ready", "running", "total"], &steps);
}
