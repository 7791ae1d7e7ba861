//! Replaces a team's settings by the declarations in a directory. Submits only the difference, on
//! the version that it was computed from, so that a concurrent change is refused rather than
//! overwritten.

use std::time::Duration;

use sk_ledger::MAX_WRITES;
use sk_model::{ChangeRecord, ChangeRequest, diff_settings};

use super::{
    CmdOutcome, plan::read_accepted, print_call_error, print_json, print_refusal, submit::submit,
    wait::wait_in_force,
};
use crate::{cli::ApplyArgs, client::OpsClient, declared::read_team};

/// Environment variable with the managers' token, which `--wait` needs to read the report.
const MANAGER_TOKEN_VARIABLE: &str = "SAPPHIREKEEL_MANAGER_TOKEN";

/// Applies a directory, and waits for the fleet if `--wait` is given.
pub async fn run(
    client: &OpsClient,
    args: &ApplyArgs,
    is_json: bool,
) -> anyhow::Result<CmdOutcome> {
    // Read before anything is sent: a usage error after the submit would hide its outcome.
    let manager = match std::env::var(MANAGER_TOKEN_VARIABLE) {
        _ if !args.wait => None,
        Ok(token) => Some(client.with_token(token)),
        Err(_) => anyhow::bail!(
            "--wait needs the managers' token to read the report: set {MANAGER_TOKEN_VARIABLE}"
        ),
    };
    let request = match make_request(client, args).await {
        Ok(request) => request,
        Err(outcome) => return Ok(outcome),
    };
    if request.writes.is_empty() {
        match is_json {
            true => print_json(&None::<ChangeRecord>)?,
            false => println!("nothing to change on top of version {}", request.base),
        }
        return Ok(CmdOutcome::Done);
    }
    let record = match submit(client, request, is_json).await? {
        Ok(record) => record,
        Err(outcome) => return Ok(outcome),
    };
    match manager {
        Some(manager) => {
            let timeout = Duration::from_secs(args.wait_bound);
            Ok(wait_in_force(&manager, record.version, timeout, is_json).await)
        }
        None => Ok(CmdOutcome::Done),
    }
}

/// Builds the change from the accepted to the declared settings, or prints why that fails.
async fn make_request(client: &OpsClient, args: &ApplyArgs) -> Result<ChangeRequest, CmdOutcome> {
    let declared = read_team(&args.directory, args.team.as_deref());
    let (team, declared) = declared.map_err(|err| print_refusal(&err))?;
    let accepted = read_accepted(client, &team).await.map_err(|err| print_call_error(&err))?;
    let writes = diff_settings(&accepted.settings, &declared);
    if writes.len() > MAX_WRITES {
        eprintln!(
            "refused: {} writes are more than the {MAX_WRITES} of one change; apply in parts",
            writes.len()
        );
        return Err(CmdOutcome::Refused);
    }
    Ok(ChangeRequest {
        change_id: args.change_id.clone().unwrap_or_default(),
        team,
        author: args.author.clone(),
        revision: args.revision.clone(),
        base: accepted.version,
        writes,
    })
}
