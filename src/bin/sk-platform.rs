//! The simulated platform as a process. Prints its address once it listens and runs until SIGTERM.

use std::net::SocketAddr;

use gumdrop::Options;
use sk_standin::{PlatformOptions, start_platform};
use tokio::signal::unix::{SignalKind, signal};

#[derive(Debug, Options)]
struct PlatformArgs {
    /// Print this help
    help: bool,
    /// Address to listen at
    #[options(default = "127.0.0.1:0")]
    address: String,
    /// Writes allowed a second
    #[options(default = "400")]
    writes: f64,
    /// Reads allowed a second
    #[options(default = "2000")]
    reads: f64,
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    env_logger::init();
    let args = PlatformArgs::parse_args_default_or_exit();
    let address: SocketAddr = args.address.parse()?;
    let options =
        PlatformOptions { address, writes_per_second: args.writes, reads_per_second: args.reads };
    let mut terminate = signal(SignalKind::terminate())?;
    let platform = start_platform(&options)?;
    println!("platform {}", platform.address());
    terminate.recv().await;
    platform.stop().await
}
