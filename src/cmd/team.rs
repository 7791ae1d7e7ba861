//! Creates a team or replaces its token.

use sk_ops::TeamRecord;

use super::{CmdOutcome, print_call_error};
use crate::{cli::TeamArgs, client::OpsClient};

/// Writes the team's record.
pub async fn run(client: &OpsClient, args: &TeamArgs) -> anyhow::Result<CmdOutcome> {
    let record = TeamRecord { token_sha256: args.token_sha256.clone() };
    match client.put(&format!("/v1/teams/{}", args.team), &record).await {
        Ok(()) => {
            println!("team {} is set", args.team);
            Ok(CmdOutcome::Done)
        }
        Err(err) => Ok(print_call_error(&err)),
    }
}
