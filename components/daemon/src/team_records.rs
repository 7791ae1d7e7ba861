//! Reads and writes the records of teams in the platform.

use sk_ops::{OpsError, TeamRecord};
use sk_store::{SharedStore, StoreError};

/// Largest number of attempts of one write, which is repeated after a concurrent write of another
/// manager or a lost answer.
const MAX_WRITE_ATTEMPTS: usize = 5;
/// Milliseconds after which a manager may retry while the platform is unavailable.
const RETRY_AFTER_MS: u64 = 1_000;

/// Reads a team, `None` where it was never created.
pub(crate) async fn read_team(
    store: &SharedStore,
    prefix: &str,
    team: &str,
) -> Result<Option<TeamRecord>, OpsError> {
    let key = team_key(prefix, team);
    let Some(object) = store.get(&key).await.map_err(|err| store_to_ops_error(&err))? else {
        return Ok(None);
    };
    serde_json::from_str(&object.value)
        .map(Some)
        .map_err(|err| OpsError::Internal { reason: format!("object {key}: {err}") })
}

/// Creates a team or replaces its token. The write is idempotent, so it is repeated after a lost
/// answer.
pub(crate) async fn write_team(
    store: &SharedStore,
    prefix: &str,
    team: &str,
    record: &TeamRecord,
) -> Result<(), OpsError> {
    let key = team_key(prefix, team);
    let value = serde_json::to_string(record)
        .map_err(|err| OpsError::Internal { reason: err.to_string() })?;
    for _ in 0..MAX_WRITE_ATTEMPTS {
        let found = store.get(&key).await.map_err(|err| store_to_ops_error(&err))?;
        let written = match found {
            Some(found) if found.value == value => return Ok(()),
            Some(found) => store.replace(&key, found.revision, value.clone()).await,
            None => store.create(&key, value.clone()).await,
        };
        match written {
            Ok(_) => return Ok(()),
            Err(StoreError::Conflict { .. } | StoreError::Unknown { .. }) => (),
            Err(err) => return Err(store_to_ops_error(&err)),
        }
    }
    Err(OpsError::NotAccepted { retry_at: sk_model::unix_time_ms() + RETRY_AFTER_MS })
}

fn team_key(prefix: &str, team: &str) -> String {
    format!("{prefix}teams/{team}")
}

/// Converts an error of the platform into a refusal for operators.
pub(crate) fn store_to_ops_error(err: &StoreError) -> OpsError {
    match err.is_transient() {
        true => OpsError::NotAccepted { retry_at: sk_model::unix_time_ms() + RETRY_AFTER_MS },
        false => OpsError::Internal { reason: err.to_string() },
    }
}
