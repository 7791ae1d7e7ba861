//! Subcommands, one file each. The outcome of a command is its exit code, by which scripts can tell
//! a refusal from a change that may be in force.

mod apply;
mod check;
mod demo;
mod get;
mod plan;
mod report;
mod rollout;
mod state;
mod submit;
mod team;
mod wait;
mod withdraw;
mod workspace;

use std::process::ExitCode;

use gumdrop::Options;
use serde::Serialize;
use sk_ops::OpsError;

use crate::{
    cli::{CliArgs, CliCommand},
    client::{CallError, OpsClient},
};

/// Outcome of a command, with its exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CmdOutcome {
    /// Done: 0.
    Done,
    /// Refused, and nothing was done: 1.
    Refused,
    /// Usage error: 2.
    Usage,
    /// Unknown whether it was done: 3.
    Unknown,
}

impl From<CmdOutcome> for ExitCode {
    fn from(outcome: CmdOutcome) -> Self {
        match outcome {
            CmdOutcome::Done => Self::SUCCESS,
            CmdOutcome::Refused => Self::from(1),
            CmdOutcome::Usage => Self::from(2),
            CmdOutcome::Unknown => Self::from(3),
        }
    }
}

/// Runs the subcommand and returns its exit code.
pub async fn run(args: CliArgs) -> ExitCode {
    let Some(command) = args.command else {
        eprintln!("{}", CliArgs::usage());
        eprintln!("{}", CliArgs::command_list().unwrap_or_default());
        return CmdOutcome::Usage.into();
    };
    let is_json = args.json || command.is_json();
    let make_client = || OpsClient::from_args(args.daemon, args.token, args.config.as_deref());
    let result = run_command(command, make_client, is_json).await;
    match result {
        Ok(outcome) => outcome.into(),
        Err(err) => {
            eprintln!("sapphirekeel: {err:#}");
            CmdOutcome::Usage.into()
        }
    }
}

/// Runs a subcommand. Only those that call a daemon create a client, as the others need no address.
async fn run_command(
    command: CliCommand,
    make_client: impl FnOnce() -> anyhow::Result<OpsClient>,
    is_json: bool,
) -> anyhow::Result<CmdOutcome> {
    match command {
        CliCommand::Demo(args) => demo::run(&args).await,
        CliCommand::Check(args) => check::run(&args, is_json),
        CliCommand::Plan(args) => plan::run(&make_client()?, &args, is_json).await,
        CliCommand::Apply(args) => apply::run(&make_client()?, &args, is_json).await,
        CliCommand::Withdraw(args) => withdraw::run(&make_client()?, &args, is_json).await,
        CliCommand::Get(args) => get::run(&make_client()?, &args, is_json).await,
        CliCommand::Report(args) => report::run(&make_client()?, &args, is_json).await,
        CliCommand::Rollout(args) => rollout::run(&make_client()?, &args, is_json).await,
        CliCommand::State(_) => state::run(&make_client()?).await,
        CliCommand::Workspace(args) => workspace::run(&make_client()?, &args, is_json).await,
        CliCommand::Team(args) => team::run(&make_client()?, &args).await,
    }
}

/// Prints an error for which the command line itself refuses, before any call.
pub fn print_refusal(err: &dyn std::error::Error) -> CmdOutcome {
    eprintln!("refused: {err}");
    CmdOutcome::Refused
}

/// Prints why a call has no result and returns the command's outcome.
pub fn print_call_error(err: &CallError) -> CmdOutcome {
    match err {
        CallError::Refused(OpsError::Conflict { conflicting }) => {
            eprintln!("refused: the subtree was changed meanwhile:");
            for record in conflicting {
                let paths = [record.written.clone(), record.withdrawn.clone()].concat().join(" ");
                eprintln!("  version {} by {}: {paths}", record.version, record.author);
            }
            CmdOutcome::Refused
        }
        CallError::Refused(OpsError::Invalid { faults }) => {
            eprintln!("refused: the configuration would be invalid:");
            faults.iter().for_each(|fault| eprintln!("  {fault}"));
            CmdOutcome::Refused
        }
        CallError::Refused(err @ OpsError::Unknown { .. }) => {
            eprintln!("unknown: {err}");
            CmdOutcome::Unknown
        }
        CallError::Refused(err) => {
            eprintln!("refused: {err}");
            CmdOutcome::Refused
        }
        CallError::NotDone(err) => {
            eprintln!("refused: {err:#}; nothing was done");
            CmdOutcome::Refused
        }
        CallError::NoAnswer(err) => {
            eprintln!("unknown: {err:#}");
            CmdOutcome::Unknown
        }
    }
}

/// Prints data as JSON.
pub fn print_json<T: Serialize>(data: &T) -> anyhow::Result<()> {
    println!("{}", serde_json::to_string_pretty(data)?);
    Ok(())
}
