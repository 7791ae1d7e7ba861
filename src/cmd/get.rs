//! Prints accepted settings.

use sk_ops::SettingsView;

use super::{CmdOutcome, print_call_error, print_json};
use crate::{cli::GetArgs, client::OpsClient};

/// Prints the settings of one team, or of all teams.
pub async fn run(client: &OpsClient, args: &GetArgs, is_json: bool) -> anyhow::Result<CmdOutcome> {
    let query = args.team.as_ref().map(|team| format!("?team={team}")).unwrap_or_default();
    let view: SettingsView = match client.get(&format!("/v1/settings{query}")).await {
        Ok(view) => view,
        Err(err) => return Ok(print_call_error(&err)),
    };
    if is_json {
        print_json(&view)?;
        return Ok(CmdOutcome::Done);
    }
    println!("version {}", view.version);
    for (team, settings) in &view.teams {
        println!("\n# team {team}, version {}", settings.version);
        for (path, body) in &settings.settings {
            println!("\n[\"{path}\"]\n{}", toml::to_string(body)?.trim_end());
        }
    }
    Ok(CmdOutcome::Done)
}
