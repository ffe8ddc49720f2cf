//! `pimentoslipd`: the daemon, which serves until a signal or an operator stops it.

use actix_rt::signal::unix::{SignalKind, signal};
use clap::{Arg, ArgMatches, Command, value_parser};
use pimentoslip_daemon::{DaemonSettings, command, init_stderr_logs, start};
use pimentoslip_edge::{run_edge, run_storage};
use pimentoslip_platform::ProcessSettings;
use pimentoslip_telemetry::init_stdout_logs;
use std::process::ExitCode;

/// Exit code for invalid settings.
const EXIT_INVALID_SETTINGS: u8 = 2;

#[actix_rt::main]
async fn main() -> ExitCode {
    let metrics_port = Arg::new("metrics-port")
        .long("metrics-port")
        .env("PIMENTOSLIP_METRICS_PORT")
        .value_parser(value_parser!(u16))
        .help("Port that serves metrics in addition to the control address");
    let command = command()
        .subcommand_negates_reqs(true)
        .subcommand(
            Command::new("edge")
                .about("Run as a daemon of the platform, configured by the platform's settings file")
                .arg(metrics_port),
        )
        .subcommand(Command::new("storage").about("Run on a storage VM of the platform, without serving requests"));
    let matches = command.get_matches();
    match matches.subcommand() {
        Some((role, args)) => run_on_platform(role, args).await,
        None => run_with_flags(&matches).await,
    }
}

/// Runs the daemon with the settings of the platform, in the role that the subcommand names.
async fn run_on_platform(role: &str, args: &ArgMatches) -> ExitCode {
    let settings = match ProcessSettings::from_env() {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    init_stdout_logs();
    if role == "storage" {
        return report_result(run_storage(settings).await);
    }
    report_result(run_edge(settings, args.get_one("metrics-port").copied()).await)
}

/// Runs the daemon with the settings from command line flags and the environment.
async fn run_with_flags(matches: &ArgMatches) -> ExitCode {
    let settings = match DaemonSettings::from_matches(matches) {
        Ok(settings) => settings,
        Err(faults) => {
            for fault in faults {
                eprintln!("{fault}");
            }
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    init_stderr_logs();
    report_result(serve_until_stopped(settings).await)
}

/// Prints the error of a finished run and returns the exit code of the process.
fn report_result(result: anyhow::Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Starts the daemon and shuts it down on SIGTERM, SIGINT or an operator's drain request.
async fn serve_until_stopped(settings: DaemonSettings) -> anyhow::Result<()> {
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
