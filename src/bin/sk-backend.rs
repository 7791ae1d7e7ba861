//! A simulated backend server as a process. Prints its address once it listens and drains on
//! SIGTERM.

use std::time::Duration;

use gumdrop::Options;
use sk_standin::{BackendOptions, start_backend};
use tokio::signal::unix::{SignalKind, signal};

/// Exit code after a request that crashes the simulated server.
const CRASH_EXIT_CODE: i32 = 101;

#[derive(Debug, Options)]
struct BackendArgs {
    /// Print this help
    help: bool,
    /// Address to listen at
    #[options(default = "127.0.0.1:0")]
    address: String,
    /// The daemon's ops address, for announcements
    #[options(required)]
    daemon: String,
    /// Service the server runs
    #[options(required)]
    service: String,
    /// Identifier of this process
    #[options(required)]
    server: String,
    /// Requests processed at once
    #[options(default = "12")]
    slots: u32,
    /// Milliseconds of work per request
    #[options(default = "1")]
    work_ms: u64,
    /// Open connections at once; more are closed unread
    #[options(default = "100")]
    connections: u32,
    /// Load reported at /load in place of the actual one
    reported_load: Option<f64>,
    /// The daemon's proxy address, for nested calls
    proxy: Option<String>,
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    env_logger::init();
    let args = BackendArgs::parse_args_default_or_exit();
    let options = BackendOptions {
        slots: args.slots,
        work_time: Duration::from_millis(args.work_ms),
        max_connections: args.connections,
        reported_load: args.reported_load,
        proxy: args.proxy.map(|proxy| proxy.parse()).transpose()?,
        ..BackendOptions::new(
            args.address.parse()?,
            args.daemon.parse()?,
            &args.service,
            &args.server,
        )
    };
    let mut terminate = signal(SignalKind::terminate())?;
    let backend = start_backend(options).await?;
    println!("backend {}", backend.address());
    tokio::select! {
        _ = terminate.recv() => (),
        () = backend.wait_crashed() => std::process::exit(CRASH_EXIT_CODE),
    }
    let served = backend.served_count();
    backend.stop().await;
    println!("served {served}");
    Ok(())
}
