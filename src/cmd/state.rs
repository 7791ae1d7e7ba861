//! Prints a daemon's state.

use sk_ops::StateDump;

use super::{CmdOutcome, explain, print_json};
use crate::client::OpsClient;

/// Prints the state as JSON, which is its only form.
pub async fn run(client: &OpsClient) -> anyhow::Result<CmdOutcome> {
    match client.get::<StateDump>("/v1/state").await {
        Ok(state) => print_json(&state).map(|()| CmdOutcome::Done),
        Err(err) => Ok(explain(&err)),
    }
}
