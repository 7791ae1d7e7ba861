//! Prints one daemon's state.

use sk_ops::StateDump;

use super::{CmdOutcome, print_call_error, print_json};
use crate::client::OpsClient;

/// Prints the state, always as JSON.
pub async fn run(client: &OpsClient) -> anyhow::Result<CmdOutcome> {
    match client.get::<StateDump>("/v1/state").await {
        Ok(state) => print_json(&state).map(|()| CmdOutcome::Done),
        Err(err) => Ok(print_call_error(&err)),
    }
}
