//! `pimentoslip`: the operators' command line.

use clap::Command;
use pimentoslip_cli::{CliResult, cmd};
use std::process::ExitCode;

/// A subcommand: its name, its help text, and the functions that add its arguments and run it.
struct CommandEntry {
    name: &'static str,
    summary: &'static str,
    with_flags: fn(Command) -> Command,
    run: fn(&clap::ArgMatches) -> CliResult<()>,
}

/// Builds the entries of subcommands whose modules in [`cmd`] have the same name.
macro_rules! command_list {
    ($($name:ident: $summary:literal,)*) => {
        &[$(CommandEntry {
            name: stringify!($name),
            summary: $summary,
            with_flags: cmd::$name::with_flags,
            run: cmd::$name::run,
        },)*]
    };
}

const COMMANDS: &[CommandEntry] = command_list! {
    apply: "Apply a base file and its overlay as the site's configuration",
    check: "Validate a base file and its overlay without applying them",
    demo: "Run three daemons against embedded stand-ins and check the results",
    diff: "Show the records that apply would change",
    drain: "Let a daemon finish its requests and stop it",
    key: "Create, withdraw and list the API keys of organisations",
    show: "Show the active configuration",
    standin: "Run a stand-in for a platform service or an upstream",
    status: "Show daemons, duties, upstreams, steps and spend",
    usage: "Show the usage of each sealed window by organisation and service",
};

fn main() -> ExitCode {
    let mut command = Command::new("pimentoslip")
        .about("Rollout service for reinforcement learning: operators' command line")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true);
    for entry in COMMANDS {
        command = command.subcommand((entry.with_flags)(Command::new(entry.name).about(entry.summary)));
    }
    let matches = command.get_matches();
    let Some((name, args)) = matches.subcommand() else { return ExitCode::FAILURE };
    let Some(entry) = COMMANDS.iter().find(|entry| entry.name == name) else { return ExitCode::FAILURE };
    match (entry.run)(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(error.exit_code())
        }
    }
}
