//! `pimentoslipd`: serves until it is told to stop.

use actix_rt::signal::unix::{SignalKind, signal};
use clap::{Arg, ArgMatches, Command, value_parser};
use pimentoslip_daemon::{DaemonSettings, command, init_stderr_logs, start};
use pimentoslip_edge::{run_edge, run_storage};
use pimentoslip_platform::ProcessSettings;
use pimentoslip_telemetry::init_stdout_logs;
use std::process::ExitCode;

const EXIT_SETTINGS: u8 = 2;

#[actix_rt::main]
async fn main() -> ExitCode {
    let metrics = Arg::new("metrics-port")
        .long("metrics-port")
        .env("PIMENTOSLIP_METRICS_PORT")
        .value_parser(value_parser!(u16))
        .help("Port for metrics, beside the address for operators");
    let command = command()
        .subcommand_negates_reqs(true)
        .subcommand(Command::new("edge").about("Serve on the users' platform, as its settings file says").arg(metrics))
        .subcommand(Command::new("storage").about("Run on a VM with a disk of the users' platform"));
    let matches = command.get_matches();
    match matches.subcommand() {
        Some((role, args)) => serve_platform(role, args).await,
        None => serve_flags(&matches).await,
    }
}

async fn serve_platform(role: &str, args: &ArgMatches) -> ExitCode {
    let settings = match ProcessSettings::from_env() {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    init_stdout_logs();
    if role == "storage" {
        return finish(run_storage(settings).await);
    }
    finish(run_edge(settings, args.get_one("metrics-port").copied()).await)
}

async fn serve_flags(matches: &ArgMatches) -> ExitCode {
    let settings = match DaemonSettings::from_matches(matches) {
        Ok(settings) => settings,
        Err(faults) => {
            for fault in faults {
                eprintln!("{fault}");
            }
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    init_stderr_logs();
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
    println!("listening public={} control={}", daemon.public_address(), daemon.control_address());
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = daemon.wait_for_drain_request() => {}
    }
    daemon.shut_down().await;
    Ok(())
}
