//! Shows what apply would change.

use sk_ops::{HeldView, TeamView};

use super::{CmdOutcome, explain};
use crate::{
    cli::PlanArgs,
    client::{CallError, OpsClient},
    declared::read_team,
    diff::{make_writes, render_writes},
};

/// Prints the difference between what is accepted and what is declared.
pub async fn run(client: &OpsClient, args: &PlanArgs) -> anyhow::Result<CmdOutcome> {
    let (team, declared) = read_team(&args.directory, args.team.as_deref())?;
    let accepted = match read_accepted(client, &team).await {
        Ok(accepted) => accepted,
        Err(err) => return Ok(explain(&err)),
    };
    let writes = make_writes(&accepted.settings, &declared);
    print!("{}", render_writes(&accepted.settings, &writes));
    println!("{} to write or withdraw, on top of version {}", writes.len(), accepted.version);
    Ok(CmdOutcome::Done)
}

/// Reads a team's accepted settings; a team without any has version zero.
pub async fn read_accepted(client: &OpsClient, team: &str) -> Result<TeamView, CallError> {
    let mut view: HeldView = client.get(&format!("/v1/settings?team={team}")).await?;
    let empty = TeamView { version: 0, settings: Default::default() };
    Ok(view.teams.remove(team).unwrap_or(empty))
}
