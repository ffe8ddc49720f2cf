//! `pimentoslip`: the operators' command line.

use clap::Command;
use pimentoslip_cli::{CliResult, cmd};
use std::process::ExitCode;

/// Name, summary, and the functions behind a command.
struct CommandEntry {
    name: &'static str,
    summary: &'static str,
    with_flags: fn(Command) -> Command,
    run: fn(&clap::ArgMatches) -> CliResult<()>,
}

macro_rules! command_list {
    ($($name:ident: $summary:literal,)*) => {
        &[$(CommandEntry { name: stringify!($name), summary: $summary, with_flags: cmd::$name::with_flags, run: cmd::$name::run },)*]
    };
}

const COMMANDS: &[CommandEntry] = command_list! {
    apply: "Put a base file and its overlay in force",
    check: "Check a base file and its overlay, changing nothing",
    demo: "Run the whole path on embedded stand-ins",
    diff: "Show what apply would change",
    drain: "Make a daemon finish its requests and stop",
    key: "Create, withdraw and list tenant keys",
    show: "Show the configuration in force",
    standin: "Run a stand-in of the platform or an upstream",
    status: "Show daemons, duties, upstreams, steps and spend",
    usage: "Show sealed usage windows",
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
