//! The daemon: `sapphirekeeld SETTINGS.toml`.

use std::path::PathBuf;

use anyhow::Context;
use gumdrop::Options;
use sk_daemon::start_daemon;
use sk_settings::read_settings;
use tokio::signal::unix::{SignalKind, signal};

#[derive(Debug, Options)]
struct DaemonArgs {
    /// Print this help
    help: bool,
    /// Settings file
    #[options(free, required)]
    settings: PathBuf,
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    env_logger::init();
    let args = DaemonArgs::parse_args_default_or_exit();
    let settings = read_settings(&args.settings)?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
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
    };
    let is_clean = daemon.stop().await;
    anyhow::ensure!(!has_failed, "a part failed; the daemon has to be started again");
    anyhow::ensure!(is_clean, "requests in flight did not end within the bound");
    Ok(())
}
