//! Makes a team's settings what a directory declares.

use std::time::Duration;

use sk_ledger::MAX_WRITES;
use sk_model::{ChangeRecord, ChangeRequest, make_writes};

use super::{
    CmdOutcome, explain, plan::read_accepted, print_json, refuse, submit::submit, wait::wait,
};
use crate::{cli::ApplyArgs, client::OpsClient, declared::read_team};

/// Variable with the managers' token, by which `--wait` reads the report.
const MANAGER_VARIABLE: &str = "SAPPHIREKEEL_MANAGER_TOKEN";

/// Applies a directory, and waits for the fleet where that was asked for.
pub async fn run(
    client: &OpsClient,
    args: &ApplyArgs,
    is_json: bool,
) -> anyhow::Result<CmdOutcome> {
    // Looked for before anything is sent: a usage error after the submit would hide its outcome.
    let manager = match std::env::var(MANAGER_VARIABLE) {
        _ if !args.wait => None,
        Ok(token) => Some(client.with_token(token)),
        Err(_) => anyhow::bail!("--wait reads the report: set {MANAGER_VARIABLE}"),
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
            let bound = Duration::from_secs(args.wait_bound);
            Ok(wait(&manager, record.version, bound, is_json).await)
        }
        None => Ok(CmdOutcome::Done),
    }
}

async fn make_request(client: &OpsClient, args: &ApplyArgs) -> Result<ChangeRequest, CmdOutcome> {
    let declared = read_team(&args.directory, args.team.as_deref());
    let (team, declared) = declared.map_err(|err| refuse(&err))?;
    let accepted = read_accepted(client, &team).await.map_err(|err| explain(&err))?;
    let writes = make_writes(&accepted.settings, &declared);
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
