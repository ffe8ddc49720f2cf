//! `pimentoslipd`: serves until it is told to stop.

use actix_rt::signal::unix::{SignalKind, signal};
use clap::Command;
use pimentoslip_daemon::{DaemonSettings, command, init_logs, start};
use pimentoslip_edge::{run_edge, run_storage};
use pimentoslip_platform::ProcessSettings;
use pimentoslip_telemetry::init_stdout_logs;
use std::process::ExitCode;

const EXIT_SETTINGS: u8 = 2;

#[actix_rt::main]
async fn main() -> ExitCode {
    let command = command()
        .subcommand_negates_reqs(true)
        .subcommand(Command::new("edge").about("Serve on the users' platform, as its settings file says"))
        .subcommand(Command::new("storage").about("Run on a VM with a disk of the users' platform"));
    let matches = command.get_matches();
    match matches.subcommand_name() {
        Some(role) => serve_platform(role).await,
        None => serve_flags(&matches).await,
    }
}

async fn serve_platform(role: &str) -> ExitCode {
    let settings = match ProcessSettings::from_env() {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    init_stdout_logs();
    finish(if role == "edge" { run_edge(settings).await } else { run_storage(settings).await })
}

async fn serve_flags(matches: &clap::ArgMatches) -> ExitCode {
    let settings = match DaemonSettings::from_matches(matches) {
        Ok(settings) => settings,
        Err(faults) => {
            for fault in faults {
                eprintln!("{fault}");
            }
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    init_logs();
    finish(run(settings).await)
}

fn finish(result: anyhow::Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run(settings: DaemonSettings) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let daemon = start(settings).await?;
    println!("listening public={} control={}", daemon.public(), daemon.control());
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = daemon.drain_asked() => {}
    }
    daemon.shut_down().await;
    Ok(())
}
