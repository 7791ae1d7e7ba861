//! Errors of the operators' interface and their HTTP status.
//!
//! Each error states whether the call took effect, so that operators know whether to repeat it.

use dropshot::{ErrorStatusCode, HttpError, HttpResponseError};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use sk_ledger::{LedgerError, SubmitError};
use sk_model::{ChangeId, ChangeRecord, ConfigFault, UnixMillis};
use thiserror::Error;

/// Why a call was refused. Except for [`OpsError::Unknown`] and [`OpsError::NotStored`], the call
/// had no effect.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "refusal", rename_all = "kebab-case")]
pub enum OpsError {
    /// The token is missing or unknown.
    #[error("the token is missing or not known")]
    Unauthorised,
    /// The token does not permit the call, the call concerns another instance, or the platform's
    /// operator writes the configuration in place of this fleet.
    #[error("{reason}")]
    Forbidden {
        /// Why the call is not permitted.
        reason: String,
    },
    /// Another change to the subtree was accepted after the operator read it.
    #[error("the subtree was changed meanwhile")]
    #[serde(rename = "raced")]
    Conflict {
        /// The changes accepted since then.
        conflicting: Vec<ChangeRecord>,
    },
    /// The configuration would be invalid.
    #[error("the configuration would be invalid")]
    Invalid {
        /// All faults found.
        faults: Vec<ConfigFault>,
    },
    /// The request is malformed or a value is out of bounds.
    #[error("{reason}")]
    Malformed {
        /// What is wrong and what is allowed.
        reason: String,
    },
    /// The change identifier belongs to another change.
    #[error("change id {} is already used by version {}", record.change_id, record.version)]
    IdReused {
        /// The change with this identifier.
        record: Box<ChangeRecord>,
    },
    /// The platform is unavailable; the call had no effect and will have none.
    #[error("not accepted; retry at {retry_at}")]
    NotAccepted {
        /// When to retry, in milliseconds since the Unix epoch on the daemon's clock.
        retry_at: UnixMillis,
    },
    /// A server's departure is in effect, but a daemon that starts again would not know of it.
    #[error("in effect, not stored; retry at {retry_at}")]
    NotStored {
        /// When to retry, in milliseconds since the Unix epoch on the daemon's clock.
        retry_at: UnixMillis,
    },
    /// It is currently unknown whether the change was accepted.
    #[error("outcome unknown; look up change {change_id}")]
    Unknown {
        /// Identifier of the change to look up.
        change_id: ChangeId,
    },
    /// The daemon has no configuration yet, or is stopping.
    #[error("the daemon is not ready")]
    NotReady,
    /// The requested object does not exist.
    #[error("{what} does not exist")]
    NotFound {
        /// Kind and name of the object.
        what: String,
    },
    /// An internal error of the daemon, or invalid data in the platform.
    #[error("{reason}")]
    Internal {
        /// Description of the error.
        reason: String,
    },
}

impl OpsError {
    /// Converts a refusal of the ledger. The time of a retry is counted from `now`.
    pub fn from_submit(err: SubmitError, now: UnixMillis) -> Self {
        match err {
            SubmitError::Conflict { conflicting } => Self::Conflict { conflicting },
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

    /// Converts a failed read of the ledger. The time of a retry is counted from `now`.
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
            Self::Conflict { .. } | Self::IdReused { .. } => ErrorStatusCode::CONFLICT,
            Self::Invalid { .. } => ErrorStatusCode::UNPROCESSABLE_ENTITY,
            Self::Malformed { .. } => ErrorStatusCode::BAD_REQUEST,
            Self::NotAccepted { .. } | Self::NotStored { .. } | Self::NotReady => {
                ErrorStatusCode::SERVICE_UNAVAILABLE
            }
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
