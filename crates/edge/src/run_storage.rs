//! The process on VMs with a disk (role `storage`). It serves nothing and stores nothing on the disk: durable state is
//! kept in the platform's key-value store.

use crate::run_edge::Result;
use actix_rt::signal::unix::{SignalKind, signal};
use pimentoslip_platform::ProcessSettings;
use pimentoslip_telemetry::LogLine;

/// Runs until SIGTERM.
pub async fn run_storage(settings: ProcessSettings) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    LogLine::new("started").field("daemon", &settings.vm).field("role", "storage").info();
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => LogLine::new("reload").field("vm", &settings.vm).info(),
        }
    }
    LogLine::new("stopped").field("daemon", &settings.vm).info();
    Ok(())
}
