//! The daemon: `sapphirekeeld SETTINGS.toml`.

use std::{
    fs,
    path::{Path, PathBuf},
    time::Duration,
};

use anyhow::Context;
use gumdrop::Options;
use sk_daemon::{DaemonHandle, start_daemon};
use sk_logs::{LineLimits, start_logs};
use sk_settings::{DaemonSettings, read_settings};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Time between looks whether the settings have changed without a signal. A look reads one small
/// file.
const LOOK_INTERVAL: Duration = Duration::from_secs(1);

/// Time for calls that block a thread to end after a stop. All requests are answered by then.
const RUNTIME_STOP: Duration = Duration::from_millis(50);

#[derive(Debug, Options)]
struct DaemonArgs {
    /// Print this help
    help: bool,
    /// Settings file
    #[options(free, required)]
    settings: PathBuf,
}

fn main() -> anyhow::Result<()> {
    let args = DaemonArgs::parse_args_default_or_exit();
    let settings = read_settings(&args.settings)?;
    let limits =
        LineLimits { routine: settings.logs.routine_lines, failures: settings.logs.failure_lines };
    // Kept to the end: dropping it writes the last lines.
    let _logs = start_logs(limits)?;
    let mut runtime = tokio::runtime::Builder::new_multi_thread();
    runtime.enable_all();
    if settings.instance.threads > 0 {
        runtime.worker_threads(settings.instance.threads);
    }
    let runtime = runtime.build()?;
    let result = runtime.block_on(run(&args.settings, settings));
    runtime.shutdown_timeout(RUNTIME_STOP);
    result
}

async fn run(file: &Path, settings: DaemonSettings) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    // Without a handler the signal ends the process, and with it all requests in flight.
    let hangup = signal(SignalKind::hangup())?;
    let daemon = start_daemon(&settings).await.context("cannot start the daemon")?;
    let addresses = daemon.addresses();
    println!(
        "daemon {} proxy={} guard={} control={} ops={}",
        settings.instance.name, addresses.proxy, addresses.guard, addresses.control, addresses.ops
    );
    let has_failed = tokio::select! {
        _ = terminate.recv() => false,
        _ = interrupt.recv() => false,
        () = daemon.failed() => true,
        () = follow_settings(&daemon, file, hangup) => true,
    };
    let is_clean = daemon.stop().await;
    log::info!(is_clean, has_failed; "daemon: stopped.");
    anyhow::ensure!(!has_failed, "a part failed; the daemon has to be started again");
    anyhow::ensure!(is_clean, "requests in flight did not end within the bound");
    Ok(())
}

/// Reads the settings again on a signal, or when the file has changed without one. A file that is
/// at fault changes nothing.
async fn follow_settings(daemon: &DaemonHandle, file: &Path, mut hangup: Signal) {
    let mut known = fs::read(file).ok();
    loop {
        let is_signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(LOOK_INTERVAL) => false,
        };
        let found = fs::read(file).ok();
        if found == known && !is_signalled {
            continue;
        }
        known = found;
        match read_settings(file) {
            Ok(settings) => daemon.reload(&settings),
            Err(err) => log::error!("daemon: settings are kept as they were: {err}."),
        }
    }
}
