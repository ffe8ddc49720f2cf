//! `pimentoslipd`: serves until it is told to stop.

use actix_rt::signal::unix::{SignalKind, signal};
use pimentoslip_daemon::{DaemonSettings, command, init_logs, start};
use std::process::ExitCode;

const EXIT_SETTINGS: u8 = 2;

#[actix_rt::main]
async fn main() -> ExitCode {
    let settings = match DaemonSettings::from_matches(&command().get_matches()) {
        Ok(settings) => settings,
        Err(faults) => {
            for fault in faults {
                eprintln!("{fault}");
            }
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    init_logs();
    match run(settings).await {
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
