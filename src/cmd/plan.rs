//! Shows what `apply` would change, without a change.

use serde::Serialize;
use sk_model::{SettingWrites, TeamName, Version, diff_settings};
use sk_ops::{SettingsView, TeamView};

use super::{CmdOutcome, print_call_error, print_json, print_refusal};
use crate::{
    cli::PlanArgs,
    client::{CallError, OpsClient},
    declared::read_team,
    diff::{count_writes, render_writes},
};

/// The change that `apply` would submit.
#[derive(Serialize)]
struct ChangePlan<'a> {
    team: &'a TeamName,
    base: Version,
    writes: &'a SettingWrites,
}

/// Prints the difference between the accepted and the declared settings.
pub async fn run(client: &OpsClient, args: &PlanArgs, is_json: bool) -> anyhow::Result<CmdOutcome> {
    let (team, declared) = match read_team(&args.directory, args.team.as_deref()) {
        Ok(found) => found,
        Err(err) => return Ok(print_refusal(&err)),
    };
    let accepted = match read_accepted(client, &team).await {
        Ok(accepted) => accepted,
        Err(err) => return Ok(print_call_error(&err)),
    };
    let writes = diff_settings(&accepted.settings, &declared);
    match is_json {
        true => print_json(&ChangePlan { team: &team, base: accepted.version, writes: &writes })?,
        false => print_plan(&accepted, &writes),
    }
    Ok(CmdOutcome::Done)
}

fn print_plan(accepted: &TeamView, writes: &SettingWrites) {
    let version = accepted.version;
    print!("{}", render_writes(&accepted.settings, version, writes));
    let counts = count_writes(&accepted.settings, writes);
    println!(
        "{} to add, {} to change, {} to withdraw, on top of version {version}",
        counts.added, counts.changed, counts.withdrawn
    );
}

/// Reads a team's accepted settings; a team without any has version 0.
pub async fn read_accepted(client: &OpsClient, team: &str) -> Result<TeamView, CallError> {
    let mut view: SettingsView = client.get(&format!("/v1/settings?team={team}")).await?;
    let empty = TeamView { version: 0, settings: Default::default() };
    Ok(view.teams.remove(team).unwrap_or(empty))
}
