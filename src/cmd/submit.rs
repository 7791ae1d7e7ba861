//! Submits a change and finds out what became of it.

use std::time::Duration;

use sk_model::{ChangeRecord, ChangeRequest, hash_json};
use sk_ops::OpsError;

use super::{CmdOutcome, explain, print_json};
use crate::client::{CallError, OpsClient};

/// Looks for a change whose answer was lost. Together with the growing pauses they outlast one
/// timeout of the platform, after which most lost answers are settled.
const MAX_LOOKUPS: u32 = 6;
/// Pause before the first look; doubles with each.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Submits a change and prints what became of it; gives how the command ended otherwise.
pub async fn submit(
    client: &OpsClient,
    mut request: ChangeRequest,
    is_json: bool,
) -> anyhow::Result<Result<ChangeRecord, CmdOutcome>> {
    if request.change_id.is_empty() {
        // Made from the content, so that running the command again after a lost answer asks
        // about the same change instead of making another.
        let digest = hash_json(&request);
        request.change_id = format!("{}-{}", request.team, &digest[..16]);
    }
    let answer = client.post::<_, ChangeRecord>("/v1/changes", &request).await;
    let record = match answer {
        Ok(record) => record,
        Err(err) => {
            let outcome = explain(&err);
            match look_up(client, &request, outcome).await {
                Ok(record) => record,
                Err(outcome) => return Ok(Err(outcome)),
            }
        }
    };
    match is_json {
        true => print_json(&record)?,
        false => println!("accepted as version {} (change {})", record.version, record.change_id),
    }
    Ok(Ok(record))
}

/// Looks a change up while its outcome is unknown.
///
/// An answer can be lost after the write has taken effect; the operator would then see a failure
/// although the change is in force. Asking by the id that the request chose tells the two apart.
async fn look_up(
    client: &OpsClient,
    request: &ChangeRequest,
    outcome: CmdOutcome,
) -> Result<ChangeRecord, CmdOutcome> {
    if outcome != CmdOutcome::Unknown {
        return Err(outcome);
    }
    let id = &request.change_id;
    eprintln!("looking for change {id}");
    let mut pause = FIRST_PAUSE;
    for _ in 0..MAX_LOOKUPS {
        tokio::time::sleep(pause).await;
        pause *= 2;
        match client.get::<ChangeRecord>(&format!("/v1/changes/{id}")).await {
            Ok(record) if is_of(&record, request) => return Ok(record),
            Ok(record) => {
                return Err(explain(&CallError::Refused(OpsError::IdReused {
                    record: Box::new(record),
                })));
            }
            // Not found so far, or the daemon is away: neither settles it.
            Err(_) => (),
        }
    }
    eprintln!("unknown: change {id} is not seen in force, and may yet come into force");
    eprintln!("run the same command again: change {id} takes effect at most once");
    Err(CmdOutcome::Unknown)
}

/// Tells whether a record is the request's, and not another change's under the same id.
fn is_of(record: &ChangeRecord, request: &ChangeRequest) -> bool {
    let written = request.writes.iter().filter(|(_, body)| body.is_some()).map(|(path, _)| path);
    let withdrawn = request.writes.iter().filter(|(_, body)| body.is_none()).map(|(path, _)| path);
    record.team == request.team
        && record.author == request.author
        && record.revision == request.revision
        && record.written.iter().eq(written)
        && record.withdrawn.iter().eq(withdrawn)
}
