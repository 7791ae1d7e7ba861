//! A backend server's stand-in as a process. Prints its address and drains on SIGTERM.

use std::time::Duration;

use gumdrop::Options;
use sk_standin::{BackendOptions, start_backend};
use tokio::signal::unix::{SignalKind, signal};

#[derive(Debug, Options)]
struct BackendArgs {
    /// Print this help
    help: bool,
    /// Address to listen at
    #[options(default = "127.0.0.1:0")]
    address: String,
    /// The daemon's address for announcements
    #[options(required)]
    daemon: String,
    /// Service the server runs
    #[options(required)]
    service: String,
    /// Identifier of this process
    #[options(required)]
    server: String,
    /// Requests worked on at once
    #[options(default = "12")]
    slots: u32,
    /// Milliseconds of work a request takes
    #[options(default = "1")]
    work_ms: u64,
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    env_logger::init();
    let args = BackendArgs::parse_args_default_or_exit();
    let options = BackendOptions {
        address: args.address.parse()?,
        daemon: args.daemon.parse()?,
        service: args.service,
        server: args.server,
        slots: args.slots,
        work: Duration::from_millis(args.work_ms),
        announce_interval: Duration::from_millis(500),
    };
    let mut terminate = signal(SignalKind::terminate())?;
    let backend = start_backend(options).await?;
    println!("backend {}", backend.address());
    terminate.recv().await;
    let served = backend.served();
    backend.stop().await;
    println!("served {served}");
    Ok(())
}
