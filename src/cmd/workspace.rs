//! Prints the limits of workspaces and their requests at one daemon.

use std::collections::BTreeMap;

use sk_ops::{StateDump, WorkspaceView};

use super::{CmdOutcome, print_call_error, print_json};
use crate::{
    cli::{WorkspaceArgs, WorkspaceCommand},
    client::OpsClient,
};

/// Prints all workspaces with a limit, or one of them.
pub async fn run(
    client: &OpsClient,
    args: &WorkspaceArgs,
    is_json: bool,
) -> anyhow::Result<CmdOutcome> {
    let state = match client.get::<StateDump>("/v1/state").await {
        Ok(state) => state,
        Err(err) => return Ok(print_call_error(&err)),
    };
    let mut workspaces = state.workspaces;
    if let Some(WorkspaceCommand::Show(show)) = &args.command {
        workspaces.retain(|name, _| *name == show.name);
        if workspaces.is_empty() {
            eprintln!("refused: no workspace {} with a limit", show.name);
            return Ok(CmdOutcome::Refused);
        }
    }
    match is_json {
        true => print_json(&workspaces)?,
        false => print_table(&workspaces, &state.proxy, &state.data_centre),
    }
    Ok(CmdOutcome::Done)
}

fn print_table(workspaces: &BTreeMap<String, WorkspaceView>, proxy: &str, data_centre: &str) {
    println!("at {proxy} in {data_centre}:");
    for (name, view) in workspaces {
        let rate = view.rate_per_thousand_s as f64 / 1000.0;
        let owner = view.owner.as_deref().unwrap_or("-");
        println!(
            "{name}  {rate}/s  burst {}  used {}  refused {}  without owner {}  owner {owner}",
            view.burst, view.used, view.refused, view.fallback
        );
    }
}
