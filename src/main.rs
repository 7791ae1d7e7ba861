//! The operators' command line. Parses the arguments and runs one subcommand, whose outcome becomes
//! the exit code.

mod cli;
mod client;
mod cmd;
mod declared;
mod diff;
mod utc;

use std::process::ExitCode;

use gumdrop::Options;

#[tokio::main]
async fn main() -> ExitCode {
    env_logger::init();
    let args = cli::CliArgs::parse_args_default_or_exit();
    cmd::run(args).await
}
