//! Withdraws one setting of a team.

use sk_model::{ChangeRequest, SettingWrites, check_path, team_of};

use super::{CmdOutcome, plan::read_accepted, print_call_error, print_refusal, submit::submit};
use crate::{cli::WithdrawArgs, client::OpsClient};

/// Withdraws the setting at a path.
pub async fn run(
    client: &OpsClient,
    args: &WithdrawArgs,
    is_json: bool,
) -> anyhow::Result<CmdOutcome> {
    if let Err(err) = check_path(&args.path) {
        return Ok(print_refusal(&err));
    }
    let team = team_of(&args.path).to_owned();
    let accepted = match read_accepted(client, &team).await {
        Ok(accepted) => accepted,
        Err(err) => return Ok(print_call_error(&err)),
    };
    let request = ChangeRequest {
        change_id: String::new(),
        team,
        author: args.author.clone(),
        revision: args.revision.clone(),
        base: accepted.version,
        writes: SettingWrites::from([(args.path.clone(), None)]),
    };
    let result = submit(client, request, is_json).await?;
    Ok(result.map_or_else(|outcome| outcome, |_| CmdOutcome::Done))
}
