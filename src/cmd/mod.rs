//! Subcommands, one file each.

mod apply;
mod check;
mod demo;
mod get;
mod plan;
mod report;
mod state;
mod team;
mod withdraw;

use std::process::ExitCode;

use gumdrop::Options;
use serde::Serialize;
use sk_ops::OpsError;

use crate::{
    cli::{CliArgs, CliCommand},
    client::{CallError, OpsClient},
};

/// How a command ended, as its exit code tells scripts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CmdOutcome {
    /// Done: 0.
    Done,
    /// Refused, and nothing was done: 1.
    Refused,
    /// Called wrongly: 2.
    Usage,
    /// It is not known whether it was done: 3.
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

/// Runs the subcommand.
pub async fn run(args: CliArgs) -> ExitCode {
    let Some(command) = args.command else {
        eprintln!("{}", CliArgs::usage());
        eprintln!("{}", CliArgs::command_list().unwrap_or_default());
        return CmdOutcome::Usage.into();
    };
    let is_json = args.json;
    let client = || OpsClient::from_args(args.daemon, args.token, args.config.as_deref());
    let result = match command {
        CliCommand::Demo(demo) => demo::run(&demo).await,
        CliCommand::Check(check) => Ok(check::run(&check)),
        CliCommand::Plan(plan) => {
            with(client(), async |client| plan::run(&client, &plan).await).await
        }
        CliCommand::Apply(apply) => {
            with(client(), async |client| apply::run(&client, &apply, is_json).await).await
        }
        CliCommand::Withdraw(withdraw) => {
            with(client(), async |client| withdraw::run(&client, &withdraw, is_json).await).await
        }
        CliCommand::Get(get) => {
            with(client(), async |client| get::run(&client, &get, is_json).await).await
        }
        CliCommand::Report(report) => {
            with(client(), async |client| report::run(&client, &report, is_json).await).await
        }
        CliCommand::State(_) => with(client(), async |client| state::run(&client).await).await,
        CliCommand::Team(team) => {
            with(client(), async |client| team::run(&client, &team).await).await
        }
    };
    match result {
        Ok(outcome) => outcome.into(),
        Err(err) => {
            eprintln!("sapphirekeel: {err:#}");
            CmdOutcome::Usage.into()
        }
    }
}

async fn with(
    client: anyhow::Result<OpsClient>,
    command: impl AsyncFnOnce(OpsClient) -> anyhow::Result<CmdOutcome>,
) -> anyhow::Result<CmdOutcome> {
    command(client?).await
}

/// Prints why a call gave no result and tells how the command ended.
pub fn explain(err: &CallError) -> CmdOutcome {
    match err {
        CallError::Refused(OpsError::Raced { conflicting }) => {
            eprintln!("refused: the subtree was changed meanwhile:");
            for record in conflicting {
                let paths = [record.written.clone(), record.withdrawn.clone()].concat().join(" ");
                eprintln!("  version {} by {}: {paths}", record.version, record.author);
            }
            CmdOutcome::Refused
        }
        CallError::Refused(OpsError::Invalid { faults }) => {
            eprintln!("refused: the configuration would be at fault:");
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
