//! Refusals as operators see them.

use dropshot::{ErrorStatusCode, HttpError, HttpResponseError};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use sk_ledger::{LedgerError, SubmitError};
use sk_model::{ChangeId, ChangeRecord, ConfigFault, UnixMillis};
use thiserror::Error;

/// Why a call was refused. Every variant but [`OpsError::Unknown`] means that nothing was done.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "refusal", rename_all = "kebab-case")]
pub enum OpsError {
    /// No token, or one that is not known.
    #[error("the token is missing or not known")]
    Unauthorised,
    /// The token does not reach that far.
    #[error("{reason}")]
    Forbidden {
        /// What the token is for.
        reason: String,
    },
    /// Someone else changed the subtree since the operator read it.
    #[error("the subtree was changed meanwhile")]
    Raced {
        /// Who changed what.
        conflicting: Vec<ChangeRecord>,
    },
    /// The configuration would be at fault.
    #[error("the configuration would be at fault")]
    Invalid {
        /// All faults.
        faults: Vec<ConfigFault>,
    },
    /// The request itself is not acceptable.
    #[error("{reason}")]
    Malformed {
        /// What is wrong and what is allowed.
        reason: String,
    },
    /// The change id belongs to another change.
    #[error("change id {} is in use since version {}", record.change_id, record.version)]
    IdReused {
        /// The change that has it.
        record: Box<ChangeRecord>,
    },
    /// The platform is away; nothing was done and nothing will be.
    #[error("not accepted; come back at {retry_at}")]
    NotAccepted {
        /// When to come back, in milliseconds since the epoch on the daemon's clock.
        retry_at: UnixMillis,
    },
    /// It cannot be known now whether the change was accepted.
    #[error("unknown; ask for change {change_id}")]
    Unknown {
        /// The id to ask for.
        change_id: ChangeId,
    },
    /// The daemon holds no configuration yet, or is leaving.
    #[error("the daemon is not ready")]
    NotReady,
    /// There is no such thing.
    #[error("{what} does not exist")]
    NotFound {
        /// What was asked for.
        what: String,
    },
    /// The daemon or what the platform holds is at fault.
    #[error("{reason}")]
    Internal {
        /// What was seen.
        reason: String,
    },
}

impl OpsError {
    /// Turns a refusal of the ledger into one for operators.
    pub fn from_submit(err: SubmitError, now: UnixMillis) -> Self {
        match err {
            SubmitError::Raced { conflicting } => Self::Raced { conflicting },
            SubmitError::Invalid { faults } => Self::Invalid { faults },
            SubmitError::IdReused { record } => Self::IdReused { record },
            SubmitError::NotAccepted { retry_after } => {
                Self::NotAccepted { retry_at: now + retry_after.as_millis() as UnixMillis }
            }
            SubmitError::Unknown { change_id } => Self::Unknown { change_id },
            SubmitError::Malformed(_) | SubmitError::TooLarge { .. } => {
                Self::Malformed { reason: err.to_string() }
            }
            SubmitError::Corrupt(_) => Self::Internal { reason: err.to_string() },
        }
    }

    /// Turns a failed read of the ledger into a refusal for operators.
    pub fn from_ledger(err: &LedgerError, now: UnixMillis) -> Self {
        match err {
            LedgerError::Unavailable { retry_after } => {
                Self::NotAccepted { retry_at: now + retry_after.as_millis() as UnixMillis }
            }
            LedgerError::Corrupt(_) => Self::Internal { reason: err.to_string() },
        }
    }
}

impl HttpResponseError for OpsError {
    fn status_code(&self) -> ErrorStatusCode {
        match self {
            Self::Unauthorised => ErrorStatusCode::UNAUTHORIZED,
            Self::Forbidden { .. } => ErrorStatusCode::FORBIDDEN,
            Self::Raced { .. } | Self::IdReused { .. } => ErrorStatusCode::CONFLICT,
            Self::Invalid { .. } => ErrorStatusCode::UNPROCESSABLE_ENTITY,
            Self::Malformed { .. } => ErrorStatusCode::BAD_REQUEST,
            Self::NotAccepted { .. } | Self::NotReady => ErrorStatusCode::SERVICE_UNAVAILABLE,
            Self::Unknown { .. } => ErrorStatusCode::GATEWAY_TIMEOUT,
            Self::NotFound { .. } => ErrorStatusCode::NOT_FOUND,
            Self::Internal { .. } => ErrorStatusCode::INTERNAL_SERVER_ERROR,
        }
    }
}

impl From<HttpError> for OpsError {
    fn from(err: HttpError) -> Self {
        match err.status_code.is_client_error() {
            true => Self::Malformed { reason: err.external_message },
            false => Self::Internal { reason: err.external_message },
        }
    }
}
