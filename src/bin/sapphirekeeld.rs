//! The daemon as a process: `sapphirekeeld SETTINGS.toml`. Prints its addresses once it listens,
//! reloads changed settings and drains requests before it exits on SIGTERM or SIGINT.

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

/// Interval at which the settings file is checked for changes made without a signal. A check reads
/// one small file.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Longest wait for blocking calls to end after a stop. All requests are answered by then.
const RUNTIME_STOP_TIMEOUT: Duration = Duration::from_millis(50);

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
    // Dropping it writes the last lines, so it lives until the process exits.
    let _logs = start_logs(limits)?;
    let mut runtime = tokio::runtime::Builder::new_multi_thread();
    runtime.enable_all();
    if settings.instance.threads > 0 {
        runtime.worker_threads(settings.instance.threads);
    }
    let runtime = runtime.build()?;
    let result = runtime.block_on(run_daemon(&args.settings, settings));
    runtime.shutdown_timeout(RUNTIME_STOP_TIMEOUT);
    result
}

/// Runs the daemon until a signal or a failed component ends it.
///
/// # Errors
///
/// Returns an error if the daemon cannot start, if a component failed, or if requests were cut off.
async fn run_daemon(file: &Path, settings: DaemonSettings) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    // Without a handler SIGHUP would end the process and all requests in flight.
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
        () = daemon.wait_for_failure() => true,
        () = follow_settings(&daemon, file, hangup) => true,
    };
    let is_clean = daemon.stop().await;
    log::info!(is_clean, has_failed; "daemon: stopped.");
    anyhow::ensure!(!has_failed, "a component failed; restart the daemon");
    anyhow::ensure!(is_clean, "requests in flight did not end within the drain time");
    Ok(())
}

/// Reloads the settings on SIGHUP, or when the file has changed without one. An invalid file is
/// logged and changes nothing. Never returns.
async fn follow_settings(daemon: &DaemonHandle, file: &Path, mut hangup: Signal) {
    let mut last_bytes = fs::read(file).ok();
    loop {
        let is_signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(SETTINGS_CHECK_INTERVAL) => false,
        };
        let bytes = fs::read(file).ok();
        if bytes == last_bytes && !is_signalled {
            continue;
        }
        last_bytes = bytes;
        match read_settings(file) {
            Ok(settings) => daemon.apply_settings(&settings),
            Err(err) => {
                log::error!("daemon: new settings are invalid, the old ones stay in effect: {err}.")
            }
        }
    }
}
