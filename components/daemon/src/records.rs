//! Records of teams in the platform.

use sk_ops::{OpsError, TeamRecord};
use sk_store::{SharedStore, StoreError};

/// Tries of one write, each after another manager's write came between.
const MAX_TRIES: usize = 5;
/// When a manager is told to come back while the platform is away.
const RETRY_MS: u64 = 1_000;

/// Reads a team, none where it was never created.
pub(crate) async fn read_team(
    store: &SharedStore,
    prefix: &str,
    team: &str,
) -> Result<Option<TeamRecord>, OpsError> {
    let key = team_key(prefix, team);
    let Some(object) = store.get(&key).await.map_err(|err| store_error(&err))? else {
        return Ok(None);
    };
    serde_json::from_str(&object.value)
        .map(Some)
        .map_err(|err| OpsError::Internal { reason: format!("object {key}: {err}") })
}

/// Creates a team or gives it another token. Idempotent, so a lost answer is simply repeated.
pub(crate) async fn write_team(
    store: &SharedStore,
    prefix: &str,
    team: &str,
    record: &TeamRecord,
) -> Result<(), OpsError> {
    let key = team_key(prefix, team);
    let value = serde_json::to_string(record)
        .map_err(|err| OpsError::Internal { reason: err.to_string() })?;
    for _ in 0..MAX_TRIES {
        let held = store.get(&key).await.map_err(|err| store_error(&err))?;
        let written = match held {
            Some(held) if held.value == value => return Ok(()),
            Some(held) => store.replace(&key, held.revision, value.clone()).await,
            None => store.create(&key, value.clone()).await,
        };
        match written {
            Ok(_) => return Ok(()),
            Err(StoreError::Conflict { .. } | StoreError::Unknown { .. }) => (),
            Err(err) => return Err(store_error(&err)),
        }
    }
    Err(OpsError::NotAccepted { retry_at: sk_model::unix_now() + RETRY_MS })
}

fn team_key(prefix: &str, team: &str) -> String {
    format!("{prefix}teams/{team}")
}

/// Turns a failure of the platform into a refusal for operators.
pub(crate) fn store_error(err: &StoreError) -> OpsError {
    match err.is_transient() {
        true => OpsError::NotAccepted { retry_at: sk_model::unix_now() + RETRY_MS },
        false => OpsError::Internal { reason: err.to_string() },
    }
}
