//! Submits a change and determines its outcome. A change whose answer is lost is looked up by its
//! id, so that a change in force is not reported as failed.

use std::time::Duration;

use sk_model::{ChangeRecord, ChangeRequest, hash_json};
use sk_ops::OpsError;

use super::{CmdOutcome, print_call_error, print_json};
use crate::client::{CallError, OpsClient};

/// Number of lookups of a change whose answer was lost. With the growing delays they take longer
/// than one timeout of the platform, after which the outcome of most changes is known.
const MAX_LOOKUPS: u32 = 6;
/// Delay before the first lookup; doubles with each.
const FIRST_LOOKUP_DELAY: Duration = Duration::from_millis(100);

/// Submits a change and prints its record. The inner error is the command's outcome if the change
/// was refused or its outcome is unknown.
///
/// # Errors
///
/// Returns an error if the record cannot be printed.
pub async fn submit(
    client: &OpsClient,
    mut request: ChangeRequest,
    is_json: bool,
) -> anyhow::Result<Result<ChangeRecord, CmdOutcome>> {
    if request.change_id.is_empty() {
        // Derived from the content, so that the command, run again after a lost answer, refers to
        // the same change instead of creating another.
        let digest = hash_json(&request);
        request.change_id = format!("{}-{}", request.team, &digest[..16]);
    }
    let answer = client.post::<_, ChangeRecord>("/v1/changes", &request).await;
    let record = match answer {
        Ok(record) => record,
        Err(err) => {
            let outcome = print_call_error(&err);
            match look_up_change(client, &request, outcome).await {
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

/// Looks up a change by its id if its outcome is unknown, up to [`MAX_LOOKUPS`] times.
///
/// An answer can be lost after the write has taken effect; the operator would then see a failure
/// although the change is in force. The lookup by the request's own id tells the two apart.
async fn look_up_change(
    client: &OpsClient,
    request: &ChangeRequest,
    outcome: CmdOutcome,
) -> Result<ChangeRecord, CmdOutcome> {
    if outcome != CmdOutcome::Unknown {
        return Err(outcome);
    }
    let id = &request.change_id;
    eprintln!("looking up change {id}");
    let mut delay = FIRST_LOOKUP_DELAY;
    for _ in 0..MAX_LOOKUPS {
        tokio::time::sleep(delay).await;
        delay *= 2;
        match client.get::<ChangeRecord>(&format!("/v1/changes/{id}")).await {
            Ok(record) if is_record_of(&record, request) => return Ok(record),
            Ok(record) => {
                return Err(print_call_error(&CallError::Refused(OpsError::IdReused {
                    record: Box::new(record),
                })));
            }
            // Neither a missing record nor an unreachable daemon proves that it was not accepted.
            Err(_) => (),
        }
    }
    eprintln!("unknown: change {id} is not known to be accepted, but may still be");
    eprintln!("run the same command again: change {id} takes effect at most once");
    Err(CmdOutcome::Unknown)
}

/// Returns whether a record is that of the request, and not of another change with the same id.
fn is_record_of(record: &ChangeRecord, request: &ChangeRequest) -> bool {
    let written = request.writes.iter().filter(|(_, body)| body.is_some()).map(|(path, _)| path);
    let withdrawn = request.writes.iter().filter(|(_, body)| body.is_none()).map(|(path, _)| path);
    record.team == request.team
        && record.author == request.author
        && record.revision == request.revision
        && record.written.iter().eq(written)
        && record.withdrawn.iter().eq(withdrawn)
}
